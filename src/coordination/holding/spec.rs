//! The platform object that records the holders of a zone's upstreams.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::name;

/// The content of the object, which is named after the zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The number of the newest roster.
    pub roster: u64,
    /// Lists of the zone's daemons by number. A list that no entry refers to is dropped, unless it
    /// is the newest.
    pub rosters: BTreeMap<u64, Vec<name::Host>>,
    /// The holding of each upstream. Entries are never removed, so that epochs only rise.
    pub holdings: BTreeMap<name::Upstream, Entry>,
}

/// The holding of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The holder of the upstream; absent after a release.
    pub holder: Option<name::Host>,
    /// The fencing token, which rises with each new holder.
    pub epoch: u64,
    /// The roster whose members give promises to the holder. Only the holder may change it, so
    /// that a daemon that takes over knows whose promises the holder may have.
    pub roster: u64,
    /// Earlier holders that may still have requests at the upstream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<Predecessor>,
}

/// An earlier holder that may still have requests at the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Predecessor {
    /// The earlier holder.
    pub host: name::Host,
    /// Its epoch.
    pub epoch: u64,
    /// The number of its requests for which capacity must be reserved.
    pub requests: u32,
}

impl Spec {
    /// Returns the members of the newest roster.
    pub fn members(&self) -> &[name::Host] {
        self.roster_of(self.roster)
    }

    /// Returns the members of roster `number`, or an empty slice if it does not exist.
    pub fn roster_of(&self, number: u64) -> &[name::Host] {
        self.rosters.get(&number).map_or(&[], Vec::as_slice)
    }

    /// Returns the epoch at which `host` holds `upstream`, if it does.
    pub fn epoch_of(&self, upstream: &name::Upstream, host: &name::Host) -> Option<u64> {
        let entry = self.holdings.get(upstream)?;
        (entry.holder.as_ref() == Some(host)).then_some(entry.epoch)
    }

    /// Adds `members` as the newest roster, which holdings recorded from now on refer to.
    pub fn set_members(&mut self, members: Vec<name::Host>) {
        self.roster += 1;
        self.rosters.insert(self.roster, members);
    }

    /// Drops rosters that no entry with a holder refers to, except the newest.
    pub fn prune(&mut self) {
        let newest = self.roster;
        let used: Vec<u64> = self
            .holdings
            .values()
            .filter(|entry| entry.holder.is_some())
            .map(|entry| entry.roster)
            .collect();
        self.rosters
            .retain(|number, _| *number == newest || used.contains(number));
    }
}

/// Returns the size of the smallest majority of `members`.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Returns the size of the smallest blocking set of `members`: one that intersects every majority.
pub fn blocking(members: usize) -> usize {
    members + 1 - majority(members)
}
