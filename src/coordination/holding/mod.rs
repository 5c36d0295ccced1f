//! Ownership of a zone's upstreams: which daemon may send work to which upstream.
//!
//! The platform stores one object per zone, a [`Spec`], that records the holder and the epoch of
//! each upstream. All changes are conditional writes of that object. The right to act on an entry
//! is a lease that lasts [`LEASE_DURATION`] from
//!
//! - the start of a read of the object by this daemon that returned the entry; or
//! - the start of such a read by another daemon of the zone, whose age is part of the answer; the
//!   requester subtracts the age from the time of its request, so a slow answer shortens the
//!   lease; or
//! - the time at which this daemon asked for promises that a majority of the entry's roster gave.
//!
//! A daemon that takes over an upstream writes the next epoch, collects the agreement of a blocking
//! set of the entry's roster unless the predecessor's host is no longer in the platform's list of
//! hosts, waits for [`LEASE_DURATION`] plus [`CLOCK_MARGIN`], and only then uses the upstream. By
//! then every lease of the predecessor has expired:
//!
//! - any read that returned its entry began before the write took effect;
//! - promises already given have expired, and no majority gives new ones.
//!
//! While an unanswered write may still take effect, the daemon knows neither which roster its
//! entries refer to nor whether it has released them, so it uses no promises and cancels no stuck
//! handover. Such a write is resolved once the object is seen with a version other than the one
//! the write replaces.
//!
//! A lease cannot stop a process that is paused between its check and the send. The new holder
//! therefore reserves capacity below the upstream's limit for one request of each predecessor, see
//! [`Lease::reserve`], until a heartbeat of the predecessor arrives after the takeover or its host
//! is gone.
//!
//! Times are taken from the monotonic clock of each host; [`CLOCK_MARGIN`] covers different clock
//! rates. A clock that stops together with its host is covered by the reserve only, not by the
//! lease.

mod decide;
mod pending;
mod place;
mod reserve;
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

pub use decide::{Context, Decision, Write};
pub use spec::{Entry, Predecessor, Spec, blocking, majority};

/// How long a lease lasts after the start of the read or the request for promises that extends it.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);

/// How long a new holder waits in addition to [`LEASE_DURATION`], to cover different clock rates.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(500);

/// The interval between reads of the object.
pub const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The object as last read or written by this process.
#[derive(Debug, Clone)]
pub(crate) struct Snapshot {
    pub(crate) spec: Spec,
    /// The version to replace; absent while the object does not exist.
    version: Option<String>,
    /// When the read or write began.
    pub(crate) began_at: Instant,
}

impl Snapshot {
    /// Returns whether `host` may own the holding according to this snapshot.
    pub(crate) fn allows(&self, holding: &Holding, host: &name::Host) -> bool {
        let entry = self.spec.holdings.get(&holding.upstream);
        entry.is_none_or(|entry| {
            let same = entry.epoch == holding.epoch && entry.holder.as_ref() == Some(host);
            entry.epoch < holding.epoch || same
        })
    }
}

/// An upstream held by this process.
#[derive(Debug)]
struct Held {
    lease: Arc<Lease>,
    /// When the handover began, if one is in progress.
    handover_since: Option<Instant>,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The object has the new content and this version.
    Done(String),
    /// The object had already changed; nothing was written.
    Conflict,
    /// Nothing was written.
    Unsent,
    /// The write may or may not have taken effect.
    Unknown,
}

