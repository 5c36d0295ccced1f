//! Admission control for one upstream, run by its holder.
//!
//! A [`Scheduler`] combines the learned concurrency limit, the queue, the exact set of requests in
//! flight, and the KV memory they need. It reserves capacity for short prompts, limits how many
//! long prompts are prefilled at once, and runs a suspect request alone. Load reports are not used,
//! because they lag.

mod capacity;
mod flight;
mod refusal;

use std::time::Duration;

use strum::{Display, EnumString};
use tokio::time::Instant;

use self::flight::{Flight, Mean};
use crate::state::fleet::Upstream;
use crate::state::limit::{Failure, Limit};
use crate::state::map::Map;
use crate::state::name;
use crate::state::placement::is_long;
use crate::state::queue::{Entry, Item, Queue, Ticket};
use crate::state::view::Advert;

/// The maximum number of long prompts of the same or a more urgent priority prefilled at once.
pub const LONG_PREFILLS_MAX: usize = 2;

/// The queue capacity per slot of the concurrency limit.
pub const QUEUE_PER_SLOT: usize = 8;

/// How long a suspect waits for an idle upstream before other requests are held back for it.
pub const SUSPECT_STARVATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a long prompt waits for memory before short ones are confined to their reserved share.
pub const LONG_STARVATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of the retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// The result of offering a request to a [`Scheduler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is counted as in flight. The caller must send it now.
    Send,
    /// The request is queued. [`Scheduler::admit`] returns its ticket once it can be sent.
    Queued,
    /// The request is not admitted and did not run. It may be retried after the given delay.
    Refused(Reason, Duration),
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue is full.
    Full,
    /// The request cannot start before its deadline.
    Late,
    /// The request needs more memory than the upstream has.
    TooLong,
    /// The upstream is assigned to the other half.
    OtherHalf,
    /// Another suspect is already queued.
    Busy,
}

/// How a request in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// The response was complete.
    Completed,
    /// The upstream failed.
    Failed(Failure),
    /// The caller cancelled it.
    Cancelled,
    /// It was admitted but never sent.
    NotSent,
}

/// Work running at an upstream that was not sent under the current holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Foreign {
    /// The number of requests.
    pub requests: u32,
    /// KV memory used by these requests and by orphaned reservations, in tokens.
    pub memory_tokens: u64,
}

/// The admission state of one upstream.
#[derive(Debug)]
pub struct Scheduler {
    upstream: name::Upstream,
    epoch: u64,
    half: name::Half,
    memory_tokens: u64,
    reserve: u32,
    foreign: Foreign,
    limit: Limit,
    queue: Queue,
    flights: Map<Ticket, Flight>,
    /// Prompt tokens sent since the scheduler was created.
    sent_tokens: u64,
    short_time: Mean,
    long_time: Mean,
}

impl Scheduler {
    /// Creates the scheduler for a new holding of `upstream`.
    ///
    /// `reserve` slots stay unused until [`Scheduler::release_reserve`] is called, because an
    /// unsettled predecessor may still send that many requests.
    pub fn new(upstream: &Upstream, epoch: u64, reserve: u32) -> Self {
        Self {
            upstream: upstream.name.clone(),
            epoch,
            half: upstream.half.clone(),
            memory_tokens: upstream.memory_tokens,
            reserve,
            foreign: Foreign::default(),
            limit: Limit::new(upstream.cold_requests, upstream.warm_requests),
            queue: Queue::default(),
            flights: Map::default(),
            sent_tokens: 0,
            short_time: Mean::default(),
            long_time: Mean::default(),
        }
    }

    /// Releases the slots reserved for the predecessor's requests.
    pub fn release_reserve(&mut self) {
        self.reserve = 0;
    }

    /// Sets the work at the upstream that this holding did not send, such as streams of a dead
    /// predecessor. It occupies slots and memory until it is reset to the default.
    pub fn set_foreign(&mut self, foreign: Foreign) {
        self.foreign = foreign;
    }

