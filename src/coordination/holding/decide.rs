//! What a daemon does next about the holdings of its zone.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::holding::{Holdings, LEASE, READ_INTERVAL, Silent, Spec};
use crate::coordination::promise::{Holding, Promise, Takeover};
use crate::coordination::rendezvous;
use crate::state::map::Set;
use crate::state::name;

/// A read older than this is no ground for a write.
const READ_AGE_MAX: Duration = Duration::from_secs(2);

/// From when after its start a process takes part. Until then it learns who else is there.
const START_PAUSE: Duration = Duration::from_millis(1500);

/// How much longer each further daemon of the ranking waits before it writes the roster.
const RANK_PAUSE: Duration = Duration::from_millis(500);

/// The pause between two questions for promises.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// How long daemons that agreed on a holder's silence are counted.
const SILENT_AGE_MAX: Duration = Duration::from_secs(2);

/// An assignment that differs from the present holder.
#[derive(Debug)]
pub(crate) struct Move {
    pub(crate) to: name::Host,
    pub(crate) since: Instant,
}

/// What a decision depends on besides the holdings.
pub struct Surroundings<'a> {
    /// The time of the decision.
    pub now: Instant,
    /// The upstreams of the zone by the configuration in force.
    pub upstreams: &'a [name::Upstream],
    /// The daemons of the zone that are alive, this one included.
    pub daemons: &'a [name::Host],
    /// Those of them that may hold upstreams.
    pub candidates: &'a [name::Host],
    /// Whether this daemon shuts down.
    pub draining: bool,
    /// Whether a daemon is heard.
    pub is_alive: &'a dyn Fn(&name::Host) -> bool,
    /// Whether the platform's list of hosts no longer holds a host.
    pub is_gone: &'a dyn Fn(&name::Host) -> bool,
    /// Whether an earlier holder has no more requests at an upstream by the epoch it had.
    pub is_settled: &'a dyn Fn(&name::Host, &name::Upstream, u64) -> bool,
    /// The requests of this daemon at an upstream.
    pub in_flight: &'a dyn Fn(&name::Upstream) -> u32,
}

impl std::fmt::Debug for Surroundings<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Surroundings")
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
    /// The version to replace; the object is created if absent.
    pub version: Option<String>,
}

/// What to do next. Each part is independent of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Decision {
    /// The write to perform; its outcome goes to [`Holdings::wrote`].
    pub write: Option<Write>,
    /// To send to the other daemons of the zone; answers go to [`Holdings::agreed`].
    pub takeovers: Vec<Takeover>,
    /// To send to the other daemons of the zone; answers go to [`Holdings::relayed`] and
    /// [`Holdings::promised`].
    pub ask: Option<Promise>,
}

impl Holdings {
    /// Decides what to do at [`Surroundings::now`].
    pub fn decide(&mut self, around: &Surroundings<'_>) -> Decision {
        self.revive(around.now);
        self.settle(around);
        self.finish_takeovers(around.now);
        let takeovers = self.recorded_takeovers(around.now);
        for takeover in &takeovers {
            let own = self.own.clone();
            let answer = self.takeover(takeover, false, around.now);
            self.agreed(takeover, &own, &answer, around.now);
        }
        let probes = self.probes(around);
        Decision {
            write: self.draft(around),
            takeovers: takeovers.into_iter().chain(probes).collect(),
            ask: self.ask(around.now),
        }
    }

    /// Asks the zone for help when this daemon cannot read the platform itself.
    fn ask(&mut self, now: Instant) -> Option<Promise> {
        let read_at = self.read_at()?;
        let asked_lately = self.asked_at.is_some_and(|at| now < at + ASK_INTERVAL);
        if now < read_at + READ_INTERVAL + READ_INTERVAL / 2 || asked_lately {
            return None;
        }
        self.asked_at = Some(now);
        let held = self.held.iter();
        let holdings: Vec<Holding> = held
            .filter(|(_, held)| held.leaving_since.is_none())
            .map(|(upstream, held)| Holding {
                upstream: upstream.clone(),
                epoch: held.lease.epoch(),
            })
            .collect();
        (!holdings.is_empty()).then(|| Promise {
            holder: self.own.clone(),
            duration_ms: LEASE.as_millis() as u64,
            holdings,
        })
    }

