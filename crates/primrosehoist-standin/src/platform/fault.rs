//! Fault injection and rate limits of the platform.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

use crate::rate::Bucket;

/// The active faults, or an update of them in which absent keys leave faults unchanged.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    down: Option<bool>,
    slow_ms: Option<u64>,
    lose_answers_percent: Option<u32>,
    writes_per_s: Option<u32>,
    reads_per_s: Option<u32>,
    hosts_lag_ms: Option<u64>,
    down_for: Option<Vec<String>>,
}

impl Faults {
    /// Applies the keys that are present in `given`.
    pub(crate) fn merge(&mut self, given: Faults) {
        self.down = given.down.or(self.down);
        self.slow_ms = given.slow_ms.or(self.slow_ms);
        self.lose_answers_percent = given.lose_answers_percent.or(self.lose_answers_percent);
        self.writes_per_s = given.writes_per_s.or(self.writes_per_s);
        self.reads_per_s = given.reads_per_s.or(self.reads_per_s);
        self.hosts_lag_ms = given.hosts_lag_ms.or(self.hosts_lag_ms);
        self.down_for = given.down_for.or(self.down_for.take());
    }

    /// Returns whether the platform is down for `client` in `zone`.
    pub(crate) fn is_down(&self, client: &str, zone: Option<&str>) -> bool {
        let matches = |name: &String| name == client || Some(name.as_str()) == zone;
        let listed = |names: &Vec<String>| names.iter().any(matches);
        self.down == Some(true) || self.down_for.as_ref().is_some_and(listed)
    }

    /// Returns the delay of every response.
    pub(crate) fn slow(&self) -> Duration {
        Duration::from_millis(self.slow_ms.unwrap_or(0))
    }

    /// Returns the time until a change to a host becomes visible.
    pub(crate) fn hosts_lag(&self) -> Duration {
        Duration::from_millis(self.hosts_lag_ms.unwrap_or(0))
    }

    /// Returns the percentage of writes whose response is lost.
    pub(crate) fn lose_answers_percent(&self) -> u32 {
        self.lose_answers_percent.unwrap_or(0)
    }

    fn rate(&self, write: bool) -> u32 {
        let rate = if write {
            self.writes_per_s
        } else {
            self.reads_per_s
        };
        rate.unwrap_or(0)
    }
}

/// The rate limiters for reads and writes.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    reads: Bucket,
    writes: Bucket,
}

impl Rates {
    /// Takes a token and returns whether the call is within its limit; a rate of 0 means no limit.
    pub(crate) fn take(&mut self, faults: &Faults, write: bool, now: Instant) -> bool {
        let rate_per_s = faults.rate(write);
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        bucket.take(rate_per_s, now)
    }
}
