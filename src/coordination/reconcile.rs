//! Comparison of what an engine lists with what its holder knows.
//!
//! A holder that takes an engine over finds streams, reservations and exports of its predecessors
//! there. All of them count against the limit and the memory. Those that nobody can come back for
//! are ended, after the time for which a stream can be resumed. A plan is a pure function, and is
//! made anew from each list: an action that failed or was lost follows again from the next list.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::coordination::admission::Foreign;
use crate::state::map::Map;

/// For how long work without an owner is left for a daemon that may come back for it.
pub const GRACE: Duration = Duration::from_secs(10);

/// What an engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Listing {
    /// The requests that wait or run.
    pub streams: Vec<Stream>,
    /// Memory that is reserved for requests.
    pub reservations: Vec<Claim>,
    /// Memory that is kept for another engine to fetch.
    pub exports: Vec<Claim>,
}

/// A request at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Stream {
    /// The attempt.
    pub id: String,
    /// The host name of the daemon that sent it.
    pub holder: String,
    /// The fencing number that it was sent with.
    pub epoch: u64,
    /// The part of the prompt that the engine processes, in tokens.
    pub prompt_tokens: u64,
    /// The tokens answered so far.
    pub tokens_out: u64,
    /// Whether a connection reads the answer.
    pub connected: bool,
}

/// Memory that is owned outside of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Claim {
    /// The attempt of a reservation, or the handle of an export.
    pub id: String,
    /// The host name of the daemon that made it.
    pub holder: String,
    /// The fencing number that it was made with.
    pub epoch: u64,
    /// The size in tokens.
    pub tokens: u64,
}

/// What the holder knows when it compares.
pub struct Knowledge<'a> {
    /// The fencing number of the holding.
    pub epoch: u64,
    /// Tells whether this process has the attempt in its charge.
    pub is_own: &'a dyn Fn(&str) -> bool,
    /// Tells whether a daemon with this host name may still have work of an earlier holding.
    pub may_act: &'a dyn Fn(&str) -> bool,
    /// The time of the list.
    pub now: Instant,
}

impl std::fmt::Debug for Knowledge<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Knowledge")
            .field("epoch", &self.epoch)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

/// One thing that an engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Thing {
    /// A stream, by its attempt.
    Stream(String),
    /// A reservation, by its attempt.
    Reservation(String),
    /// An export, by its handle.
    Export(String),
}

/// Since when things were listed without an owner or reader.
pub type Abandoned = Map<Thing, Instant>;

/// What follows from a list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// What counts against the limit and the memory without being in the holder's charge.
    pub foreign: Foreign,
    /// What is to be ended now.
    pub end: Vec<Thing>,
    /// What the next plan starts from.
    pub abandoned: Abandoned,
}

impl Plan {
    /// Returns whether anything was listed that is not in the holder's charge.
    pub fn finds_foreign(&self) -> bool {
        self.foreign != Foreign::default()
    }
}

/// Decides what counts as foreign and what of it is ended, from a list and the plan before.
///
/// A list with a fencing number above the holder's own shows that there is a successor. It alone
/// ends anything then, so an old holder never frees what a newer one owns. A stream that is read
/// has an owner, whoever that is.
pub fn plan(listing: &Listing, knowledge: &Knowledge<'_>, abandoned: &Abandoned) -> Plan {
    let mut plan = Plan::default();
    let superseded = is_superseded(listing, knowledge.epoch);
    let foreign = |id: &str| !(knowledge.is_own)(id);
    for stream in listing.streams.iter().filter(|s| foreign(&s.id)) {
        plan.foreign.requests += 1;
        plan.foreign.memory_tokens += stream.prompt_tokens + stream.tokens_out;
        if superseded || stream.connected {
            continue;
        }
        // Nobody resumes an answer that it has no part of; its daemon begins a new attempt.
        let resumable = stream.tokens_out > 0 || (knowledge.may_act)(&stream.holder);
        let grace = if resumable { GRACE } else { Duration::ZERO };
        plan.abandon(
            Thing::Stream(stream.id.clone()),
            grace,
            knowledge,
            abandoned,
        );
    }
    let reservations = listing.reservations.iter();
    let reservations = reservations.map(|c| (c, Thing::Reservation(c.id.clone())));
    let exports = listing.exports.iter();
    let exports = exports.map(|c| (c, Thing::Export(c.id.clone())));
    for (claim, thing) in reservations.chain(exports) {
        if !foreign(&claim.id) {
            continue;
        }
        plan.foreign.memory_tokens += claim.tokens;
        if !superseded && !(knowledge.may_act)(&claim.holder) {
            plan.abandon(thing, GRACE, knowledge, abandoned);
        }
    }
    plan
}

impl Plan {
    fn abandon(
        &mut self,
        thing: Thing,
        grace: Duration,
        knowledge: &Knowledge<'_>,
        abandoned: &Abandoned,
    ) {
        let since = abandoned.get(&thing).copied().unwrap_or(knowledge.now);
        if knowledge.now.saturating_duration_since(since) >= grace {
            self.end.push(thing.clone());
        }
        self.abandoned.insert(thing, since);
    }
}

fn is_superseded(listing: &Listing, epoch: u64) -> bool {
    let claims = listing.reservations.iter().chain(&listing.exports);
    let mut epochs = listing
        .streams
        .iter()
        .map(|stream| stream.epoch)
        .chain(claims.map(|claim| claim.epoch));
    epochs.any(|listed| listed > epoch)
}
