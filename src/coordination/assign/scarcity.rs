//! How scarce engines for long prompts are, and which prompts are refused on arrival because of that.
//!
//! The target load is more long prompts than the engines can prefill for seconds at a time. If all of
//! them waited, each engine that becomes free would be taken by a prompt that needs only one, and the
//! largest would be refused in the end. Refusing a share of all sizes alike leaves engines free, so
//! that the largest find several at a time and the others are in time.

use super::{Candidate, Demand, LONG_PREFILL_MS, PARTS_MAX, Planner, crowd};
use crate::state::engine::Engine;
use crate::state::occupancy::LatencyClass;
use crate::state::partition::Partitions;

/// The fraction of the slots of protected engines that the planner fills. The rest is headroom for
/// arrivals that other daemons have not reported yet.
const PROTECTED_UTILIZATION: f64 = 0.75;

/// The largest prefill backlog of an engine that is given a long prompt, in milliseconds.
const BACKLOG_MAX_MS: f64 = 60.0;

/// The share of busy engines for long prompts from which such prompts are refused on arrival.
const REFUSAL_THRESHOLD: f64 = 0.7;

/// The mean prefill that the engines for long prompts still have to do from which prompts are refused
/// on arrival, and from which the busy share alone decides, in milliseconds. Below, all engines may
/// be busy because a few prompts are split across all of them.
const REFUSAL_BACKLOG_MS: (f64, f64) = (500.0, 1500.0);

/// The number of engines for long prompts below which none is refused on arrival. With few engines, a
/// single prompt makes most of them busy for a moment.
const REFUSAL_ENGINES_MIN: usize = 2 * PARTS_MAX;

/// Why a request is refused on arrival.
#[derive(Debug, Clone, Copy)]
pub enum Overload {
    /// More long prompts arrive than the engines can prefill.
    Prefill(Usage),
    /// More latency-sensitive prompts arrive than the engines have slots for.
    Slots(crowd::Room),
}

/// Returns why a request is refused on arrival, if it is: more prompts of its kind arrive than the engines
/// can serve in time. `draw` is a random number from 0 to 1. Prompts are not split across zones that are
/// separated by `partitions`.
pub fn overload(
    candidates: &[Candidate],
    demand: &Demand,
    engine: &Engine,
    partitions: &Partitions,
    draw: f64,
) -> Option<Overload> {
    if demand.latency_class == LatencyClass::Strict {
        let planner = Planner::new(candidates, demand, engine, partitions);
        return crowd::refusing_room(&planner, draw).map(Overload::Slots);
    }
    let is_long = engine.prefill_ms(demand.prompt_tokens) >= LONG_PREFILL_MS;
    if !is_long || demand.latency_class != LatencyClass::Relaxed {
        return None;
    }
    let usage = Usage::of(candidates, engine);
    let refused = usage.open >= REFUSAL_ENGINES_MIN && draw < usage.refused_share();
    refused.then_some(Overload::Prefill(usage))
}

/// Returns how far `share` is above `threshold`, from 0 to 1 for the whole.
pub(super) fn above(share: f64, threshold: f64) -> f64 {
    ((share - threshold) / (1.0 - threshold)).max(0.0)
}

/// How far the engines for long prompts are in use.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// The engines that are not protected.
    pub open: usize,
    /// The share of these that are not free for a long prompt.
    pub busy_share: f64,
    /// The mean prefill that they still have to do, in milliseconds.
    pub backlog_ms: f64,
}

impl Usage {
    /// Returns the use of the engines of a service.
    pub fn of(candidates: &[Candidate], engine: &Engine) -> Self {
        Self::new(candidates, &protected(candidates, engine))
    }

    pub(super) fn new(candidates: &[Candidate], protected: &[bool]) -> Self {
        let open = || {
            let all = candidates.iter().zip(protected);
            all.filter(|(_, is)| !**is).map(|(candidate, _)| candidate)
        };
        let count = open().count().max(1) as f64;
        let busy = open().filter(|candidate| !is_free(candidate));
        let backlogs = open().map(|candidate| f64::from(candidate.work.prefill_ms));
        Self {
            open: open().count(),
            busy_share: busy.count() as f64 / count,
            backlog_ms: backlogs.sum::<f64>() / count,
        }
    }

    /// Returns the share of long prompts that are refused on arrival.
    fn refused_share(self) -> f64 {
        let (begin, end) = REFUSAL_BACKLOG_MS;
        let backlog = ((self.backlog_ms - begin) / (end - begin)).clamp(0.0, 1.0);
        above(self.busy_share, REFUSAL_THRESHOLD) * backlog
    }
}

/// Returns whether an engine is free for a long prompt.
pub(super) fn is_free(candidate: &Candidate) -> bool {
    f64::from(candidate.work.prefill_ms) <= BACKLOG_MAX_MS
}

/// Returns which candidates are protected: the ones that run the most latency-sensitive requests,
/// as many as are needed to hold all of these.
pub(super) fn protected(candidates: &[Candidate], engine: &Engine) -> Vec<bool> {
    let sensitive = |candidate: &Candidate| {
        let count = |class| u64::from(candidate.work.count(class));
        count(LatencyClass::Strict) + count(LatencyClass::Moderate)
    };
    let total: u64 = candidates.iter().map(sensitive).sum();
    let slots = (engine.slots as f64 * PROTECTED_UTILIZATION).max(1.0);
    let count = (total as f64 / slots).ceil() as usize;
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    // The sort is stable, so ties keep the order that all daemons share.
    order.sort_by_key(|index| std::cmp::Reverse(sensitive(&candidates[*index])));
    let mut protected = vec![false; candidates.len()];
    for index in order.into_iter().take(count) {
        protected[index] = true;
    }
    protected
}
