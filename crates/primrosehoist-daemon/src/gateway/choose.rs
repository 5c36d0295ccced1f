//! Finds a place for an attempt, waiting for one if that may still serve the client.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::assign::{self, Candidate, Choice};
use primrosehoist::state::map::Set;
use primrosehoist::state::occupancy::Load;
use primrosehoist::state::partition::Partitions;
use primrosehoist::state::roster::Upstream;
use strum::Display;
use tokio::time::{Instant, sleep, timeout};

use super::context::Context;
use super::flight::Flight;
use super::job::Job;

/// How long a waiting request does not look for a place at most. Reports of other daemons and
/// the passage of time also free places.
const LOOK_EVERY: Duration = Duration::from_millis(25);

/// The longest time for which a long prompt that waited hesitates to take a place. Notices reach
/// other daemons within a tenth of it.
const HESITATION: Duration = Duration::from_millis(20);

/// How long other daemons may be silent before their counts are of no use. In the largest fleets
/// each sends a notice twice a second.
const HEARD_MAX: Duration = Duration::from_millis(1500);

/// Added to the rank of a request that missed its objective: those that can still be in time go
/// first.
const OVERDUE_RANK: u64 = 1000;

/// The part of the remaining time after which waiting ends, so that the client can still come
/// back.
const PATIENCE_SHARE: f64 = 0.5;

/// Why no place was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Refusal {
    /// All places stayed taken.
    Full,
    /// No upstream of the service can take work.
    Nowhere,
}

/// Finds a place for `job` on an upstream that is not in `excluded` and takes it. A request that
/// `resumes` its answer goes first.
///
/// # Errors
///
/// Returns why the request should not wait any longer.
pub(crate) async fn place(
    context: &Arc<Context>,
    job: &Job,
    excluded: &Set<Arc<str>>,
    resumes: bool,
) -> Result<Flight, Refusal> {
    let patience = job.remaining().mul_f64(PATIENCE_SHARE);
    // What is placed later is not read before the client leaves.
    let useful_until = job.event_by(resumes) - job.soonest();
    let until = useful_until.min(Instant::now() + patience);
    // A client that has a part of its answer soon gives up on the rest.
    let mut overdue = !resumes && Instant::now() >= job.due();
    let rank = |overdue| match (resumes, overdue) {
        (true, _) => 0,
        (false, false) => job.priority,
        (false, true) => job.priority + OVERDUE_RANK,
    };
    let mut ticket = context.waiting.enter(rank(overdue), job.due());
    let mut hesitates = false;
    loop {
        if !resumes && !overdue && Instant::now() >= job.due() {
            overdue = true;
            ticket = context.waiting.enter(rank(overdue), job.due());
        }
        let left = until.saturating_duration_since(Instant::now());
        let part = left.as_secs_f64() / patience.as_secs_f64().max(f64::MIN_POSITIVE);
        let refusal = match look(context, job, excluded, part, resumes) {
            Ok(found) if !hesitates => return Ok(found.take(context, job)),
            Ok(_found) => {
                sleep(HESITATION.mul_f64(rand::random::<f64>())).await;
                hesitates = false;
                continue;
            }
            Err(refusal) => refusal,
        };
        // A place that becomes free is seen by all daemons at once. Unless they hesitate for
        // unlike times, several would take it for prompts that should be read one by one.
        hesitates = job.is_long();
        if Instant::now() >= until {
            return Err(refusal);
        }
        // Woken or not, the request looks again.
        let _woken = timeout(LOOK_EVERY, ticket.woken()).await.is_ok();
    }
}

/// A place that was found.
struct Found {
    seats: Vec<Candidate>,
    primary: usize,
    helpers: Vec<usize>,
    tickets: Vec<u64>,
    ready_ms: f64,
}

