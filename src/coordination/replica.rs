//! A daemon's replica of the configuration. Its version never decreases.
//!
//! Changes arrive from the platform or from peers. They are versioned, so it does not matter which
//! source delivers one first, and duplicates are ignored. Two daemons of each zone, selected by
//! rendezvous hashing, watch the platform and also poll it every [`WATCHER_POLL`]. The others poll
//! it every [`OTHER_POLL`] and learn of new versions from heartbeats.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::rendezvous;
use crate::state::change::Change;
use crate::state::fleet::{Fleet, Version};
use crate::state::name;

/// The number of daemons per zone that watch the platform.
pub const WATCHERS_PER_ZONE: usize = 2;

/// The poll interval of a daemon that watches the platform.
pub const WATCHER_POLL: Duration = Duration::from_secs(2);

/// The poll interval of the other daemons.
pub const OTHER_POLL: Duration = Duration::from_secs(30);

/// The number of changes that are kept in memory for peers.
pub const CHANGES_KEPT: usize = 256;

/// The current configuration and the most recent changes.
#[derive(Debug, Default)]
pub struct Replica {
    fleet: Arc<Fleet>,
    changes: VecDeque<Change>,
}

/// The data that brings an outdated daemon up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// The configuration to start from, if the kept changes do not reach back far enough.
    pub snapshot: Option<Arc<Fleet>>,
    /// The changes to apply, oldest first.
    pub changes: Vec<Change>,
}

impl Replica {
    /// Returns the current configuration.
    pub fn fleet(&self) -> Arc<Fleet> {
        Arc::clone(&self.fleet)
    }

    /// Returns the current version.
    pub fn version(&self) -> Version {
        self.fleet.version
    }

    /// Replaces the configuration by `fleet` if that is newer. Returns whether it was.
    pub fn restore(&mut self, fleet: Fleet) -> bool {
        if fleet.version <= self.fleet.version {
            return false;
        }
        self.fleet = Arc::new(fleet);
        self.changes.clear();
        true
    }

    /// Applies those of `changes` that directly follow the current version. Returns whether there
    /// were any.
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

    /// Returns the data that brings a daemon from `version` to the current version.
    pub fn delta_since(&self, version: Version) -> Delta {
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

/// Returns whether `host` is one of the daemons of `zone` that watch the platform.
pub fn is_watcher(zone: &name::Zone, host: &name::Host, hosts: &[name::Host]) -> bool {
    let key = format!("watch {zone}");
    rendezvous::rank(&key, host, hosts) < WATCHERS_PER_ZONE
}
