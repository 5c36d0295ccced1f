//! Requests in flight and their mean duration.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::queue::Item;

/// A request in flight.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) item: Item,
    pub(super) sent_at: Instant,
    /// Prompt tokens in prefill at the upstream when this request was sent, including its own.
    pub(super) work: u64,
    /// The scheduler's count of sent prompt tokens just after this request was sent.
    pub(super) sent_tokens: u64,
    /// Response tokens received so far; set to one for a request that only occupies memory, which
    /// thereby does not count as a prefill.
    pub(super) received_tokens: u64,
    /// Whether the time to the first token is excluded from rate measurement, because it already
    /// indicated a cold start or because the request only occupies memory.
    pub(super) excluded_from_rate: bool,
}

impl Flight {
    pub(super) fn in_prefill(&self) -> bool {
        self.received_tokens == 0
    }

    pub(super) fn tokens_left(&self) -> u64 {
        let prompt = if self.in_prefill() {
            self.item.prompt_tokens
        } else {
            0
        };
        prompt + self.item.answer_tokens.saturating_sub(self.received_tokens)
    }
}

/// A moving average of the time that requests of one class are in flight.
#[derive(Debug, Default)]
pub(super) struct Mean(pub(super) Option<Duration>);

impl Mean {
    pub(super) fn add(&mut self, sample: Duration) {
        self.0 = Some(match self.0 {
            Some(mean) => (mean * 7 + sample) / 8,
            None => sample,
        });
    }
}