/// Looks for a place once.
fn look(
    context: &Arc<Context>,
    job: &Job,
    excluded: &Set<Arc<str>>,
    patience: f64,
    resumes: bool,
) -> Result<Found, Refusal> {
    let cuts = context.paths.lock().partitions(Instant::now());
    let seats = seats(context, job, excluded, &cuts);
    let choice = match &job.service.engine {
        Some(engine) => assign::place(&seats, &job.need(patience, resumes), engine, &cuts),
        None => assign::least_loaded(&seats),
    };
    match choice {
        Choice::Send {
            primary,
            helpers,
            tickets,
            ready_ms,
        } => Ok(Found {
            seats,
            primary,
            helpers,
            tickets,
            ready_ms,
        }),
        Choice::Wait => Err(Refusal::Full),
        Choice::Unavailable => Err(Refusal::Nowhere),
    }
}

/// Returns the upstreams that may be chosen now.
fn seats(
    context: &Context,
    job: &Job,
    excluded: &Set<Arc<str>>,
    cuts: &Partitions,
) -> Vec<Candidate> {
    let now = Instant::now();
    let roster = context.roster.lock();
    let occupancy = context.occupancy.lock();
    let mut allowance = context.allowance.lock();
    let trust = context.trust.lock();
    let candidates = roster.candidates(&job.service.name);
    let isolated = context.is_isolated(HEARD_MAX);
    let seats = candidates.filter_map(|upstream| {
        let id = &upstream.id;
        let work = occupancy.work(id);
        let cold = roster.may_be_cold(id, now);
        let others = (!cold && !isolated).then_some(u64::from(work.recent_requests));
        if excluded.contains(id) || !allowance.may_send(id, job.service.cold_rate, others, now) {
            return None;
        }
        Some(Candidate {
            work,
            local: upstream.zone == context.settings.zone,
            unreachable: cuts.contains(&context.settings.zone, &upstream.zone),
            cold: roster.is_cold(id, now),
            failure_cost: trust.cost(id, work.running(), now)?,
            upstream: Arc::clone(upstream),
        })
    });
    let mut seats: Vec<Candidate> = seats.collect();
    // The same order on all daemons lets them pack onto the same upstreams.
    seats.sort_by(|one, other| one.upstream.id.cmp(&other.upstream.id));
    seats
}

impl Found {
    /// Takes the place.
    fn take(self, context: &Arc<Context>, job: &Job) -> Flight {
        let now = Instant::now();
        let upstream = |index: usize| -> Arc<Upstream> { Arc::clone(&self.seats[index].upstream) };
        let chosen = &self.seats[self.primary];
        log::info!(
            request = job.said.id.as_str(),
            upstream = chosen.upstream.id.as_ref(),
            helpers = self.helpers.len(),
            tickets = self.tickets.len(),
            running = chosen.work.running(),
            reading_ms = f64::from(chosen.work.prefill_ms).round(),
            ready_ms = self.ready_ms.round();
            "placed"
        );
        let helpers: Vec<_> = self.helpers.iter().map(|index| upstream(*index)).collect();
        let first = upstream(self.primary);
        let mut allowance = context.allowance.lock();
        for chosen in helpers.iter().chain([&first]) {
            allowance.record_send(&chosen.id, now);
        }
        drop(allowance);
        let (own, part) = loads(job, helpers.len(), &self.tickets);
        let mut flight = Flight::new(context, first, own, helpers, part, self.tickets);
        flight.ready = Duration::from_secs_f64(self.ready_ms / 1000.0);
        flight
    }
}

/// Returns the load on the upstream that answers, and on each of `helpers` others.
fn loads(job: &Job, helpers: usize, tickets: &[u64]) -> (Load, Load) {
    let part_ms = (job.read_ms() / (helpers as f64 + 1.0)) as f32;
    let reserved: u64 = tickets.iter().sum();
    let tokens = job
        .said
        .prompt_tokens
        .saturating_add(job.said.answer_tokens);
    let kept = tokens.saturating_sub(reserved);
    let own = Load {
        pace: Some(job.pace()),
        weight: assign::weight(job.said.prompt_tokens) as f32,
        prefill_ms: part_ms,
        memory_tokens: u32::try_from(kept).unwrap_or(u32::MAX),
    };
    let part = Load {
        pace: None,
        weight: 0.0,
        prefill_ms: part_ms,
        memory_tokens: 0,
    };
    (own, part)
}
