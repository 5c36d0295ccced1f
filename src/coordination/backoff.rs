//! Delays between retries, spread so that many daemons do not retry together.

use std::time::Duration;

use rand::RngExt;

/// Returns a delay drawn evenly up to a limit that doubles with each failure.
///
/// The limit starts at `first` for no earlier failure and does not exceed `longest`.
pub fn full_jitter(failures: u32, first: Duration, longest: Duration) -> Duration {
    let limit = first
        .saturating_mul(2_u32.saturating_pow(failures))
        .min(longest);
    rand::rng().random_range(Duration::ZERO..=limit)
}

/// Returns `interval` with up to a fifth added or taken away.
pub fn jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(0.8..=1.2))
}
