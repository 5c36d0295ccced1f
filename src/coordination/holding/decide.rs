//! Decisions on the next writes and requests about a zone's holdings.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{Holdings, LEASE_DURATION, Probe, READ_INTERVAL, Spec};
use crate::coordination::promise::{Holding, Promise, Takeover};
use crate::coordination::rendezvous;
use crate::state::map::Set;
use crate::state::name;

/// The maximum age of the read that a write is based on.
const READ_AGE_MAX: Duration = Duration::from_secs(2);

/// How long a process waits after its start before it writes, while it discovers other daemons.
const STARTUP_DELAY: Duration = Duration::from_millis(1500);

/// The additional delay per rank before a daemon writes the roster.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// The minimum interval between two requests for promises.
const PROMISE_REQUEST_INTERVAL: Duration = Duration::from_millis(700);

/// How long the answers to a probe of a silent holder count.
const PROBE_LIFETIME: Duration = Duration::from_secs(2);

/// A planned move of an upstream to another daemon.
#[derive(Debug)]
pub(crate) struct PlannedMove {
    pub(crate) to: name::Host,
    pub(crate) since: Instant,
}

/// The inputs of a decision besides the holdings themselves.
pub struct Context<'a> {
    /// The time of the decision.
    pub now: Instant,
    /// The upstreams of the zone in the active configuration.
    pub upstreams: &'a [name::Upstream],
    /// The daemons of the zone that are alive, including this one.
    pub daemons: &'a [name::Host],
    /// The daemons among them that may hold upstreams.
    pub candidates: &'a [name::Host],
    /// Whether this daemon is shutting down.
    pub draining: bool,
    /// Whether heartbeats of a daemon arrive.
    pub is_alive: &'a dyn Fn(&name::Host) -> bool,
    /// Whether a host is no longer in the platform's list of hosts.
    pub is_gone: &'a dyn Fn(&name::Host) -> bool,
    /// Whether an earlier holder has no more requests of its epoch at an upstream.
    pub is_settled: &'a dyn Fn(&name::Host, &name::Upstream, u64) -> bool,
    /// The number of requests that this daemon has in flight at an upstream.
    pub in_flight: &'a dyn Fn(&name::Upstream) -> u32,
}

impl std::fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("now", &self.now)
            .field("daemons", &self.daemons)
            .field("candidates", &self.candidates)
            .finish_non_exhaustive()
    }
}

/// A conditional write of the object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The new content.
    pub spec: Spec,
    /// The version to replace; `None` creates the object.
    pub version: Option<String>,
}

/// The actions to perform next, independently of each other.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decision {
    /// The write to perform; its outcome must be passed to [`Holdings::record_write`].
    pub write: Option<Write>,
    /// Takeovers to send to the other daemons of the zone; answers must be passed to
    /// [`Holdings::record_agreement`].
    pub takeovers: Vec<Takeover>,
    /// A request to send to the other daemons of the zone; answers must be passed to
    /// [`Holdings::extend_by_relay`] and [`Holdings::extend_by_promises`].
    pub promise: Option<Promise>,
}

impl Holdings {
    /// Returns the actions to perform at [`Context::now`].
    pub fn decide(&mut self, context: &Context<'_>) -> Decision {
        self.cancel_stuck_handovers(context.now);
        self.update_reserves(context);
        self.finish_takeovers(context.now);
        let takeovers = self.recorded_takeovers(context.now);
        for takeover in &takeovers {
            let own = self.own.clone();
            let answer = self.handle_takeover(takeover, false, context.now);
            self.record_agreement(takeover, &own, &answer, context.now);
        }
        let probes = self.new_probes(context);
        Decision {
            write: self.next_write(context),
            takeovers: takeovers.into_iter().chain(probes).collect(),
            promise: self.promise_request(context.now),
        }
    }

    /// Returns a request for promises if this daemon's own reads of the platform are overdue.
    fn promise_request(&mut self, now: Instant) -> Option<Promise> {
        let last_read_at = self.last_read_at()?;
        let asked_recently = self
            .asked_at
            .is_some_and(|at| now < at + PROMISE_REQUEST_INTERVAL);
        if now < last_read_at + READ_INTERVAL + READ_INTERVAL / 2 || asked_recently {
            return None;
        }
        self.asked_at = Some(now);
        let held = self.held.iter();
        let holdings: Vec<Holding> = held
            .filter(|(_, held)| held.handover_since.is_none())
            .map(|(upstream, held)| Holding {
                upstream: upstream.clone(),
                epoch: held.lease.epoch(),
            })
            .collect();
        (!holdings.is_empty()).then(|| Promise {
            holder: self.own.clone(),
            duration_ms: LEASE_DURATION.as_millis() as u64,
            holdings,
        })
    }

    /// Returns the recorded takeovers that still need agreement.
    fn recorded_takeovers(&self, now: Instant) -> Vec<Takeover> {
        let pending = self.pending.iter();
        let recorded = pending.filter(|(_, pending)| pending.confirmed_at.is_some());
        recorded
            .filter(|(_, pending)| !pending.is_agreed(now))
            .filter_map(|(upstream, pending)| {
                Some(Takeover {
                    taker: self.own.clone(),
                    from: pending.from.clone()?,
                    probe: false,
                    holdings: vec![Holding {
                        upstream: upstream.clone(),
                        epoch: pending.epoch,
                    }],
                })
            })
            .collect()
    }

