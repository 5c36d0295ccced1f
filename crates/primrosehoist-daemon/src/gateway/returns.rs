//! When the callers of refused requests may come again.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::comeback::Schedule;
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::LatencyClass;
use tokio::time::Instant;

use super::attempt::Attempts;
use super::job::Job;

/// The shortest `Retry-After` of a refused request. Short requests end within two to three seconds, so
/// capacity becomes available at this rate.
pub(crate) const RETRY_MIN: Duration = Duration::from_millis(300);

/// The range of the random addition to [`RETRY_MIN`].
const RETRY_JITTER: Duration = Duration::from_millis(1200);

/// The share of the time that a caller has left within which it waits as told.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// The times at which refused callers come again, by service and latency class.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    schedules: Map<(Arc<str>, LatencyClass), Schedule>,
}

impl Returns {
    /// Records that a request was placed.
    pub(crate) fn record_placed(&mut self, job: &Job, now: Instant) {
        if job.service.engine.is_some() {
            self.schedule(job).record_placed(now);
        }
    }

    fn schedule(&mut self, job: &Job) -> &mut Schedule {
        let kind = (Arc::clone(&job.service.name), job.latency_class());
        self.schedules.entry(kind).or_default()
    }
}

/// Returns the `Retry-After` of a request that did not run for `reason`.
pub(crate) fn retry_after(attempts: &Attempts, reason: &str) -> Duration {
    if let Some(after) = attempts.retry_after {
        return after;
    }
    let (job, now) = (&attempts.job, Instant::now());
    let latest = job.remaining().mul_f64(HONOURED_SHARE);
    let random = rand::random::<f64>();
    if is_for_capacity(reason) && job.service.engine.is_some() {
        let mut returns = attempts.context.returns.lock();
        return returns.schedule(job).book(latest, random, now);
    }
    let reopens_after = attempts
        .reopens_at
        .map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
    reopens_after + (RETRY_MIN + RETRY_JITTER.mul_f64(random)).min(latest)
}

/// Returns whether a request was refused for this reason because others need the capacity.
fn is_for_capacity(reason: &str) -> bool {
    matches!(reason, "overloaded" | "crowded")
}
