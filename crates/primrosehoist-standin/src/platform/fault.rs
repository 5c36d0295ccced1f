//! Faults of the platform and its rate limits.

use std::time::Duration;

use serde::Deserialize;
use tokio::time::Instant;

/// The faults in force. A key that is absent leaves the one in force as it is.
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
    /// Takes over the keys that are given.
    pub(crate) fn merge(&mut self, given: Faults) {
        self.down = given.down.or(self.down);
        self.slow_ms = given.slow_ms.or(self.slow_ms);
        self.lose_answers_percent = given.lose_answers_percent.or(self.lose_answers_percent);
        self.writes_per_s = given.writes_per_s.or(self.writes_per_s);
        self.reads_per_s = given.reads_per_s.or(self.reads_per_s);
        self.hosts_lag_ms = given.hosts_lag_ms.or(self.hosts_lag_ms);
        self.down_for = given.down_for.or(self.down_for.take());
    }

    /// Returns whether the platform is out of reach for `client`, which is in `zone`.
    pub(crate) fn is_down(&self, client: &str, zone: Option<&str>) -> bool {
        let is_cut = |cut: &String| cut == client || Some(cut.as_str()) == zone;
        let listed = |cuts: &Vec<String>| cuts.iter().any(is_cut);
        self.down == Some(true) || self.down_for.as_ref().is_some_and(listed)
    }

    /// Returns the time that every answer is late by.
    pub(crate) fn slow(&self) -> Duration {
        Duration::from_millis(self.slow_ms.unwrap_or(0))
    }

    /// Returns the time until a change of the hosts becomes visible.
    pub(crate) fn hosts_lag(&self) -> Duration {
        Duration::from_millis(self.hosts_lag_ms.unwrap_or(0))
    }

    /// Returns how many of a hundred answers to writes are lost.
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

/// Tokens that refill at a rate and hold those of one second.
#[derive(Debug, Default)]
struct Bucket {
    used: f64,
    at: Option<Instant>,
}

impl Bucket {
    fn take(&mut self, rate_per_s: u32, now: Instant) -> bool {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.duration_since(at));
        self.at = Some(now);
        self.used = (self.used - elapsed.as_secs_f64() * f64::from(rate_per_s)).max(0.0);
        let allowed = self.used + 1.0 <= f64::from(rate_per_s);
        if allowed {
            self.used += 1.0;
        }
        allowed
    }
}

/// What is left of the rate limits.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    reads: Bucket,
    writes: Bucket,
}

impl Rates {
    /// Counts a call and returns whether it is within its limit.
    pub(crate) fn take(&mut self, faults: &Faults, write: bool, now: Instant) -> bool {
        let rate_per_s = faults.rate(write);
        let bucket = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        rate_per_s == 0 || bucket.take(rate_per_s, now)
    }
}
