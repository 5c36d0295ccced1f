//! What an upstream can take at one moment.

use tokio::time::Instant;

use super::{LONG_PATIENCE, LONG_PREFILLS_MAX, SUSPECT_PATIENCE, Scheduler, priority};
use crate::state::placement::is_long;
use crate::state::queue::{Entry, Item};

/// One part in this many of the memory is never given to several long prompts.
const SHORT_MEMORY_PART: u64 = 8;

/// One part in this many of the slots is never given to long prompts.
const SHORT_SLOT_PART: u32 = 4;

/// Memory in use, in tokens.
#[derive(Debug)]
struct Memory {
    total: u64,
    free: u64,
    long: u64,
    short: u64,
}

impl Memory {
    fn fits(&self, need: u64, long: bool, long_due: bool) -> bool {
        let kept = self.total / SHORT_MEMORY_PART;
        if need > self.free {
            return false;
        }
        if long {
            // A prompt that needs nearly all memory would otherwise never run.
            self.long == 0 || self.long + need <= self.total - kept
        } else {
            !long_due || self.short + need <= kept
        }
    }
}

/// The priorities of the long prompts that the upstream processes.
#[derive(Debug)]
struct Prefills(Vec<u8>);

impl Prefills {
    /// Returns whether another prompt may be processed.
    ///
    /// The upstream processes less urgent ones after it, so that only the others count.
    fn allow(&self, item: &Item) -> bool {
        let own = priority(item.prompt_tokens);
        let ahead = self.0.iter().filter(|other| **other <= own);
        ahead.count() < LONG_PREFILLS_MAX
    }
}

/// What an upstream can take at one moment.
#[derive(Debug)]
pub(super) struct Room {
    idle: bool,
    slots: usize,
    long_slots: usize,
    long_prefills: Prefills,
    memory: Option<Memory>,
    suspect_due: bool,
    long_due: bool,
}

impl Room {
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
    /// Returns what the upstream can take at `now`.
    pub(super) fn room(&self, now: Instant) -> Room {
        let slots = self.slots(now);
        let long = |item: &Item| is_long(item.prompt_tokens);
        let flights = || self.flights.values();
        let in_flight = self.flights.len();
        let long_flights = flights().filter(|f| long(&f.item)).count();
        let kept = if slots > 1 {
            (slots / SHORT_SLOT_PART).max(1)
        } else {
            0
        };
        let closed = flights().any(|f| f.item.suspect || f.item.half != self.half);
        let free = (slots as usize).saturating_sub(in_flight);
        let long_slots = ((slots - kept) as usize).saturating_sub(long_flights);
        let in_prefill = flights().filter(|f| f.in_prefill() && long(&f.item));
        let long_prefills = Prefills(in_prefill.map(|f| priority(f.item.prompt_tokens)).collect());
        let waited = |w: &Entry, patience| now.saturating_duration_since(w.enqueued) >= patience;
        // A long prompt that waits for other long ones gains nothing from holding back short ones.
        let lacks_memory_only = |item: &Item| long_slots > 0 && long_prefills.allow(item);
        let long_due = self
            .queue
            .iter()
            .any(|w| long(&w.item) && waited(w, LONG_PATIENCE) && lacks_memory_only(&w.item));
        Room {
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
                .any(|w| w.item.suspect && waited(w, SUSPECT_PATIENCE)),
            long_due,
        }
    }
}
