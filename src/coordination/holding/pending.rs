//! Holdings that are recorded but not used yet.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{Entry, Held, Holdings, LEASE, MARGIN, blocking, settle};
use crate::coordination::lease::Lease;
use crate::state::map::{Map, Set};
use crate::state::name;

/// How long a hand-over may take before it is given up.
const REVIVE_AFTER: Duration = Duration::from_secs(8);

/// A holding that this process asked for.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) epoch: u64,
    /// Whose promises the predecessor may have. Empty if there is no predecessor to fear.
    pub(crate) roster: Vec<name::Host>,
    /// Who it is taken from; absent if the upstream was free.
    pub(crate) from: Option<name::Host>,
    /// When the record was first known to stand.
    pub(crate) confirmed_at: Option<Instant>,
    pub(crate) agreed: Set<name::Host>,
    /// Members of the roster whose hosts are gone, and since when that is known.
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

    /// Records which members of the roster are gone.
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

    /// Returns whether no promise can prolong the predecessor's lease any more.
    ///
    /// A member that is gone gives none, and those that it gave have run out after a lease.
    pub(crate) fn is_agreed(&self, now: Instant) -> bool {
        if self.roster.is_empty() {
            return true;
        }
        let lapsed = |host| {
            let since = self.gone.get(host);
            since.is_some_and(|since| now >= *since + LEASE + MARGIN)
        };
        let members = self.roster.iter();
        let agreed = members.filter(|host| self.agreed.contains(*host) || lapsed(*host));
        agreed.count() >= blocking(self.roster.len())
    }

    fn is_usable(&self, now: Instant) -> bool {
        let waited = |at| now >= at + LEASE + MARGIN;
        self.confirmed_at.is_some_and(waited) && self.is_agreed(now)
    }
}

impl Holdings {
    /// Forgets what was asked for but is not recorded. If the record appears later after all, it
    /// is treated as that of an earlier process.
    pub(crate) fn drop_unconfirmed(&mut self) {
        self.pending
            .retain(|_, pending| pending.confirmed_at.is_some());
    }

    /// Starts to hold the upstreams that were free and are recorded for this process now.
    pub(crate) fn acquire_free(&mut self, until: Instant, now: Instant) {
        let free = self.pending_where(|pending| pending.from.is_none());
        for upstream in free {
            self.hold(&upstream, until, now);
        }
    }

    /// Starts to hold the upstreams whose takeover has come to its end.
    pub(crate) fn finish_takeovers(&mut self, now: Instant) {
        let Some(known) = self.known.as_ref() else {
            return;
        };
        let until = known.begun + LEASE;
        let usable = self.pending_where(|pending| pending.is_usable(now));
        for upstream in usable {
            self.hold(&upstream, until, now);
        }
    }

    fn pending_where<F>(&self, wanted: F) -> Vec<name::Upstream>
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

    /// Takes up again what could not be given back because the platform fell silent.
    ///
    /// The lease starts lapsed; only an answer from now on extends it.
    pub(crate) fn revive(&mut self, now: Instant) {
        if self.may_change() {
            return;
        }
        for held in self.held.values_mut() {
            let stuck = |since| now >= since + REVIVE_AFTER;
            if held.leaving_since.is_some_and(stuck) {
                held.lease = Arc::new(Lease::new(held.lease.epoch(), now, now));
                held.leaving_since = None;
            }
        }
    }

    fn hold(&mut self, upstream: &name::Upstream, until: Instant, now: Instant) {
        let Some(pending) = self.pending.remove(upstream) else {
            return;
        };
        let entry = self
            .known
            .as_ref()
            .and_then(|known| known.spec.holdings.get(upstream));
        let lease = Arc::new(Lease::new(pending.epoch, now, until));
        lease.set_reserve(entry.map_or(0, settle::reserve));
        let held = Held {
            lease,
            leaving_since: None,
        };
        self.held.insert(upstream.clone(), held);
    }
}
