//! Detects that this host is cut off from the upstreams while it still reaches clients, the platform
//! and the other daemons.
//!
//! Failures and silence alone do not tell whether the upstreams or the network of this host are at
//! fault, so they only cause a probe: connections to a few upstreams, of several zones if possible.
//! The host is cut off if none of several connections can be made, until one can be made again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;
use crate::state::roster::Upstream;

/// Distinct upstreams that must fail, or be silent, before the host may be cut off.
const SUSPICION_UPSTREAMS_MIN: usize = 2;

/// How long a failure to reach an upstream is considered.
const FAILURE_TTL: Duration = Duration::from_secs(2);

/// The silence of all upstreams after which the host may be cut off. It is several times the usual
/// pause between two events of a stream.
const SILENCE_MAX: Duration = Duration::from_millis(400);

/// How long after upstreams were last heard from open connections to them are likely to work.
const HEARD_TTL: Duration = Duration::from_secs(2);

/// The shortest interval between two probes while the host is not cut off. Probes occupy connections
/// of the upstreams.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The shortest interval between two probes while the host is cut off.
const PROBE_INTERVAL_CUT_OFF: Duration = Duration::from_millis(250);

/// The longest random time that is added to that interval, so that hosts do not all return at once.
const PROBE_JITTER_MAX: Duration = Duration::from_millis(250);

/// The largest number of upstreams that are probed at once.
const PROBED_MAX: usize = 3;

/// The largest number of upstreams that are probed in addition before the host is considered cut off,
/// since most may be down.
const CONFIRMED_MAX: usize = 32;

/// Upstreams that must be probed in vain before the host is considered cut off. A single one may
/// have crashed.
pub const PROBED_MIN: usize = 2;

/// A change of whether the host is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No upstream can be reached any more.
    CutOff,
    /// An upstream was reached again.
    Restored,
}

/// The attempts that wait for one upstream.
#[derive(Debug)]
struct Waiting {
    attempts: usize,
    since: Instant,
}

/// Whether this host is cut off from the upstreams, and the signs of it.
#[derive(Debug, Default)]
pub struct Detector {
    waiting: Map<Arc<str>, Waiting>,
    /// When any upstream was last heard from.
    last_heard: Option<Instant>,
    /// When each upstream last could not be reached.
    failures: Map<Arc<str>, Instant>,
    /// The earliest time of the next probe.
    next_probe: Option<Instant>,
    /// Whether another host has become cut off since the last probe.
    is_doubted: bool,
    is_cut_off: bool,
}

impl Detector {
    /// Records that an attempt waits for `upstream` from now on. Returns whether silence is a sign
    /// from now on, because attempts wait for enough upstreams.
    pub fn begin(&mut self, upstream: &Arc<str>, now: Instant) -> bool {
        if let Some(waiting) = self.waiting.get_mut(upstream) {
            waiting.attempts += 1;
            return false;
        }
        let waiting = Waiting {
            attempts: 1,
            since: now,
        };
        self.waiting.insert(Arc::clone(upstream), waiting);
        self.waiting.len() == SUSPICION_UPSTREAMS_MIN
    }

    /// Records that an attempt no longer waits for `upstream`.
    pub fn end(&mut self, upstream: &Arc<str>) {
        if let Some(waiting) = self.waiting.get_mut(upstream) {
            waiting.attempts -= 1;
            if waiting.attempts == 0 {
                self.waiting.remove(upstream);
            }
        }
    }

    /// Records that bytes arrived from any upstream.
    pub fn record_heard(&mut self, now: Instant) {
        self.last_heard = Some(now);
    }

    /// Returns whether any upstream was heard from recently.
    pub fn hears_upstreams(&self, now: Instant) -> bool {
        self.last_heard.is_some_and(|heard| now < heard + HEARD_TTL)
    }

    /// Records that another host has become cut off, as this one may be, too, which has sent nothing
    /// meanwhile.
    pub fn doubt(&mut self) {
        self.is_doubted = true;
    }

    /// Records that `upstream` could not be reached.
    pub fn record_failure(&mut self, upstream: &Arc<str>, now: Instant) {
        self.failures.retain(|_, at| now < *at + FAILURE_TTL);
        self.failures.insert(Arc::clone(upstream), now);
    }

