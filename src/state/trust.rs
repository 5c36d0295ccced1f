//! What recent answers say about an upstream.
//!
//! Status checks may lie and cost the upstream a slot, so evidence comes from real requests: an
//! upstream that fails is avoided for a time that doubles with each failure in a row, then gets
//! one request at a time until it answers again.
//!
//! Daemons warn each other of the upstreams that they avoid. A warning only makes an upstream
//! dear, since an upstream may fail for some daemons and not for others.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// How long an upstream is avoided after its first failure in a row.
const AVOID_FIRST: Duration = Duration::from_millis(500);

/// How long an upstream is avoided at most.
const AVOID_MAX: Duration = Duration::from_secs(6);

/// The weight of the newest answer in the share of failures.
const GAIN: f64 = 0.15;

/// The cost of an upstream that always fails, in the units of a placement.
const COST_MAX: f64 = 20.0;

/// The share of failures that is put down to chance.
const CHANCE: f64 = 0.05;

/// The cost of an upstream for each daemon that warns of it, in the units of a placement: about
/// what a short prompt loses by being late.
const WARNING_COST: f64 = 1.0;

/// Daemons whose warnings count at once, at most.
const WARNINGS_MAX: usize = 3;

/// How long a warning counts that is not repeated.
const WARNING_AGE_MAX: Duration = Duration::from_millis(1500);

/// How an attempt ended, as far as the upstream is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer.
    Good,
    /// A failure that the upstream reported itself, or a spoiled answer.
    Bad,
    /// No connection, or one that broke.
    Unreachable,
}

#[derive(Debug, Clone, Default)]
struct Record {
    failing: f64,
    in_row: u32,
    avoid_until: Option<Instant>,
}

/// What is known of the upstreams that failed recently.
#[derive(Debug, Default)]
pub struct Trust {
    records: Map<Arc<str>, Record>,
    /// Which daemons warn of an upstream, and when each last did.
    warnings: Map<Arc<str>, Map<Arc<str>, Instant>>,
}

impl Trust {
    /// Takes in how an attempt on `upstream` ended.
    pub fn record(&mut self, upstream: &Arc<str>, ending: Ending, now: Instant) {
        if ending == Ending::Good && !self.records.contains_key(upstream) {
            return;
        }
        let record = self.records.entry(Arc::clone(upstream)).or_default();
        let failed = if ending == Ending::Good { 0.0 } else { 1.0 };
        record.failing += (failed - record.failing) * GAIN;
        match ending {
            Ending::Good => {
                record.in_row = 0;
                record.avoid_until = None;
            }
            Ending::Bad => record.in_row += 1,
            Ending::Unreachable => {
                record.in_row += 1;
                let factor = 1 << (record.in_row - 1).min(8);
                let pause = (AVOID_FIRST * factor).min(AVOID_MAX);
                record.avoid_until = Some(now + pause);
            }
        }
        if record.failing < 0.01 {
            self.records.remove(upstream);
        }
    }

    /// Returns the cost of sending to `upstream`, or nothing if it must be avoided. `running` is
    /// the number of requests that run there.
    pub fn cost(&self, upstream: &str, running: u32, now: Instant) -> Option<f64> {
        let warned = self.warning_cost(upstream, now);
        let Some(record) = self.records.get(upstream) else {
            return Some(warned);
        };
        if record.avoid_until.is_some_and(|until| now < until) {
            return None;
        }
        // After a pause, one request shows whether the upstream is back.
        if record.avoid_until.is_some() && running > 0 {
            return None;
        }
        Some((record.failing - CHANCE).max(0.0) * COST_MAX + warned)
    }

    fn warning_cost(&self, upstream: &str, now: Instant) -> f64 {
        let Some(warnings) = self.warnings.get(upstream) else {
            return 0.0;
        };
        let fresh = warnings.values().filter(|at| now < **at + WARNING_AGE_MAX);
        fresh.count().min(WARNINGS_MAX) as f64 * WARNING_COST
    }

    /// Returns the upstreams that this daemon avoids, to warn others of them.
    pub fn avoided(&self, now: Instant) -> Vec<Arc<str>> {
        let avoided = |record: &Record| record.avoid_until.is_some_and(|until| now < until);
        let records = self.records.iter().filter(|(_, record)| avoided(record));
        records.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Takes in of which upstreams `daemon` warns now.
    pub fn warn(&mut self, daemon: &Arc<str>, upstreams: &[Arc<str>], now: Instant) {
        self.warnings.retain(|upstream, warnings| {
            if !upstreams.contains(upstream) {
                warnings.remove(daemon);
            }
            warnings.retain(|_, at| now < *at + WARNING_AGE_MAX);
            !warnings.is_empty()
        });
        for upstream in upstreams {
            let warnings = self.warnings.entry(Arc::clone(upstream)).or_default();
            warnings.insert(Arc::clone(daemon), now);
        }
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.records.remove(upstream);
        self.warnings.remove(upstream);
    }
}
