//! The time for which the host was suspended.
//!
//! The runtime's clock stands still while a host is suspended, but the client's patience does
//! not. The difference to the clock that counts suspension tells by how much.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time that the host has been suspended since it started.
pub(crate) fn total() -> Duration {
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    // Read in this order, the difference is never too small.
    let running = read(ClockId::Monotonic);
    let all = read(ClockId::Boottime);
    all.saturating_sub(running)
}
