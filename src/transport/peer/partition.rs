//! Fault injection for network partitions between this process and chosen peers.
//!
//! A blocked direction behaves like a TCP connection whose segments are lost: nothing arrives, and
//! written bytes are sent if the partition ends before the link is closed.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::state::map::Set;
use crate::state::name;

/// The blocked direction, as seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Direction {
    /// Bytes that this process sends.
    To,
    /// Bytes that this process receives.
    From,
}

/// The peers that this process is partitioned from, by direction. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct Partition {
    to: Arc<ArcSwap<Set<name::Host>>>,
    from: Arc<ArcSwap<Set<name::Host>>>,
}

impl Partition {
    /// Replaces the peers that are blocked in `direction`.
    pub fn set(&self, direction: Direction, hosts: Set<name::Host>) {
        self.hosts(direction).store(Arc::new(hosts));
    }

    /// Returns whether `direction` is blocked for `host`.
    pub fn blocks(&self, direction: Direction, host: &name::Host) -> bool {
        let hosts = self.hosts(direction).load();
        !hosts.is_empty() && hosts.contains(host)
    }

    /// Returns whether either direction is blocked for `host`, which prevents a handshake.
    pub fn blocks_connection(&self, host: &name::Host) -> bool {
        self.blocks(Direction::To, host) || self.blocks(Direction::From, host)
    }

    fn hosts(&self, direction: Direction) -> &ArcSwap<Set<name::Host>> {
        match direction {
            Direction::To => &self.to,
            Direction::From => &self.from,
        }
    }
}
