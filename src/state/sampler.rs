//! Bounds how often events that callers can cause at will are logged.

use std::time::Duration;

use tokio::time::Instant;

/// The events of one kind that are logged in each [`WINDOW`].
pub const LOGGED_MAX: u32 = 20;

/// The time for which logged events are counted.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Decides which events of one kind are logged.
///
/// ```
/// use primrosehoist::state::sampler::{LOGGED_MAX, Sampler, WINDOW};
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut sampler = Sampler::new(start);
/// for _ in 0..LOGGED_MAX {
///     assert_eq!(sampler.record(start), Some(0));
/// }
/// assert_eq!(sampler.record(start), None);
/// assert_eq!(sampler.record(start + WINDOW), Some(1));
/// ```
#[derive(Debug)]
pub struct Sampler {
    /// When the current window began.
    began_at: Instant,
    /// The events that were logged in it.
    logged: u32,
    /// The events that were not logged since the last one that was.
    skipped: u64,
}

impl Sampler {
    /// Creates a sampler without events.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            logged: 0,
            skipped: 0,
        }
    }

    /// Records an event. If it is to be logged, returns how many before it were not.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.began_at) >= WINDOW {
            self.began_at = now;
            self.logged = 0;
        }
        if self.logged >= LOGGED_MAX {
            self.skipped += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.skipped))
    }
}
