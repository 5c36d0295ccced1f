//! Chooses the upstreams that answer a request.
//!
//! Engines read prompts and write answers in the same passes, so a long prompt holds up every
//! answer that is written on the same engine. The choice weighs what the request gains against
//! what the requests that run there lose: each is counted with its weight if it is expected to
//! miss its objective. If the others lose more than the request gains, it waits.
//!
//! Requests that bear only short pauses are packed onto as few engines as hold them. These are
//! protected; the others are free to read long prompts, each by several engines where that pays.
//! The set follows the mix of requests within the time that a short answer takes.
//!
//! The load that this answers: short prompts with strict pauses beside a few long ones, where
//! either kind may make up most of the work for seconds.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rustc_hash::FxHasher;

use crate::state::engine::Engine;
use crate::state::occupancy::{Pace, Work};
use crate::state::partition::Partitions;
use crate::state::roster::Upstream;

/// The part of a request's weight that is lost if it is late. The operators value a late answer
/// at about a quarter of one in time.
const LATE_LOSS: f64 = 0.75;

/// Pauses up to these are borne by the writers of each pace, in milliseconds: the bounds between
/// paces, less a pass of an engine that reads nothing.
const PAUSE_MS: [f64; 3] = [190.0, 480.0, 780.0];

/// The part of the time to the objective after which a request counts as in danger.
const DANGER: f64 = 0.85;

/// The cost of taking an engine into use for the other sort of request.
const OPENING_COST: f64 = 0.4;

/// The part of the slots of protected engines that is planned with. The rest is for arrivals
/// that other daemons have not reported yet.
const PROTECTED_USE: f64 = 0.75;

/// The factor on the loss of those that write on a protected engine, since the requests that
/// come next would lose too.
const PROTECTED_FACTOR: f64 = 2.0;

/// The cost of each request that runs beside a new one.
const NEIGHBOUR_COST: f64 = 0.002;

/// The largest difference in cost that chance may make. Daemons that do not know of each other's
/// newest requests then seldom choose the same of several seats that are about as good.
const SPREAD_COST: f64 = 0.006;

/// The cost of an upstream in another availability zone, for its bytes and its time.
const REMOTE_COST: f64 = 0.01;

/// The cost of an upstream that can probably not be reached: it is tried if there is no other.
const CUT_OFF_COST: f64 = 10.0;

/// The cost of an upstream that has just started and is slow.
const COLD_COST: f64 = 0.5;

/// The cost of each further upstream that reads a part of a prompt.
const HELPER_COST: f64 = 0.02;

/// The passes that a prompt waits for beside its reading: it joins the next one, which begins
/// half a pass later in the mean.
const PASSES_TO_FIRST: f64 = 1.5;

/// The shortest time of reading that is worth a division, in milliseconds.
const DIVIDE_MS: f64 = 60.0;

/// The time of reading from which on a prompt counts as long, in milliseconds. Long prompts are
/// read one after the other: reading two at once finishes neither earlier, and parts that are
/// read for others go ahead of an engine's own prompts, so the first one could starve.
pub const LONG_MS: f64 = 100.0;

/// The time of reading that an engine may have left to do when a long prompt is given to it.
const LEFT_MS_MAX: f64 = 60.0;

/// The cost of a second of waiting for a prompt to be read, as a part of its weight. It makes
/// prompts be read by as many engines as can do so without harm.
const WAIT_COST_PER_S: f64 = 0.1;

/// What a second of reading on all engines that are free for it would earn for others, when few
/// are free. It is about what prompts of usual length earn.
const READING_WORTH_PER_S: f64 = 5.0;

/// The part of the engines for long prompts that may be busy before reading costs others.
const SPARE_SHARE: f64 = 0.4;

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
    /// Whether the daemon's availability zone seems to be cut off from the upstream's.
    pub cut_off: bool,
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
    /// The time left until the client gives up on the first event, in milliseconds.
    pub abandoned_ms: f64,
    /// The part of the time for which the request may wait that is left, from 1 to 0.
    pub patience: f64,
    /// A number that differs between requests, by which they spread over like seats.
    pub salt: u64,
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
        /// Tokens of memory to reserve at each of the first helpers.
        tickets: Vec<u64>,
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

