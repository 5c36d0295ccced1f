//! Chooses the upstreams that run a request.
//!
//! Engines prefill prompts and decode answers in the same forward passes, so prefilling a long
//! prompt delays every answer that the same engine decodes. Placement compares the gain of the new
//! request with the loss of the requests that already run there: a request that is expected to miss
//! its latency objective loses a fraction of its weight. If the others lose more than the request
//! gains, it waits.
//!
//! Latency-sensitive requests, which tolerate only short pauses between events, are packed onto as
//! few engines as can hold them. These engines are protected. The others prefill long prompts, each
//! split across several engines where that pays off. The protected set adapts to the request mix
//! within the duration of a short answer.
//!
//! The target workload mixes many short prompts that have strict pause limits with a few long
//! prompts. Either kind may dominate the work for seconds at a time.

pub mod crowd;
pub mod explain;
mod scarcity;
pub mod spread;

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rustc_hash::FxHasher;
use strum::Display;

use crate::state::engine::Engine;
use crate::state::occupancy::{LatencyClass, Work};
use crate::state::partition::Partitions;
use crate::state::roster::Upstream;

pub use scarcity::{Overload, Usage, overload};
use scarcity::{above, is_free, protected};

/// The fraction of a request's weight that is lost if it misses its objective. The operators value
/// a late answer at about a quarter of one in time.
const LATE_LOSS: f64 = 0.75;

/// The longest pauses that decoding requests tolerate, in milliseconds, by [`LatencyClass`]:
/// the bounds between the classes, less one pass of an engine without prefill.
const PAUSE_LIMITS_MS: [f64; 3] = [190.0, 480.0, 780.0];

/// The fraction of the time to the objective beyond which a request counts as at risk.
const AT_RISK: f64 = 0.85;

/// The cost of placing a request on an engine that serves the other class: a latency-sensitive one
/// on an unprotected engine, or any other on a protected one.
const CLASS_MISMATCH_COST: f64 = 0.4;

/// The factor on the loss of requests that decode on a protected engine, since the requests placed
/// there next would lose as well.
const PROTECTED_FACTOR: f64 = 2.0;

/// The cost of each request that already runs on the engine of a new one.
const COLOCATION_COST: f64 = 0.002;

/// The largest cost difference that the hash of a request makes between candidates. It keeps
/// daemons that do not yet know of each other's newest requests from choosing the same one of
/// several nearly equal candidates.
const TIE_BREAK_COST_MAX: f64 = 0.006;

/// The cost of an upstream in another availability zone, for traffic and latency.
const CROSS_ZONE_COST: f64 = 0.01;

/// The cost of an upstream that is probably unreachable: it is tried only if there is no other.
const UNREACHABLE_COST: f64 = 10.0;

/// The cost of an upstream that is slow because it has just started.
const COLD_COST: f64 = 0.5;

/// The cost of an upstream that names a limit on requests. It is about the loss of a short prompt that
/// is late, so that short prompts leave the permits to long ones, which put more work into each.
const LIMITED_COST: f64 = 0.5;

/// The cost of each second until the next permit of an upstream that names a limit.
const PERMIT_WAIT_COST_PER_S: f64 = 1.0;

/// The cost of each additional upstream that prefills a part of a prompt.
const HELPER_COST: f64 = 0.02;

/// The passes that a prompt waits for in addition to its prefill: it joins the next one, which
/// starts half a pass later on average.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;

/// The shortest prefill that is worth splitting, in milliseconds.
const SPLIT_MIN_MS: f64 = 60.0;

/// The prefill time from which a prompt counts as long, in milliseconds. Long prompts are prefilled
/// one at a time: running two at once finishes neither earlier, and since engines process parts for
/// other engines before their own prompts, the first one could starve.
pub const LONG_PREFILL_MS: f64 = 100.0;

/// The cost of each second until a prompt is prefilled, as a fraction of the request's weight. It
/// splits prompts across as many engines as possible without harm to other requests.
const WAIT_COST_PER_S: f64 = 0.1;

/// The value to other requests of a second of prefill on all engines that are free for it, when few
/// are free. It is about what prompts of usual length are worth.
const PREFILL_VALUE_PER_S: f64 = 5.0;

/// The fraction of the engines for long prompts that may be busy before prefill capacity counts as
/// scarce.
const SCARCITY_THRESHOLD: f64 = 0.4;

/// The largest number of upstreams that a prompt is split across. The protocol allows one more.
const PARTS_MAX: usize = 16;

