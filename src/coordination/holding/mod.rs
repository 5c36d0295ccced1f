//! Which daemon may send work to which upstream of a zone.
//!
//! The platform keeps one object per zone, a [`Spec`], that names the holder and the epoch of
//! each upstream. All changes are conditional writes of that object. The right to act on an entry
//! is a lease that lasts [`LEASE`] from
//!
//! - the start of a read of the object by this daemon that showed the entry; or
//! - the start of such a read by another daemon of the zone, whose age the answer carries; the
//!   asker counts the age back from when it asked, so that a slow answer shortens the lease; or
//! - when this daemon asked and a majority of the entry's roster promised.
//!
//! A daemon that takes over writes the next epoch, collects the agreement of a blocking set of the
//! entry's roster unless the platform's list of hosts no longer holds the predecessor's host,
//! waits [`LEASE`] and [`MARGIN`], and only then uses the upstream. By then each lease of the
//! predecessor has lapsed:
//!
//! - a read that showed its entry began before the write took effect;
//! - promises that were given have run out, and no majority gives new ones.
//!
//! While a write that got no answer may still take effect, the daemon does not know which roster
//! its entries have, nor whether it has given them back: it uses no promises and revives nothing.
//! Such a write is settled once the object is seen with another version than the one it replaces.
//!
//! What a lease cannot prevent is a process that is paused between its check and the send. So a
//! taker leaves room below the limit of the upstream for one request of each predecessor, see
//! [`Lease::reserve`], until the predecessor was heard after the takeover or its host is gone.
//!
//! Times are by the monotonic clock of each host; [`MARGIN`] covers different rates. A clock that
//! stops together with its host is not covered by the lease, only by the reserve.

mod decide;
mod pending;
mod place;
mod settle;
mod spec;
mod votes;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::lease::Lease;
use crate::coordination::promise::{Answer, Holding, Promise, Takeover};
use crate::state::map::{Map, Set};
use crate::state::name;

use pending::Pending;
use votes::Votes;

pub use decide::{Decision, Surroundings, Write};
pub use spec::{Entry, Previous, Spec, blocking, majority};

/// How long a lease lasts from the read or promise that it rests on.
pub const LEASE: Duration = Duration::from_secs(3);

/// What a taker waits beyond [`LEASE`].
pub const MARGIN: Duration = Duration::from_millis(500);

/// The pause between reads of the object.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The object as it was last read or written by this process.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) spec: Spec,
    /// The version to replace; absent while the object does not exist.
    version: Option<String>,
    /// When the read or write began.
    pub(crate) begun: Instant,
}

impl Known {
    /// Returns whether `host` may have the holding by what was read.
    pub(crate) fn allows(&self, holding: &Holding, host: &name::Host) -> bool {
        let entry = self.spec.holdings.get(&holding.upstream);
        entry.is_none_or(|entry| {
            let same = entry.epoch == holding.epoch && entry.holder.as_ref() == Some(host);
            entry.epoch < holding.epoch || same
        })
    }
}

/// An upstream that this process holds.
#[derive(Debug)]
struct Held {
    lease: Arc<Lease>,
    /// When the hand-over began, if it did.
    leaving_since: Option<Instant>,
}

/// What became of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The object has the new content, at this version.
    Done(String),
    /// The object had changed before; nothing was written.
    Conflict,
    /// Nothing was written.
    Unsent,
    /// The object may have the new content.
    Unknown,
}

/// The holdings of a zone as one of its daemons sees them.
#[derive(Debug)]
pub struct Holdings {
    own: name::Host,
    known: Option<Known>,
    /// The write whose answer is outstanding.
    writing: Option<Spec>,
    /// Whether a write may have taken effect since the last read.
    uncertain: bool,
    /// The last write without an answer, if it may still take effect.
    unresolved: Option<Unresolved>,
    held: Map<name::Upstream, Held>,
    pending: Map<name::Upstream, Pending>,
    /// The daemons that do not hear a holder either, by holder.
    silent: Map<name::Host, Silent>,
    /// When another daemon took an upstream from this one.
    taken_at: Map<name::Upstream, Instant>,
    /// Upstreams that are no longer held but may have requests in flight, with their epochs.
    given_back: Map<name::Upstream, u64>,
    /// The assignment that differs from the holder, and since when.
    moves: Map<name::Upstream, decide::Move>,
    /// When the roster was first seen to differ from the daemons of the zone.
    joining_since: Option<Instant>,
    /// When the zone was last asked for promises.
    asked_at: Option<Instant>,
    /// When an entry held here was first seen to have an older roster.
    refresh_since: Option<Instant>,
    started_at: Instant,
    votes: Votes,
}

