//! Selects the daemons that watch the platform's store directly.
//!
//! A pending watch counts as a call, and each change completes the watches of all followers. In a
//! small fleet every daemon follows the store. In a large one, a few daemons per availability zone
//! follow it and inform the others. A partitioned zone still has its own followers, and a daemon
//! that receives no messages from others follows the store itself.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::rendezvous;

/// The largest number of daemons that all follow the store.
pub const SMALL_FLEET_MAX: usize = 16;

/// The number of daemons per zone that follow the store in a large fleet. If one is down or refused
/// by the store, the other continues.
pub const FOLLOWERS_PER_ZONE: usize = 2;

/// The silence after which a daemon no longer counts as a follower. It is longer than two of the
/// longest intervals between messages, and leaves time for a change to become known.
pub const SILENCE_MAX: Duration = Duration::from_millis(1400);

/// The state of a daemon's watch of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Status {
    /// The daemon does not follow the store.
    #[default]
    Idle,
    /// The daemon follows the store.
    Following,
    /// The daemon tries to follow the store, which does not answer it.
    Disconnected,
}

/// A daemon that sent a gossip message recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The state of its watch of the store.
    pub status: Status,
}

impl Member {
    /// Creates the entry of a daemon.
    pub fn new(host: &Arc<str>, zone: &Arc<str>, status: Status) -> Self {
        Self {
            host: Arc::clone(host),
            zone: Arc::clone(zone),
            status,
        }
    }
}

/// Returns whether the daemon `own` should follow the store, given the live daemons in `others`.
///
/// A disconnected follower is replaced by the next daemon in rank, unless all daemons of the zone
/// are disconnected.
pub fn should_follow(own: &Member, others: &[Member]) -> bool {
    if others.len() < SMALL_FLEET_MAX {
        return true;
    }
    let in_zone = || others.iter().filter(|other| other.zone == own.zone);
    let connected = |member: &Member| member.status != Status::Disconnected;
    let any_connected = connected(own) || in_zone().any(connected);
    if any_connected && !connected(own) {
        // It keeps trying, to notice when the store answers again.
        return rank(own, in_zone()) < FOLLOWERS_PER_ZONE;
    }
    let competitors = in_zone().filter(|other| !any_connected || connected(other));
    rank(own, competitors) < FOLLOWERS_PER_ZONE
}

/// Returns the number of `others` that rank before `own`.
fn rank<'a, I>(own: &Member, others: I) -> usize
where
    I: Iterator<Item = &'a Member>,
{
    let weight = |member: &Member| rendezvous::weight("store", &member.host);
    let own_key = (weight(own), &own.host);
    others
        .filter(|other| (weight(other), &other.host) > own_key)
        .count()
}
