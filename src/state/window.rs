//! Counts events of the recent past, for limits over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Parts into which a window is divided. An event counts for the window and up to one part more.
const PARTS: u32 = 20;

/// The number of events in a sliding window, never less than the true one.
#[derive(Debug, Clone)]
pub struct Window {
    part: Duration,
    span: Duration,
    /// The start of each part with its number of events, oldest first.
    parts: VecDeque<(Instant, u64)>,
    total: u64,
}

impl Window {
    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            part: span / PARTS,
            span,
            parts: VecDeque::new(),
            total: 0,
        }
    }

    /// Records an event.
    pub fn add(&mut self, now: Instant) {
        self.expire(now);
        self.total += 1;
        match self.parts.back_mut() {
            Some((start, count)) if now < *start + self.part => *count += 1,
            _ => self.parts.push_back((now, 1)),
        }
    }

    /// Returns the number of events in the window that ends now.
    pub fn count(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.total
    }

    fn expire(&mut self, now: Instant) {
        let kept = self.span + self.part;
        while let Some((start, count)) = self.parts.front()
            && *start + kept <= now
        {
            self.total -= count;
            self.parts.pop_front();
        }
    }
}