/// A write that got no answer. It may take effect as long as the object has the version that it
/// replaces.
#[derive(Debug)]
struct Unresolved {
    replaces: Option<String>,
}

/// The daemons that agree that a holder is silent.
#[derive(Debug)]
struct Silent {
    asked_at: Instant,
    agreed: Set<name::Host>,
}

impl Holdings {
    /// Creates the state of a process on the host `own` that starts at `now`.
    pub fn new(own: name::Host, now: Instant) -> Self {
        Self {
            own,
            known: None,
            writing: None,
            uncertain: false,
            unresolved: None,
            held: Map::default(),
            pending: Map::default(),
            silent: Map::default(),
            taken_at: Map::default(),
            given_back: Map::default(),
            moves: Map::default(),
            joining_since: None,
            asked_at: None,
            refresh_since: None,
            started_at: now,
            votes: Votes::new(now),
        }
    }

    /// Returns the leases of the upstreams held here. Lapsed ones are among them.
    pub fn leases(&self) -> Map<name::Upstream, Arc<Lease>> {
        self.held
            .iter()
            .filter(|(_, held)| held.leaving_since.is_none())
            .map(|(upstream, held)| (upstream.clone(), Arc::clone(&held.lease)))
            .collect()
    }

    /// Returns when the last read began that was answered.
    pub fn read_at(&self) -> Option<Instant> {
        self.known.as_ref().map(|known| known.begun)
    }

    /// Records a read that began at `begun` and was answered at `now`.
    ///
    /// The version is absent if the object does not exist. A read that was overtaken by a write
    /// of this process is dropped.
    pub fn read(&mut self, spec: Spec, version: Option<String>, begun: Instant, now: Instant) {
        let known = self.known.as_ref();
        if self.writing.is_some() || known.is_some_and(|known| begun < known.begun) {
            return;
        }
        self.uncertain = false;
        self.install(spec, version, begun, now);
    }

    /// Records what became of the write that [`Holdings::decide`] asked for.
    ///
    /// It began at `begun`, and its outcome was known at `now`.
    pub fn wrote(&mut self, outcome: Written, begun: Instant, now: Instant) {
        let Some(spec) = self.writing.take() else {
            return;
        };
        match outcome {
            Written::Done(version) => self.install(spec, Some(version), begun, now),
            Written::Unknown => {
                self.uncertain = true;
                let replaces = self.known.as_ref().map(|known| known.version.clone());
                self.unresolved = replaces.map(|replaces| Unresolved { replaces });
            }
            Written::Conflict | Written::Unsent => self.drop_unconfirmed(),
        }
    }

    /// Returns whether a write of this process may still change the object that was read last.
    fn may_change(&self) -> bool {
        self.writing.is_some() || self.uncertain || self.unresolved.is_some()
    }

    fn install(&mut self, spec: Spec, version: Option<String>, begun: Instant, now: Instant) {
        self.unresolved.take_if(|write| write.replaces != version);
        self.drop_lost(&spec, now);
        let until = begun + LEASE;
        for (upstream, entry) in &spec.holdings {
            if entry.holder.as_ref() != Some(&self.own) {
                continue;
            }
            if let Some(held) = self.held.get(upstream) {
                held.lease.extend(until);
            } else if let Some(pending) = self.pending.get_mut(upstream) {
                pending.confirm(entry, now);
            }
        }
        self.known = Some(Known {
            spec,
            version,
            begun,
        });
        self.acquire_free(until, now);
        self.finish_takeovers(now);
    }