/// The fraction of an engine's memory that the planner fills. The rest is headroom for answers that
/// are longer than estimated.
const MEMORY_UTILIZATION: f64 = 0.95;

/// An upstream that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The requests that run there.
    pub work: Work,
    /// Whether it is in the daemon's availability zone.
    pub local: bool,
    /// Whether it has just started.
    pub cold: bool,
    /// The cost of its recent failures.
    pub failure_cost: f64,
    /// The expected time until the next permit, in milliseconds, if it is avoided because it names a limit
    /// on requests.
    pub permit_wait_ms: Option<f64>,
    /// Whether a network partition seems to separate its availability zone from the daemon's.
    pub unreachable: bool,
}

/// The demands of a request that placement depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Expected answer tokens.
    pub answer_tokens: u64,
    /// The longest pauses that the request tolerates while its answer is decoded.
    pub latency_class: LatencyClass,
    /// The value of the request, part of which is lost if it is late.
    pub weight: f64,
    /// The time from the arrival of the request until its first event misses its objective, in milliseconds.
    pub objective_ms: f64,
    /// What is left of that, in milliseconds.
    pub objective_in_ms: f64,
    /// The time left until the client gives up on the first event, in milliseconds.
    pub abandoned_in_ms: f64,
    /// The fraction of the allowed waiting time that is left, from 1 to 0.
    pub wait_left: f64,
    /// Whether it was sent before or resumes a response. Its client does not come again for what it would be
    /// refused now, so it pays no price for a slot.
    pub is_begun: bool,
    /// How far the workspace of the request is over its fair share, from 0 (within it) to 1.
    pub over_share: f64,
    /// The multiple of the share of requests refused on arrival that applies to it. Its mean over all requests
    /// is 1.
    pub refusal_factor: f64,
    /// A number that differs between requests, to spread them over nearly equal candidates.
    pub salt: u64,
}

/// The placement decision for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it to the primary candidate, with parts of its prompt to the helpers.
    Send {
        /// The index of the candidate that answers.
        primary: usize,
        /// The indices of the candidates that prefill parts of the prompt.
        helpers: Vec<usize>,
        /// Tokens of memory to reserve at each of the first helpers.
        tickets: Vec<u64>,
        /// The expected time until the prompt is prefilled, in milliseconds from now.
        ready_ms: f64,
    },
    /// Wait until capacity is free.
    Wait,
    /// The request is late, or its workspace is over its share, and the free slots are left to others.
    Crowded,
    /// No upstream of the service can take work.
    Unavailable,
}

/// Returns the weight of a request with a prompt of this length.
pub fn weight(prompt_tokens: u64) -> f64 {
    1.0 + prompt_tokens as f64 / 10_000.0
}

/// Returns the shortest prefill time of a prompt, split across as many engines as allowed, in
/// milliseconds.
pub fn min_prefill_ms(prompt_tokens: u64, engine: &Engine) -> f64 {
    engine.prefill_ms(prompt_tokens) / PARTS_MAX as f64
}

/// Chooses the least loaded upstream, for a service without an engine.
pub fn least_loaded(candidates: &[Candidate]) -> Choice {
    if candidates.is_empty() {
        return Choice::Unavailable;
    }
    let free = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| has_slot(candidate));
    let best = free.min_by(|(_, a), (_, b)| load_cost(a).total_cmp(&load_cost(b)));
    best.map_or(Choice::Wait, |(primary, _)| Choice::Send {
        primary,
        helpers: Vec::new(),
        tickets: Vec::new(),
        ready_ms: 0.0,
    })
}

/// Returns the cost of a candidate of a service without an engine.
fn load_cost(candidate: &Candidate) -> f64 {
    let load = f64::from(candidate.work.running()) / candidate.upstream.slots as f64;
    load + candidate.failure_cost + distance_cost(candidate) + permit_cost(candidate)
}

/// Returns the network cost of a candidate.
fn distance_cost(candidate: &Candidate) -> f64 {
    match (candidate.unreachable, candidate.local) {
        (true, _) => UNREACHABLE_COST,
        (false, true) => 0.0,
        (false, false) => CROSS_ZONE_COST,
    }
}

/// Returns the cost of the permit that a candidate requires.
fn permit_cost(candidate: &Candidate) -> f64 {
    let wait_ms = candidate.permit_wait_ms;
    wait_ms.map_or(0.0, |wait_ms| {
        LIMITED_COST + wait_ms / 1000.0 * PERMIT_WAIT_COST_PER_S
    })
}

