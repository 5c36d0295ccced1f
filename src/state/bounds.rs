//! The bounds within which a deployment keeps its promises.

use std::time::Duration;

/// Bounds that hold for all daemons of a deployment together, unless a field says otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long after a disturbance time bounds hold again.
    pub settled: Duration,
    /// The longest time in which a leaving upstream may still get new work.
    pub drain: Duration,
    /// The time from the signal to shut down to the end of the process.
    pub grace: Duration,
    /// The longest time until a configuration is in force.
    pub config: Duration,
    /// The longest time until a zone that is taken out gets no new work.
    pub evacuation: Duration,
    /// Retries per request.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Retries per window beyond the ratio.
    pub retry_slack: f64,
    /// By how much the rate that a cold upstream bears may be exceeded.
    pub cold_factor: f64,
    /// Requests per second beyond that.
    pub cold_slack: f64,
    /// How long work stalls that depends on an upstream that is gone.
    pub stall: Duration,
    /// The longest lease of a memory reservation.
    pub reservation_max: Duration,
    /// The longest time for which a memory reservation may be unused.
    pub reservation_idle: Duration,
}
