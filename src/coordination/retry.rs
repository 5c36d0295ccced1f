//! Decides when a request is tried again, and how often in all.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The mean delay before the second attempt doubles from twice this value.
pub const DELAY_BASE: Duration = Duration::from_millis(20);

/// The longest delay before a broken stream is resumed.
pub const RESUME_DELAY_MAX: Duration = Duration::from_millis(400);

/// The longest delay between attempts.
pub const DELAY_MAX: Duration = Duration::from_secs(1);

/// Retries that a service has at hand without first attempts, so that a rare request can be
/// retried too.
pub const FLOOR_RETRIES: u64 = 10;

/// The most retries that a budget saves up.
pub const SAVED_RETRIES_MAX: u64 = 100;

/// Hundredths of a retry in one retry.
const UNIT: u64 = 100;

/// Returns the delay before the attempt that follows `failed` failed ones, drawn by `dice` evenly
/// between zero and an exponential limit.
pub fn delay(failed: u32, dice: u64) -> Duration {
    let doublings = failed.min(16);
    let limit = DELAY_BASE.saturating_mul(1 << doublings).min(DELAY_MAX);
    let micros = limit.as_micros() as u64;
    Duration::from_micros(dice % (micros + 1))
}

/// Returns the delay before a broken stream is resumed, drawn by `dice`.
pub fn resume_delay(dice: u64) -> Duration {
    let micros = RESUME_DELAY_MAX.as_micros() as u64;
    Duration::from_micros(dice % (micros + 1))
}

/// The retries that a service may still make.
///
/// First attempts earn a percentage of a retry each. A failing service thus multiplies its load
/// by no more than that percentage, once the floor is spent.
#[derive(Debug)]
pub struct Budget {
    /// Saved retries, in hundredths.
    saved: AtomicU64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: AtomicU64::new(FLOOR_RETRIES * UNIT),
        }
    }
}

impl Budget {
    /// Notes a first attempt, which earns `percent` hundredths of a retry.
    pub fn earn(&self, percent: u32) {
        let add = |saved: u64| Some((saved + u64::from(percent)).min(SAVED_RETRIES_MAX * UNIT));
        // The update always succeeds, because `add` always yields a value.
        let _before = self
            .saved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add);
    }

    /// Takes one retry; returns whether there was one.
    pub fn take(&self) -> bool {
        let spend = |saved: u64| saved.checked_sub(UNIT);
        self.saved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, spend)
            .is_ok()
    }

    /// Returns the whole retries at hand.
    pub fn saved(&self) -> u64 {
        self.saved.load(Ordering::Acquire) / UNIT
    }
}
