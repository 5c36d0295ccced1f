//! Which daemons follow the platform's store themselves.
//!
//! A waiting watch counts as a call, and each change ends the watches of all that wait. In a small
//! fleet every daemon follows the store. In a large one a few of each availability zone do, and
//! the others learn of changes from them. A zone that is cut off still has its own followers, and
//! a daemon that hears nobody follows the store itself.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::rendezvous;

/// Daemons up to which all follow the store.
pub const SMALL_FLEET: usize = 16;

/// Daemons of each zone that follow the store in a large fleet. One may be down or turned away
/// while the other goes on.
pub const PER_ZONE: usize = 2;

/// How a daemon stands to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Standing {
    /// It does not follow the store.
    #[default]
    Idle,
    /// It follows the store.
    Following,
    /// It tries to, and the store does not answer.
    Lost,
}

/// A daemon that was heard recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its host.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How it stands to the store.
    pub standing: Standing,
}

/// Returns whether `own` is to follow the store, given the `others` that were heard recently.
///
/// Those that the store turned away leave their place to the next ones, unless it turned all
/// away.
pub fn follows(own: &Member, others: &[Member]) -> bool {
    if others.len() < SMALL_FLEET {
        return true;
    }
    let in_zone = || others.iter().filter(|other| other.zone == own.zone);
    let served = |member: &Member| member.standing != Standing::Lost;
    let any_served = served(own) || in_zone().any(served);
    if any_served && !served(own) {
        // Goes on trying, so that it notices when the store serves it again.
        return ranks_before(own, in_zone()) < PER_ZONE;
    }
    let rivals = in_zone().filter(|other| !any_served || served(other));
    ranks_before(own, rivals) < PER_ZONE
}

/// Returns how many of `others` go before `own`.
fn ranks_before<'a, I>(own: &Member, others: I) -> usize
where
    I: Iterator<Item = &'a Member>,
{
    let weight = |member: &Member| rendezvous::weight("store", &member.host);
    let mine = (weight(own), &own.host);
    others
        .filter(|other| (weight(other), &other.host) > mine)
        .count()
}