    /// Drops what the object no longer gives to this process.
    fn drop_lost(&mut self, spec: &Spec, now: Instant) {
        let own = &self.own;
        let taken_at = &mut self.taken_at;
        let given_back = &mut self.given_back;
        self.held.retain(|upstream, held| {
            let stands = spec.epoch_of(upstream, own) == Some(held.lease.epoch());
            if !stands {
                held.lease.release();
                given_back.insert(upstream.clone(), held.lease.epoch());
                if held.leaving_since.is_none() {
                    taken_at.insert(upstream.clone(), now);
                }
            }
            stands
        });
        self.pending.retain(|upstream, pending| {
            let entry = spec.holdings.get(upstream);
            entry.is_none_or(|entry| {
                let recorded = entry.holder.as_ref() == Some(own);
                entry.epoch < pending.epoch || (entry.epoch == pending.epoch && recorded)
            })
        });
    }

    /// Extends leases by what another daemon of the zone answered to [`Decision::ask`].
    ///
    /// The question was sent at `asked_at`.
    pub fn relayed(&mut self, answer: &Answer, asked_at: Instant) {
        let Some(age_ms) = answer.platform_age_ms else {
            return;
        };
        let begun = asked_at.checked_sub(Duration::from_millis(age_ms));
        let Some(until) = begun.map(|begun| begun + LEASE) else {
            return;
        };
        for Holding { upstream, epoch } in &answer.holdings {
            let Some(held) = self.held.get(upstream) else {
                continue;
            };
            if *epoch == held.lease.epoch() {
                held.lease.extend(until);
            } else if *epoch > held.lease.epoch() {
                held.lease.release();
            }
        }
    }

    /// Extends leases by the promises that `answers` hold, all to one question sent at `asked_at`.
    pub fn promised(&mut self, answers: &[(name::Host, Answer)], asked_at: Instant) {
        let Some(known) = self.known.as_ref() else {
            return;
        };
        if self.may_change() {
            return;
        }
        for (upstream, held) in &self.held {
            let Some(entry) = known.spec.holdings.get(upstream) else {
                continue;
            };
            let roster = known.spec.roster_of(entry.roster);
            let agreed = answers
                .iter()
                .filter(|(host, answer)| roster.contains(host) && answer.agreed.contains(upstream));
            let own = usize::from(roster.contains(&self.own));
            if agreed.count() + own >= majority(roster.len()) {
                held.lease.extend(asked_at + LEASE);
            }
        }
    }

    /// Answers the question of a holder for promises.
    pub fn promise(&mut self, promise: &Promise, now: Instant) -> Answer {
        let taking = |holding: &Holding| self.pending.contains_key(&holding.upstream);
        if promise.holdings.iter().any(taking) {
            return Answer::default();
        }
        self.votes.promise(promise, self.known.as_ref(), now)
    }

    /// Answers a takeover; `hears_holder` tells whether this daemon hears the old holder.
    pub fn takeover(&mut self, takeover: &Takeover, hears_holder: bool, now: Instant) -> Answer {
        if takeover.probe {
            let silent = !hears_holder && takeover.from != self.own;
            let upstreams = takeover.holdings.iter();
            let agreed = upstreams.map(|holding| holding.upstream.clone());
            return Answer {
                agreed: if silent { agreed.collect() } else { Vec::new() },
                ..Answer::default()
            };
        }
        for holding in &takeover.holdings {
            if let Some(held) = self.held.get(&holding.upstream)
                && held.lease.epoch() < holding.epoch
            {
                held.lease.release();
            }
        }
        self.votes.takeover(takeover, self.known.as_ref(), now)
    }

    /// Records what `host` answered to a takeover, its own vote included.
    pub fn agreed(
        &mut self,
        takeover: &Takeover,
        host: &name::Host,
        answer: &Answer,
        now: Instant,
    ) {
        if takeover.probe {
            if let Some(silent) = self.silent.get_mut(&takeover.from)
                && !answer.agreed.is_empty()
            {
                silent.agreed.insert(host.clone());
            }
            return;
        }
        for holding in &takeover.holdings {
            if let Some(pending) = self.pending.get_mut(&holding.upstream)
                && pending.epoch == holding.epoch
                && answer.agreed.contains(&holding.upstream)
            {
                pending.agreed.insert(host.clone());
            }
        }
        self.finish_takeovers(now);
    }
}
