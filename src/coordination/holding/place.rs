//! Moves the holding of single upstreams towards the assignment.

use std::time::Duration;

use crate::coordination::holding::decide::Move;
use crate::coordination::holding::{
    Entry, Holdings, Pending, Previous, Spec, Surroundings, blocking, settle,
};
use crate::coordination::rendezvous;
use crate::state::name;

/// Hand-overs that a daemon has in progress at once, unless it shuts down.
const LEAVING_MAX: usize = 2;

/// How long an assignment must differ from the holder before the upstream is handed over.
const MOVE_AFTER: Duration = Duration::from_secs(5);

/// How long a hand-over waits for requests in flight. What remains is left to the next holder as
/// a reserve.
const DRAIN: Duration = Duration::from_secs(2);

/// How long an upstream that was taken from this daemon is not taken back. Without it, two daemons
/// that reach the platform but not each other would take it in turns.
const RETAKE_AFTER: Duration = Duration::from_secs(30);

/// The requests that a predecessor may send after its lease has lapsed.
const STRAY_REQUESTS: u32 = 1;

impl Holdings {
    pub(crate) fn place_all(&mut self, spec: &mut Spec, around: &Surroundings<'_>) {
        for upstream in around.upstreams {
            self.place(spec, upstream, around);
        }
        let removed: Vec<_> = self
            .held
            .keys()
            .filter(|upstream| !around.upstreams.contains(upstream))
            .cloned()
            .collect();
        for upstream in removed {
            self.leave(spec, &upstream, around);
        }
    }

    fn place(&mut self, spec: &mut Spec, upstream: &name::Upstream, around: &Surroundings<'_>) {
        let Some(entry) = spec.holdings.get(upstream).cloned() else {
            if self.is_owner(upstream, around) {
                self.record(spec, upstream, 1, Vec::new());
            }
            return;
        };
        match &entry.holder {
            None if self.is_owner(upstream, around) => {
                let previous = settle::unsettled(upstream, &entry, around);
                self.record(spec, upstream, entry.epoch + 1, previous);
            }
            Some(holder) if *holder == self.own => self.keep(spec, upstream, &entry, around),
            Some(holder) if self.may_take(spec, upstream, &entry, holder, around) => {
                self.take(spec, upstream, &entry, holder, around);
            }
            None | Some(_) => {}
        }
    }

    /// Records this daemon as the holder of an upstream that nobody holds.
    fn record(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        epoch: u64,
        previous: Vec<Previous>,
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

    /// Goes on with an upstream that is recorded for this host.
    fn keep(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        around: &Surroundings<'_>,
    ) {
        if self.pending.contains_key(upstream) {
            return;
        }
        let Some(held) = self.held.get(upstream) else {
            self.succeed(spec, upstream, entry, around);
            return;
        };
        if held.leaving_since.is_some() || self.moves_on(upstream, around) {
            self.leave(spec, upstream, around);
        }
    }

    /// Takes over from an earlier process of this host, after a full lease.
    fn succeed(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        around: &Surroundings<'_>,
    ) {
        let previous = settle::prolongable(entry, &self.own, around);
        self.record_taken(spec, upstream, entry, self.own.clone(), previous);
    }

    fn may_take(
        &self,
        spec: &Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        holder: &name::Host,
        around: &Surroundings<'_>,
    ) -> bool {
        if !self.is_owner(upstream, around) || (around.is_alive)(holder) {
            return false;
        }
        if (around.is_gone)(holder) {
            return true;
        }
        let taken_at = self.taken_at.get(upstream);
        if taken_at.is_some_and(|at| around.now < *at + RETAKE_AFTER) {
            return false;
        }
        let roster = spec.roster_of(entry.roster);
        let silent = self.silent.get(holder);
        let agreed = silent.map_or(0, |silent| {
            let members = roster.iter();
            members.filter(|host| silent.agreed.contains(*host)).count()
        });
        agreed >= blocking(roster.len())
    }

    fn take(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        holder: &name::Host,
        around: &Surroundings<'_>,
    ) {
        let mut previous = settle::prolongable(entry, &self.own, around);
        if !(around.is_gone)(holder) {
            previous.push(Previous {
                host: holder.clone(),
                epoch: entry.epoch,
                requests: STRAY_REQUESTS,
            });
        }
        self.record_taken(spec, upstream, entry, holder.clone(), previous);
    }

    /// Records this daemon as the holder after `from`, to be used once the leases of the
    /// `previous` holders can no longer be prolonged.
    fn record_taken(
        &mut self,
        spec: &mut Spec,
        upstream: &name::Upstream,
        entry: &Entry,
        from: name::Host,
        previous: Vec<Previous>,
    ) {
        let voters = if previous.is_empty() {
            Vec::new()
        } else {
            spec.roster_of(entry.roster).to_vec()
        };
        let epoch = entry.epoch + 1;
        let taken = Entry {
            holder: Some(self.own.clone()),
            epoch,
            // A later taker must still ask those whose promises the predecessors may have.
            roster: entry.roster,
            previous,
        };
        spec.holdings.insert(upstream.clone(), taken);
        let pending = Pending::new(epoch, Some(from), voters);
        self.pending.insert(upstream.clone(), pending);
    }

    /// Returns whether the upstream should be handed over now.
    fn moves_on(&mut self, upstream: &name::Upstream, around: &Surroundings<'_>) -> bool {
        let owner = rendezvous::first(upstream.as_str(), around.candidates);
        if owner == Some(&self.own) {
            self.moves.remove(upstream);
            return false;
        }
        if around.draining {
            return owner.is_some() || (around.in_flight)(upstream) == 0;
        }
        let Some(owner) = owner else {
            return false;
        };
        let since = self.moves.get(upstream);
        let since = since.filter(|planned| planned.to == *owner);
        let since = since.map_or(around.now, |planned| planned.since);
        let to = owner.clone();
        self.moves.insert(upstream.clone(), Move { to, since });
        let leaving = self
            .held
            .values()
            .filter(|held| held.leaving_since.is_some());
        around.now >= since + MOVE_AFTER && leaving.count() < LEAVING_MAX
    }

    /// Stops sending to an upstream, and gives it back when it is idle or [`DRAIN`] has passed.
    fn leave(&mut self, spec: &mut Spec, upstream: &name::Upstream, around: &Surroundings<'_>) {
        let Some(held) = self.held.get_mut(upstream) else {
            return;
        };
        held.lease.release();
        let since = *held.leaving_since.get_or_insert(around.now);
        let epoch = held.lease.epoch();
        let requests = (around.in_flight)(upstream);
        if requests > 0 {
            self.given_back.insert(upstream.clone(), epoch);
            if around.now < since + DRAIN {
                return;
            }
        }
        self.moves.remove(upstream);
        let Some(entry) = spec.holdings.get_mut(upstream) else {
            return;
        };
        entry.previous = settle::unsettled(upstream, entry, around);
        entry.holder = None;
        if requests > 0 {
            entry.previous.push(Previous {
                host: self.own.clone(),
                epoch,
                requests,
            });
        }
    }
}