    /// Returns the learned limit, for reporting events that belong to no ticket.
    pub fn limit_mut(&mut self) -> &mut Limit {
        &mut self.limit
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Offers a request. If it is queued, the caller must call [`Scheduler::admit`] afterwards.
    pub fn offer(&mut self, item: Item, now: Instant) -> Verdict {
        self.detect_cold_start(now);
        if let Some(reason) = self.refusal(&item, now) {
            let wait = self.expected_wait(&item, now);
            return Verdict::Refused(reason, wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
        }
        let waiting = Entry {
            item,
            enqueued: now,
        };
        if self.queue.is_empty() && self.capacity(now).fits(&waiting) {
            self.send(waiting.item, now);
            return Verdict::Send;
        }
        self.queue.push(waiting.item, now);
        Verdict::Queued
    }

    /// Counts a request that already runs at the upstream, such as a resumed stream, as in flight.
    ///
    /// It adds no work, so it is not subject to admission.
    pub fn adopt(&mut self, item: Item, now: Instant) {
        self.send(item, now);
    }

    /// Dequeues the requests that can be sent now and counts them as in flight.
    ///
    /// The caller must call this after each event, and at least once a second while requests are
    /// queued.
    pub fn admit(&mut self, now: Instant) -> Vec<Ticket> {
        self.detect_cold_start(now);
        let mut tickets = Vec::new();
        loop {
            let capacity = self.capacity(now);
            let Some(item) = self.queue.pop(|waiting| capacity.fits(waiting)) else {
                return tickets;
            };
            tickets.push(item.ticket);
            self.send(item, now);
        }
    }

    /// Removes queued requests whose deadline has passed. They did not run.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        tickets(self.queue.expire(now))
    }

    /// Removes the requests that exceed the queue capacity after the limit fell, newest first.
    ///
    /// They did not run and should be placed on another upstream.
    pub fn displace(&mut self, now: Instant) -> Vec<Ticket> {
        let surplus = self.queue.len().saturating_sub(self.queue_capacity(now));
        let mut order: Vec<(Instant, Ticket)> = self
            .queue
            .iter()
            .map(|waiting| (waiting.enqueued, waiting.item.ticket))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.truncate(surplus);
        for (_, ticket) in &order {
            self.queue.remove(*ticket);
        }
        order.into_iter().map(|(_, ticket)| ticket).collect()
    }

    /// Removes all queued requests. They did not run and should be placed on another upstream.
    pub fn drain(&mut self) -> Vec<Ticket> {
        tickets(self.queue.remove_if(|_| true))
    }

    /// Removes a request from the queue, for instance because its caller disconnected.
    ///
    /// Returns whether it was queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Returns the half that the upstream is assigned to.
    pub fn half(&self) -> &name::Half {
        &self.half
    }

    /// Assigns the upstream to `half` and removes the queued requests of the former half.
    ///
    /// Requests of the new half are queued until those of the former half in flight have finished.
    pub fn switch_half(&mut self, half: name::Half) -> Vec<Ticket> {
        self.half = half;
        let half = &self.half;
        tickets(self.queue.remove_if(|waiting| waiting.item.half != *half))
    }

    /// Records the first token of a streamed response, or the head of an unstreamed one.
    pub fn first_token(&mut self, ticket: Ticket, now: Instant) {
        let sent_tokens = self.sent_tokens;
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        if !flight.in_prefill() {
            return;
        }
        flight.received_tokens = 1;
        if flight.excluded_from_rate {
            return;
        }
        let work = flight.work + (sent_tokens - flight.sent_tokens);
        let elapsed = now.saturating_duration_since(flight.sent_at);
        self.limit
            .first_token(now, flight.item.prompt_tokens, work, elapsed);
    }

    /// Marks a request in flight as one that only occupies memory.
    ///
    /// It does not count as a prefill and does not contribute to the measured prefill rate.
    pub fn mark_memory_only(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.excluded_from_rate = true;
            flight.received_tokens = 1;
        }
    }

