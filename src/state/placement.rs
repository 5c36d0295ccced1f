//! Choice of an upstream for a request.
//!
//! A choice is a pure function of the configuration, the view, the request and a random number.
//! The view is late by a heartbeat, so a choice is a hint: the holder of the chosen upstream
//! decides by exact counts whether and when the request is sent.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::FxHasher;
use strum::{Display, EnumIter, EnumString};

use crate::state::fleet::{Fleet, Lifecycle, Upstream};
use crate::state::map::Set;
use crate::state::name;
use crate::state::view::{Advert, View};

/// Prompts of at least this many tokens are long.
pub const LONG_TOKENS: u64 = 16_384;

/// The expected wait of a long prompt above which the next upstream is opened to long prompts.
pub const LONG_WAIT_MAX: Duration = Duration::from_secs(10);

/// The largest number of upstreams that answer one prompt together.
pub const GROUP_MAX: usize = 4;

/// What a choice in another zone must save in expected wait.
const CROSS_ZONE: Duration = Duration::from_millis(250);

/// Upstreams whose expected waits differ by less than this count as equal.
const NEAR: Duration = Duration::from_millis(50);

/// The expected wait for one slot of an upstream whose limit is reached.
const SLOT_WAIT: Duration = Duration::from_millis(500);

/// The expected wait for memory that is not free yet.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// The prefill rate of an upstream that has shown none, in tokens per second.
const RATE_ASSUMED: u64 = 10_000;

/// Of each four upstreams, how many may be opened to long prompts.
const LONG_QUARTERS: usize = 3;

/// How to choose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Takes upstreams in turn. The random number is a counter of requests.
    RoundRobin,
    /// Takes the upstream with the fewest requests relative to its limit.
    LeastLoad,
    /// Takes the shortest expected wait for short prompts, and confines long ones to few upstreams.
    #[default]
    LongConfined,
}

/// The request to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The service that is asked.
    pub service: name::Service,
    /// The half of the workspace that asks.
    pub half: name::Half,
    /// The zone of the asking daemon.
    pub zone: name::Zone,
    /// The expected prompt length in tokens.
    pub prompt_tokens: u64,
    /// The longest answer in tokens.
    pub answer_tokens: u64,
    /// A hash of the start of the prompt, for affinity to cached prefixes.
    pub prefix: Option<u64>,
    /// Whether the request is suspected to end upstreams and must run alone.
    pub suspect: bool,
    /// Upstreams that must not be chosen, such as those of earlier attempts.
    pub excluded: Set<name::Upstream>,
}

impl Ask {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No upstream of the service can take work.
    Unavailable,
    /// The request does not fit the memory of any upstream, or of any group.
    TooLong,
    /// Upstreams exist, but none of them is free as the request needs it.
    Busy,
}

/// Returns whether a prompt of this length is long.
pub fn is_long(prompt_tokens: u64) -> bool {
    prompt_tokens >= LONG_TOKENS
}

/// Chooses the upstream for a request.
///
/// Upstreams of another half, in a zone out of service, leaving, or without a holder that takes
/// new work are never chosen.
///
/// # Errors
///
/// Says why no upstream can be chosen; nothing was sent then.
pub fn choose(
    fleet: &Fleet,
    view: &View,
    ask: &Ask,
    policy: Policy,
    dice: u64,
) -> Result<name::Upstream, Refusal> {
    let usable = usable(fleet, view, ask);
    if usable.is_empty() {
        return Err(Refusal::Unavailable);
    }
    let fitting: Vec<Candidate<'_>> = usable.into_iter().filter(|c| c.holds(ask)).collect();
    if fitting.is_empty() {
        return Err(Refusal::TooLong);
    }
    let free: Vec<Candidate<'_>> = fitting
        .into_iter()
        .filter(|c| !ask.suspect || c.is_idle())
        .collect();
    if free.is_empty() {
        return Err(Refusal::Busy);
    }
    let chosen = match policy {
        Policy::RoundRobin => round_robin(&free, dice),
        Policy::LeastLoad => least_load(&free, dice),
        Policy::LongConfined if is_long(ask.prompt_tokens) => confined(&free, ask),
        Policy::LongConfined => shortest_wait(&free, ask, dice),
    };
    Ok(chosen.upstream.name.clone())
}

