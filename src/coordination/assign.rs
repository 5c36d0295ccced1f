//! Chooses the upstreams that answer a request.
//!
//! Engines read prompts and write answers in the same passes, so a long prompt holds up every
//! answer that is written on the same engine. The choice weighs what the request gains against
//! what the requests that run there lose: each is counted with its weight if it is expected to
//! miss its objective. Short requests are packed onto few engines, which leaves others free to
//! read long prompts; a long prompt is read by several engines where that pays.
//!
//! The load that this answers: short prompts with strict pauses beside a few long ones, where
//! either kind may make up most of the work for seconds.

use std::sync::Arc;

use crate::state::engine::Engine;
use crate::state::occupancy::{Pace, Work};
use crate::state::roster::Upstream;

/// The part of a request's weight that is lost if it is late. The operators value a late answer
/// at about a quarter of one in time.
const LATE_LOSS: f64 = 0.75;

/// Pauses up to these are borne by the writers of each pace, in milliseconds: the bounds between
/// paces, less a pass of an engine that reads nothing.
const PAUSE_MS: [f64; 3] = [190.0, 480.0, 780.0];

/// The part of the time to the objective after which a request counts as in danger.
const DANGER: f64 = 0.85;

/// The cost of taking an engine without strict writers into use for one.
const OPENING_COST: f64 = 0.4;

/// The cost of each request that runs beside a new one.
const NEIGHBOUR_COST: f64 = 0.002;

/// The cost of an upstream in another availability zone, for its bytes and its time.
const REMOTE_COST: f64 = 0.01;

/// The cost of an upstream that has just started and is slow.
const COLD_COST: f64 = 0.5;

/// The cost of each further upstream that reads a part of a prompt.
const HELPER_COST: f64 = 0.02;

/// The shortest time of reading that is worth a division, in milliseconds.
const DIVIDE_MS: f64 = 60.0;

/// The time of reading from which on a prompt counts as long, in milliseconds. Long prompts are
/// read one after the other: reading two at once finishes neither earlier, and parts that are
/// read for others go ahead of an engine's own prompts, so the first one could starve.
const LONG_MS: f64 = 100.0;

/// The time of reading that an engine may have left to do when a long prompt is given to it.
const LEFT_MS_MAX: f64 = 60.0;

/// The cost of a second of waiting for a prompt to be read, as a part of its weight. It makes
/// prompts be read by as many engines as can do so without harm.
const WAIT_COST_PER_S: f64 = 0.1;

/// Upstreams among which a prompt may be divided, at most. The protocol allows one more.
const PARTS_MAX: usize = 16;

/// The part of an engine's memory that is planned with. The rest is for estimates of answers
/// that were too low.
const MEMORY_SHARE: f64 = 0.95;

/// An upstream that may be chosen.
#[derive(Debug, Clone)]
pub struct Seat {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// What runs there.
    pub work: Work,
    /// Whether it is in the daemon's availability zone.
    pub local: bool,
    /// Whether it has just started.
    pub cold: bool,
    /// The cost of its recent failures.
    pub distrust: f64,
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Need {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Expected answer tokens.
    pub answer_tokens: u64,
    /// How long the request may be held up while it writes.
    pub pace: Pace,
    /// What is lost if it is late.
    pub weight: f64,
    /// The time left until its first event is late, in milliseconds.
    pub left_ms: f64,
}

/// What is to be done with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// Send it to the first seat, with parts of its prompt to the others.
    Send {
        /// The index of the seat that answers.
        first: usize,
        /// The indices of the seats that read parts.
        helpers: Vec<usize>,
        /// When the prompt is expected to be read, in milliseconds from now.
        ready_ms: f64,
    },
    /// Wait for a place.
    Wait,
    /// No upstream of the service can take work.
    Nowhere,
}

/// Returns the weight of a request with a prompt of this length.
pub fn weight(prompt_tokens: u64) -> f64 {
    1.0 + prompt_tokens as f64 / 10_000.0
}

/// Chooses an upstream of a service without an engine: the least occupied one.
pub fn plain(seats: &[Seat]) -> Choice {
    if seats.is_empty() {
        return Choice::Nowhere;
    }
    let free = seats.iter().enumerate().filter(|(_, seat)| has_slot(seat));
    let cost = |seat: &Seat| {
        let occupied = f64::from(seat.work.running) / seat.upstream.slots as f64;
        occupied + seat.distrust + if seat.local { 0.0 } else { REMOTE_COST }
    };
    let best = free.min_by(|(_, one), (_, other)| cost(one).total_cmp(&cost(other)));
    best.map_or(Choice::Wait, |(first, _)| Choice::Send {
        first,
        helpers: Vec::new(),
        ready_ms: 0.0,
    })
}

fn has_slot(seat: &Seat) -> bool {
    u64::from(seat.work.running) < seat.upstream.slots
}

/// Chooses the upstreams of a service with `engine`.
pub fn generate(seats: &[Seat], need: &Need, engine: &Engine) -> Choice {
    if seats.is_empty() {
        return Choice::Nowhere;
    }
    let read_ms = engine.read_ms(need.prompt_tokens);
    let parts_max = if read_ms < DIVIDE_MS { 1 } else { PARTS_MAX };
    let mut best: Option<(f64, Choice)> = None;
    for parts in 1..=parts_max.min(seats.len()) {
        let Some((cost, choice)) = divided(seats, need, engine, read_ms, parts) else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, choice));
        }
    }
    best.map_or(Choice::Wait, |(_, choice)| choice)
}

