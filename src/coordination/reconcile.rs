//! Reconciles the resources that an engine lists with those that its holder knows.
//!
//! A daemon that takes over an engine finds streams, reservations and exports of previous holders
//! there. All of them count against the concurrency limit and the memory. Those that no daemon can
//! resume are released after the time for which streams are resumable. [`plan`] is a pure function
//! of each listing, so an action that failed or was lost is planned again from the next one.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::coordination::admission::Foreign;
use crate::state::map::Map;

/// How long a resource without an owner is kept for a daemon that may still resume it.
pub const RECLAIM_GRACE: Duration = Duration::from_secs(10);

/// The resources that an engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
pub struct Listing {
    /// Queued and running requests.
    pub streams: Vec<Stream>,
    /// Memory that is reserved for requests.
    pub reservations: Vec<Allocation>,
    /// Memory that is kept until another engine fetches it.
    pub exports: Vec<Allocation>,
}

/// A request on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Stream {
    /// The id of the attempt.
    pub id: String,
    /// The host name of the daemon that sent it.
    pub holder: String,
    /// The fencing token that it was sent with.
    pub epoch: u64,
    /// The tokens of the prompt that this engine prefills.
    pub prompt_tokens: u64,
    /// The answer tokens generated so far.
    pub tokens_out: u64,
    /// Whether a connection is reading the answer.
    pub connected: bool,
}

/// Memory that is not part of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Allocation {
    /// The attempt id of a reservation, or the handle of an export.
    pub id: String,
    /// The host name of the daemon that created it.
    pub holder: String,
    /// The fencing token that it was created with.
    pub epoch: u64,
    /// The size in tokens.
    pub tokens: u64,
}

/// The state of the holder when it reconciles.
pub struct Context<'a> {
    /// The fencing token of the holder.
    pub epoch: u64,
    /// Returns whether this process runs the attempt with this id.
    pub is_own: &'a dyn Fn(&str) -> bool,
    /// Returns whether the daemon with this host name may still run requests that it sent as an
    /// earlier holder.
    pub may_act: &'a dyn Fn(&str) -> bool,
    /// The time of the listing.
    pub now: Instant,
}

impl std::fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context")
            .field("epoch", &self.epoch)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

/// A resource that an engine lists.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Resource {
    /// A stream, by attempt id.
    Stream(String),
    /// A reservation, by attempt id.
    Reservation(String),
    /// An export, by handle.
    Export(String),
}

/// Resources without an owner or reader, with the time when they were first seen without one.
pub type Abandoned = Map<Resource, Instant>;

/// The result of a reconciliation.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// The usage that counts against the limit and the memory but does not belong to this process.
    pub foreign: Foreign,
    /// The resources to release now.
    pub reclaim: Vec<Resource>,
    /// The input for the next plan.
    pub abandoned: Abandoned,
}

impl Plan {
    /// Returns whether the engine listed anything that does not belong to this process.
    pub fn has_foreign(&self) -> bool {
        self.foreign != Foreign::default()
    }
}

/// Computes the foreign usage and the resources to release from a listing and the abandoned
/// resources of the previous plan.
///
/// A fencing token in the listing above the holder's own means that there is a newer holder. Then
/// nothing is released, so that an outdated holder never frees the resources of its successor. A
/// connected stream always counts as owned.
pub fn plan(listing: &Listing, context: &Context<'_>, abandoned: &Abandoned) -> Plan {
    let mut plan = Plan::default();
    let superseded = is_superseded(listing, context.epoch);
    let foreign = |id: &str| !(context.is_own)(id);
    for stream in listing.streams.iter().filter(|s| foreign(&s.id)) {
        plan.foreign.requests = plan.foreign.requests.saturating_add(1);
        plan.add_memory(stream.prompt_tokens);
        plan.add_memory(stream.tokens_out);
        if superseded || stream.connected {
            continue;
        }
        // A stream without output is never resumed: its daemon starts a new attempt instead.
        let resumable = stream.tokens_out > 0 || (context.may_act)(&stream.holder);
        let grace = if resumable {
            RECLAIM_GRACE
        } else {
            Duration::ZERO
        };
        plan.abandon(
            Resource::Stream(stream.id.clone()),
            grace,
            context,
            abandoned,
        );
    }
    let reservations = listing.reservations.iter();
    let reservations = reservations.map(|c| (c, Resource::Reservation(c.id.clone())));
    let exports = listing.exports.iter();
    let exports = exports.map(|c| (c, Resource::Export(c.id.clone())));
    for (allocation, resource) in reservations.chain(exports) {
        if !foreign(&allocation.id) {
            continue;
        }
        plan.add_memory(allocation.tokens);
        if !superseded && !(context.may_act)(&allocation.holder) {
            plan.abandon(resource, RECLAIM_GRACE, context, abandoned);
        }
    }
    plan
}

impl Plan {
    fn add_memory(&mut self, tokens: u64) {
        let memory_tokens = &mut self.foreign.memory_tokens;
        *memory_tokens = memory_tokens.saturating_add(tokens);
    }

    fn abandon(
        &mut self,
        resource: Resource,
        grace: Duration,
        context: &Context<'_>,
        abandoned: &Abandoned,
    ) {
        let since = abandoned.get(&resource).copied().unwrap_or(context.now);
        if context.now.saturating_duration_since(since) >= grace {
            self.reclaim.push(resource.clone());
        }
        self.abandoned.insert(resource, since);
    }
}

fn is_superseded(listing: &Listing, epoch: u64) -> bool {
    let allocations = listing.reservations.iter().chain(&listing.exports);
    let mut epochs = listing
        .streams
        .iter()
        .map(|stream| stream.epoch)
        .chain(allocations.map(|allocation| allocation.epoch));
    epochs.any(|listed| listed > epoch)
}