/// Chooses the smallest group of upstreams that can hold the request in equal parts.
///
/// The group is ordered by name. Reservations made in this order cannot wait for each other in
/// a cycle.
///
/// # Errors
///
/// Says why no group can be chosen; [`Refusal::TooLong`] if no group of all upstreams of the
/// service would do, [`Refusal::Unavailable`] if those that take work at present do not suffice.
pub fn group(fleet: &Fleet, view: &View, ask: &Ask) -> Result<Vec<name::Upstream>, Refusal> {
    let idle = group_when_idle(fleet, view, ask);
    let free = |c: &Candidate<'_>| c.advert.memory_free;
    idle.and_then(|_| smallest_group(usable(fleet, view, ask), ask, free).ok_or(Refusal::Busy))
}

/// Chooses as [`group`] does, but by the whole memory of the upstreams.
///
/// The request has to wait for the memory of such a group.
///
/// # Errors
///
/// As [`group`], but never [`Refusal::Busy`].
pub fn group_when_idle(
    fleet: &Fleet,
    view: &View,
    ask: &Ask,
) -> Result<Vec<name::Upstream>, Refusal> {
    let of_service = fleet
        .upstreams
        .values()
        .filter(|u| u.service == ask.service && u.half == ask.half);
    let mut memories: Vec<u64> = of_service.map(|u| u.memory_tokens).collect();
    memories.sort_unstable_by_key(|memory| Reverse(*memory));
    if smallest_count(&memories, ask).is_none() {
        return Err(Refusal::TooLong);
    }
    let whole = |c: &Candidate<'_>| c.upstream.memory_tokens;
    smallest_group(usable(fleet, view, ask), ask, whole).ok_or(Refusal::Unavailable)
}

/// Returns the names of the smallest group by the given memory.
fn smallest_group<M>(
    mut candidates: Vec<Candidate<'_>>,
    ask: &Ask,
    memory: M,
) -> Option<Vec<name::Upstream>>
where
    M: Fn(&Candidate<'_>) -> u64,
{
    candidates.sort_by_key(|c| (Reverse(memory(c)), c.upstream.name.clone()));
    let memories: Vec<u64> = candidates.iter().map(memory).collect();
    let count = smallest_count(&memories, ask)?;
    let names = candidates[..count].iter().map(|c| c.upstream.name.clone());
    let mut names: Vec<name::Upstream> = names.collect();
    names.sort_unstable();
    Some(names)
}

/// Returns how many of the first memories, the largest of which is first, suffice.
fn smallest_count(memories: &[u64], ask: &Ask) -> Option<usize> {
    (1..=memories.len().min(GROUP_MAX)).find(|count| {
        // One of them makes the whole answer.
        let part = ask.prompt_tokens.div_ceil(*count as u64);
        memories[count - 1] >= part.saturating_add(ask.answer_tokens)
    })
}

/// An upstream that may be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    advert: &'a Advert,
}

impl Candidate<'_> {
    /// Returns whether the request fits the upstream when it is idle.
    fn holds(&self, ask: &Ask) -> bool {
        let memory = self.upstream.memory_tokens;
        memory == 0 || ask.memory_tokens() <= memory
    }

    /// Returns whether the request fits what is free now.
    fn has_room(&self, ask: &Ask) -> bool {
        self.upstream.memory_tokens == 0 || ask.memory_tokens() <= self.advert.memory_free
    }

    fn is_idle(&self) -> bool {
        self.advert.in_flight == 0 && self.advert.queued == 0
    }

    fn requests(&self) -> u32 {
        self.advert.in_flight.saturating_add(self.advert.queued)
    }

    /// Returns the time that `tokens` of prompt take.
    fn duration(&self, tokens: u64) -> Duration {
        let rate = match self.advert.prefill_rate {
            0 => RATE_ASSUMED,
            shown => shown,
        };
        Duration::from_secs_f64(tokens as f64 / rate as f64)
    }

    /// Returns the expected wait for a slot and for memory.
    fn admission_wait(&self, ask: &Ask) -> Duration {
        let above = (self.requests() + 1).saturating_sub(self.advert.limit);
        let memory = if self.has_room(ask) {
            Duration::ZERO
        } else {
            MEMORY_WAIT
        };
        SLOT_WAIT * above + memory
    }

    /// Returns the expected wait of a short prompt. Tokens of long prompts count twice.
    fn short_wait(&self, ask: &Ask) -> Duration {
        let tokens = self.advert.tokens.saturating_add(self.advert.long_tokens);
        let zone = if self.upstream.zone == ask.zone {
            Duration::ZERO
        } else {
            CROSS_ZONE
        };
        self.duration(tokens) + self.admission_wait(ask) + zone
    }

    /// Returns the expected wait of a long prompt behind other long ones.
    fn long_wait(&self, ask: &Ask) -> Duration {
        self.duration(self.advert.long_tokens) + self.admission_wait(ask)
    }
}

