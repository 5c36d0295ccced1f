//! The free capacity of an upstream at one moment.

use tokio::time::Instant;

use super::{
    LONG_PREFILLS_MAX, LONG_STARVATION_TIMEOUT, SUSPECT_STARVATION_TIMEOUT, Scheduler, priority,
};
use crate::state::placement::is_long;
use crate::state::queue::{Entry, Item};

/// Several long prompts together never use the last `1 / SHORT_MEMORY_DIVISOR` of the memory.
const SHORT_MEMORY_DIVISOR: u64 = 8;

/// Long prompts never use the last `1 / SHORT_SLOT_DIVISOR` of the slots.
const SHORT_SLOT_DIVISOR: u32 = 4;

/// Memory usage in tokens, by class of prompt.
#[derive(Debug)]
struct Memory {
    total: u64,
    free: u64,
    long: u64,
    short: u64,
}

impl Memory {
    fn fits(&self, need: u64, long: bool, long_due: bool) -> bool {
        let reserved = self.total / SHORT_MEMORY_DIVISOR;
        if need > self.free {
            return false;
        }
        if long {
            // Without the first condition, a prompt that needs nearly all memory would never run.
            self.long == 0 || self.long + need <= self.total - reserved
        } else {
            !long_due || self.short + need <= reserved
        }
    }
}

/// The priorities of the long prompts in prefill.
#[derive(Debug)]
struct Prefills(Vec<u8>);

impl Prefills {
    /// Returns whether another long prompt may be sent.
    ///
    /// Only prefills of the same or a more urgent priority count, because the upstream processes
    /// less urgent ones later.
    fn allow(&self, item: &Item) -> bool {
        let own = priority(item.prompt_tokens);
        let ahead = self.0.iter().filter(|other| **other <= own);
        ahead.count() < LONG_PREFILLS_MAX
    }
}

/// The free capacity of an upstream at one moment.
#[derive(Debug)]
pub(super) struct Capacity {
    idle: bool,
    slots: usize,
    long_slots: usize,
    long_prefills: Prefills,
    memory: Option<Memory>,
    suspect_due: bool,
    long_due: bool,
}

impl Capacity {
    pub(super) fn fits(&self, waiting: &Entry) -> bool {
        let item = &waiting.item;
        if self.slots == 0 {
            return false;
        }
        let allowed = if item.suspect {
            self.idle
        } else {
            !self.suspect_due
        };
        if !allowed {
            return false;
        }
        let long = is_long(item.prompt_tokens);
        if long && (self.long_slots == 0 || !self.long_prefills.allow(item)) {
            return false;
        }
        match &self.memory {
            Some(memory) => memory.fits(item.memory_tokens(), long, self.long_due),
            None => true,
        }
    }
}

impl Scheduler {
    /// Returns the free capacity of the upstream at `now`.
    pub(super) fn capacity(&self, now: Instant) -> Capacity {
        let slots = self.slots(now);
        let long = |item: &Item| is_long(item.prompt_tokens);
        let flights = || self.flights.values();
        let in_flight = self.flights.len();
        let long_flights = flights().filter(|f| long(&f.item)).count();
        let reserved = if slots > 1 {
            (slots / SHORT_SLOT_DIVISOR).max(1)
        } else {
            0
        };
        let closed = flights().any(|f| f.item.suspect || f.item.half != self.half);
        let free = (slots as usize).saturating_sub(in_flight);
        let long_slots = ((slots - reserved) as usize).saturating_sub(long_flights);
        let in_prefill = flights().filter(|f| f.in_prefill() && long(&f.item));
        let long_prefills = Prefills(in_prefill.map(|f| priority(f.item.prompt_tokens)).collect());
        let waited = |w: &Entry, timeout| now.saturating_duration_since(w.enqueued) >= timeout;
        // Holding back short prompts does not help a long one that waits for other long ones.
        let lacks_memory_only = |item: &Item| long_slots > 0 && long_prefills.allow(item);
        let long_due = self.queue.iter().any(|w| {
            long(&w.item) && waited(w, LONG_STARVATION_TIMEOUT) && lacks_memory_only(&w.item)
        });
        Capacity {
            idle: in_flight == 0 && self.foreign.requests == 0,
            slots: if closed { 0 } else { free },
            long_slots,
            long_prefills,
            memory: (self.memory_tokens > 0).then(|| Memory {
                total: self.memory_tokens,
                free: self.memory_free(),
                long: self.memory_used(long),
                short: self.memory_used(|item| !long(item)),
            }),
            suspect_due: self
                .queue
                .iter()
                .any(|w| w.item.suspect && waited(w, SUSPECT_STARVATION_TIMEOUT)),
            long_due,
        }
    }
}