fn has_slot(candidate: &Candidate) -> bool {
    u64::from(candidate.work.running()) < candidate.upstream.slots
}

/// Chooses the upstreams of a service with `engine`. Prompts are not split across zones that are
/// separated by `partitions`.
pub fn place(
    candidates: &[Candidate],
    demand: &Demand,
    engine: &Engine,
    partitions: &Partitions,
) -> Choice {
    if candidates.is_empty() {
        return Choice::Unavailable;
    }
    Planner::new(candidates, demand, engine, partitions).choose()
}

/// What a request lacks that has to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Shortage {
    /// Too few engines have memory for their share of the request.
    Memory,
    /// Too few of the engines with memory are free for a part of the prompt, or have a free slot.
    Engines,
    /// The engines that are free could not prefill the prompt before the client gives up.
    Time,
    /// Other requests would lose more than this one gains.
    Value,
}

/// Returns what a request lacks for which [`place`] has returned [`Choice::Wait`].
pub fn shortage(
    candidates: &[Candidate],
    demand: &Demand,
    engine: &Engine,
    partitions: &Partitions,
) -> Shortage {
    let planner = Planner::new(candidates, demand, engine, partitions);
    let with_memory = candidates
        .iter()
        .filter(|candidate| planner.memory.fits(candidate, engine));
    if with_memory.count() <= planner.memory.helpers {
        return Shortage::Memory;
    }
    let mut placements = planner.placements().peekable();
    if placements.peek().is_none() {
        Shortage::Engines
    } else if placements.all(|placement| placement.ready_ms >= demand.abandoned_in_ms) {
        Shortage::Time
    } else {
        Shortage::Value
    }
}

/// The memory that a request occupies, divided evenly among the engines that hold it.
#[derive(Debug, Clone, Copy)]
struct Memory {
    /// The number of engines besides the primary that hold a share.
    helpers: usize,
    /// Tokens on each engine.
    share: u64,
}

impl Memory {
    fn new(demand: &Demand, engine: &Engine) -> Self {
        let tokens = demand.prompt_tokens.saturating_add(demand.answer_tokens);
        let usable = (engine.memory_tokens as f64 * MEMORY_UTILIZATION).max(1.0);
        let engines = (tokens as f64 / usable).ceil().max(1.0);
        Self {
            helpers: engines as usize - 1,
            share: (tokens as f64 / engines).ceil() as u64,
        }
    }

    fn fits(&self, candidate: &Candidate, engine: &Engine) -> bool {
        let taken = u64::from(candidate.work.memory_tokens).saturating_add(self.share);
        taken as f64 <= engine.memory_tokens as f64 * MEMORY_UTILIZATION
    }
}

/// One way to place a request.
struct Placement {
    /// The expected loss of other requests.
    interference: f64,
    /// The expected loss of the request itself, and all other costs.
    own_cost: f64,
    choice: Choice,
    ready_ms: f64,
}

impl Placement {
    fn cost(&self) -> f64 {
        self.interference + self.own_cost
    }
}

/// The inputs of one placement decision.
struct Planner<'a> {
    candidates: &'a [Candidate],
    demand: &'a Demand,
    engine: &'a Engine,
    partitions: &'a Partitions,
    protected: Vec<bool>,
    prefill_ms: f64,
    memory: Memory,
}

impl<'a> Planner<'a> {
    fn new(
        candidates: &'a [Candidate],
        demand: &'a Demand,
        engine: &'a Engine,
        partitions: &'a Partitions,
    ) -> Self {
        Self {
            candidates,
            demand,
            engine,
            partitions,
            protected: protected(candidates, engine),
            prefill_ms: engine.prefill_ms(demand.prompt_tokens),
            memory: Memory::new(demand, engine),
        }
    }

    /// Returns the placement that gains the most, or that the request waits.
    fn choose(&self) -> Choice {
        // Work for a client that will have given up is wasted and occupies a slot meanwhile.
        let placements = self.placements();
        let placements = placements.filter(|found| found.ready_ms < self.demand.abandoned_in_ms);
        let best = placements.min_by(|a, b| a.cost().total_cmp(&b.cost()));
        let Some(best) = best else {
            return Choice::Wait;
        };
        let gain = self.gain(&best) - best.interference - self.opportunity_cost();
        if gain < 0.0 {
            Choice::Wait
        } else if gain < self.slot_price(&best) {
            Choice::Crowded
        } else {
            best.choice
        }
    }

