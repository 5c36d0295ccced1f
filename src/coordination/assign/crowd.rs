//! What a crowd of short prompts may take while slots are scarce.
//!
//! The target load is more latency-sensitive prompts than the engines have slots for, for seconds at a
//! time. Late ones that take slots make others late, until hardly any is in time. So each slot has a price
//! for those that cannot be in time, which rises as the last slots are taken: those that can be in time
//! may use all slots, late ones what is left. Since the others would still wait for each other, a share
//! of them is refused on arrival, which is told to come again.

use super::{
    Choice, Demand, LATE_LOSS, PASSES_TO_FIRST_EVENT, Planner, has_slot, pass_ms, scarcity,
};
use crate::state::occupancy::LatencyClass;

/// The share of used slots above which a slot has a price, and above which requests that would have to wait
/// are refused on arrival.
const PRICED_SHARE: f64 = 0.75;

/// The gain of a short prompt that is in time, which one that is late may cost if it takes the last slot.
/// The weight is that of a prompt of 5,000 tokens.
const SLOT_VALUE: f64 = 1.5 * LATE_LOSS;

/// The share of used slots above which prompts are refused on arrival even if one could be sent at once. The
/// slots above it are for prompts that are on their way and not reported yet.
const REFUSAL_SHARE: f64 = 0.95;

/// The share of engines that accept a short prompt at once below which their room has a price.
const PRICED_ACCEPTING_SHARE: f64 = 0.15;

/// The multiple of the price of a slot that a workspace pays that is entirely over its fair share.
const OVER_SHARE_PRICES: f64 = 2.0;

/// The longest latency objective of a request that needs a slot at once, in milliseconds. One with a longer
/// objective can wait until slots become free, which takes a short answer.
const URGENT_OBJECTIVE_MAX_MS: f64 = 1000.0;

/// The number of slots of a service below which late requests pay no price. With few slots, a single request
/// takes a large share of them.
const PRICED_SLOTS_MIN: u64 = 128;

/// How scarce room is for a latency-sensitive request that would be in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// The engines of the service.
    pub engines: usize,
    /// Whether they have so few slots in all that late requests pay no price.
    pub is_small: bool,
    /// Those that accept it at once: it would be in time, and would make no other request late.
    pub accepting: usize,
    /// The slots of the engines on which it would be in time if it got one.
    pub slots: u64,
    /// The share of these that is used, from 0 to 1. Without any, long prompts take the room, not a crowd of
    /// short ones, and it is 0.
    pub used_share: f64,
}

impl Room {
    /// Returns the room for the request of `planner`, whatever it has waited.
    pub(super) fn of(planner: &Planner<'_>) -> Self {
        let (demand, engine) = (planner.demand, planner.engine);
        let (mut slots, mut used, mut accepting) = (0_u64, 0_u64, 0);
        let all = planner.candidates.iter();
        let all = all.map(|candidate| candidate.upstream.slots);
        let total = all.fold(0, u64::saturating_add);
        for (index, candidate) in planner.candidates.iter().enumerate() {
            let pass = pass_ms(candidate, engine) * PASSES_TO_FIRST_EVENT;
            let ready_ms = f64::from(candidate.work.prefill_ms) + planner.prefill_ms + pass;
            if ready_ms > demand.objective_ms {
                continue;
            }
            let running = u64::from(candidate.work.running());
            slots = slots.saturating_add(candidate.upstream.slots);
            used += running.min(candidate.upstream.slots);
            let harms = planner.interference(index, planner.prefill_ms) > demand.weight * LATE_LOSS;
            accepting += usize::from(has_slot(candidate) && !harms);
        }
        Self {
            engines: planner.candidates.len(),
            is_small: total < PRICED_SLOTS_MIN,
            accepting,
            slots,
            used_share: if slots == 0 {
                0.0
            } else {
                used as f64 / slots as f64
            },
        }
    }

    /// Returns how scarce room is, from 0 to 1.
    fn scarcity(self) -> f64 {
        if self.slots == 0 {
            return 0.0;
        }
        let engines = self.engines as f64 * PRICED_ACCEPTING_SHARE;
        let accepting = 1.0 - (self.accepting as f64 / engines).min(1.0);
        accepting.max(scarcity::above(self.used_share, PRICED_SHARE))
    }

    /// Returns what others lose by the slot that a request with this demand takes, if it is late anyway or its
    /// workspace is over its fair share. Where there are few slots, only workspaces pay for them.
    pub(super) fn slot_price(self, demand: &Demand, in_time: bool) -> f64 {
        let late = if in_time || self.is_small { 0.0 } else { 1.0 };
        let prices = (OVER_SHARE_PRICES * demand.over_share).max(late);
        SLOT_VALUE * self.scarcity() * prices
    }

    /// Returns the share of the requests with this demand that is refused on arrival, of all and of those that
    /// would have to wait. Where there are few slots, only workspaces that compete are refused.
    pub fn refused_shares(self, demand: &Demand) -> (f64, f64) {
        let competes = (demand.refusal_factor - 1.0).abs() > f64::EPSILON;
        if self.is_small && !competes {
            return (0.0, 0.0);
        }
        let above = |threshold| scarcity::above(self.used_share, threshold);
        let factor = demand.refusal_factor;
        (
            above(REFUSAL_SHARE) * factor,
            above(PRICED_SHARE).sqrt() * factor,
        )
    }
}

/// Returns whether a request needs a slot at once to be in time.
pub fn is_urgent(demand: &Demand) -> bool {
    demand.latency_class == LatencyClass::Strict && demand.objective_ms <= URGENT_OBJECTIVE_MAX_MS
}

/// Returns the room because of which an urgent request is refused on arrival, if it is. `draw` is a
/// random number from 0 to 1.
pub(super) fn refusing_room(planner: &Planner<'_>, draw: f64) -> Option<Room> {
    if !is_urgent(planner.demand) {
        return None;
    }
    let room = Room::of(planner);
    let (of_all, of_waiting) = room.refused_shares(planner.demand);
    let would_wait = || !matches!(planner.choose(), Choice::Send { .. });
    let refused = draw < of_all || draw < of_waiting && would_wait();
    refused.then_some(room)
}
