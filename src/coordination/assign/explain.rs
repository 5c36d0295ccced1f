//! Tells what a request would cost on each candidate.

use serde::{Deserialize, Serialize};
use strum::Display;

use super::{Candidate, Demand, Planner, has_slot, load_cost, ready_ms};
use crate::state::engine::Engine;
use crate::state::partition::Partitions;

/// What a candidate lacks that cannot take a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Lack {
    /// A free slot.
    Slot,
    /// Memory for the request, or for its part if it needs several engines.
    Memory,
    /// Time for a long prompt, since it prefills another one.
    Prefill,
}

/// What a request would cost on a candidate that prefills all of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// The expected loss of the requests that run there.
    pub interference: f64,
    /// What the request itself would lose while its answer is decoded there, and the costs of the candidate. That
    /// its first event may be late does not choose between candidates.
    pub own: f64,
    /// The expected time until the prompt is prefilled, in milliseconds.
    pub ready_ms: f64,
    /// What the candidate lacks, if it cannot take the request now.
    pub lacks: Option<Lack>,
}

impl Cost {
    /// Returns the sum by which candidates are compared.
    pub fn total(&self) -> f64 {
        self.interference + self.own
    }
}

/// Returns what a request would cost on each of `candidates`, in their order.
pub fn costs(
    candidates: &[Candidate],
    demand: &Demand,
    engine: &Engine,
    partitions: &Partitions,
) -> Vec<Cost> {
    let planner = Planner::new(candidates, demand, engine, partitions);
    let cost = |(index, candidate): (usize, &Candidate)| {
        let ready_ms = ready_ms(candidate, engine, planner.prefill_ms);
        let lacks = if !has_slot(candidate) {
            Some(Lack::Slot)
        } else if !planner.memory.fits(candidate, engine) {
            Some(Lack::Memory)
        } else if !planner.can_prefill(candidate) {
            Some(Lack::Prefill)
        } else {
            None
        };
        Cost {
            interference: planner.interference(index, planner.prefill_ms),
            own: planner.base_cost(index) + planner.decode_cost(index, planner.prefill_ms),
            ready_ms,
            lacks,
        }
    };
    candidates.iter().enumerate().map(cost).collect()
}

/// Returns what a request would cost on each of `candidates` of a service without an engine.
pub fn costs_without_engine(candidates: &[Candidate]) -> Vec<Cost> {
    let cost = |candidate: &Candidate| Cost {
        interference: 0.0,
        own: load_cost(candidate),
        ready_ms: 0.0,
        lacks: (!has_slot(candidate)).then_some(Lack::Slot),
    };
    candidates.iter().map(cost).collect()
}
