//! Computes how long to wait for the first event of an attempt.
//!
//! An upstream can hang while its health checks pass, so a request that may run elsewhere does not
//! wait until its deadline. The timeout follows from the time to the first event that was
//! expected when the request was placed. If it were too short, the prompt would be prefilled twice.
//!
//! The target workload is long prompts that are split across several engines, one of which hangs.

use std::time::Duration;

use crate::state::bounds::Bounds;

/// The factor on the expected time to the first event. Nine in ten long prompts take up to 1.2
/// times as long as expected.
const EXPECTED_FACTOR: f64 = 1.5;

/// Added to the expected time: about one pass of a full engine and two network round trips.
const SLACK: Duration = Duration::from_millis(500);

/// The shortest timeout.
const TIMEOUT_MIN: Duration = Duration::from_millis(1500);

/// The properties of an attempt that were known when it was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expectation {
    /// The expected time to the first event.
    pub ready: Duration,
    /// Whether other upstreams prefill parts of the prompt.
    pub is_split: bool,
    /// The duration of the leases on memory that is reserved at other upstreams, if any is.
    pub lease: Option<Duration>,
    /// Whether another attempt may follow.
    pub may_retry: bool,
}

/// Returns the timeout for the first event, or `None` if only the deadline applies.
///
/// Reserved memory must not stay unused for long. A request that has reservations always times out,
/// early enough for the leases to expire in time if releasing them fails.
pub fn first_event_timeout(expected: &Expectation, bounds: &Bounds) -> Option<Duration> {
    let stall = if expected.is_split {
        bounds.stall_max
    } else {
        Duration::ZERO
    };
    let timeout = (expected.ready.mul_f64(EXPECTED_FACTOR) + SLACK + stall).max(TIMEOUT_MIN);
    match expected.lease {
        Some(lease) => Some(timeout.min(bounds.reservation_idle.saturating_sub(lease))),
        None => expected.may_retry.then_some(timeout),
    }
}
