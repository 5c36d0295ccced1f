//! When callers that were refused may come again.
//!
//! The load is a crowd that lasts longer than its callers would wait. If all came again after about the same
//! time, they would meet each other in the next crowd. So a daemon hands out times of return as a queue would
//! serve them: one after the other, at a share of the rate at which it has placed such requests lately.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::window::Window;

/// The shortest time after which a caller comes again. Short requests end within two to three seconds, so
/// some capacity becomes free meanwhile.
pub const RETURN_MIN: Duration = Duration::from_millis(300);

/// The time over which placed requests are counted.
const COUNTED: Duration = Duration::from_secs(2);

/// The share of the rate of placed requests that is given to callers that come again. The rest is for new
/// ones, which cannot be told when to come.
const RETURNING_SHARE: f64 = 0.5;

/// The rate that is assumed while hardly anything is placed, in requests per second.
const RATE_MIN: f64 = 0.5;

/// The share of the latest time over which callers are spread for whom no time of return is left.
const LATE_SPREAD: f64 = 0.5;

/// The times of return of the callers of one kind of request.
#[derive(Debug)]
pub struct Schedule {
    placed: Window,
    /// When the next caller returns at the earliest.
    next: Option<Instant>,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            placed: Window::new(COUNTED),
            next: None,
        }
    }
}

impl Schedule {
    /// Records that a request of this kind was placed.
    pub fn record_placed(&mut self, now: Instant) {
        self.placed.add(now);
    }

    /// Returns after which time a caller comes again that is refused now, `latest` at most. `random` is from 0
    /// to 1.
    pub fn book(&mut self, latest: Duration, random: f64, now: Instant) -> Duration {
        let rate = self.placed.count(now) as f64 / COUNTED.as_secs_f64() * RETURNING_SHARE;
        let spacing = Duration::from_secs_f64(1.0 / rate.max(RATE_MIN));
        let earliest = now + RETURN_MIN;
        let start = self.next.map_or(earliest, |next| next.max(earliest));
        if start + spacing > now + latest {
            // All times that the caller could use are taken.
            return latest.mul_f64(1.0 - LATE_SPREAD * random);
        }
        self.next = Some(start + spacing);
        // Daemons do not know of each other's callers, so the time is random within its interval.
        start + spacing.mul_f64(random) - now
    }
}
