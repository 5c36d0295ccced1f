//! The state of the engine: requests, memory, cache and limits.

use std::sync::Arc;

use primrosehoist::state::map::Map;
use serde::Serialize;
use tokio::time::Instant;

use crate::engine::cache::{Cache, Prefix};
use crate::engine::control::Faults;
use crate::engine::job::{Ended, Job, Phase};
use crate::engine::owner::{Claim, Owner};
use crate::engine::prompt::Prompt;
use crate::engine::record::{End, Record};
use crate::engine::settings::{Fencing, Settings};
use crate::engine::tally::{State, Tally};

/// A parsed request that has not been accepted yet.
#[derive(Debug)]
pub(crate) struct Arrival {
    /// The id of the attempt.
    pub(crate) id: Arc<str>,
    /// The owner.
    pub(crate) owner: Owner,
    /// The priority; 0 is most urgent.
    pub(crate) priority: u32,
    /// The prompt.
    pub(crate) prompt: Prompt,
    /// The prompt tokens that this engine processes: its shard of the prompt.
    pub(crate) prompt_tokens: u64,
    /// The cacheable prefixes of the body, shortest first.
    pub(crate) prefixes: Vec<Prefix>,
}

/// The reason why a request was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The engine has crashed and has not restarted yet.
    Down,
    /// Its fencing epoch is stale.
    Stale,
    /// The `refuse` fault is set.
    Refuse,
    /// A request with the same id exists.
    Duplicate,
    /// It needs more than the total memory.
    TooLong,
    /// It exceeded the concurrency limit and crashed the engine.
    Overload,
}

/// The load of the engine.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Load {
    running: u64,
    waiting: u64,
    memory_tokens_used: u64,
    memory_tokens_total: u64,
}

/// The state of the engine.
#[derive(Debug)]
pub(crate) struct Model {
    pub(crate) settings: Arc<Settings>,
    pub(crate) jobs: Map<Arc<str>, Job>,
    pub(crate) ended: Map<Arc<str>, Ended>,
    pub(crate) reservations: Map<Arc<str>, Claim>,
    pub(crate) exports: Map<Arc<str>, Claim>,
    pub(crate) cache: Cache,
    pub(crate) faults: Faults,
    pub(crate) tally: Tally,
    /// The number of crashes, so that a step begun before a crash is not applied after it.
    pub(crate) generation: u64,
    /// Completions since the engine was cold.
    pub(crate) completions: u64,
    pub(crate) last_received: Option<Instant>,
    pub(crate) arrivals: u64,
    highest_epoch: u64,
    down_until: Option<Instant>,
}

impl Model {
    /// Creates a cold and empty engine.
    pub(crate) fn new(settings: Arc<Settings>) -> Model {
        Model {
            cache: Cache::new(&settings),
            settings,
            jobs: Map::default(),
            ended: Map::default(),
            reservations: Map::default(),
            exports: Map::default(),
            faults: Faults::default(),
            tally: Tally::default(),
            generation: 0,
            completions: 0,
            last_received: None,
            arrivals: 0,
            highest_epoch: 0,
            down_until: None,
        }
    }

    /// Drops all requests and memory; counters and faults persist.
    pub(crate) fn crash(&mut self, now: Instant) {
        for job in self.jobs.values() {
            self.tally.end(job.attempt, State::Crashed);
            job.record.cut(End::Lost);
        }
        self.jobs.clear();
        self.ended.clear();
        self.reservations.clear();
        self.exports.clear();
        self.cache = Cache::new(&self.settings);
        self.tally.crashes += 1;
        self.generation += 1;
        self.completions = 0;
        self.highest_epoch = 0;
        self.down_until = Some(now + self.settings.crash_downtime);
    }

