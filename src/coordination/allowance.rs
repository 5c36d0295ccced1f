//! Fleet-wide rate limits, divided into fixed shares per daemon.
//!
//! Each daemon gets an even share of an upstream's cold-start rate limit and of the retry budget.
//! Fixed shares need no coordination, so network partitions, paused processes and restarts cannot
//! violate the limit. The price is that a daemon with little load leaves its share unused. An
//! upstream may become cold without warning, so the share applies at all times.
//!
//! In a fleet so large that an even share is below `EVEN_SHARE_MIN`, the limit is divided into
//! shares of one request, whose owners are selected by [`rendezvous`] hashing. Only owners send to
//! an upstream that is known to be cold. All daemons send to one that is assumed warm, up to
//! `WARM_FRACTION` of the limit according to the counts that daemons exchange. The rest of the
//! limit covers requests that are sent while counts are in transit.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::rendezvous;
use crate::state::bounds::Bounds;
use crate::state::map::Map;
use crate::state::window::Window;

/// The window of the cold-start limit.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// The fraction of a fleet-wide limit that is divided among daemons. The rest covers requests that
/// are sent in one window and arrive in the next, and daemons that restart within a window.
const DIVIDED_FRACTION: f64 = 0.9;

/// The number of daemons that is assumed until the others are known.
const DAEMONS_ASSUMED: usize = 24;

/// The smallest useful even share, in requests per second.
const EVEN_SHARE_MIN: u64 = 2;

/// The fraction of the limit up to which daemons of a large fleet send to a warm upstream.
const WARM_FRACTION: f64 = 0.6;

#[derive(Debug)]
struct Retries {
    requests: Window,
    retries: Window,
}

/// One daemon's shares of the fleet-wide limits.
#[derive(Debug)]
pub struct Allowance {
    bounds: Bounds,
    own: Arc<str>,
    /// All daemons including this one, sorted.
    daemons: Vec<Arc<str>>,
    /// Whether this daemon owns a share, by upstream.
    owned: Map<Arc<str>, bool>,
    sends: Map<Arc<str>, Window>,
    services: Map<Arc<str>, Retries>,
}

impl Allowance {
    /// Creates the shares of the daemon `own`, which does not know the other daemons yet.
    pub fn new(own: Arc<str>, bounds: Bounds) -> Self {
        Self {
            bounds,
            own,
            daemons: Vec::new(),
            owned: Map::default(),
            sends: Map::default(),
            services: Map::default(),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if bounds.retry_window != self.bounds.retry_window {
            self.services.clear();
        }
        self.bounds = bounds;
        self.owned.clear();
    }

    /// Sets the names of all daemons, including those that may be gone.
    pub fn set_daemons(&mut self, mut daemons: Vec<Arc<str>>) {
        daemons.sort();
        if daemons != self.daemons {
            self.daemons = daemons;
            self.owned.clear();
        }
    }

    fn daemon_count(&self) -> usize {
        if self.daemons.is_empty() {
            DAEMONS_ASSUMED
        } else {
            self.daemons.len()
        }
    }

    /// Returns the requests per second that all daemons together may send to an upstream whose
    /// cold-start capacity is `rate`.
    fn limit(&self, rate: f64) -> f64 {
        rate * self.bounds.cold_factor + self.bounds.cold_slack
    }

    /// Returns the requests per second that this daemon may always send to `upstream`, whose
    /// cold-start capacity is `rate`, whatever the other daemons send.
    pub fn guaranteed_sends(&mut self, upstream: &Arc<str>, rate: f64) -> u64 {
        let divided = self.limit(rate) * DIVIDED_FRACTION;
        let even = (divided / self.daemon_count() as f64).floor() as u64;
        if even >= EVEN_SHARE_MIN || self.daemons.is_empty() {
            return even;
        }
        if let Some(owned) = self.owned.get(upstream) {
            return u64::from(*owned);
        }
        let owned = self.is_owner(upstream, divided.floor() as usize);
        self.owned.insert(Arc::clone(upstream), owned);
        u64::from(owned)
    }

    /// Returns whether this daemon is one of the `owners` daemons that share the limit.
    fn is_owner(&self, upstream: &str, owners: usize) -> bool {
        let own = rendezvous::weight(upstream, &self.own);
        let ahead = self
            .daemons
            .iter()
            .filter(|daemon| rendezvous::weight(upstream, daemon) > own);
        ahead.count() < owners
    }

    /// Returns whether a request may be sent to `upstream`, whose cold-start capacity is `rate`
    /// requests per second. A `rate` of zero means unlimited.
    ///
    /// `others` is the number of requests that other daemons sent in the last second, or `None` if
    /// the upstream may be cold or the other daemons cannot be reached.
    pub fn may_send(
        &mut self,
        upstream: &Arc<str>,
        rate: f64,
        others: Option<u64>,
        now: Instant,
    ) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let sent = self.sends.get_mut(upstream);
        let sent = sent.map_or(0, |window| window.count(now));
        if sent < self.guaranteed_sends(upstream, rate) {
            return true;
        }
        let even = self.limit(rate) * DIVIDED_FRACTION / self.daemon_count() as f64;
        let is_large_fleet = (even as u64) < EVEN_SHARE_MIN;
        is_large_fleet
            && others
                .is_some_and(|others| ((sent + others) as f64) < self.limit(rate) * WARM_FRACTION)
    }

    /// Returns the number of requests that this daemon sent in the last second, by upstream.
    pub fn recent_sends(&mut self, now: Instant) -> Vec<(Arc<str>, u32)> {
        let counts = self.sends.iter_mut();
        let counts = counts.map(|(id, window)| (Arc::clone(id), window.count(now) as u32));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Records a request that is sent to `upstream`.
    pub fn record_send(&mut self, upstream: &Arc<str>, now: Instant) {
        let window = self.sends.entry(Arc::clone(upstream));
        window.or_insert_with(|| Window::new(COLD_WINDOW)).add(now);
    }

    /// Removes an upstream that no longer exists.
    pub fn remove(&mut self, upstream: &str) {
        self.sends.remove(upstream);
        self.owned.remove(upstream);
    }

    /// Records the first attempt of a request for `service`.
    pub fn record_request(&mut self, service: &Arc<str>, now: Instant) {
        self.retries(service).requests.add(now);
    }

    /// Draws a retry from the budget of `service`. Returns whether the budget allowed it.
    pub fn try_retry(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let allowed = self.has_retry(service, now);
        if allowed {
            self.retries(service).retries.add(now);
        }
        allowed
    }

    /// Returns whether the budget of `service` allows a retry now.
    pub fn has_retry(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let share = self.bounds.retry_slack * DIVIDED_FRACTION / self.daemon_count() as f64;
        let ratio = self.bounds.retry_ratio * DIVIDED_FRACTION;
        let counts = self.retries(service);
        let allowed = counts.requests.count(now) as f64 * ratio + share;
        (counts.retries.count(now) + 1) as f64 <= allowed
    }

    fn retries(&mut self, service: &Arc<str>) -> &mut Retries {
        let span = self.bounds.retry_window;
        let counts = self.services.entry(Arc::clone(service));
        counts.or_insert_with(|| Retries {
            requests: Window::new(span),
            retries: Window::new(span),
        })
    }
}
