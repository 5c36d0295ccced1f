//! Early refusal of requests that cannot be served.

use std::time::Duration;

use tokio::time::Instant;

use super::{Reason, Scheduler};
use crate::state::placement::is_long;
use crate::state::queue::{Entry, Item};

/// The maximum expected wait. Keeps the addition to an [`Instant`] from overflowing.
const WAIT_MAX: Duration = Duration::from_secs(24 * 3600);

impl Scheduler {
    /// Returns the reason to refuse `item`, or `None` if it is acceptable.
    pub(super) fn refusal(&self, item: &Item, now: Instant) -> Option<Reason> {
        let waits = |condition: fn(&Entry) -> bool| self.queue.iter().any(condition);
        if item.half != self.half {
            return Some(Reason::OtherHalf);
        }
        if self.memory_tokens > 0 && item.memory_tokens() > self.memory_tokens {
            return Some(Reason::TooLong);
        }
        if item.suspect && waits(|w| w.item.suspect) {
            return Some(Reason::Busy);
        }
        if self.queue.len() >= self.queue_capacity(now) {
            return Some(Reason::Full);
        }
        let late = now + self.expected_wait(item, now) >= item.deadline;
        late.then_some(Reason::Late)
    }

    /// Returns the expected time until the first token, based on the measured prefill rate.
    ///
    /// Returns zero for an idle upstream: only new work can show that it became faster.
    pub(super) fn expected_wait(&self, item: &Item, now: Instant) -> Duration {
        if self.flights.is_empty() && self.queue.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.prefill_tokens() + self.queue.tokens_ahead(item, now) + item.prompt_tokens;
        let prefill = match self.limit.prefill_rate() {
            Some(rate) => Duration::try_from_secs_f64(ahead as f64 / rate).unwrap_or(Duration::MAX),
            None => Duration::ZERO,
        };
        prefill.max(self.slot_wait(item, now)).min(WAIT_MAX)
    }

    /// Returns the expected time until a slot is free for `item`.
    fn slot_wait(&self, item: &Item, now: Instant) -> Duration {
        let slots = self.limit.learned(now).max(1);
        if self.flights.len() < slots as usize {
            return Duration::ZERO;
        }
        let long = is_long(item.prompt_tokens);
        let mean = if long {
            &self.long_time
        } else {
            &self.short_time
        };
        let ahead = self
            .queue
            .iter()
            .filter(|w| long || !is_long(w.item.prompt_tokens))
            .count();
        mean.0.unwrap_or_default().saturating_mul(ahead as u32) / slots
    }
}