/// Returns the shortest time in which a prompt can be read, by as many engines as may share it, in
/// milliseconds.
pub fn soonest_ms(prompt_tokens: u64, engine: &Engine) -> f64 {
    engine.prefill_ms(prompt_tokens) / PARTS_MAX as f64
}

/// Chooses an upstream of a service without an engine: the least occupied one.
pub fn plain(seats: &[Seat]) -> Choice {
    if seats.is_empty() {
        return Choice::Nowhere;
    }
    let free = seats.iter().enumerate().filter(|(_, seat)| has_slot(seat));
    let cost = |seat: &Seat| {
        let occupied = f64::from(seat.work.running()) / seat.upstream.slots as f64;
        occupied + seat.distrust + distance_cost(seat)
    };
    let best = free.min_by(|(_, one), (_, other)| cost(one).total_cmp(&cost(other)));
    best.map_or(Choice::Wait, |(first, _)| Choice::Send {
        first,
        helpers: Vec::new(),
        tickets: Vec::new(),
        ready_ms: 0.0,
    })
}

/// Returns the cost of the way to a seat.
fn distance_cost(seat: &Seat) -> f64 {
    match (seat.cut_off, seat.local) {
        (true, _) => CUT_OFF_COST,
        (false, true) => 0.0,
        (false, false) => REMOTE_COST,
    }
}

fn has_slot(seat: &Seat) -> bool {
    u64::from(seat.work.running()) < seat.upstream.slots
}

/// Chooses the upstreams of a service with `engine`. Engines do not read parts for each other
/// across `cuts` between zones.
pub fn generate(seats: &[Seat], need: &Need, engine: &Engine, cuts: &Partitions) -> Choice {
    if seats.is_empty() {
        return Choice::Nowhere;
    }
    let read_ms = engine.prefill_ms(need.prompt_tokens);
    let memory = Memory::new(need, engine);
    let parts_max = if read_ms < DIVIDE_MS { 1 } else { PARTS_MAX };
    let plan = Plan {
        seats,
        need,
        engine,
        cuts,
        protected: protected(seats, engine),
        read_ms,
        memory,
    };
    let parts_min = plan.memory.holders + 1;
    let parts = parts_min..=parts_max.max(parts_min).min(seats.len());
    let ways = parts.filter_map(|parts| plan.divided(parts));
    // Work for a client that will have left is of no use, and takes a slot meanwhile.
    let ways = ways.filter(|way| way.ready_ms < need.abandoned_ms);
    let best = ways.min_by(|one, other| one.cost().total_cmp(&other.cost()));
    match best {
        Some(way) if way.harm + plan.displacement() <= plan.gain(&way) => way.choice,
        _ => Choice::Wait,
    }
}

/// The memory that a prompt takes on each of the engines that hold it.
#[derive(Debug, Clone, Copy)]
struct Memory {
    /// Engines that hold a share beside the one that answers.
    holders: usize,
    /// Tokens on each.
    share: u64,
}

impl Memory {
    fn new(need: &Need, engine: &Engine) -> Self {
        let tokens = need.prompt_tokens.saturating_add(need.answer_tokens);
        let usable = (engine.memory_tokens as f64 * MEMORY_SHARE).max(1.0);
        let engines = (tokens as f64 / usable).ceil().max(1.0);
        Self {
            holders: engines as usize - 1,
            share: (tokens as f64 / engines).ceil() as u64,
        }
    }

    fn fits(&self, seat: &Seat, engine: &Engine) -> bool {
        let taken = u64::from(seat.work.memory_tokens).saturating_add(self.share);
        taken as f64 <= engine.memory_tokens as f64 * MEMORY_SHARE
    }
}

/// Returns which seats are kept for requests that bear only short pauses: the ones that have
/// most of them, as many as their slots are needed.
fn protected(seats: &[Seat], engine: &Engine) -> Vec<bool> {
    let paced = |seat: &Seat| seat.work.count(Pace::Strict) + seat.work.count(Pace::Moderate);
    let all: u32 = seats.iter().map(paced).sum();
    let slots = (engine.slots as f64 * PROTECTED_USE).max(1.0);
    let number = (f64::from(all) / slots).ceil() as usize;
    let mut order: Vec<usize> = (0..seats.len()).collect();
    // A stable sort: seats with as many come in the order in which all daemons see them.
    order.sort_by_key(|index| std::cmp::Reverse(paced(&seats[*index])));
    let mut protected = vec![false; seats.len()];
    for index in order.into_iter().take(number) {
        protected[index] = true;
    }
    protected
}

