//! Admission of work to one upstream by its holder.
//!
//! A scheduler joins the learned limit, the queue, the exact count of work in flight, and the KV
//! memory that this work needs. Room is kept for short prompts, few long prompts are processed at
//! once, and a suspect request runs alone. Nothing counts by load reports, which lag.

mod flight;
mod refusal;
mod room;

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

/// Long prompts of the same or a more urgent priority that an upstream processes at once.
pub const LONG_PREFILLS_MAX: usize = 2;

/// Queued requests per slot of the limit.
pub const QUEUE_PER_SLOT: usize = 8;

/// How long a suspect waits for an idle upstream before other work is held back for it.
pub const SUSPECT_PATIENCE: Duration = Duration::from_secs(2);

/// How long a long prompt waits for memory before short ones are confined to their reserved part.
pub const LONG_PATIENCE: Duration = Duration::from_secs(10);

/// The bounds of the time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request is counted as in flight. The caller sends it now.
    Send,
    /// The request waits. [`Scheduler::next`] names it when it is to be sent.
    Queued,
    /// The request is not admitted and did not run. A retry makes sense after the given time.
    Refused(Reason, Duration),
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue is full.
    Full,
    /// The request cannot start within its time limit.
    Late,
    /// The request needs more memory than the upstream has.
    TooLong,
    /// The upstream belongs to the other half.
    OtherHalf,
    /// Another suspect waits for the upstream already.
    Busy,
}

/// How a request in flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// It was answered completely.
    Completed,
    /// The upstream failed.
    Failed(Failure),
    /// The caller ended it.
    Cancelled,
    /// It was not sent after all.
    NotSent,
}

/// Work at an upstream that its present holding did not send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Foreign {
    /// The number of requests.
    pub requests: u32,
    /// The KV memory that they and stray reservations take, in tokens.
    pub memory_tokens: u64,
}

/// The admission to one upstream.
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
    /// Prompt tokens sent since the start.
    sent_tokens: u64,
    short_time: Mean,
    long_time: Mean,
}

impl Scheduler {
    /// Creates the scheduler of a holding of `upstream` that just began.
    ///
    /// `reserve` slots stay unused for requests that an unsettled predecessor may still send,
    /// until [`Scheduler::settle`] is called.
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

    /// Frees the slots that were kept for the predecessor.
    pub fn settle(&mut self) {
        self.reserve = 0;
    }

    /// Sets what runs at the upstream and was not sent by this holding, such as streams of a dead
    /// predecessor. It takes slots and memory until it is set to nothing.
    pub fn set_foreign(&mut self, foreign: Foreign) {
        self.foreign = foreign;
    }

    /// Returns the learned limit, to report events that belong to no ticket.
    pub fn limit_mut(&mut self) -> &mut Limit {
        &mut self.limit
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Offers a request. The caller asks [`Scheduler::next`] afterwards if it is queued.
    pub fn offer(&mut self, item: Item, now: Instant) -> Verdict {
        self.find_overdue(now);
        if let Some(reason) = self.refusal(&item, now) {
            let wait = self.expected_wait(&item, now);
            return Verdict::Refused(reason, wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
        }
        let waiting = Entry {
            item,
            enqueued: now,
        };
        if self.queue.is_empty() && self.room(now).fits(&waiting) {
            self.send(waiting.item, now);
            return Verdict::Send;
        }
        self.queue.push(waiting.item, now);
        Verdict::Queued
    }

    /// Counts a request as in flight that runs at the upstream already, such as a stream that is
    /// resumed. It adds no work, so it waits for no room.
    pub fn adopt(&mut self, item: Item, now: Instant) {
        self.send(item, now);
    }

    /// Takes the requests from the queue that are to be sent now, and counts them as in flight.
    ///
    /// The caller asks after each event, and at least once a second while requests wait.
    pub fn next(&mut self, now: Instant) -> Vec<Ticket> {
        self.find_overdue(now);
        let mut tickets = Vec::new();
        loop {
            let room = self.room(now);
            let Some(item) = self.queue.pop(|waiting| room.fits(waiting)) else {
                return tickets;
            };
            tickets.push(item.ticket);
            self.send(item, now);
        }
    }

    /// Takes the requests whose time limit passed while they waited. They did not run.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket> {
        tickets(self.queue.expire(now))
    }

    /// Takes the requests that no longer fit the queue after the limit fell, newest first.
    ///
    /// They did not run, and should be placed elsewhere.
    pub fn displaced(&mut self, now: Instant) -> Vec<Ticket> {
        let surplus = self.queue.len().saturating_sub(self.queue_max(now));
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

    /// Takes all requests that wait. They did not run, and should be placed elsewhere.
    pub fn drain(&mut self) -> Vec<Ticket> {
        tickets(self.queue.remove_if(|_| true))
    }

    /// Takes a request that waits, such as one whose caller went away. Returns whether it waited.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Returns the half that the upstream is given to.
    pub fn half(&self) -> &name::Half {
        &self.half
    }

    /// Gives the upstream to `half`, and takes the requests of the former half that wait.
    ///
    /// Requests of the new half are queued, and sent only when those of the former one are done.
    pub fn switch(&mut self, half: name::Half) -> Vec<Ticket> {
        self.half = half;
        let half = &self.half;
        tickets(self.queue.remove_if(|waiting| waiting.item.half != *half))
    }

    /// Records the first token of an answer, or the head of a plain answer.
    pub fn first_token(&mut self, ticket: Ticket, now: Instant) {
        let sent_tokens = self.sent_tokens;
        let Some(flight) = self.flights.get_mut(&ticket) else {
            return;
        };
        if !flight.in_prefill() {
            return;
        }
        flight.answered = 1;
        if flight.slow {
            return;
        }
        let work = flight.work + (sent_tokens - flight.sent_tokens);
        let elapsed = now.saturating_duration_since(flight.sent);
        self.limit
            .first_token(now, flight.item.prompt_tokens, work, elapsed);
    }

    /// Takes a request in flight for one that only keeps memory and shows no speed.
    pub fn hold(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.slow = true;
            flight.answered = 1;
        }
    }

    /// Records a further token of an answer.
    pub fn token(&mut self, ticket: Ticket) {
        if let Some(flight) = self.flights.get_mut(&ticket) {
            flight.answered += 1;
        }
    }

    /// Records the end of a request in flight. A second end of the same one has no effect.
    pub fn finished(&mut self, ticket: Ticket, finish: Finish, now: Instant) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        match finish {
            Finish::Completed => {
                let elapsed = now.saturating_duration_since(flight.sent);
                self.time_of(&flight.item).add(elapsed);
                self.limit.completed(now);
            }
            Finish::Failed(kind) => self.limit.failed(now, kind),
            Finish::Cancelled | Finish::NotSent => {}
        }
    }

