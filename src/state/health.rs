//! Tracks the health of upstreams from the results of recent requests.
//!
//! Active health checks can be wrong and occupy a slot of the upstream, so only real requests
//! count. An upstream that cannot be reached is avoided for a time that doubles with each
//! consecutive failure. After that it gets one request at a time until it answers again.
//!
//! Daemons warn each other of the upstreams that they avoid. A warning only raises the cost of an
//! upstream and does not exclude it, because it may fail for some daemons and not for others.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// How long an upstream is avoided after the first of consecutive failures.
const AVOID_INITIAL: Duration = Duration::from_millis(500);

/// The longest time for which an upstream is avoided after a failure.
const AVOID_MAX: Duration = Duration::from_secs(6);

/// The weight of the newest result in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f64 = 0.15;

/// The cost of an upstream that always fails, in units of placement cost.
const COST_MAX: f64 = 20.0;

/// The failure rate that is attributed to chance and adds no cost.
const FAILURE_RATE_IGNORED: f64 = 0.05;

/// The cost that each warning daemon adds to an upstream, in units of placement cost. It is about
/// the loss of a short prompt that is late.
const WARNING_COST: f64 = 1.0;

/// The largest number of daemons whose warnings about one upstream add to its cost.
const WARNINGS_MAX: usize = 3;

/// How long a warning stays valid unless it is repeated.
const WARNING_TTL: Duration = Duration::from_millis(1500);

/// The result of an attempt, as far as the health of the upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The upstream returned a complete answer.
    Success,
    /// The upstream reported a failure, or its answer was invalid.
    Failure,
    /// The connection could not be made, or it broke.
    Unreachable,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failure_rate: f64,
    consecutive_failures: u32,
    avoid_until: Option<Instant>,
}

/// The health of the upstreams that failed recently or that other daemons warn of.
#[derive(Debug, Default)]
pub struct Health {
    records: Map<Arc<str>, Record>,
    /// For each upstream, the daemons that warn of it and when each last did.
    warnings: Map<Arc<str>, Map<Arc<str>, Instant>>,
}

impl Health {
    /// Records the result of an attempt on `upstream`.
    pub fn record(&mut self, upstream: &Arc<str>, observation: Observation, now: Instant) {
        if observation == Observation::Success && !self.records.contains_key(upstream) {
            return;
        }
        let record = self.records.entry(Arc::clone(upstream)).or_default();
        let failed = if observation == Observation::Success {
            0.0
        } else {
            1.0
        };
        record.failure_rate += (failed - record.failure_rate) * FAILURE_RATE_GAIN;
        match observation {
            Observation::Success => {
                record.consecutive_failures = 0;
                record.avoid_until = None;
            }
            Observation::Failure => record.consecutive_failures += 1,
            Observation::Unreachable => {
                record.consecutive_failures += 1;
                let factor = 1 << (record.consecutive_failures - 1).min(8);
                let avoidance = (AVOID_INITIAL * factor).min(AVOID_MAX);
                record.avoid_until = Some(now + avoidance);
            }
        }
        if record.failure_rate < 0.01 {
            self.records.remove(upstream);
        }
    }

    /// Returns the cost of sending a request to `upstream`, or `None` if it must be avoided.
    /// `running` is the number of requests in flight there.
    pub fn cost(&self, upstream: &str, running: u32, now: Instant) -> Option<f64> {
        let warning_cost = self.warning_cost(upstream, now);
        let Some(record) = self.records.get(upstream) else {
            return Some(warning_cost);
        };
        if record.avoid_until.is_some_and(|until| now < until) {
            return None;
        }
        // After the avoidance ends, a single request probes whether the upstream has recovered.
        if record.avoid_until.is_some() && running > 0 {
            return None;
        }
        Some((record.failure_rate - FAILURE_RATE_IGNORED).max(0.0) * COST_MAX + warning_cost)
    }

    fn warning_cost(&self, upstream: &str, now: Instant) -> f64 {
        let Some(warnings) = self.warnings.get(upstream) else {
            return 0.0;
        };
        let fresh = warnings.values().filter(|at| now < **at + WARNING_TTL);
        fresh.count().min(WARNINGS_MAX) as f64 * WARNING_COST
    }

    /// Returns the upstreams that this daemon avoids, to warn others of them.
    pub fn avoided(&self, now: Instant) -> Vec<Arc<str>> {
        let avoided = |record: &Record| record.avoid_until.is_some_and(|until| now < until);
        let records = self.records.iter().filter(|(_, record)| avoided(record));
        records.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Replaces the set of upstreams that `daemon` warns of.
    pub fn record_warnings(&mut self, daemon: &Arc<str>, upstreams: &[Arc<str>], now: Instant) {
        self.warnings.retain(|upstream, warnings| {
            if !upstreams.contains(upstream) {
                warnings.remove(daemon);
            }
            warnings.retain(|_, at| now < *at + WARNING_TTL);
            !warnings.is_empty()
        });
        for upstream in upstreams {
            let warnings = self.warnings.entry(Arc::clone(upstream)).or_default();
            warnings.insert(Arc::clone(daemon), now);
        }
    }

    /// Returns whether this daemon avoids `upstream`.
    pub fn is_avoided(&self, upstream: &str, now: Instant) -> bool {
        let record = self.records.get(upstream);
        record.is_some_and(|record| record.avoid_until.is_some_and(|until| now < until))
    }

    /// Forgets the upstreams that could not be reached, after failures that were not theirs.
    pub fn forget_unreachable(&mut self) {
        self.records
            .retain(|_, record| record.avoid_until.is_none());
    }

    /// Removes the state of an upstream that no longer exists.
    pub fn remove(&mut self, upstream: &str) {
        self.records.remove(upstream);
        self.warnings.remove(upstream);
    }
}
