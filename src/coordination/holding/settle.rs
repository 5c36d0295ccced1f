//! Room for requests that earlier holders may still have at an upstream.

use tokio::time::Instant;

use crate::coordination::holding::{Entry, Holdings, Previous, Surroundings};
use crate::state::name;

/// Returns the requests that room must be left for.
pub(crate) fn reserve(entry: &Entry) -> u32 {
    entry
        .previous
        .iter()
        .map(|previous| previous.requests)
        .sum()
}

/// Returns the earlier holders of `entry` that may still have requests at the upstream.
pub(crate) fn unsettled(
    upstream: &name::Upstream,
    entry: &Entry,
    around: &Surroundings<'_>,
) -> Vec<Previous> {
    let previous = entry.previous.iter();
    previous
        .filter(|previous| !(around.is_settled)(&previous.host, upstream, previous.epoch))
        .cloned()
        .collect()
}

/// Returns the earlier holders of `entry` whose leases may still be prolonged by promises.
///
/// That one has no requests in flight says nothing about its lease: only a host that is gone, or
/// an earlier process of the host `own`, uses none any more.
pub(crate) fn prolongable(
    entry: &Entry,
    own: &name::Host,
    around: &Surroundings<'_>,
) -> Vec<Previous> {
    let previous = entry.previous.iter();
    previous
        .filter(|previous| previous.host != *own && !(around.is_gone)(&previous.host))
        .cloned()
        .collect()
}

impl Holdings {
    /// Adapts the reserve of each held upstream to what is known of its earlier holders.
    pub(crate) fn settle(&mut self, around: &Surroundings<'_>) {
        for pending in self.pending.values_mut() {
            pending.record_gone(around.is_gone, around.now);
        }
        let Some(known) = self.known.as_ref() else {
            return;
        };
        for (upstream, held) in &self.held {
            let Some(entry) = known.spec.holdings.get(upstream) else {
                continue;
            };
            let unsettled = unsettled(upstream, entry, around);
            let requests = unsettled.iter().map(|previous| previous.requests).sum();
            held.lease.set_reserve(requests);
        }
    }

    /// Returns the upstreams that this process may not send to at `now` but has requests in flight
    /// at, with their epochs; forgets those whose last request has ended.
    ///
    /// The daemon advertises them, so that the next holder knows when it has all the room.
    pub fn trailing<F>(&mut self, in_flight: F, now: Instant) -> Vec<(name::Upstream, u64)>
    where
        F: Fn(&name::Upstream) -> u32,
    {
        self.given_back
            .retain(|upstream, _| in_flight(upstream) > 0);
        let lapsed = self
            .held
            .iter()
            .filter(|(upstream, held)| !held.lease.holds(now) && in_flight(upstream) > 0)
            .map(|(upstream, held)| (upstream.clone(), held.lease.epoch()));
        let given_back = self.given_back.iter();
        given_back
            .map(|(upstream, epoch)| (upstream.clone(), *epoch))
            .chain(lapsed)
            .collect()
    }

    /// Returns whether an upstream is being handed over.
    pub fn is_leaving(&self) -> bool {
        self.held.values().any(|held| held.leaving_since.is_some())
    }
}