    /// Returns what the holder tells other daemons.
    pub fn advert(&self, now: Instant) -> Advert {
        let flights = self.flights.values();
        let long_queued: u64 = self
            .queue
            .iter()
            .filter(|w| is_long(w.item.prompt_tokens))
            .map(|w| w.item.prompt_tokens)
            .sum();
        let long_flying: u64 = flights
            .clone()
            .filter(|f| f.in_prefill() && is_long(f.item.prompt_tokens))
            .map(|f| f.item.prompt_tokens)
            .sum();
        let flying: u64 = flights.map(Flight::tokens_left).sum();
        Advert {
            upstream: self.upstream.clone(),
            epoch: self.epoch,
            limit: self.slots(now),
            in_flight: self.flights.len() as u32,
            queued: self.queue.len() as u32,
            tokens: flying + self.queue.tokens(),
            long_tokens: long_flying + long_queued,
            memory_free: self.memory_free(),
            prefill_rate: self.limit.prefill_rate().unwrap_or(0.0) as u64,
        }
    }

    fn send(&mut self, item: Item, now: Instant) {
        let in_prefill = self.prefill_tokens();
        self.sent_tokens += item.prompt_tokens;
        self.limit.sent(now);
        let flight = Flight {
            sent: now,
            work: in_prefill + item.prompt_tokens,
            sent_tokens: self.sent_tokens,
            answered: 0,
            slow: false,
            item,
        };
        self.flights.insert(flight.item.ticket, flight);
    }

    /// Takes first tokens that are overdue as a sign of a cold start.
    fn find_overdue(&mut self, now: Instant) {
        let mut found = false;
        for flight in self.flights.values_mut() {
            let work = flight.work + (self.sent_tokens - flight.sent_tokens);
            let elapsed = now.saturating_duration_since(flight.sent);
            let overdue = flight.in_prefill() && self.limit.is_slow(work, elapsed);
            if overdue && !flight.slow {
                flight.slow = true;
                found = true;
            }
        }
        if found {
            self.limit.reset();
        }
    }

    fn time_of(&mut self, item: &Item) -> &mut Mean {
        if is_long(item.prompt_tokens) {
            &mut self.long_time
        } else {
            &mut self.short_time
        }
    }

    fn queue_max(&self, now: Instant) -> usize {
        QUEUE_PER_SLOT * self.limit.learned(now).max(1) as usize
    }

    fn slots(&self, now: Instant) -> u32 {
        let kept = self.reserve.saturating_add(self.foreign.requests);
        self.limit.current(now).saturating_sub(kept)
    }

    fn prefill_tokens(&self) -> u64 {
        let in_prefill = self.flights.values().filter(|f| f.in_prefill());
        in_prefill.map(|f| f.item.prompt_tokens).sum()
    }

    fn memory_free(&self) -> u64 {
        let used = self.memory_used(|_| true) + self.foreign.memory_tokens;
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

/// Returns the priority of a prompt for the engine; zero is most urgent.
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
