//! Retry delays with random jitter, so that daemons do not retry in step.

use std::time::Duration;

use rand::RngExt;

/// Returns a uniformly random delay up to a limit that doubles with each failure.
///
/// The limit is `first` if `failures` is zero, and never exceeds `longest`.
pub fn full_jitter(failures: u32, first: Duration, longest: Duration) -> Duration {
    let limit = first
        .saturating_mul(2_u32.saturating_pow(failures))
        .min(longest);
    rand::rng().random_range(Duration::ZERO..=limit)
}

/// Returns `interval` with random jitter of up to 20 % in either direction.
pub fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.8..=1.2))
}

/// Returns `interval`, shortened at random by up to `share` of it.
pub fn shorten(interval: Duration, share: f64) -> Duration {
    interval.mul_f64(1.0 - share * rand::rng().random_range(0.0..=1.0))
}
