//! Decides whether a retry draws on the retry budget, and how long a stream resumption is delayed.

use std::time::Duration;

use crate::state::budget::Budget;
use tokio::time::Instant;

/// The largest delay before a broken stream is resumed.
pub const RESUME_DELAY_MAX: Duration = Duration::from_millis(400);

/// Whether a failed attempt caused any work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// No holder or upstream received the request.
    Unreached,
    /// A holder or an upstream processed the request, if only to refuse it.
    Reached,
}

/// Returns whether a retry is allowed, and draws on `budget` if the failed attempt caused work.
///
/// An attempt that reached nobody added no load, so its retry cannot amplify load. Only the backoff
/// limits it.
pub fn may_retry(budget: &mut Budget, reach: Reach, now: Instant) -> bool {
    reach == Reach::Unreached || budget.withdraw(now)
}

/// Maps the random number `random` to a delay before a broken stream is resumed.
pub fn resume_delay(random: u64) -> Duration {
    let micros = RESUME_DELAY_MAX.as_micros() as u64;
    Duration::from_micros(random % (micros + 1))
}