    /// Returns whether `upstream` recently could not be reached.
    pub fn failed_recently(&self, upstream: &str, now: Instant) -> bool {
        let failure = self.failures.get(upstream);
        failure.is_some_and(|at| now < *at + FAILURE_TTL)
    }

    /// Returns the number of upstreams that recently could not be reached.
    pub fn failure_count(&self, now: Instant) -> usize {
        let failures = self.failures.values();
        failures.filter(|at| now < **at + FAILURE_TTL).count()
    }

    /// Returns how long attempts have waited for several upstreams and none was heard from.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        let since = self.silent_since()?;
        Some(now.saturating_duration_since(since))
    }

    fn silent_since(&self) -> Option<Instant> {
        let mut waits: Vec<Instant> = self.waiting.values().map(|wait| wait.since).collect();
        waits.sort_unstable();
        let since = *waits.get(SUSPICION_UPSTREAMS_MIN - 1)?;
        Some(self.last_heard.map_or(since, |heard| heard.max(since)))
    }

    /// Returns when the next probe is due if nothing else is recorded until then.
    pub fn probe_due(&self, now: Instant) -> Option<Instant> {
        let earliest = self.next_probe.unwrap_or(now);
        let has_failures = self.failure_count(now) >= SUSPICION_UPSTREAMS_MIN;
        if self.is_cut_off || self.is_doubted || has_failures {
            return Some(earliest);
        }
        let silent_since = self.silent_since()?;
        Some(earliest.max(silent_since + SILENCE_MAX))
    }

    /// Returns whether upstreams must be probed now.
    pub fn needs_probe(&self, now: Instant) -> bool {
        self.probe_due(now).is_some_and(|due| now >= due)
    }

    /// Records that `reached` of `probed` upstreams could be connected to. `random` is from 0 to 1.
    /// Returns the change that it shows, if any.
    pub fn record_probe(
        &mut self,
        probed: usize,
        reached: usize,
        random: f64,
        now: Instant,
    ) -> Option<Change> {
        let change = match (self.is_cut_off, reached) {
            (false, 0) if probed >= PROBED_MIN => Some(Change::CutOff),
            (true, 1..) => Some(Change::Restored),
            _ => None,
        };
        self.is_doubted = false;
        if reached > 0 {
            self.record_heard(now);
        }
        match change {
            Some(Change::CutOff) => self.is_cut_off = true,
            Some(Change::Restored) => {
                self.is_cut_off = false;
                self.failures.clear();
            }
            None => {}
        }
        let interval = if self.is_cut_off {
            PROBE_INTERVAL_CUT_OFF + PROBE_JITTER_MAX.mul_f64(random)
        } else {
            PROBE_INTERVAL
        };
        self.next_probe = Some(now + interval);
        change
    }

    /// Returns whether this host is cut off from the upstreams.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}

/// Returns the upstreams to probe for a host in `zone`, and those to probe as well if none of them can
/// be reached: of as many zones as possible, and in each first those that have not failed. `random`
/// returns numbers from 0 to 1.
///
/// One is in the zone of the host if there is any there, since a host that only reaches its own zone
/// is not cut off.
pub fn probe_targets<F, R>(
    candidates: &[Arc<Upstream>],
    failed: F,
    zone: &str,
    mut random: R,
) -> (Vec<Arc<Upstream>>, Vec<Arc<Upstream>>)
where
    F: Fn(&str) -> bool,
    R: FnMut() -> f64,
{
    let mut order: Vec<(bool, f64, &Arc<Upstream>)> = candidates
        .iter()
        .map(|upstream| (failed(&upstream.id), random(), upstream))
        .collect();
    order.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
    let mut in_zone: Map<&str, usize> = Map::default();
    let mut ranked: Vec<((usize, bool), &Arc<Upstream>)> = order
        .into_iter()
        .map(|(_, _, upstream)| {
            let rank = in_zone.entry(&upstream.zone).or_default();
            *rank += 1;
            ((*rank, upstream.zone.as_ref() != zone), upstream)
        })
        .collect();
    // The sort is stable, so it keeps the order of those with equal ranks.
    ranked.sort_by_key(|(rank, _)| *rank);
    let mut targets = ranked.into_iter().map(|(_, upstream)| Arc::clone(upstream));
    let first = targets.by_ref().take(PROBED_MAX).collect();
    (first, targets.take(CONFIRMED_MAX).collect())
}