    /// Returns the cheapest placement for each number of parts.
    fn placements(&self) -> impl Iterator<Item = Placement> {
        let parts_max = if self.prefill_ms < SPLIT_MIN_MS {
            1
        } else {
            PARTS_MAX
        };
        let parts_min = self.memory.helpers + 1;
        let parts_max = parts_max.max(parts_min).min(self.candidates.len());
        (parts_min..=parts_max).filter_map(|parts| self.split(parts))
    }

    /// Returns what the request gains by being sent now instead of later.
    fn gain(&self, placement: &Placement) -> f64 {
        let in_time = placement.ready_ms <= self.demand.objective_in_ms;
        let fraction = if in_time { LATE_LOSS } else { 1.0 - LATE_LOSS };
        self.demand.weight * fraction
    }

    /// Returns what others lose by the slot that the request takes.
    fn slot_price(&self, placement: &Placement) -> f64 {
        let in_time = placement.ready_ms <= self.demand.objective_in_ms;
        if self.demand.is_begun || in_time && self.demand.over_share == 0.0 {
            return 0.0;
        }
        crowd::Room::of(self).slot_price(self.demand, in_time)
    }

    /// Returns what other prompts lose while this one occupies its engines. It decreases the longer
    /// the request has waited.
    fn opportunity_cost(&self) -> f64 {
        if self.prefill_ms < LONG_PREFILL_MS {
            return 0.0;
        }
        let usage = Usage::new(self.candidates, &self.protected);
        let scarcity = above(usage.busy_share, SCARCITY_THRESHOLD);
        self.prefill_ms / 1000.0 * PREFILL_VALUE_PER_S * scarcity * self.demand.wait_left
    }

    /// Returns the cheapest placement that splits the prompt into `parts` parts, if there is one.
    fn split(&self, parts: usize) -> Option<Placement> {
        let part_ms = self.prefill_ms / parts as f64;
        let candidates = self.candidates.iter().enumerate();
        let mut eligible: Vec<(f64, usize)> = candidates
            .filter(|(_, candidate)| self.can_prefill(candidate))
            .map(|(index, _)| {
                (
                    self.interference(index, part_ms) + self.base_cost(index),
                    index,
                )
            })
            .collect();
        eligible.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (_, primary) = eligible
            .iter()
            .filter(|(_, index)| has_slot(&self.candidates[*index]))
            .filter(|(_, index)| self.memory.fits(&self.candidates[*index], self.engine))
            .map(|(cost, index)| (cost + self.decode_cost(*index, part_ms), *index))
            .min_by(|a, b| a.0.total_cmp(&b.0))?;
        let helpers = self.helpers(&eligible, primary, parts - 1)?;
        let chosen = || helpers.iter().chain([&primary]).copied();
        let ready_ms = chosen()
            .map(|index| ready_ms(&self.candidates[index], self.engine, part_ms))
            .fold(0.0, f64::max);
        let interference = chosen()
            .map(|index| self.interference(index, part_ms))
            .sum();
        let base_costs: f64 = chosen().map(|index| self.base_cost(index)).sum();
        let own_cost = base_costs
            + self.decode_cost(primary, part_ms)
            + helpers.len() as f64 * HELPER_COST
            + lateness_cost(self.demand, ready_ms);
        let choice = Choice::Send {
            primary,
            helpers,
            tickets: vec![self.memory.share; self.memory.helpers],
            ready_ms,
        };
        Some(Placement {
            interference,
            own_cost,
            choice,
            ready_ms,
        })
    }

    /// Returns `count` candidates besides `primary` that prefill parts. Those that reserve memory
    /// come first.
    fn helpers(
        &self,
        eligible: &[(f64, usize)],
        primary: usize,
        count: usize,
    ) -> Option<Vec<usize>> {
        let others: Vec<usize> = eligible
            .iter()
            .map(|(_, index)| *index)
            .filter(|index| *index != primary && !self.is_partitioned(primary, *index))
            .collect();
        let fits = |index: &usize| self.memory.fits(&self.candidates[*index], self.engine);
        let mut helpers: Vec<usize> = others.iter().copied().filter(fits).collect();
        helpers.truncate(self.memory.helpers);
        if helpers.len() < self.memory.helpers {
            return None;
        }
        for index in others {
            if helpers.len() < count && !helpers.contains(&index) {
                helpers.push(index);
            }
        }
        (helpers.len() == count).then_some(helpers)
    }

