//! Changes of individual entries towards the desired assignment.

use std::time::Duration;

use crate::coordination::holding::decide::PlannedMove;
use crate::coordination::holding::{
    Context, Entry, Holdings, Pending, Predecessor, Spec, blocking, reserve,
};
use crate::coordination::rendezvous;
use crate::state::name;

/// The maximum number of concurrent handovers of a daemon that is not shutting down.
const HANDOVERS_MAX: usize = 2;

/// How long the assignment must differ from the holder before an upstream is handed over.
const HANDOVER_DELAY: Duration = Duration::from_secs(5);

/// How long a handover waits for requests in flight. The next holder reserves capacity for those
/// that remain.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a daemon does not take back an upstream that was taken from it. Without this delay, two
/// daemons that reach the platform but not each other would take it from each other repeatedly.
const RETAKE_DELAY: Duration = Duration::from_secs(30);

/// The number of requests that a predecessor may send after its lease has expired, because it was
/// paused between check and send.
const STRAY_REQUESTS: u32 = 1;

impl Holdings {
    pub(crate) fn update_holdings(&mut self, spec: &mut Spec, context: &Context<'_>) {
        for upstream in context.upstreams {
            self.update_holding(spec, upstream, context);
        }
        let removed: Vec<_> = self
            .held
            .keys()
            .filter(|upstream| !context.upstreams.contains(upstream))
            .cloned()
            .collect();
        for upstream in removed {
            self.hand_over(spec, &upstream, context);
        }
    }

    fn update_holding(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        context: &Context<'_>,
    ) {
        let Some(entry) = spec.holdings.get(upstream).cloned() else {
            if self.is_owner(upstream, context) {
                self.acquire(spec, upstream, 1, Vec::new());
            }
            return;
        };
        match &entry.holder {
            None if self.is_owner(upstream, context) => {
                let previous = reserve::unsettled(upstream, &entry, context);
                self.acquire(spec, upstream, entry.epoch + 1, previous);
            }
            Some(holder) if *holder == self.own => self.maintain(spec, upstream, &entry, context),
            Some(holder) if self.may_take(spec, upstream, &entry, holder, context) => {
                self.take_over(spec, upstream, &entry, holder, context);
            }
            None | Some(_) => {}
        }
    }

    /// Records this daemon as the holder of a free upstream.
    fn acquire(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        epoch: u64,
        previous: Vec<Predecessor>,
    ) {
        let entry = Entry {
            holder: Some(self.own.clone()),
            epoch,
            roster: spec.roster,
            previous,
        };
        spec.holdings.insert(upstream.clone(), entry);
        let pending = Pending::new(epoch, None, Vec::new());
        self.pending.insert(upstream.clone(), pending);
    }

    /// Handles an entry that names this host as the holder.
    fn maintain(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        context: &Context<'_>,
    ) {
        if self.pending.contains_key(upstream) {
            return;
        }
        let Some(held) = self.held.get(upstream) else {
            self.take_over_own(spec, upstream, entry, context);
            return;
        };
        if held.handover_since.is_some() || self.should_hand_over(upstream, context) {
            self.hand_over(spec, upstream, context);
        }
    }

    /// Takes over from an earlier process of this host, which takes a full lease.
    fn take_over_own(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        context: &Context<'_>,
    ) {
        let previous = reserve::extendable(entry, &self.own, context);
        self.record_takeover(spec, upstream, entry, self.own.clone(), previous);
    }

    fn may_take(
        &self,
        spec: &Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        holder: &name::Host,
        context: &Context<'_>,
    ) -> bool {
        if !self.is_owner(upstream, context) || (context.is_alive)(holder) {
            return false;
        }
        if (context.is_gone)(holder) {
            return true;
        }
        let lost_at = self.lost_at.get(upstream);
        if lost_at.is_some_and(|at| context.now < *at + RETAKE_DELAY) {
            return false;
        }
        let roster = spec.roster_of(entry.roster);
        let probe = self.probes.get(holder);
        let agreed = probe.map_or(0, |probe| {
            let members = roster.iter();
            members.filter(|host| probe.agreed.contains(*host)).count()
        });
        agreed >= blocking(roster.len())
    }

    fn take_over(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        holder: &name::Host,
        context: &Context<'_>,
    ) {
        let mut previous = reserve::extendable(entry, &self.own, context);
        if !(context.is_gone)(holder) {
            previous.push(Predecessor {
                host: holder.clone(),
                epoch: entry.epoch,
                requests: STRAY_REQUESTS,
            });
        }
        self.record_takeover(spec, upstream, entry, holder.clone(), previous);
    }

    /// Records this daemon as the holder after `from`, to be used once the leases of the
    /// `previous` holders can no longer be extended.
    fn record_takeover(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        from: name::Host,
        previous: Vec<Predecessor>,
    ) {
        let voters = if previous.is_empty() {
            Vec::new()
        } else {
            spec.roster_of(entry.roster).to_vec()
        };
        let epoch = entry.epoch + 1;
        let entry = Entry {
            holder: Some(self.own.clone()),
            epoch,
            // A later takeover still needs the agreement of the daemons whose promises the
            // predecessors may have.
            roster: entry.roster,
            previous,
        };
        spec.holdings.insert(upstream.clone(), entry);
        let pending = Pending::new(epoch, Some(from), voters);
        self.pending.insert(upstream.clone(), pending);
    }

    /// Returns whether the upstream should be handed over now, and tracks its planned move.
    fn should_hand_over(&mut self, upstream: &name::Upstream, context: &Context<'_>) -> bool {
        let owner = rendezvous::first(upstream.as_str(), context.candidates);
        if owner == Some(&self.own) {
            self.moves.remove(upstream);
            return false;
        }
        if context.draining {
            return owner.is_some() || (context.in_flight)(upstream) == 0;
        }
        let Some(owner) = owner else {
            return false;
        };
        let since = self.moves.get(upstream);
        let since = since.filter(|planned| planned.to == *owner);
        let since = since.map_or(context.now, |planned| planned.since);
        let to = owner.clone();
        self.moves
            .insert(upstream.clone(), PlannedMove { to, since });
        let handovers = self
            .held
            .values()
            .filter(|held| held.handover_since.is_some());
        context.now >= since + HANDOVER_DELAY && handovers.count() < HANDOVERS_MAX
    }

    /// Stops sending to an upstream, and releases it once it is idle or [`DRAIN_TIMEOUT`] has
    /// passed.
    fn hand_over(&mut self, spec: &mut Spec, upstream: &name::Upstream, context: &Context<'_>) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.lease.release();
        let since = *held.handover_since.get_or_insert(context.now);
        let epoch = held.lease.epoch();
        let requests = (context.in_flight)(upstream);
        if requests > 0 {
            self.former.insert(upstream.clone(), epoch);
            if context.now < since + DRAIN_TIMEOUT {
                return;
            }
        }
        self.moves.remove(upstream);
        let Some(entry) = spec.holdings.get_mut(upstream) else {
            return;
        };
        entry.previous = reserve::unsettled(upstream, entry, context);
        entry.holder = None;
        if requests > 0 {
            entry.previous.push(Predecessor {
                host: self.own.clone(),
                epoch,
                requests,
            });
        }
    }
}
