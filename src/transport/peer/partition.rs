//! A switch that cuts this process off from chosen peers, for tests of partitions.
//!
//! A cut direction stalls as a TCP connection does whose segments are lost: nothing arrives, and
//! what was written goes out if the cut ends before the link is given up.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::state::map::Set;
use crate::state::name;

/// The direction of a cut, as seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Direction {
    /// Bytes that this process sends.
    To,
    /// Bytes that this process receives.
    From,
}

/// The peers that this process is cut off from. Clones share one set.
#[derive(Debug, Clone, Default)]
pub struct Partition {
    to: Arc<ArcSwap<Set<name::Host>>>,
    from: Arc<ArcSwap<Set<name::Host>>>,
}

impl Partition {
    /// Replaces the peers that are cut off in `direction`.
    pub fn set(&self, direction: Direction, hosts: Set<name::Host>) {
        self.side(direction).store(Arc::new(hosts));
    }

    /// Returns whether bytes in `direction` are stalled for `host`.
    pub fn blocks(&self, direction: Direction, host: &name::Host) -> bool {
        let hosts = self.side(direction).load();
        !hosts.is_empty() && hosts.contains(host)
    }

    /// Returns whether any direction is stalled for `host`, so that no connection can start.
    pub fn blocks_connection(&self, host: &name::Host) -> bool {
        self.blocks(Direction::To, host) || self.blocks(Direction::From, host)
    }

    fn side(&self, direction: Direction) -> &ArcSwap<Set<name::Host>> {
        match direction {
            Direction::To => &self.to,
            Direction::From => &self.from,
        }
    }
}
