//! Requests in flight, and how long they take.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::queue::Item;

/// A request in flight.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) item: Item,
    pub(super) sent: Instant,
    /// Prompt tokens in progress at the upstream when this request was sent, its own included.
    pub(super) work: u64,
    /// The scheduler's count of sent prompt tokens just after this request was sent.
    pub(super) sent_tokens: u64,
    /// Tokens of the answer so far.
    pub(super) answered: u64,
    /// Whether the time to the first token was taken as a sign of a cold start.
    pub(super) slow: bool,
}

impl Flight {
    pub(super) fn in_prefill(&self) -> bool {
        self.answered == 0
    }

    pub(super) fn tokens_left(&self) -> u64 {
        let prompt = if self.in_prefill() {
            self.item.prompt_tokens
        } else {
            0
        };
        prompt + self.item.answer_tokens.saturating_sub(self.answered)
    }
}

/// The mean time for which requests of a class are in flight.
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