/// One way to run a request.
struct Way {
    /// What others lose.
    harm: f64,
    /// What the request loses, and what the way costs beside that.
    own: f64,
    choice: Choice,
    ready_ms: f64,
}

impl Way {
    fn cost(&self) -> f64 {
        self.harm + self.own
    }
}

struct Plan<'a> {
    seats: &'a [Seat],
    need: &'a Need,
    engine: &'a Engine,
    cuts: &'a Partitions,
    protected: Vec<bool>,
    read_ms: f64,
    memory: Memory,
}

impl Plan<'_> {
    /// Returns what the request gains by being sent now instead of later.
    fn gain(&self, way: &Way) -> f64 {
        let in_time = way.ready_ms <= self.need.left_ms;
        let part = if in_time { LATE_LOSS } else { 1.0 - LATE_LOSS };
        self.need.weight * part
    }

    /// Returns what other prompts lose for want of the engines that read this one. The longer the
    /// request has waited, the less it gives way.
    fn displacement(&self) -> f64 {
        if self.read_ms < LONG_MS {
            return 0.0;
        }
        let open = || (0..self.seats.len()).filter(|index| !self.protected[*index]);
        let busy = open().filter(|index| !self.may_read(&self.seats[*index]));
        let share = busy.count() as f64 / open().count().max(1) as f64;
        let scarcity = ((share - SPARE_SHARE) / (1.0 - SPARE_SHARE)).max(0.0);
        self.read_ms / 1000.0 * READING_WORTH_PER_S * scarcity * self.need.patience
    }

    /// Returns the cheapest way to read the prompt in `parts` parts, if there is one.
    fn divided(&self, parts: usize) -> Option<Way> {
        let part_ms = self.read_ms / parts as f64;
        let seats = self.seats.iter().enumerate();
        let mut readers: Vec<(f64, usize)> = seats
            .filter(|(_, seat)| self.may_read(seat))
            .map(|(index, _)| (self.harm(index, part_ms) + self.detour(index), index))
            .collect();
        readers.sort_by(|one, other| one.0.total_cmp(&other.0));
        let (_, first) = readers
            .iter()
            .filter(|(_, index)| has_slot(&self.seats[*index]))
            .filter(|(_, index)| self.memory.fits(&self.seats[*index], self.engine))
            .map(|(cost, index)| (cost + self.writing_cost(*index, part_ms), *index))
            .min_by(|one, other| one.0.total_cmp(&other.0))?;
        let helpers = self.helpers(&readers, first, parts - 1)?;
        let chosen = || helpers.iter().chain([&first]).copied();
        let ready_ms = chosen()
            .map(|index| ready_ms(&self.seats[index], self.engine, part_ms))
            .fold(0.0, f64::max);
        let harm = chosen().map(|index| self.harm(index, part_ms)).sum();
        let detours: f64 = chosen().map(|index| self.detour(index)).sum();
        let own = detours
            + self.writing_cost(first, part_ms)
            + helpers.len() as f64 * HELPER_COST
            + lateness_cost(self.need, ready_ms);
        let choice = Choice::Send {
            first,
            helpers,
            tickets: vec![self.memory.share; self.memory.holders],
            ready_ms,
        };
        Some(Way {
            harm,
            own,
            choice,
            ready_ms,
        })
    }

    /// Returns `count` seats that read parts beside `first`; those that hold memory come first.
    fn helpers(&self, readers: &[(f64, usize)], first: usize, count: usize) -> Option<Vec<usize>> {
        let others: Vec<usize> = readers
            .iter()
            .map(|(_, index)| *index)
            .filter(|index| *index != first && !self.is_cut(first, *index))
            .collect();
        let fits = |index: &usize| self.memory.fits(&self.seats[*index], self.engine);
        let mut helpers: Vec<usize> = others.iter().copied().filter(fits).collect();
        helpers.truncate(self.memory.holders);
        if helpers.len() < self.memory.holders {
            return None;
        }
        for index in others {
            if helpers.len() < count && !helpers.contains(&index) {
                helpers.push(index);
            }
        }
        (helpers.len() == count).then_some(helpers)
    }

    /// Returns whether the zones of two seats seem to be cut off from each other.
    fn is_cut(&self, one: usize, other: usize) -> bool {
        let zone = |index: usize| &self.seats[index].upstream.zone;
        self.cuts.contains(zone(one), zone(other))
    }

    fn may_read(&self, seat: &Seat) -> bool {
        self.read_ms < LONG_MS || f64::from(seat.work.prefill_ms) <= LEFT_MS_MAX
    }

    /// Returns what those that write on a seat lose by `part_ms` of reading.
    fn harm(&self, index: usize, part_ms: f64) -> f64 {
        let seat = &self.seats[index];
        let before = f64::from(seat.work.prefill_ms) + pass_ms(seat, self.engine);
        let mut harm = 0.0;
        for pace in [Pace::Strict, Pace::Moderate, Pace::Relaxed] {
            let limit = PAUSE_MS[pace as usize];
            let more = danger(before + part_ms, limit) - danger(before, limit);
            harm += seat.work.weight(pace) * LATE_LOSS * more;
        }
        if self.protected[index] {
            harm * PROTECTED_FACTOR
        } else {
            harm
        }
    }

    /// Returns the cost of a seat that does not depend on the request.
    fn detour(&self, index: usize) -> f64 {
        let seat = &self.seats[index];
        let mut cost = seat.distrust + f64::from(seat.work.prefill_ms) / 10_000.0;
        cost += distance_cost(seat);
        if seat.cold {
            cost += COLD_COST;
        }
        cost
    }

    /// Returns the cost of writing on a seat, beside reading there.
    fn writing_cost(&self, index: usize, part_ms: f64) -> f64 {
        let seat = &self.seats[index];
        // What is still to be read holds up the request's own events after the first one.
        let reading = f64::from(seat.work.prefill_ms);
        let own = danger(
            reading - part_ms.min(reading) * 0.5 + pass_ms(seat, self.engine),
            PAUSE_MS[self.need.pace as usize],
        );
        let mut cost = self.need.weight * LATE_LOSS * own * 0.5;
        let paced = self.need.pace != Pace::Relaxed;
        if paced != self.protected[index] {
            cost += OPENING_COST;
        }
        cost + f64::from(seat.work.running()) * NEIGHBOUR_COST + self.spread(index)
    }

    /// Returns a small cost that differs between requests and seats.
    fn spread(&self, index: usize) -> f64 {
        let mut hasher = FxHasher::default();
        (self.need.salt, index).hash(&mut hasher);
        // The upper bits are the ones that this hash mixes well.
        SPREAD_COST * (hasher.finish() >> 40) as f64 / (1_u64 << 24) as f64
    }
}