    /// Returns the takeovers that still need agreement.
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

    /// Asks whether others hear the silent holders of upstreams that fall to this daemon.
    fn probes(&mut self, around: &Surroundings<'_>) -> Vec<Takeover> {
        let silent = self.silent_holders(around);
        self.silent.retain(|host, _| silent.contains(host));
        let now = around.now;
        let due = |state: Option<&Silent>| {
            state.is_none_or(|state| now >= state.asked_at + SILENT_AGE_MAX)
        };
        let due: Vec<_> = silent
            .into_iter()
            .filter(|host| due(self.silent.get(host)))
            .collect();
        due.into_iter()
            .map(|from| {
                let state = Silent {
                    asked_at: now,
                    agreed: [self.own.clone()].into_iter().collect(),
                };
                self.silent.insert(from.clone(), state);
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
        let Some(known) = self.known.as_ref() else {
            return Vec::new();
        };
        let entries = known.spec.holdings.iter();
        entries
            .filter(|(_, entry)| entry.holder.as_ref() == Some(host))
            .map(|(upstream, entry)| Holding {
                upstream: upstream.clone(),
                epoch: entry.epoch,
            })
            .collect()
    }

    fn silent_holders(&self, around: &Surroundings<'_>) -> Set<name::Host> {
        let Some(known) = self.known.as_ref() else {
            return Set::default();
        };
        let entries = around
            .upstreams
            .iter()
            .filter(|upstream| self.is_owner(upstream, around))
            .filter_map(|upstream| known.spec.holdings.get(upstream)?.holder.clone());
        entries
            .filter(|holder| !(around.is_alive)(holder) && *holder != self.own)
            .collect()
    }

    pub(crate) fn is_owner(&self, upstream: &name::Upstream, around: &Surroundings<'_>) -> bool {
        rendezvous::first(upstream.as_str(), around.candidates) == Some(&self.own)
    }

    /// Drafts the write that brings the object nearer to the assignment, if one is due.
    fn draft(&mut self, around: &Surroundings<'_>) -> Option<Write> {
        let known = self.known.as_ref()?;
        let fresh = around.now < known.begun + READ_AGE_MAX;
        let started = around.now >= self.started_at + START_PAUSE;
        if self.writing.is_some() || self.uncertain || !fresh || !started {
            return None;
        }
        let before = known.spec.clone();
        let version = known.version.clone();
        self.drop_unconfirmed();
        let mut spec = before.clone();
        self.join(&mut spec, around);
        if spec.members().contains(&self.own) {
            self.place_all(&mut spec, around);
            let changed = spec != before;
            self.refresh(&mut spec, changed, around);
        }
        if spec == before {
            return None;
        }
        spec.prune();
        self.writing = Some(spec.clone());
        Some(Write { spec, version })
    }

    /// Makes the roster list the daemons of the zone.
    fn join(&mut self, spec: &mut Spec, around: &Surroundings<'_>) {
        let stays = |host: &&name::Host| (around.is_alive)(host) || !(around.is_gone)(host);
        let present = spec.members().iter().filter(stays);
        let mut members: Vec<_> = present.chain(around.daemons).cloned().collect();
        members.sort();
        members.dedup();
        if members == spec.members() {
            self.joining_since = None;
            return;
        }
        let since = *self.joining_since.get_or_insert(around.now);
        if around.now >= since + self.rank_pause(around) {
            spec.set_members(members);
        }
    }

    /// Lets the entries of this daemon refer to the newest roster.
    fn refresh(&mut self, spec: &mut Spec, changed: bool, around: &Surroundings<'_>) {
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
            self.refresh_since = None;
            return;
        }
        let since = *self.refresh_since.get_or_insert(around.now);
        let rank = rendezvous::rank("roster", own, around.daemons) as u32;
        if changed || around.now >= since + RANK_PAUSE * rank {
            for (_, entry) in &mut outdated {
                entry.roster = newest;
            }
        }
    }

    fn rank_pause(&self, around: &Surroundings<'_>) -> Duration {
        RANK_PAUSE * rendezvous::rank("roster", &self.own, around.daemons) as u32
    }
}