/// The holdings of a zone from the point of view of one daemon.
#[derive(Debug)]
pub struct Holdings {
    own: name::Host,
    snapshot: Option<Snapshot>,
    /// The write in progress.
    writing: Option<Spec>,
    /// Whether a write may have taken effect since the last read.
    uncertain: bool,
    /// The last unanswered write, if it may still take effect.
    unresolved: Option<Unresolved>,
    held: Map<name::Upstream, Held>,
    pending: Map<name::Upstream, Pending>,
    /// Probes of holders from which this daemon receives no heartbeats.
    probes: Map<name::Host, Probe>,
    /// When another daemon took an upstream from this one.
    lost_at: Map<name::Upstream, Instant>,
    /// Upstreams that are no longer held but may have requests in flight, with the epochs held.
    former: Map<name::Upstream, u64>,
    /// Planned moves of upstreams whose assignment differs from the holder.
    moves: Map<name::Upstream, decide::PlannedMove>,
    /// When the roster was first seen to differ from the daemons that are alive.
    roster_outdated_since: Option<Instant>,
    /// When the zone was last asked for promises.
    asked_at: Option<Instant>,
    /// When an entry held by this daemon was first seen to refer to an older roster.
    entries_outdated_since: Option<Instant>,
    started_at: Instant,
    votes: Votes,
}

/// An unanswered write. It may take effect as long as the object has the version that it replaces.
#[derive(Debug)]
struct Unresolved {
    replaces: Option<String>,
}

/// A query to the other daemons whether they receive heartbeats from a silent holder.
#[derive(Debug)]
struct Probe {
    asked_at: Instant,
    agreed: Set<name::Host>,
}

impl Holdings {
    /// Creates the state for a process that starts at `now` on the host `own`.
    pub fn new(own: name::Host, now: Instant) -> Self {
        Self {
            own,
            snapshot: None,
            writing: None,
            uncertain: false,
            unresolved: None,
            held: Map::default(),
            pending: Map::default(),
            probes: Map::default(),
            lost_at: Map::default(),
            former: Map::default(),
            moves: Map::default(),
            roster_outdated_since: None,
            asked_at: None,
            entries_outdated_since: None,
            started_at: now,
            votes: Votes::new(now),
        }
    }

    /// Returns the leases of the upstreams held by this process, including expired ones.
    pub fn leases(&self) -> Map<name::Upstream, Arc<Lease>> {
        self.held
            .iter()
            .filter(|(_, held)| held.handover_since.is_none())
            .map(|(upstream, held)| (upstream.clone(), Arc::clone(&held.lease)))
            .collect()
    }

    /// Returns when the last successful read or write began.
    pub fn last_read_at(&self) -> Option<Instant> {
        self.snapshot.as_ref().map(|snapshot| snapshot.began_at)
    }

    /// Records a read that began at `began_at` and completed at `now`.
    ///
    /// `version` is `None` if the object does not exist. The read is ignored if a write is in
    /// progress, or if it began before the most recently recorded read or write.
    pub fn record_read(
        &mut self,
        spec: Spec,
        version: Option<String>,
        began_at: Instant,
        now: Instant,
    ) {
        let snapshot = self.snapshot.as_ref();
        if self.writing.is_some() || snapshot.is_some_and(|snapshot| began_at < snapshot.began_at) {
            return;
        }
        self.uncertain = false;
        self.install(spec, version, began_at, now);
    }

    /// Records the outcome of the write returned by [`Holdings::decide`].
    ///
    /// The write began at `began_at` and its outcome was known at `now`.
    pub fn record_write(&mut self, outcome: Written, began_at: Instant, now: Instant) {
        let Some(spec) = self.writing.take() else {
            return;
        };
        match outcome {
            Written::Done(version) => self.install(spec, Some(version), began_at, now),
            Written::Unknown => {
                self.uncertain = true;
                let replaces = self
                    .snapshot
                    .as_ref()
                    .map(|snapshot| snapshot.version.clone());
                self.unresolved = replaces.map(|replaces| Unresolved { replaces });
            }
            Written::Conflict | Written::Unsent => self.discard_unconfirmed(),
        }
    }

    /// Returns whether a write of this process may still change the object that was last read.
    fn has_pending_write(&self) -> bool {
        self.writing.is_some() || self.uncertain || self.unresolved.is_some()
    }

