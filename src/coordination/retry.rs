//! Decides whether a retry draws on the retry budget, and when a broken stream is resumed.

use std::time::Duration;

use crate::state::budget::Budget;
use tokio::time::Instant;

/// The longest delay before a broken stream is resumed.
pub const RESUME_DELAY_MAX: Duration = Duration::from_millis(400);

/// How far a failed attempt came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Nothing took the request: no holder, or an upstream that cannot be reached.
    Nowhere,
    /// A holder or an upstream spent work on the request, if only to refuse it.
    Somewhere,
}

/// Returns whether a retry may be made, and draws on `budget` if the attempt cost anybody work.
///
/// An attempt that reached nobody added no load, so its retry cannot multiply load either; the
/// backoff alone bounds it.
pub fn may_retry(budget: &mut Budget, reach: Reach, now: Instant) -> bool {
    reach == Reach::Nowhere || budget.withdraw(now)
}

/// Returns the delay before a broken stream is resumed, drawn by `dice`.
pub fn resume_delay(dice: u64) -> Duration {
    let micros = RESUME_DELAY_MAX.as_micros() as u64;
    Duration::from_micros(dice % (micros + 1))
}