/// Returns the cheapest way to read the prompt in `parts` parts, if there is one.
fn divided(
    seats: &[Seat],
    need: &Need,
    engine: &Engine,
    read_ms: f64,
    parts: usize,
) -> Option<(f64, Choice)> {
    let part_ms = read_ms / parts as f64;
    let may_read = |seat: &Seat| {
        read_ms < LONG_MS || f64::from(seat.work.reading_ms) <= LEFT_MS_MAX
    };
    let mut costs: Vec<(f64, usize)> = seats
        .iter()
        .enumerate()
        .filter(|(_, seat)| may_read(seat))
        .map(|(index, seat)| (reading_cost(seat, engine, part_ms), index))
        .collect();
    costs.sort_by(|one, other| one.0.total_cmp(&other.0));
    let (first_cost, first) = seats
        .iter()
        .enumerate()
        .filter(|(_, seat)| may_read(seat))
        .filter(|(_, seat)| has_slot(seat) && has_memory(seat, need, engine))
        .map(|(index, seat)| {
            let reading = reading_cost(seat, engine, part_ms);
            (reading + writing_cost(seat, need, engine, part_ms), index)
        })
        .min_by(|one, other| one.0.total_cmp(&other.0))?;
    let others = costs.iter().filter(|(_, index)| *index != first);
    let helpers: Vec<(f64, usize)> = others.take(parts - 1).copied().collect();
    if helpers.len() < parts - 1 {
        return None;
    }
    let helping: f64 = helpers.iter().map(|(cost, _)| cost + HELPER_COST).sum();
    let helpers: Vec<usize> = helpers.into_iter().map(|(_, index)| index).collect();
    let chosen = helpers.iter().chain([&first]);
    let ready_ms = chosen
        .map(|index| ready_ms(&seats[*index], engine, part_ms))
        .fold(0.0, f64::max);
    let cost = first_cost + helping + lateness_cost(need, ready_ms);
    let choice = Choice::Send {
        first,
        helpers,
        ready_ms,
    };
    Some((cost, choice))
}

fn has_memory(seat: &Seat, need: &Need, engine: &Engine) -> bool {
    let needed = need.prompt_tokens + need.answer_tokens;
    let taken = u64::from(seat.work.memory_tokens);
    ((taken + needed) as f64) < engine.memory_tokens as f64 * MEMORY_SHARE
}

fn pass_ms(seat: &Seat, engine: &Engine) -> f64 {
    if seat.work.running == 0 {
        return 0.0;
    }
    engine.pass_ms(
        f64::from(seat.work.running),
        f64::from(seat.work.memory_tokens),
    )
}

/// Returns when a part of `part_ms` is read, counted from now.
fn ready_ms(seat: &Seat, engine: &Engine, part_ms: f64) -> f64 {
    let pass = pass_ms(seat, engine);
    f64::from(seat.work.reading_ms) + part_ms + pass * 1.5
}

/// Returns the cost of missing the objective by being ready at `ready_ms`.
fn lateness_cost(need: &Need, ready_ms: f64) -> f64 {
    let danger = need.left_ms * DANGER;
    let span = (need.left_ms - danger).max(1.0);
    let part = ((ready_ms - danger) / span).clamp(0.0, 1.0);
    // Beyond the objective, earlier is still better.
    need.weight * (LATE_LOSS * part + WAIT_COST_PER_S * ready_ms / 1000.0)
}

/// Returns the cost of `part_ms` of reading to those that write on the seat.
fn reading_cost(seat: &Seat, engine: &Engine, part_ms: f64) -> f64 {
    let before = f64::from(seat.work.reading_ms) + pass_ms(seat, engine);
    let after = before + part_ms;
    let mut cost = seat.distrust + f64::from(seat.work.reading_ms) / 10_000.0;
    for pace in [Pace::Strict, Pace::Even, Pace::Loose] {
        let limit = PAUSE_MS[pace as usize];
        let harm = danger(after, limit) - danger(before, limit);
        cost += seat.work.weight(pace) * LATE_LOSS * harm;
    }
    if !seat.local {
        cost += REMOTE_COST;
    }
    if seat.cold {
        cost += COLD_COST;
    }
    cost
}

/// Returns how likely a pass of `pass_ms` makes a writer late that bears `limit_ms`.
fn danger(pass_ms: f64, limit_ms: f64) -> f64 {
    let begin = limit_ms * 0.7;
    ((pass_ms - begin) / (limit_ms - begin)).clamp(0.0, 1.0)
}

/// Returns the cost of writing on the seat, beside reading there.
fn writing_cost(seat: &Seat, need: &Need, engine: &Engine, part_ms: f64) -> f64 {
    // What is still to be read holds up the request's own events after the first one.
    let reading = f64::from(seat.work.reading_ms);
    let own = danger(
        reading - part_ms.min(reading) * 0.5 + pass_ms(seat, engine),
        PAUSE_MS[need.pace as usize],
    );
    let mut cost = need.weight * LATE_LOSS * own * 0.5;
    let opened = seat.work.weight(Pace::Strict) > 0.0;
    if need.pace == Pace::Strict && !opened {
        cost += OPENING_COST;
    }
    if need.pace != Pace::Strict && opened {
        cost += OPENING_COST;
    }
    cost + f64::from(seat.work.running) * NEIGHBOUR_COST
}
