//! Counters of the calls on the platform.

use std::collections::BTreeMap;

use serde::Serialize;

/// The counters of one client, or of all.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Calls {
    /// Calls that read, watches excepted.
    pub(crate) reads: u64,
    /// Calls that write.
    pub(crate) writes: u64,
    /// Watches opened.
    pub(crate) watches: u64,
    /// Writes refused with status 409.
    pub(crate) conflicts: u64,
    /// Calls refused because of their rate.
    pub(crate) rate_refused: u64,
    /// Calls refused during an outage.
    pub(crate) outage_refused: u64,
    /// Writes whose answer was lost.
    pub(crate) lost_answers: u64,
    /// Bytes of bodies received.
    pub(crate) bytes_in: u64,
    /// Bytes of bodies sent.
    pub(crate) bytes_out: u64,
}

/// All counters.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Tally {
    #[serde(flatten)]
    all: Calls,
    clients: BTreeMap<String, Calls>,
}

impl Tally {
    /// Changes the counters of all and those of `client`.
    pub(crate) fn add<Change>(&mut self, client: &str, change: Change)
    where
        Change: Fn(&mut Calls),
    {
        change(&mut self.all);
        change(self.clients.entry(client.to_owned()).or_default());
    }
}
