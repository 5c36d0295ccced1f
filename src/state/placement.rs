//! Choice of an upstream for a request.
//!
//! A choice is a pure function of the configuration, the view, the request and a random number. The
//! view lags by up to one heartbeat interval, so a choice is only a hint: the holder of the chosen
//! upstream decides by exact counts whether and when the request is sent.

use std::cmp::Reverse;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use rustc_hash::FxHasher;
use strum::{Display, EnumIter, EnumString};

use crate::state::fleet::{Fleet, Lifecycle, Upstream};
use crate::state::map::Set;
use crate::state::name;
use crate::state::view::{Advert, View};

/// The smallest number of tokens from which a prompt counts as long.
pub const LONG_TOKENS: u64 = 16_384;

/// The expected wait of a long prompt above which another upstream is used for long prompts.
pub const LONG_WAIT_MAX: Duration = Duration::from_secs(10);

/// The largest number of upstreams that serve one prompt together.
pub const GROUP_MAX: usize = 4;

/// The expected wait that a choice in another zone must save.
const CROSS_ZONE_WAIT: Duration = Duration::from_millis(250);

/// The difference in expected wait up to which upstreams are treated as equal.
const EQUAL_WAIT_MAX: Duration = Duration::from_millis(50);

/// The expected wait for one slot of an upstream that has reached its limit.
const SLOT_WAIT: Duration = Duration::from_millis(500);

/// The expected wait for KV memory that is not yet free.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// The assumed prefill rate of an upstream without a measured one, in tokens per second.
const RATE_DEFAULT: u64 = 10_000;

/// The number of upstreams out of every four that may be used for long prompts.
const LONG_QUARTERS: usize = 3;

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Chooses upstreams in turn. The random number is a request counter.
    RoundRobin,
    /// Chooses the upstream with the fewest requests relative to its limit.
    LeastLoad,
    /// Chooses the upstream with the shortest expected wait for short prompts, and confines
    /// long prompts to few upstreams.
    #[default]
    LongConfined,
}

/// The request to place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The requested service.
    pub service: name::Service,
    /// The half that the requesting workspace belongs to.
    pub half: name::Half,
    /// The zone of the requesting daemon.
    pub zone: name::Zone,
    /// The expected prompt length in tokens.
    pub prompt_tokens: u64,
    /// The longest possible answer in tokens.
    pub answer_tokens: u64,
    /// A hash of the prompt prefix, for affinity to cached prefixes.
    pub prefix: Option<u64>,
    /// Whether the request is suspected of crashing upstreams and must run alone.
    pub suspect: bool,
    /// Upstreams that must not be chosen, such as those of earlier attempts.
    pub excluded: Set<name::Upstream>,
}

impl Request {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// The reason why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No upstream of the service accepts requests.
    Unavailable,
    /// The request does not fit into the memory of any upstream or group.
    TooLong,
    /// Upstreams accept requests, but none of them is free enough for this one.
    Busy,
}

/// Returns whether a prompt of this length counts as long.
pub fn is_long(prompt_tokens: u64) -> bool {
    prompt_tokens >= LONG_TOKENS
}

/// Chooses the upstream for a request.
///
/// Never chooses an upstream that belongs to another half, is in a zone out of service, is leaving,
/// or has no holder that accepts new requests.
///
/// # Errors
///
/// Returns the reason if no upstream can be chosen. Nothing was sent in that case.
pub fn choose(
    fleet: &Fleet,
    view: &View,
    request: &Request,
    policy: Policy,
    random: u64,
) -> Result<name::Upstream, Refusal> {
    let usable = usable(fleet, view, request);
    if usable.is_empty() {
        return Err(Refusal::Unavailable);
    }
    let fitting: Vec<Candidate<'_>> = usable
        .into_iter()
        .filter(|c| c.fits_when_idle(request))
        .collect();
    if fitting.is_empty() {
        return Err(Refusal::TooLong);
    }
    let free: Vec<Candidate<'_>> = fitting
        .into_iter()
        .filter(|c| !request.suspect || c.is_idle())
        .collect();
    if free.is_empty() {
        return Err(Refusal::Busy);
    }
    let chosen = match policy {
        Policy::RoundRobin => choose_in_turn(&free, random),
        Policy::LeastLoad => choose_least_loaded(&free, random),
        Policy::LongConfined if is_long(request.prompt_tokens) => choose_confined(&free, request),
        Policy::LongConfined => choose_shortest_wait(&free, request, random),
    };
    Ok(chosen.upstream.name.clone())
}

