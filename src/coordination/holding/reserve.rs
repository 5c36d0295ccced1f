//! Capacity reserved for requests that earlier holders may still have at an upstream.

use tokio::time::Instant;

use crate::coordination::holding::{Context, Entry, Holdings, Predecessor};
use crate::state::name;

/// Returns the number of requests for which capacity must be reserved.
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
    context: &Context<'_>,
) -> Vec<Predecessor> {
    let previous = entry.previous.iter();
    previous
        .filter(|previous| !(context.is_settled)(&previous.host, upstream, previous.epoch))
        .cloned()
        .collect()
}

/// Returns the earlier holders of `entry` whose leases may still be extended by promises.
///
/// A holder without requests in flight may still have a lease. Only a host that is gone and an
/// earlier process of the host `own` certainly use none.
pub(crate) fn extendable(
    entry: &Entry,
    own: &name::Host,
    context: &Context<'_>,
) -> Vec<Predecessor> {
    let previous = entry.previous.iter();
    previous
        .filter(|previous| previous.host != *own && !(context.is_gone)(&previous.host))
        .cloned()
        .collect()
}

impl Holdings {
    /// Updates the reserve of each held upstream to the requests of its unsettled predecessors.
    pub(crate) fn update_reserves(&mut self, context: &Context<'_>) {
        for pending in self.pending.values_mut() {
            pending.record_gone(context.is_gone, context.now);
        }
        let Some(snapshot) = self.snapshot.as_ref() else {
            return;
        };
        for (upstream, held) in &self.held {
            let Some(entry) = snapshot.spec.holdings.get(upstream) else {
                continue;
            };
            let unsettled = unsettled(upstream, entry, context);
            let requests = unsettled.iter().map(|previous| previous.requests).sum();
            held.lease.set_reserve(requests);
        }
    }

    /// Returns the upstreams, with their epochs, to which this process may no longer send at `now`
    /// but where it has requests in flight. Drops those whose last request has ended.
    ///
    /// The daemon advertises them, so that the next holder knows when the full capacity is
    /// available.
    pub fn unsettled_upstreams<F>(
        &mut self,
        in_flight: F,
        now: Instant,
    ) -> Vec<(name::Upstream, u64)>
    where
        F: Fn(&name::Upstream) -> u32,
    {
        self.former.retain(|upstream, _| in_flight(upstream) > 0);
        let expired = self
            .held
            .iter()
            .filter(|(upstream, held)| !held.lease.permits_sending(now) && in_flight(upstream) > 0)
            .map(|(upstream, held)| (upstream.clone(), held.lease.epoch()));
        let former = self.former.iter();
        former
            .map(|(upstream, epoch)| (upstream.clone(), *epoch))
            .chain(expired)
            .collect()
    }

    /// Returns whether any upstream is being handed over.
    pub fn is_handing_over(&self) -> bool {
        self.held.values().any(|held| held.handover_since.is_some())
    }
}
