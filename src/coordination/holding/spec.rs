//! The platform's object that records who holds the upstreams of a zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::name;

/// The content of the object, named by the zone.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The number of the newest roster.
    pub roster: u64,
    /// The daemons of the zone, as numbered lists. Those that no entry uses are dropped, except
    /// for the newest.
    pub rosters: BTreeMap<u64, Vec<name::Host>>,
    /// The holding of each upstream that ever had one. Entries stay, so that epochs only rise.
    pub holdings: BTreeMap<name::Upstream, Entry>,
}

/// The holding of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Who holds the upstream; absent when it was given back.
    pub holder: Option<name::Host>,
    /// The fencing number, which rises with each new holder.
    pub epoch: u64,
    /// The roster whose members give the holder promises. Only the holder may change it while it
    /// holds, so that a taker knows whose promises the holder may have.
    pub roster: u64,
    /// Earlier holders that may still have requests at the upstream.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub previous: Vec<Previous>,
}

/// An earlier holder that may still have requests at the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Previous {
    /// The earlier holder.
    pub host: name::Host,
    /// The epoch that it held by.
    pub epoch: u64,
    /// The requests that room must be left for.
    pub requests: u32,
}

impl Spec {
    /// Returns the daemons of the zone.
    pub fn members(&self) -> &[name::Host] {
        self.roster_of(self.roster)
    }

    /// Returns the roster of this number.
    pub fn roster_of(&self, number: u64) -> &[name::Host] {
        self.rosters.get(&number).map_or(&[], Vec::as_slice)
    }

    /// Returns the epoch by which `host` holds `upstream`.
    pub fn epoch_of(&self, upstream: &name::Upstream, host: &name::Host) -> Option<u64> {
        let entry = self.holdings.get(upstream)?;
        (entry.holder.as_ref() == Some(host)).then_some(entry.epoch)
    }

    /// Makes `members` the newest roster, for holdings that are recorded from now on.
    pub fn set_members(&mut self, members: Vec<name::Host>) {
        self.roster += 1;
        self.rosters.insert(self.roster, members);
    }

    /// Drops rosters that no entry with a holder uses.
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

/// Returns the least number of members that is more than half.
pub fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Returns the least number of members of which each majority contains one.
pub fn blocking(members: usize) -> usize {
    members + 1 - majority(members)
}
