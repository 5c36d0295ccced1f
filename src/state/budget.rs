//! Retry budgets per service, and exponential backoff between attempts.

use std::time::Duration;

use tokio::time::Instant;

/// Retries per second that are allowed regardless of the number of first attempts.
pub const FLOOR_PER_SECOND: u64 = 1;

/// Retries in a new budget, so that the first requests of a daemon can be retried when an upstream
/// refuses them.
pub const BURST: u64 = 10;

/// The largest number of retries that a budget can accumulate.
pub const SAVED_MAX: u64 = 50;

/// The delay before the first retry, before jitter.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(20);

/// The longest delay between attempts, before jitter.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Budget units per retry. A first attempt earns [`UNITS_PER_PERCENT`] for each percent of the
/// retry share, a hundredth of a retry.
const UNITS_PER_RETRY: u64 = 100_000;
const UNITS_PER_PERCENT: u64 = UNITS_PER_RETRY / 100;

/// The retry budget of one service.
///
/// Every first attempt earns a fraction of a retry, and a small number of retries is earned over
/// time. When all upstreams of a service fail, retries therefore add little to the load that its
/// callers send.
///
/// ```
/// use primrosehoist::state::budget::{BURST, Budget};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut budget = Budget::new(20, now);
/// for _ in 0..BURST {
///     assert!(budget.withdraw(now));
/// }
/// assert!(!budget.withdraw(now));
/// for _ in 0..5 {
///     budget.deposit();
/// }
/// assert!(budget.withdraw(now), "five first attempts earn one retry at 20 percent");
/// ```
#[derive(Debug, Clone)]
pub struct Budget {
    percent: u32,
    units: u64,
    last_refill: Instant,
}

impl Budget {
    /// Creates a budget of `percent` retries per hundred first attempts.
    pub fn new(percent: u32, now: Instant) -> Self {
        Self {
            percent,
            units: UNITS_PER_RETRY * BURST,
            last_refill: now,
        }
    }

    /// Sets the number of retries per hundred first attempts.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn deposit(&mut self) {
        self.earn(u64::from(self.percent) * UNITS_PER_PERCENT);
    }

    /// Withdraws one retry and returns whether the budget covered it.
    pub fn withdraw(&mut self, now: Instant) -> bool {
        self.refill(now);
        let Some(remaining) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = remaining;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_refill);
        let micros = elapsed.as_micros().min(u128::from(u32::MAX)) as u64;
        self.earn(micros * FLOOR_PER_SECOND * UNITS_PER_RETRY / 1_000_000);
        self.last_refill = self.last_refill.max(now);
    }

    fn earn(&mut self, units: u64) {
        self.units = (self.units + units).min(SAVED_MAX * UNITS_PER_RETRY);
    }
}

/// Returns the backoff before retry number `attempt`, counted from zero.
///
/// The delay doubles with each attempt up to [`BACKOFF_MAX`]. The number `random` jitters it over
/// the upper half of its range, so that the retries of many callers do not coincide.
pub fn backoff(attempt: u32, random: u64) -> Duration {
    let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
    let full = BACKOFF_FIRST.saturating_mul(factor).min(BACKOFF_MAX);
    let half = full / 2;
    let micros = half.as_micros() as u64;
    half + Duration::from_micros(random % (micros + 1))
}
