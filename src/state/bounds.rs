//! The service-level bounds of a deployment.

use std::time::Duration;

/// Service-level bounds. They apply to all daemons of a deployment together unless noted otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long after a disruption the time bounds hold again.
    pub settle_time: Duration,
    /// The longest time for which a draining upstream may still get new requests.
    pub drain_max: Duration,
    /// The time from the shutdown signal to the end of the process.
    pub shutdown_grace: Duration,
    /// The longest time until a new configuration is in force.
    pub config_apply_max: Duration,
    /// The longest time until an evacuated zone gets no new requests.
    pub evacuation_max: Duration,
    /// The largest number of retries per request.
    pub retry_ratio: f64,
    /// The window over which retries are counted.
    pub retry_window: Duration,
    /// Retries per window that are allowed in addition to the ratio.
    pub retry_slack: f64,
    /// The factor on the request rate that a cold upstream can handle.
    pub cold_factor: f64,
    /// Requests per second that a cold upstream may get in addition to that.
    pub cold_slack: f64,
    /// The longest stall of work that depends on an upstream that is gone.
    pub stall_max: Duration,
    /// The longest lease of a memory reservation.
    pub reservation_max: Duration,
    /// The longest time for which a memory reservation may be unused.
    pub reservation_idle: Duration,
}
