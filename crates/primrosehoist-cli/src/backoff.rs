//! Exponential backoff between attempts of one call.

use std::thread;
use std::time::Duration;

/// The delay before the second attempt; it doubles with each further one.
const DELAY_MIN: Duration = Duration::from_millis(100);
/// The longest delay between two attempts.
const DELAY_MAX: Duration = Duration::from_secs(2);

/// A delay that grows exponentially, with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    delay: Duration,
}

impl Backoff {
    /// Creates the backoff of one call.
    pub(crate) fn new() -> Self {
        Self { delay: DELAY_MIN }
    }

    /// Returns the upper bound of the next delay.
    pub(crate) fn delay_max(&self) -> Duration {
        self.delay
    }

    /// Sleeps for between half the delay and the full delay, then doubles it up to the maximum.
    pub(crate) fn sleep(&mut self) {
        thread::sleep(self.delay.mul_f64(rand::random_range(0.5..=1.0)));
        self.delay = (self.delay * 2).min(DELAY_MAX);
    }
}
