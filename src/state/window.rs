//! A sliding-window event counter for rate limits.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of buckets in a window. An event counts for the length of the window plus up to one
/// bucket.
const BUCKETS: u32 = 20;

/// A counter of the events in a sliding window, which never undercounts.
#[derive(Debug, Clone)]
pub struct Window {
    bucket: Duration,
    span: Duration,
    /// The start and event count of each bucket, oldest first.
    buckets: VecDeque<(Instant, u64)>,
    total: u64,
}

impl Window {
    /// Creates an empty window of length `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            bucket: span / BUCKETS,
            span,
            buckets: VecDeque::new(),
            total: 0,
        }
    }

    /// Records an event.
    pub fn add(&mut self, now: Instant) {
        self.expire(now);
        self.total += 1;
        match self.buckets.back_mut() {
            Some((start, count)) if now < *start + self.bucket => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn count(&mut self, now: Instant) -> u64 {
        self.expire(now);
        self.total
    }

    fn expire(&mut self, now: Instant) {
        let retention = self.span + self.bucket;
        while let Some((start, count)) = self.buckets.front()
            && *start + retention <= now
        {
            self.total -= count;
            self.buckets.pop_front();
        }
    }
}
