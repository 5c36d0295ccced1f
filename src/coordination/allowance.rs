//! Limits that hold for all daemons together, divided into fixed shares.
//!
//! Each daemon takes an even share of what an upstream bears while it is cold, and of the retry
//! budget. A fixed share needs no agreement, so neither a cut, a pause nor a restart can break
//! the limit; the price is that a daemon with little work leaves its share unused. An upstream
//! may turn cold without a warning, so the share holds at all times.
//!
//! In a fleet so large that an even share is less than [`EVEN_MIN`], the limit is divided among
//! as many daemons as it has whole requests, chosen by [`rendezvous`]. An upstream that is known
//! to be cold gets requests from these only. One that is taken for warm gets them from all, up to
//! [`WARM_SHARE`] of the limit by the counts that daemons tell each other; the rest of the limit
//! covers what was sent while the counts were on their way.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::rendezvous;
use crate::state::bounds::Bounds;
use crate::state::map::Map;
use crate::state::window::Window;

/// The window of the cold limit.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// The part of a common limit that is divided. The rest is for requests that left in one window
/// and arrive in the next, and for daemons that restart within one.
const DIVIDED: f64 = 0.9;

/// The number of daemons that is assumed until they are known.
const DAEMONS_UNKNOWN: usize = 24;

/// The smallest even share that is of use, in requests per second.
const EVEN_MIN: u64 = 2;

/// The part of the limit up to which a warm upstream gets requests in a large fleet.
const WARM_SHARE: f64 = 0.6;

#[derive(Debug)]
struct Retries {
    requests: Window,
    retries: Window,
}

/// The shares of one daemon.
#[derive(Debug)]
pub struct Allowance {
    bounds: Bounds,
    own: Arc<str>,
    /// All daemons, this one included, in order.
    daemons: Vec<Arc<str>>,
    /// Whether this daemon is an owner, by upstream.
    owned: Map<Arc<str>, bool>,
    sends: Map<Arc<str>, Window>,
    services: Map<Arc<str>, Retries>,
}

impl Allowance {
    /// Creates the shares of the daemon `own`, which does not know the others yet.
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

    /// Puts other bounds into force.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        if bounds.retry_window != self.bounds.retry_window {
            self.services.clear();
        }
        self.bounds = bounds;
        self.owned.clear();
    }

    /// Sets the names of all daemons, those that may be gone included.
    pub fn set_daemons(&mut self, mut daemons: Vec<Arc<str>>) {
        daemons.sort();
        if daemons != self.daemons {
            self.daemons = daemons;
            self.owned.clear();
        }
    }

    fn count(&self) -> usize {
        if self.daemons.is_empty() {
            DAEMONS_UNKNOWN
        } else {
            self.daemons.len()
        }
    }

    /// Returns the requests in a second that all daemons together may send to an upstream that
    /// bears `rate` while cold.
    fn limit(&self, rate: f64) -> f64 {
        rate * self.bounds.cold_factor + self.bounds.cold_slack
    }

    /// Returns the requests that this daemon may always send in a second to `upstream`, which
    /// bears `rate` per second while cold.
    pub fn sends_max(&mut self, upstream: &Arc<str>, rate: f64) -> u64 {
        let divided = self.limit(rate) * DIVIDED;
        let even = (divided / self.count() as f64).floor() as u64;
        if even >= EVEN_MIN || self.daemons.is_empty() {
            return even;
        }
        if let Some(owned) = self.owned.get(upstream) {
            return u64::from(*owned);
        }
        let owned = self.is_owner(upstream, divided.floor() as usize);
        self.owned.insert(Arc::clone(upstream), owned);
        u64::from(owned)
    }

    /// Returns whether this daemon is one of the `owners` among which the limit is divided.
    fn is_owner(&self, upstream: &str, owners: usize) -> bool {
        let own = rendezvous::weight(upstream, &self.own);
        let before = self
            .daemons
            .iter()
            .filter(|daemon| rendezvous::weight(upstream, daemon) > own);
        before.count() < owners
    }

    /// Returns whether a request may be sent to `upstream`, which bears `rate` per second while
    /// cold; zero means any number. `others` is the number of requests that other daemons sent
    /// in the last second, unless the upstream may be cold or they cannot be heard.
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
        if sent < self.sends_max(upstream, rate) {
            return true;
        }
        let even = self.limit(rate) * DIVIDED / self.count() as f64;
        let shared = (even as u64) < EVEN_MIN;
        shared
            && others.is_some_and(|others| ((sent + others) as f64) < self.limit(rate) * WARM_SHARE)
    }

    /// Returns the requests that this daemon sent in the last second, by upstream.
    pub fn recent(&mut self, now: Instant) -> Vec<(Arc<str>, u32)> {
        let counts = self.sends.iter_mut();
        let counts = counts.map(|(id, window)| (Arc::clone(id), window.count(now) as u32));
        counts.filter(|(_, count)| *count > 0).collect()
    }

    /// Records a request that is sent to `upstream`.
    pub fn sent(&mut self, upstream: &Arc<str>, now: Instant) {
        let window = self.sends.entry(Arc::clone(upstream));
        window.or_insert_with(|| Window::new(COLD_WINDOW)).add(now);
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.sends.remove(upstream);
        self.owned.remove(upstream);
    }

    /// Records the first attempt of a request for `service`.
    pub fn request(&mut self, service: &Arc<str>, now: Instant) {
        self.retries(service).requests.add(now);
    }

    /// Takes a further attempt from the budget of `service`; returns whether it may be made.
    pub fn retry(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let share = self.bounds.retry_slack * DIVIDED / self.count() as f64;
        let ratio = self.bounds.retry_ratio * DIVIDED;
        let counts = self.retries(service);
        let allowed = counts.requests.count(now) as f64 * ratio + share;
        if (counts.retries.count(now) + 1) as f64 > allowed {
            return false;
        }
        counts.retries.add(now);
        true
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