/// Chooses the smallest group of upstreams whose free memory holds the request in equal parts.
///
/// The group is ordered by name, so that reservations made in this order cannot deadlock.
///
/// # Errors
///
/// Returns [`Refusal::TooLong`] if no group of upstreams of the service has enough memory,
/// [`Refusal::Unavailable`] if only upstreams that accept no requests at present could complete a
/// group, and [`Refusal::Busy`] if too little of the memory is free.
pub fn choose_group(
    fleet: &Fleet,
    view: &View,
    request: &Request,
) -> Result<Vec<name::Upstream>, Refusal> {
    let by_capacity = choose_group_by_capacity(fleet, view, request);
    let free_memory = |c: &Candidate<'_>| c.advert.memory_free;
    by_capacity.and_then(|_| {
        smallest_group(usable(fleet, view, request), request, free_memory).ok_or(Refusal::Busy)
    })
}

/// Chooses a group like [`choose_group`], but by total instead of free memory.
///
/// The request has to wait until the memory of the group is free.
///
/// # Errors
///
/// Returns the same errors as [`choose_group`], except [`Refusal::Busy`].
pub fn choose_group_by_capacity(
    fleet: &Fleet,
    view: &View,
    request: &Request,
) -> Result<Vec<name::Upstream>, Refusal> {
    let in_service = fleet
        .upstreams
        .values()
        .filter(|u| u.service == request.service && u.half == request.half);
    let mut memories: Vec<u64> = in_service.map(|u| u.memory_tokens).collect();
    memories.sort_unstable_by_key(|memory| Reverse(*memory));
    if smallest_count(&memories, request).is_none() {
        return Err(Refusal::TooLong);
    }
    let total_memory = |c: &Candidate<'_>| c.upstream.memory_tokens;
    smallest_group(usable(fleet, view, request), request, total_memory).ok_or(Refusal::Unavailable)
}

/// Returns the names of the smallest group that is large enough by the given measure of memory.
fn smallest_group<M>(
    mut candidates: Vec<Candidate<'_>>,
    request: &Request,
    memory: M,
) -> Option<Vec<name::Upstream>>
where
    M: Fn(&Candidate<'_>) -> u64,
{
    candidates.sort_by_key(|c| (Reverse(memory(c)), c.upstream.name.clone()));
    let memories: Vec<u64> = candidates.iter().map(memory).collect();
    let count = smallest_count(&memories, request)?;
    let names = candidates[..count].iter().map(|c| c.upstream.name.clone());
    let mut names: Vec<name::Upstream> = names.collect();
    names.sort_unstable();
    Some(names)
}

/// Returns the smallest number of upstreams that suffice, given their memories in descending order.
fn smallest_count(memories: &[u64], request: &Request) -> Option<usize> {
    (1..=memories.len().min(GROUP_MAX)).find(|count| {
        // One upstream of the group generates the whole answer.
        let part = request.prompt_tokens.div_ceil(*count as u64);
        memories[count - 1] >= part.saturating_add(request.answer_tokens)
    })
}

/// An upstream that may be chosen, with the state that its holder advertised.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    advert: &'a Advert,
}