    /// Returns whether a network partition seems to separate the zones of two candidates.
    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let zone = |index: usize| &self.candidates[index].upstream.zone;
        self.partitions.contains(zone(a), zone(b))
    }

    fn can_prefill(&self, candidate: &Candidate) -> bool {
        self.prefill_ms < LONG_PREFILL_MS || is_free(candidate)
    }

    /// Returns what the requests that decode on a candidate lose by `part_ms` of prefill.
    fn interference(&self, index: usize, part_ms: f64) -> f64 {
        let candidate = &self.candidates[index];
        let before = f64::from(candidate.work.prefill_ms) + pass_ms(candidate, self.engine);
        let mut interference = 0.0;
        for latency_class in [
            LatencyClass::Strict,
            LatencyClass::Moderate,
            LatencyClass::Relaxed,
        ] {
            let limit = PAUSE_LIMITS_MS[latency_class as usize];
            let more = lateness_risk(before + part_ms, limit) - lateness_risk(before, limit);
            interference += candidate.work.weight(latency_class) * LATE_LOSS * more;
        }
        if self.protected[index] {
            interference * PROTECTED_FACTOR
        } else {
            interference
        }
    }

    /// Returns the part of a candidate's cost that does not depend on the request.
    fn base_cost(&self, index: usize) -> f64 {
        let candidate = &self.candidates[index];
        let mut cost = candidate.failure_cost + f64::from(candidate.work.prefill_ms) / 10_000.0;
        cost += distance_cost(candidate);
        if candidate.cold {
            cost += COLD_COST;
        }
        cost + permit_cost(candidate)
    }

    /// Returns the cost of decoding the answer on a candidate, excluding its prefill.
    fn decode_cost(&self, index: usize, part_ms: f64) -> f64 {
        let candidate = &self.candidates[index];
        // The remaining prefill backlog delays the request's own events after the first one.
        let backlog_ms = f64::from(candidate.work.prefill_ms);
        let risk = lateness_risk(
            backlog_ms - part_ms.min(backlog_ms) * 0.5 + pass_ms(candidate, self.engine),
            PAUSE_LIMITS_MS[self.demand.latency_class as usize],
        );
        let mut cost = self.demand.weight * LATE_LOSS * risk * 0.5;
        let sensitive = self.demand.latency_class != LatencyClass::Relaxed;
        if sensitive != self.protected[index] {
            cost += CLASS_MISMATCH_COST;
        }
        cost + f64::from(candidate.work.running()) * COLOCATION_COST + self.tie_break_cost(index)
    }

    /// Returns a small cost that depends on the request and the candidate.
    fn tie_break_cost(&self, index: usize) -> f64 {
        let mut hasher = FxHasher::default();
        (self.demand.salt, index).hash(&mut hasher);
        // Only the upper bits of this hash are well mixed.
        TIE_BREAK_COST_MAX * (hasher.finish() >> 40) as f64 / (1_u64 << 24) as f64
    }
}

fn pass_ms(candidate: &Candidate, engine: &Engine) -> f64 {
    if candidate.work.running() == 0 {
        return 0.0;
    }
    engine.pass_ms(
        f64::from(candidate.work.running()),
        f64::from(candidate.work.memory_tokens),
    )
}

/// Returns the time until the prefill of a part of `part_ms` ends, in milliseconds from now.
fn ready_ms(candidate: &Candidate, engine: &Engine, part_ms: f64) -> f64 {
    let pass = pass_ms(candidate, engine);
    let wait_ms = candidate.permit_wait_ms.unwrap_or(0.0);
    wait_ms + f64::from(candidate.work.prefill_ms) + part_ms + pass * PASSES_TO_FIRST_EVENT
}

/// Returns the cost of a first event after `ready_ms`, which may be too late for the objective.
fn lateness_cost(demand: &Demand, ready_ms: f64) -> f64 {
    let begin = demand.objective_in_ms * AT_RISK;
    let span = (demand.objective_in_ms - begin).max(1.0);
    let fraction = ((ready_ms - begin) / span).clamp(0.0, 1.0);
    // Past the objective, earlier is still better.
    demand.weight * (LATE_LOSS * fraction + WAIT_COST_PER_S * ready_ms / 1000.0)
}

/// Returns the risk, from 0 to 1, that a pass of `pass_ms` makes a decoding request late that
/// tolerates pauses of `limit_ms`.
fn lateness_risk(pass_ms: f64, limit_ms: f64) -> f64 {
    let begin = limit_ms * 0.75;
    ((pass_ms - begin) / (limit_ms - begin)).clamp(0.0, 1.0)
}
