//! Holdings that are not yet in use, and the steps until they are.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{
    CLOCK_MARGIN, Entry, Held, Holdings, LEASE_DURATION, blocking, reserve,
};
use crate::coordination::lease::Lease;
use crate::state::map::{Map, Set};
use crate::state::name;

/// How long a handover may take before it is cancelled.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(8);

/// A holding that this process has requested but does not use yet.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) epoch: u64,
    /// The daemons whose promises the predecessor may have; empty if no predecessor can still have
    /// a lease.
    pub(crate) roster: Vec<name::Host>,
    /// The predecessor; absent if the upstream was free.
    pub(crate) from: Option<name::Host>,
    /// When the recorded entry was first confirmed.
    pub(crate) confirmed_at: Option<Instant>,
    pub(crate) agreed: Set<name::Host>,
    /// Members of the roster whose hosts are gone, with the time when this was first known.
    gone: Map<name::Host, Instant>,
}

impl Pending {
    pub(crate) fn new(epoch: u64, from: Option<name::Host>, roster: Vec<name::Host>) -> Self {
        Self {
            epoch,
            roster,
            from,
            confirmed_at: None,
            agreed: Set::default(),
            gone: Map::default(),
        }
    }

    /// Records the members of the roster whose hosts are gone.
    pub(crate) fn record_gone<F>(&mut self, is_gone: F, now: Instant)
    where
        F: Fn(&name::Host) -> bool,
    {
        for host in self.roster.iter().filter(|host| is_gone(host)) {
            self.gone.entry(host.clone()).or_insert(now);
        }
    }

    pub(crate) fn confirm(&mut self, entry: &Entry, now: Instant) {
        if entry.epoch == self.epoch && self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
        }
    }

    /// Returns whether promises can no longer extend the predecessor's lease.
    ///
    /// A member whose host is gone gives no promises, and those it gave expire after one lease.
    pub(crate) fn is_agreed(&self, now: Instant) -> bool {
        if self.roster.is_empty() {
            return true;
        }
        let expired = |host| {
            let since = self.gone.get(host);
            since.is_some_and(|since| now >= *since + LEASE_DURATION + CLOCK_MARGIN)
        };
        let members = self.roster.iter();
        let agreed = members.filter(|host| self.agreed.contains(*host) || expired(*host));
        agreed.count() >= blocking(self.roster.len())
    }

    fn is_usable(&self, now: Instant) -> bool {
        let waited = |at| now >= at + LEASE_DURATION + CLOCK_MARGIN;
        self.confirmed_at.is_some_and(waited) && self.is_agreed(now)
    }
}

impl Holdings {
    /// Discards pending holdings that were not confirmed. If an entry turns out to be recorded
    /// after all, it is treated like that of an earlier process.
    pub(crate) fn discard_unconfirmed(&mut self) {
        self.pending
            .retain(|_, pending| pending.confirmed_at.is_some());
    }

    /// Starts holding the upstreams that were free and are now recorded for this process.
    pub(crate) fn acquire_free(&mut self, until: Instant, now: Instant) {
        let free = self.confirmed_where(|pending| pending.from.is_none());
        for upstream in free {
            self.start_holding(&upstream, until, now);
        }
    }

    /// Starts holding the upstreams whose takeover is complete.
    pub(crate) fn finish_takeovers(&mut self, now: Instant) {
        let Some(snapshot) = self.snapshot.as_ref() else {
            return;
        };
        let until = snapshot.began_at + LEASE_DURATION;
        let usable = self.confirmed_where(|pending| pending.is_usable(now));
        for upstream in usable {
            self.start_holding(&upstream, until, now);
        }
    }

    fn confirmed_where<F>(&self, wanted: F) -> Vec<name::Upstream>
    where
        F: Fn(&Pending) -> bool,
    {
        let confirmed = |pending: &Pending| pending.confirmed_at.is_some();
        self.pending
            .iter()
            .filter(|(_, pending)| confirmed(pending) && wanted(pending))
            .map(|(upstream, _)| upstream.clone())
            .collect()
    }

    /// Cancels handovers that could not be recorded because the platform did not answer.
    ///
    /// The new lease starts out expired; only answers received from now on extend it.
    pub(crate) fn cancel_stuck_handovers(&mut self, now: Instant) {
        if self.has_pending_write() {
            return;
        }
        for held in self.held.values_mut() {
            let stuck = |since| now >= since + HANDOVER_TIMEOUT;
            if held.handover_since.is_some_and(stuck) {
                held.lease = Arc::new(Lease::new(held.lease.epoch(), now, now));
                held.handover_since = None;
            }
        }
    }

    fn start_holding(&mut self, upstream: &name::Upstream, until: Instant, now: Instant) {
        let Some(pending) = self.pending.remove(upstream) else {
            return;
        };
        let entry = self
            .snapshot
            .as_ref()
            .and_then(|snapshot| snapshot.spec.holdings.get(upstream));
        let lease = Arc::new(Lease::new(pending.epoch, now, until));
        lease.set_reserve(entry.map_or(0, reserve::reserve));
        let held = Held {
            lease,
            handover_since: None,
        };
        self.held.insert(upstream.clone(), held);
    }
}