fn pass_ms(seat: &Seat, engine: &Engine) -> f64 {
    if seat.work.running() == 0 {
        return 0.0;
    }
    engine.pass_ms(
        f64::from(seat.work.running()),
        f64::from(seat.work.memory_tokens),
    )
}

/// Returns when a part of `part_ms` is read, counted from now.
fn ready_ms(seat: &Seat, engine: &Engine, part_ms: f64) -> f64 {
    let pass = pass_ms(seat, engine);
    f64::from(seat.work.prefill_ms) + part_ms + pass * PASSES_TO_FIRST
}

/// Returns the cost of missing the objective by being ready at `ready_ms`.
fn lateness_cost(need: &Need, ready_ms: f64) -> f64 {
    let begin = need.left_ms * DANGER;
    let span = (need.left_ms - begin).max(1.0);
    let part = ((ready_ms - begin) / span).clamp(0.0, 1.0);
    // Beyond the objective, earlier is still better.
    need.weight * (LATE_LOSS * part + WAIT_COST_PER_S * ready_ms / 1000.0)
}

/// Returns how likely a pass of `pass_ms` makes a writer late that bears `limit_ms`.
fn danger(pass_ms: f64, limit_ms: f64) -> f64 {
    let begin = limit_ms * 0.75;
    ((pass_ms - begin) / (limit_ms - begin)).clamp(0.0, 1.0)
}
