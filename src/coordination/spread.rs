//! The configuration at this daemon: applied in order, never back.
//!
//! Changes come from the platform or from peers. Both carry their version, so it does not matter
//! who delivers a change first or twice. Two daemons of a zone, picked by a rendezvous hash, watch
//! the platform and poll it each [`WATCHER_POLL`]; the others poll each [`OTHER_POLL`] and
//! learn of changes from the versions in heartbeats.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::rendezvous;
use crate::state::change::Change;
use crate::state::fleet::{Fleet, Version};
use crate::state::name;

/// The daemons of each zone that watch the platform.
pub const WATCHERS: usize = 2;

/// The pause between polls of a daemon that watches.
pub const WATCHER_POLL: Duration = Duration::from_secs(2);

/// The pause between polls of the other daemons.
pub const OTHER_POLL: Duration = Duration::from_secs(30);

/// Changes that are kept in memory to serve peers.
pub const CHANGES_KEPT: usize = 256;

/// The configuration in force and the changes that led to it lately.
#[derive(Debug, Default)]
pub struct Spread {
    fleet: Arc<Fleet>,
    changes: VecDeque<Change>,
}

/// What a daemon that is behind needs to catch up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The configuration to start from, if the changes alone do not suffice.
    pub snapshot: Option<Arc<Fleet>>,
    /// The changes that follow, oldest first.
    pub changes: Vec<Change>,
}

impl Spread {
    /// Returns the configuration in force.
    pub fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet)
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.fleet.version
    }

    /// Takes `fleet` over if it is newer; returns whether it was.
    pub fn restore(&mut self, fleet: Fleet) -> bool {
        if fleet.version <= self.fleet.version {
            return false;
        }
        self.fleet = Arc::new(fleet);
        self.changes.clear();
        true
    }

    /// Applies those of `changes` that come next; returns whether there were any.
    pub fn apply(&mut self, changes: &[Change]) -> bool {
        let mut fleet = Arc::clone(&self.fleet);
        for change in changes {
            if change.version == fleet.version + 1 {
                Arc::make_mut(&mut fleet).apply(change);
                self.changes.push_back(change.clone());
            }
        }
        while self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
        let advanced = fleet.version > self.fleet.version;
        self.fleet = fleet;
        advanced
    }

    /// Returns what a daemon at `version` needs to reach the version in force.
    pub fn since(&self, version: Version) -> Delta {
        let missing = self.fleet.version.saturating_sub(version);
        if missing > self.changes.len() as u64 {
            return Delta {
                snapshot: Some(self.fleet()),
                changes: Vec::new(),
            };
        }
        let skipped = self.changes.len() - missing as usize;
        Delta {
            snapshot: None,
            changes: self.changes.iter().skip(skipped).cloned().collect(),
        }
    }
}

/// Returns whether `host` is one of those in `zone` that watch the platform.
pub fn is_watcher(zone: &name::Zone, host: &name::Host, hosts: &[name::Host]) -> bool {
    let key = format!("watch {zone}");
    rendezvous::rank(&key, host, hosts) < WATCHERS
}
