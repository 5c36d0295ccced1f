//! Fault injection of the object store.

use std::time::Duration;

use serde::Deserialize;

/// The largest number of outages in a schedule.
pub(crate) const OUTAGES_MAX: usize = 256;

/// How the store treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Mode {
    /// It performs them.
    #[default]
    None,
    /// It responds with status 429.
    Busy,
    /// It responds with status 503.
    Unavailable,
    /// It closes the connection without a response.
    Reset,
    /// It never responds.
    Silent,
    /// It refuses connections and closes those that are open. Only outages of a schedule do.
    Closed,
}

/// The active faults.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// How calls are treated.
    pub(crate) mode: Mode,
    /// Whether the mode applies to the second address only.
    pub(crate) also_only: bool,
    /// Whether writes are performed without a response.
    pub(crate) lose_writes: bool,
    /// Whether watches that arrive get no response.
    pub(crate) lose_watches: bool,
    /// The delay of each page of a list after it was read, in milliseconds.
    pub(crate) list_delay_ms: u64,
    /// The time that a call takes, half of it before its effect, in milliseconds.
    pub(crate) slow_ms: u64,
}

impl Faults {
    /// Returns half of the time that a call takes.
    pub(crate) fn half_delay(&self) -> Duration {
        Duration::from_millis(self.slow_ms) / 2
    }
}

/// An outage of a schedule.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Outage {
    /// The time from the end of the previous outage, or from the command, in milliseconds.
    pub(crate) after_ms: u64,
    /// The duration, in milliseconds.
    pub(crate) for_ms: u64,
    /// The faults during the outage.
    pub(crate) faults: Faults,
}
