//! Limits that hold for all daemons together, divided into fixed shares.
//!
//! Each daemon takes an even share of what an upstream bears while it is cold, and of the retry
//! budget. A fixed share needs no agreement, so neither a cut, a pause nor a restart can break
//! the limit; the price is that a daemon with little work leaves its share unused.
//!
//! An upstream may turn cold without a warning, so the share holds at all times.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

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

#[derive(Debug)]
struct Retries {
    requests: Window,
    retries: Window,
}

/// The shares of one daemon.
#[derive(Debug)]
pub struct Allowance {
    bounds: Bounds,
    daemons: usize,
    sends: Map<Arc<str>, Window>,
    services: Map<Arc<str>, Retries>,
}

impl Allowance {
    /// Creates the shares of a daemon that does not know the others yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            daemons: DAEMONS_UNKNOWN,
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
    }

    /// Sets the number of daemons, those that may be gone included.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Returns the requests that may be sent in a second to one upstream that bears `rate` per
    /// second while cold.
    pub fn sends_max(&self, rate: f64) -> u64 {
        let all = rate * self.bounds.cold_factor + self.bounds.cold_slack;
        (all * DIVIDED / self.daemons as f64).floor() as u64
    }

    /// Returns whether a request may be sent to `upstream`, which bears `rate` per second while
    /// cold; zero means any number.
    pub fn may_send(&mut self, upstream: &str, rate: f64, now: Instant) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let sent = self.sends.get_mut(upstream);
        sent.map_or(0, |window| window.count(now)) < self.sends_max(rate)
    }

    /// Records a request that is sent to `upstream`.
    pub fn sent(&mut self, upstream: &Arc<str>, now: Instant) {
        let window = self.sends.entry(Arc::clone(upstream));
        window.or_insert_with(|| Window::new(COLD_WINDOW)).add(now);
    }

    /// Forgets an upstream that is gone.
    pub fn forget(&mut self, upstream: &str) {
        self.sends.remove(upstream);
    }

    /// Records the first attempt of a request for `service`.
    pub fn request(&mut self, service: &Arc<str>, now: Instant) {
        self.retries(service).requests.add(now);
    }

    /// Takes a further attempt from the budget of `service`; returns whether it may be made.
    pub fn retry(&mut self, service: &Arc<str>, now: Instant) -> bool {
        let share = self.bounds.retry_slack * DIVIDED / self.daemons as f64;
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
