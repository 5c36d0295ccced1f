//! The pauses between tries of one call.

use std::thread;
use std::time::Duration;

/// The pause before the second try; it doubles with each further one.
const PAUSE_MIN: Duration = Duration::from_millis(100);
/// The longest pause between two tries.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// A pause that grows exponentially, with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    /// Creates the pauses of one call.
    pub(crate) fn new() -> Self {
        Self { pause: PAUSE_MIN }
    }

    /// Returns the longest time that the next pause takes.
    pub(crate) fn pause(&self) -> Duration {
        self.pause
    }

    /// Sleeps between half the pause and the whole, and lets it grow.
    pub(crate) fn sleep(&mut self) {
        thread::sleep(self.pause.mul_f64(rand::random_range(0.5..=1.0)));
        self.pause = (self.pause * 2).min(PAUSE_MAX);
    }
}
