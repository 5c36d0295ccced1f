//! Limits on retries: a budget per service, and delays that grow with each attempt.

use std::time::Duration;

use tokio::time::Instant;

/// Retries per second that are allowed whatever the number of first attempts.
pub const FLOOR_PER_SECOND: u64 = 1;

/// Retries that a service has at hand from the start, so that the first callers of a daemon can
/// go round an upstream that refuses.
pub const BURST: u64 = 10;

/// The largest number of retries that can be saved up.
pub const SAVED_MAX: u64 = 50;

/// The delay before the first retry, before jitter.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(20);

/// The longest delay between attempts, before jitter.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Units of the budget per retry. A first attempt earns one unit per percent.
const UNITS_PER_RETRY: u64 = 100_000;
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

/// The retry budget of one service.
///
/// Every first attempt earns a share of a retry, and time earns a small floor. A service whose
/// upstreams all fail therefore gets little more work than its callers send.
///
/// ```
/// use primrosehoist::state::budget::{BURST, Budget};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = Budget::new(20, now);
/// for _ in 0..BURST {
///     assert!(budget.retry(now));
/// }
/// assert!(!budget.retry(now));
/// for _ in 0..5 {
///     budget.attempt();
/// }
/// assert!(budget.retry(now), "five first attempts earn one retry at 20 percent");
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    percent: u32,
    units: u64,
    refilled: Instant,
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred first attempts.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            percent,
            units: UNITS_PER_RETRY * BURST,
            refilled: now,
        }
    }

    /// Changes the share of retries.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a first attempt.
    pub fn attempt(&mut self) {
        self.earn(u64::from(self.percent) * UNITS_PER_PERCENT);
    }

    /// Takes one retry from the budget; returns whether it may be made.
    pub fn retry(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(rest) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = rest;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let micros = elapsed.as_micros().min(u128::from(u32::MAX)) as u64;
        self.earn(micros * FLOOR_PER_SECOND * UNITS_PER_RETRY / 1_000_000);
        self.refilled = self.refilled.max(now);
    }

    fn earn(&mut self, units: u64) {
        self.units = (self.units + units).min(SAVED_MAX * UNITS_PER_RETRY);
    }
}

/// Returns the delay before retry `attempt`, counted from zero.
///
/// The delay doubles with each attempt up to [`BACKOFF_MAX`]. The random number `dice` spreads it
/// over the upper half, so that retries of many callers do not coincide.
pub fn backoff(attempt: u32, dice: u64) -> Duration {
    let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
    let full = BACKOFF_FIRST.saturating_mul(factor).min(BACKOFF_MAX);
    let half = full / 2;
    let micros = half.as_micros() as u64;
    half + Duration::from_micros(dice % (micros + 1))
}