impl Candidate<'_> {
    /// Returns whether the request fits into the memory of the idle upstream.
    fn fits_when_idle(&self, request: &Request) -> bool {
        let memory = self.upstream.memory_tokens;
        memory == 0 || request.memory_tokens() <= memory
    }

    /// Returns whether the request fits into the memory that is free now.
    fn fits_now(&self, request: &Request) -> bool {
        self.upstream.memory_tokens == 0 || request.memory_tokens() <= self.advert.memory_free
    }

    fn is_idle(&self) -> bool {
        self.advert.in_flight == 0 && self.advert.queued == 0
    }

    fn requests(&self) -> u32 {
        self.advert.in_flight.saturating_add(self.advert.queued)
    }

    /// Returns the prefill time of `tokens` prompt tokens. Adverts may hold any number.
    fn prefill_time(&self, tokens: u64) -> Duration {
        let rate = match self.advert.prefill_rate {
            0 => RATE_DEFAULT,
            measured => measured,
        };
        Duration::try_from_secs_f64(tokens as f64 / rate as f64).unwrap_or(Duration::MAX)
    }

    /// Returns the expected wait for a slot and for memory.
    fn admission_wait(&self, request: &Request) -> Duration {
        let excess = self
            .requests()
            .saturating_add(1)
            .saturating_sub(self.advert.limit);
        let memory = if self.fits_now(request) {
            Duration::ZERO
        } else {
            MEMORY_WAIT
        };
        (SLOT_WAIT * excess).saturating_add(memory)
    }

    /// Returns the expected wait of a short prompt. Queued tokens of long prompts count twice.
    fn short_wait(&self, request: &Request) -> Duration {
        let tokens = self.advert.tokens.saturating_add(self.advert.long_tokens);
        let zone = if self.upstream.zone == request.zone {
            Duration::ZERO
        } else {
            CROSS_ZONE_WAIT
        };
        self.prefill_time(tokens)
            .saturating_add(self.admission_wait(request))
            .saturating_add(zone)
    }

    /// Returns the expected wait of a long prompt behind other long prompts.
    fn long_wait(&self, request: &Request) -> Duration {
        self.prefill_time(self.advert.long_tokens)
            .saturating_add(self.admission_wait(request))
    }
}

/// Returns the upstreams that may serve the request, sorted by name.
fn usable<'a>(fleet: &'a Fleet, view: &'a View, request: &Request) -> Vec<Candidate<'a>> {
    let mut candidates: Vec<Candidate<'a>> = fleet
        .upstreams
        .values()
        .filter(|u| u.service == request.service && u.half == request.half)
        .filter(|u| u.state == Lifecycle::Live && !fleet.zones_out.contains(&u.zone))
        .filter(|u| !request.excluded.contains(&u.name))
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

fn choose_in_turn<'a>(candidates: &[Candidate<'a>], random: u64) -> Candidate<'a> {
    candidates[(random % candidates.len() as u64) as usize]
}

fn choose_least_loaded<'a>(candidates: &[Candidate<'a>], random: u64) -> Candidate<'a> {
    // Compares integer fractions of a thousand, so that the order is total.
    let load =
        |c: &Candidate<'_>| u64::from(c.requests()) * 1000 / u64::from(c.advert.limit.max(1));
    let least = candidates.iter().map(load).min().unwrap_or(0);
    let equal: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|c| load(c) == least)
        .copied()
        .collect();
    choose_in_turn(&equal, random)
}

/// Chooses the upstream with the shortest expected wait. Nearly equal ones are chosen by the hash
/// of the prompt prefix or, without one, in turn.
fn choose_shortest_wait<'a>(
    candidates: &[Candidate<'a>],
    request: &Request,
    random: u64,
) -> Candidate<'a> {
    let wait = |c: &Candidate<'_>| c.short_wait(request);
    let shortest = candidates.iter().map(wait).min().unwrap_or_default();
    let bound = shortest.saturating_add(EQUAL_WAIT_MAX);
    let near: Vec<Candidate<'a>> = candidates
        .iter()
        .filter(|c| wait(c) <= bound)
        .copied()
        .collect();
    match request.prefix {
        Some(prefix) => rendezvous(&near, prefix)[0],
        None => choose_in_turn(&near, random),
    }
}

/// Chooses the first upstream in the order of the service whose expected wait is acceptable.
///
/// The order is the same on all daemons, so long prompts concentrate on the first upstreams. How
/// many of these are used follows the load of long prompts.
fn choose_confined<'a>(candidates: &[Candidate<'a>], request: &Request) -> Candidate<'a> {
    let mut order = rendezvous(candidates, request.service.as_str());
    order.truncate((candidates.len() * LONG_QUARTERS).div_ceil(4));
    let is_acceptable =
        |c: &&Candidate<'_>| c.fits_now(request) && c.long_wait(request) <= LONG_WAIT_MAX;
    match order.iter().find(is_acceptable) {
        Some(first) => *first,
        None => choose_shortest_long_wait(&order, request),
    }
}

fn choose_shortest_long_wait<'a>(order: &[Candidate<'a>], request: &Request) -> Candidate<'a> {
    let mut best = order[0];
    for candidate in &order[1..] {
        if candidate.long_wait(request) < best.long_wait(request) {
            best = *candidate;
        }
    }
    best
}

/// Orders the candidates by rendezvous hashing with `key`.
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

/// Mixes the bits of a weak hash over the whole word (the finalizer of `SplitMix64`).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