    /// Returns whether the engine has crashed and has not restarted yet.
    pub(crate) fn is_down(&self, now: Instant) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }

    /// Accepts or refuses a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal; after [`Refusal::Overload`] the engine has crashed.
    pub(crate) fn receive(
        &mut self,
        arrival: Arrival,
        now: Instant,
    ) -> Result<Arc<Record>, Refusal> {
        if self.is_down(now) {
            return Err(Refusal::Down);
        }
        self.validate(&arrival)?;
        self.tally.received += 1;
        self.last_received = Some(now);
        let in_flight = self.in_flight() + 1;
        let limit = self.settings.concurrency_limit(self.completions);
        self.tally.max_in_flight = self.tally.max_in_flight.max(in_flight);
        if in_flight > limit {
            self.tally.overloads += 1;
            self.tally.max_over_limit = self.tally.max_over_limit.max(in_flight - limit);
            self.tally.attempt(&arrival.id, State::Overload);
            self.crash(now);
            return Err(Refusal::Overload);
        }
        Ok(self.start(arrival))
    }

    fn validate(&mut self, arrival: &Arrival) -> Result<(), Refusal> {
        if self.faults.refuses() {
            self.tally.refused += 1;
            self.tally.attempt(&arrival.id, State::Refused);
            return Err(Refusal::Refuse);
        }
        if !self.fence(&arrival.owner) {
            self.tally.attempt(&arrival.id, State::Stale);
            return Err(Refusal::Stale);
        }
        let need = arrival.prompt_tokens + arrival.prompt.max_tokens;
        let refusal = if self.record(&arrival.id).is_some() {
            Refusal::Duplicate
        } else if need > self.settings.memory_tokens {
            Refusal::TooLong
        } else {
            return Ok(());
        };
        self.tally.refused += 1;
        self.tally.attempt(&arrival.id, State::Refused);
        Err(refusal)
    }

    fn start(&mut self, arrival: Arrival) -> Arc<Record> {
        let attempt = self.tally.attempt(&arrival.id, State::Running);
        let reserved = self.reservations.remove(&arrival.id);
        let held_tokens = reserved.as_ref().map_or(0, |claim| claim.tokens);
        let imported = reserved.map_or(0, |claim| claim.imported);
        let record = Arc::new(Record::new(Arc::clone(&arrival.id), arrival.prompt));
        self.arrivals += 1;
        let job = Job {
            arrival: self.arrivals,
            priority: arrival.priority,
            owner: arrival.owner,
            prompt_tokens: arrival.prompt_tokens,
            prefill_left: arrival.prompt_tokens.saturating_sub(imported),
            held_tokens,
            phase: Phase::Waiting,
            prefixes: arrival.prefixes,
            attempt,
            record: Arc::clone(&record),
        };
        self.jobs.insert(arrival.id, job);
        record
    }

    /// Returns whether the owner's epoch is accepted, and counts stale epochs.
    pub(crate) fn fence(&mut self, owner: &Owner) -> bool {
        let stale = owner.epoch < self.highest_epoch;
        self.highest_epoch = self.highest_epoch.max(owner.epoch);
        if stale && self.settings.fencing == Fencing::Ignore {
            self.tally.stale_taken += 1;
        }
        if stale && self.settings.fencing == Fencing::Check {
            self.tally.stale_refused += 1;
            return false;
        }
        true
    }

    /// Returns the record of a running or ended request.
    pub(crate) fn record(&self, id: &str) -> Option<&Arc<Record>> {
        let running = self.jobs.get(id).map(|job| &job.record);
        running.or_else(|| self.ended.get(id).map(|ended| &ended.record))
    }

    /// Returns the number of processed prompt tokens of a running or ended request.
    pub(crate) fn processed_tokens(&self, id: &str) -> Option<u64> {
        let running = self.jobs.get(id);
        let running = running.map(|job| job.prompt_tokens.saturating_sub(job.prefill_left));
        running.or_else(|| self.ended.get(id).map(|ended| ended.record.prompt.tokens))
    }

    /// Ends a request early and frees its memory.
    pub(crate) fn cancel(&mut self, id: &str, state: State) {
        if let Some(job) = self.jobs.remove(id) {
            self.tally.end(job.attempt, state);
            job.record.cut(End::Cut);
        }
        self.ended.remove(id);
    }

    /// Ends a request that has generated all its tokens and frees its memory.
    pub(crate) fn complete(&mut self, id: &str, now: Instant) {
        let Some((id, job)) = self.jobs.remove_entry(id) else {
            return;
        };
        self.tally.end(job.attempt, State::Completed);
        self.completions += 1;
        // The freed memory may hold prefixes that did not fit while the request was running.
        self.cache_prefixes(&job.prefixes, now);
        let record = job.record;
        self.ended.insert(id, Ended { at: now, record });
    }

    /// Drops the streams without a reader for at least the resume grace period.
    pub(crate) fn expire(&mut self, now: Instant) {
        let grace = self.settings.resume_grace;
        let is_expired = |since: Instant| now.duration_since(since) >= grace;
        self.ended.retain(|_, ended| {
            let disconnected_at = ended.record.disconnected_at();
            !disconnected_at.is_some_and(|since| is_expired(since.max(ended.at)))
        });
        let jobs = self.jobs.iter();
        let expired: Vec<_> = jobs
            .filter(|(_, job)| job.record.disconnected_at().is_some_and(is_expired))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in expired {
            self.cancel(&id, State::Dropped);
        }
    }

    /// Returns the number of waiting and running requests.
    pub(crate) fn in_flight(&self) -> u64 {
        self.jobs.len() as u64
    }

    /// Returns the memory held by requests, reservations and exports, in tokens.
    pub(crate) fn owned_tokens(&self) -> u64 {
        let jobs: u64 = self.jobs.values().map(|job| job.held_tokens).sum();
        let claims = self.reservations.values().chain(self.exports.values());
        jobs + claims.map(|claim| claim.tokens).sum::<u64>()
    }

    /// Returns the memory whose owner has a stale epoch, except that of streams with a reader, in
    /// tokens.
    pub(crate) fn orphan_tokens(&self) -> u64 {
        let is_stale = |owner: &Owner| owner.epoch < self.highest_epoch;
        let jobs = self.jobs.values();
        let streams: u64 = jobs
            .filter(|job| is_stale(&job.owner) && !job.record.is_connected())
            .map(|job| job.held_tokens)
            .sum();
        let claims = self.reservations.values().chain(self.exports.values());
        let claimed = claims.filter(|claim| is_stale(&claim.owner));
        streams + claimed.map(|claim| claim.tokens).sum::<u64>()
    }

    /// Evicts from the cache until `tokens` more tokens fit; returns false without evicting if they
    /// cannot.
    pub(crate) fn make_room(&mut self, tokens: u64, now: Instant) -> bool {
        let total = self.settings.memory_tokens;
        let needed = self.owned_tokens() + tokens;
        if needed > total {
            return false;
        }
        self.cache.shrink(total - needed, now);
        true
    }

    /// Caches prefixes in the memory that has no owner, evicting others if necessary.
    pub(crate) fn cache_prefixes(&mut self, prefixes: &[Prefix], now: Instant) {
        let total = self.settings.memory_tokens;
        let room = total.saturating_sub(self.owned_tokens());
        self.cache.store(prefixes, room, now);
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> Load {
        let is_waiting = |job: &&Job| job.phase == Phase::Waiting;
        let waiting = self.jobs.values().filter(is_waiting).count() as u64;
        Load {
            running: self.in_flight() - waiting,
            waiting,
            memory_tokens_used: self.owned_tokens() + self.cache.tokens(),
            memory_tokens_total: self.settings.memory_tokens,
        }
    }
}
