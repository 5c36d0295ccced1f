//! Decides how long an upstream may be silent before its request is given up.
//!
//! An upstream can hang while its status checks pass, so a request that may run again elsewhere
//! does not wait for its deadline. What the upstream had to do when the request was placed says
//! when an answer was due; giving up too early would have the prompt read twice.
//!
//! The load that this answers: long prompts divided over several engines, one of which hangs.

use std::time::Duration;

use crate::state::bounds::Bounds;

/// How many times the expected time the first event may take. Nine in ten long prompts take up
/// to 1.2 times as long as expected.
const EXPECTED_TIMES: f64 = 1.5;

/// What the first event may take beyond that: about a pass of a full engine and two turns of the
/// network.
const SLACK: Duration = Duration::from_millis(500);

/// The shortest time in which an upstream may be silent.
const FIRST_MIN: Duration = Duration::from_millis(1500);

/// What was expected of an attempt when it was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expectation {
    /// When the first event should come.
    pub ready: Duration,
    /// Whether other upstreams read parts of the prompt.
    pub is_divided: bool,
    /// Whether memory is reserved for it elsewhere, with leases of this length.
    pub lease: Option<Duration>,
    /// Whether another attempt may follow.
    pub may_repeat: bool,
}

/// Returns how long the first event may take, if that is limited.
///
/// Memory that is reserved for a request must not stay unused for long. So such a request is
/// given up in any case, early enough for the leases to lapse if they cannot be returned.
pub fn first_event_limit(expected: &Expectation, bounds: &Bounds) -> Option<Duration> {
    let stall = if expected.is_divided {
        bounds.stall_max
    } else {
        Duration::ZERO
    };
    let patience = (expected.ready.mul_f64(EXPECTED_TIMES) + SLACK + stall).max(FIRST_MIN);
    match expected.lease {
        Some(lease) => Some(patience.min(bounds.reservation_idle.saturating_sub(lease))),
        None => expected.may_repeat.then_some(patience),
    }
}
