//! Rate limits.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket with a capacity of one second of its rate.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    used: f64,
    at: Option<Instant>,
}

impl Bucket {
    /// Takes a token and returns whether the call is within `rate_per_s`; a rate of 0 means no limit.
    pub(crate) fn take(&mut self, rate_per_s: u32, now: Instant) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.at = Some(now);
        self.used = (self.used - elapsed.as_secs_f64() * f64::from(rate_per_s)).max(0.0);
        let allowed = self.used + 1.0 <= f64::from(rate_per_s);
        if allowed {
            self.used += 1.0;
        }
        allowed
    }
}