    fn install(&mut self, spec: Spec, version: Option<String>, began_at: Instant, now: Instant) {
        self.unresolved.take_if(|write| write.replaces != version);
        self.discard_lost(&spec, now);
        let until = began_at + LEASE_DURATION;
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
        self.snapshot = Some(Snapshot {
            spec,
            version,
            began_at,
        });
        self.acquire_free(until, now);
        self.finish_takeovers(now);
    }

    /// Drops the holdings that the object no longer assigns to this process.
    fn discard_lost(&mut self, spec: &Spec, now: Instant) {
        let own = &self.own;
        let lost_at = &mut self.lost_at;
        let former = &mut self.former;
        self.held.retain(|upstream, held| {
            let still_held = spec.epoch_of(upstream, own) == Some(held.lease.epoch());
            if !still_held {
                held.lease.release();
                former.insert(upstream.clone(), held.lease.epoch());
                if held.handover_since.is_none() {
                    lost_at.insert(upstream.clone(), now);
                }
            }
            still_held
        });
        self.pending.retain(|upstream, pending| {
            let entry = spec.holdings.get(upstream);
            entry.is_none_or(|entry| {
                let recorded = entry.holder.as_ref() == Some(own);
                entry.epoch < pending.epoch || (entry.epoch == pending.epoch && recorded)
            })
        });
    }

    /// Extends leases according to another daemon's answer to [`Decision::promise`].
    ///
    /// The request was sent at `asked_at`.
    pub fn extend_by_relay(&mut self, answer: &Answer, asked_at: Instant) {
        let Some(age_ms) = answer.platform_age_ms else {
            return;
        };
        let began_at = asked_at.checked_sub(Duration::from_millis(age_ms));
        let Some(until) = began_at.map(|began_at| began_at + LEASE_DURATION) else {
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

    /// Extends leases according to the promises in `answers`, all to one request sent at
    /// `asked_at`.
    pub fn extend_by_promises(&mut self, answers: &[(name::Host, Answer)], asked_at: Instant) {
        let Some(snapshot) = self.snapshot.as_ref() else {
            return;
        };
        if self.has_pending_write() {
            return;
        }
        for (upstream, held) in &self.held {
            let Some(entry) = snapshot.spec.holdings.get(upstream) else {
                continue;
            };
            let roster = snapshot.spec.roster_of(entry.roster);
            let agreed = answers
                .iter()
                .filter(|(host, answer)| roster.contains(host) && answer.agreed.contains(upstream));
            let own = usize::from(roster.contains(&self.own));
            if agreed.count() + own >= majority(roster.len()) {
                held.lease.extend(asked_at + LEASE_DURATION);
            }
        }
    }

    /// Answers a holder's request for promises.
    pub fn handle_promise(&mut self, promise: &Promise, now: Instant) -> Answer {
        let is_pending = |holding: &Holding| self.pending.contains_key(&holding.upstream);
        if promise.holdings.iter().any(is_pending) {
            return Answer::default();
        }
        self.votes
            .handle_promise(promise, self.snapshot.as_ref(), now)
    }

    /// Answers a takeover; `holder_is_alive` states whether this daemon receives heartbeats from
    /// the former holder.
    pub fn handle_takeover(
        &mut self,
        takeover: &Takeover,
        holder_is_alive: bool,
        now: Instant,
    ) -> Answer {
        if takeover.probe {
            let silent = !holder_is_alive && takeover.from != self.own;
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
        self.votes
            .handle_takeover(takeover, self.snapshot.as_ref(), now)
    }

    /// Records the answer of `host`, which may be this daemon itself, to a takeover.
    pub fn record_agreement(
        &mut self,
        takeover: &Takeover,
        host: &name::Host,
        answer: &Answer,
        now: Instant,
    ) {
        if takeover.probe {
            if let Some(probe) = self.probes.get_mut(&takeover.from)
                && !answer.agreed.is_empty()
            {
                probe.agreed.insert(host.clone());
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
