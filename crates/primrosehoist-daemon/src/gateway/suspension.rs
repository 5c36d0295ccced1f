//! Measures the time for which the host was suspended.
//!
//! The runtime's monotonic clock stops while a host is suspended, but client timeouts do not. The
//! difference between the boot-time clock and the monotonic clock is the time spent suspended.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the total time for which the host has been suspended since boot.
pub(crate) fn total() -> Duration {
    let read = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    // Reading the monotonic clock first never underestimates the difference.
    let running = read(ClockId::Monotonic);
    let boot = read(ClockId::Boottime);
    boot.saturating_sub(running)
}