/// Lists the upstreams that may take the request, by name.
fn usable<'a>(fleet: &'a Fleet, view: &'a View, ask: &Ask) -> Vec<Candidate<'a>> {
    let mut candidates: Vec<Candidate<'a>> = fleet
        .upstreams
        .values()
        .filter(|u| u.service == ask.service && u.half == ask.half)
        .filter(|u| u.state == Lifecycle::Live && !fleet.zones_out.contains(&u.zone))
        .filter(|u| !ask.excluded.contains(&u.name))
        .filter_map(|upstream| {
            let holder = view.holders.get(&upstream.name)?;
            let daemon = view.daemons.get(&holder.member.host);
            let draining = daemon.is_some_and(|d| d.draining);
            let advert = &holder.advert;
            (!draining).then_some(Candidate { upstream, advert })
        })
        .collect();
    candidates.sort_unstable_by(|a, b| a.upstream.name.cmp(&b.upstream.name));
    candidates
}

fn round_robin<'a>(candidates: &[Candidate<'a>], dice: u64) -> Candidate<'a> {
    candidates[(dice % candidates.len() as u64) as usize]
}

fn least_load<'a>(candidates: &[Candidate<'a>], dice: u64) -> Candidate<'a> {
    // Compares fractions with a fixed denominator, so that the order is total.
    let load =
        |c: &Candidate<'_>| u64::from(c.requests()) * 1000 / u64::from(c.advert.limit.max(1));
    let least = candidates.iter().map(load).min().unwrap_or(0);
    let equal: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|c| load(c) == least)
        .copied()
        .collect();
    round_robin(&equal, dice)
}

/// Chooses the shortest expected wait; among nearly equal ones, that of the prompt's prefix.
fn shortest_wait<'a>(candidates: &[Candidate<'a>], ask: &Ask, dice: u64) -> Candidate<'a> {
    let wait = |c: &Candidate<'_>| c.short_wait(ask);
    let bound = candidates.iter().map(wait).min().unwrap_or_default() + NEAR;
    let near: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|c| wait(c) <= bound)
        .copied()
        .collect();
    match ask.prefix {
        Some(prefix) => rendezvous(&near, prefix)[0],
        None => round_robin(&near, dice),
    }
}

/// Chooses the first upstream in the order of the service whose expected wait is bearable.
///
/// The order is the same on all daemons, so long prompts gather on the first upstreams. The
/// number of these rises and falls with the load of long prompts.
fn confined<'a>(candidates: &[Candidate<'a>], ask: &Ask) -> Candidate<'a> {
    let mut order = rendezvous(candidates, ask.service.as_str());
    order.truncate((candidates.len() * LONG_QUARTERS).div_ceil(4));
    let bearable = |c: &&Candidate<'_>| c.has_room(ask) && c.long_wait(ask) <= LONG_WAIT_MAX;
    match order.iter().find(bearable) {
        Some(first) => *first,
        None => shortest_long_wait(&order, ask),
    }
}

fn shortest_long_wait<'a>(order: &[Candidate<'a>], ask: &Ask) -> Candidate<'a> {
    let mut best = order[0];
    for candidate in &order[1..] {
        if candidate.long_wait(ask) < best.long_wait(ask) {
            best = *candidate;
        }
    }
    best
}

/// Orders the candidates by rendezvous hashing under `key`.
fn rendezvous<'a, K>(candidates: &[Candidate<'a>], key: K) -> Vec<Candidate<'a>>
where
    K: Hash,
{
    let mut order = candidates.to_vec();
    order.sort_by_cached_key(|c| Reverse(score(&key, &c.upstream.name)));
    order
}

fn score<K>(key: &K, upstream: &name::Upstream) -> u64
where
    K: Hash,
{
    let mut hasher = FxHasher::default();
    key.hash(&mut hasher);
    upstream.hash(&mut hasher);
    mix(hasher.finish())
}

/// Spreads the bits of a weak hash over the whole word (the finalizer of `SplitMix64`).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