    /// Returns the probes that are due: queries whether other daemons receive heartbeats from the
    /// silent holders of upstreams that are assigned to this daemon.
    fn new_probes(&mut self, context: &Context<'_>) -> Vec<Takeover> {
        let silent = self.silent_holders(context);
        self.probes.retain(|host, _| silent.contains(host));
        let now = context.now;
        let due = |probe: Option<&Probe>| {
            probe.is_none_or(|probe| now >= probe.asked_at + PROBE_LIFETIME)
        };
        let hosts: Vec<_> = silent
            .into_iter()
            .filter(|host| due(self.probes.get(host)))
            .collect();
        hosts
            .into_iter()
            .map(|from| {
                let probe = Probe {
                    asked_at: now,
                    agreed: [self.own.clone()].into_iter().collect(),
                };
                self.probes.insert(from.clone(), probe);
                let holdings = self.holdings_of(&from);
                Takeover {
                    taker: self.own.clone(),
                    from,
                    probe: true,
                    holdings,
                }
            })
            .collect()
    }

    fn holdings_of(&self, host: &name::Host) -> Vec<Holding> {
        let Some(snapshot) = self.snapshot.as_ref() else {
            return Vec::new();
        };
        let entries = snapshot.spec.holdings.iter();
        entries
            .filter(|(_, entry)| entry.holder.as_ref() == Some(host))
            .map(|(upstream, entry)| Holding {
                upstream: upstream.clone(),
                epoch: entry.epoch,
            })
            .collect()
    }

    fn silent_holders(&self, context: &Context<'_>) -> Set<name::Host> {
        let Some(snapshot) = self.snapshot.as_ref() else {
            return Set::default();
        };
        let entries = context
            .upstreams
            .iter()
            .filter(|upstream| self.is_owner(upstream, context))
            .filter_map(|upstream| snapshot.spec.holdings.get(upstream)?.holder.clone());
        entries
            .filter(|holder| !(context.is_alive)(holder) && *holder != self.own)
            .collect()
    }

    pub(crate) fn is_owner(&self, upstream: &name::Upstream, context: &Context<'_>) -> bool {
        rendezvous::first(upstream.as_str(), context.candidates) == Some(&self.own)
    }

    /// Returns the write that brings the object closer to the assignment, if one is due.
    fn next_write(&mut self, context: &Context<'_>) -> Option<Write> {
        let snapshot = self.snapshot.as_ref()?;
        let fresh = context.now < snapshot.began_at + READ_AGE_MAX;
        let started = context.now >= self.started_at + STARTUP_DELAY;
        if self.writing.is_some() || self.uncertain || !fresh || !started {
            return None;
        }
        let before = snapshot.spec.clone();
        let version = snapshot.version.clone();
        self.discard_unconfirmed();
        let mut spec = before.clone();
        self.update_roster(&mut spec, context);
        if spec.members().contains(&self.own) {
            self.update_holdings(&mut spec, context);
            let changed = spec != before;
            self.update_entries(&mut spec, changed, context);
        }
        if spec == before {
            return None;
        }
        spec.prune();
        self.writing = Some(spec.clone());
        Some(Write { spec, version })
    }

    /// Updates the newest roster to the daemons of the zone.
    fn update_roster(&mut self, spec: &mut Spec, context: &Context<'_>) {
        let stays = |host: &&name::Host| (context.is_alive)(host) || !(context.is_gone)(host);
        let present = spec.members().iter().filter(stays);
        let mut members: Vec<_> = present.chain(context.daemons).cloned().collect();
        members.sort();
        members.dedup();
        if members == spec.members() {
            self.roster_outdated_since = None;
            return;
        }
        let since = *self.roster_outdated_since.get_or_insert(context.now);
        if context.now >= since + self.rank_delay(context) {
            spec.set_members(members);
        }
    }

    /// Updates the entries of this daemon to refer to the newest roster.
    fn update_entries(&mut self, spec: &mut Spec, changed: bool, context: &Context<'_>) {
        let newest = spec.roster;
        let held = &self.held;
        let own = &self.own;
        let mut outdated: Vec<_> = spec
            .holdings
            .iter_mut()
            .filter(|(upstream, entry)| {
                entry.holder.as_ref() == Some(own)
                    && entry.roster != newest
                    && held.contains_key(*upstream)
            })
            .collect();
        if outdated.is_empty() {
            self.entries_outdated_since = None;
            return;
        }
        let since = *self.entries_outdated_since.get_or_insert(context.now);
        let rank = rendezvous::rank("roster", own, context.daemons) as u32;
        if changed || context.now >= since + RANK_DELAY * rank {
            for (_, entry) in &mut outdated {
                entry.roster = newest;
            }
        }
    }

    fn rank_delay(&self, context: &Context<'_>) -> Duration {
        RANK_DELAY * rendezvous::rank("roster", &self.own, context.daemons) as u32
    }
}
