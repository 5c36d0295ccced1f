//! Counters of calls to the platform.

use std::collections::BTreeMap;

use serde::Serialize;

/// The counters of one client, or of all clients.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Calls {
    /// Read calls, except watches.
    pub(crate) reads: u64,
    /// Write calls.
    pub(crate) writes: u64,
    /// Watches opened.
    pub(crate) watches: u64,
    /// Writes refused with status 409.
    pub(crate) conflicts: u64,
    /// Calls refused by a rate limit.
    pub(crate) rate_refused: u64,
    /// Calls refused during an outage.
    pub(crate) outage_refused: u64,
    /// Writes whose response was lost.
    pub(crate) lost_answers: u64,
    /// Bytes received in request bodies.
    pub(crate) bytes_in: u64,
    /// Bytes sent in response bodies.
    pub(crate) bytes_out: u64,
}

/// The totals and the counters of each client.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Tally {
    #[serde(flatten)]
    all: Calls,
    clients: BTreeMap<String, Calls>,
}

impl Tally {
    /// Applies a change to the totals and to the counters of `client`.
    pub(crate) fn add<Change>(&mut self, client: &str, change: Change)
    where
        Change: Fn(&mut Calls),
    {
        change(&mut self.all);
        change(self.clients.entry(client.to_owned()).or_default());
    }
}