    /// Records a further token of a response.
    pub fn token(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.received_tokens += 1;
        }
    }

    /// Records the end of a request in flight. Repeated calls for the same ticket have no effect.
    pub fn finished(&mut self, ticket: Ticket, finish: Finish, now: Instant) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        match finish {
            Finish::Completed => {
                let elapsed = now.saturating_duration_since(flight.sent_at);
                self.mean_for(&flight.item).add(elapsed);
                self.limit.completed(now);
            }
            Finish::Failed(kind) => self.limit.failed(now, kind),
            Finish::Cancelled | Finish::NotSent => {}
        }
    }

    /// Returns the load that the holder advertises to other daemons.
    pub fn advert(&self, now: Instant) -> Advert {
        let flights = self.flights.values();
        let long_queued: u64 = self
            .queue
            .iter()
            .filter(|w| is_long(w.item.prompt_tokens))
            .map(|w| w.item.prompt_tokens)
            .sum();
        let long_in_flight: u64 = flights
            .clone()
            .filter(|f| f.in_prefill() && is_long(f.item.prompt_tokens))
            .map(|f| f.item.prompt_tokens)
            .sum();
        let in_flight: u64 = flights.map(Flight::tokens_left).sum();
        Advert {
            upstream: self.upstream.clone(),
            epoch: self.epoch,
            limit: self.slots(now),
            in_flight: self.flights.len() as u32,
            queued: self.queue.len() as u32,
            tokens: in_flight + self.queue.tokens(),
            long_tokens: long_in_flight + long_queued,
            memory_free: self.memory_free(),
            prefill_rate: self.limit.prefill_rate().unwrap_or(0.0) as u64,
        }
    }

    fn send(&mut self, item: Item, now: Instant) {
        let in_prefill = self.prefill_tokens();
        self.sent_tokens += item.prompt_tokens;
        self.limit.sent(now);
        let flight = Flight {
            sent_at: now,
            work: in_prefill + item.prompt_tokens,
            sent_tokens: self.sent_tokens,
            received_tokens: 0,
            excluded_from_rate: false,
            item,
        };
        self.flights.insert(flight.item.ticket, flight);
    }

    /// Lowers the limit to its cold value if the first token of a request is overdue, which
    /// indicates a cold start.
    fn detect_cold_start(&mut self, now: Instant) {
        let mut found = false;
        for flight in self.flights.values_mut() {
            let work = flight.work + (self.sent_tokens - flight.sent_tokens);
            let elapsed = now.saturating_duration_since(flight.sent_at);
            let overdue = flight.in_prefill() && self.limit.is_slow(work, elapsed);
            if overdue && !flight.excluded_from_rate {
                flight.excluded_from_rate = true;
                found = true;
            }
        }
        if found {
            self.limit.reset();
        }
    }

    fn mean_for(&mut self, item: &Item) -> &mut Mean {
        if is_long(item.prompt_tokens) {
            &mut self.long_time
        } else {
            &mut self.short_time
        }
    }

    fn queue_capacity(&self, now: Instant) -> usize {
        QUEUE_PER_SLOT * self.limit.learned(now).max(1) as usize
    }

    fn slots(&self, now: Instant) -> u32 {
        let reserved = self.reserve.saturating_add(self.foreign.requests);
        self.limit.current(now).saturating_sub(reserved)
    }

    fn prefill_tokens(&self) -> u64 {
        let in_prefill = self.flights.values().filter(|f| f.in_prefill());
        in_prefill.map(|f| f.item.prompt_tokens).sum()
    }

    fn memory_free(&self) -> u64 {
        let used = self.memory_used(|_| true);
        let used = used.saturating_add(self.foreign.memory_tokens);
        self.memory_tokens.saturating_sub(used)
    }

    fn memory_used<C>(&self, condition: C) -> u64
    where
        C: Fn(&Item) -> bool,
    {
        let items = self.flights.values().map(|f| &f.item);
        items
            .filter(|i| condition(i))
            .map(Item::memory_tokens)
            .sum()
    }
}

/// Returns the scheduling priority that the engine gives a prompt; zero is most urgent.
pub fn priority(prompt_tokens: u64) -> u8 {
    match prompt_tokens {
        0..=4_096 => 0,
        4_097..=16_384 => 1,
        16_385..=65_536 => 2,
        65_537..=262_144 => 3,
        _ => 4,
    }
}

fn tickets(items: Vec<Item>) -> Vec<Ticket> {
    items.into_iter().map(|item| item.ticket).collect()
}
