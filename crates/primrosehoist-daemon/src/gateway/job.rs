//! A request that was admitted, with what its attempts need.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use primrosehoist::coordination::assign::{self, Demand};
use primrosehoist::state::occupancy::Pace;
use primrosehoist::state::route::{Route, Service};
use primrosehoist::transport::http::body::Stored;
use primrosehoist_platform::header;
use rustc_hash::FxHasher;
use tokio::time::Instant;

use super::suspension;

/// Longer than any request may take: a prompt that is read no sooner cannot be served.
const SOONEST_MAX: Duration = Duration::from_secs(3600);

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Job {
    /// What the headers say.
    pub(crate) said: header::Request,
    /// The headers as the client sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) method: http::Method,
    /// The path and query.
    pub(crate) target: String,
    pub(crate) body: Stored,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<str>>,
    /// The rank; 0 is the highest.
    pub(crate) priority: u64,
    /// When the request was received.
    pub(crate) received: Instant,
    /// When the client or the route gives up.
    pub(crate) deadline: Instant,
    /// For how long the host had been suspended when the request was received.
    pub(crate) suspended: Duration,
    /// The hash of client, path and body.
    pub(crate) fingerprint: u64,
}

impl Job {
    /// Returns the time that is left, less the time for which the host was suspended meanwhile.
    pub(crate) fn remaining(&self) -> Duration {
        let suspended = suspension::total().saturating_sub(self.suspended);
        self.deadline
            .saturating_duration_since(Instant::now())
            .saturating_sub(suspended)
    }

    /// Returns when the objective is missed.
    pub(crate) fn due(&self) -> Instant {
        self.received + self.route.latency_target
    }

    /// Returns when the client gives up if no event has come. Of an answer that has begun and
    /// `resumes`, the last event came just now.
    pub(crate) fn event_by(&self, resumes: bool) -> Instant {
        let since = if resumes {
            Instant::now()
        } else {
            self.received
        };
        let abandoned = self.route.abandoned_after();
        abandoned.map_or(self.deadline, |after| self.deadline.min(since + after))
    }

    /// Returns how long the request may be held up while it writes.
    pub(crate) fn pace(&self) -> Pace {
        Pace::from(self.route.pause_max)
    }

    /// Returns the time to read the prompt alone, in milliseconds.
    pub(crate) fn read_ms(&self) -> f64 {
        let engine = self.service.engine.as_ref();
        engine.map_or(0.0, |engine| engine.prefill_ms(self.said.prompt_tokens))
    }

    /// Returns the shortest time in which the prompt can be read.
    pub(crate) fn soonest(&self) -> Duration {
        let engine = self.service.engine.as_ref();
        let soonest = |engine| assign::min_prefill_ms(self.said.prompt_tokens, engine);
        // Clients may claim any number of tokens.
        let seconds = engine.map_or(0.0, soonest) / 1000.0;
        Duration::try_from_secs_f64(seconds).map_or(SOONEST_MAX, |soonest| soonest.min(SOONEST_MAX))
    }

    /// Returns whether the prompt is read apart from other long ones.
    pub(crate) fn is_long(&self) -> bool {
        self.read_ms() >= assign::LONG_PREFILL_MS
    }

    /// Returns what the request needs of an engine. `wait_left` is the part of the time for which
    /// it may wait that is left; `resumes` tells whether an answer that has begun goes on.
    pub(crate) fn need(&self, wait_left: f64, resumes: bool) -> Demand {
        let now = Instant::now();
        let left = self.due().saturating_duration_since(now);
        let abandoned = self.event_by(resumes).saturating_duration_since(now);
        Demand {
            prompt_tokens: self.said.prompt_tokens,
            answer_tokens: self.said.answer_tokens,
            pace: self.pace(),
            weight: assign::weight(self.said.prompt_tokens),
            objective_in_ms: left.as_secs_f64() * 1000.0,
            abandoned_in_ms: abandoned.as_secs_f64() * 1000.0,
            wait_left,
            salt: self.fingerprint,
        }
    }
}

/// Returns the hash by which a request that ends upstreams is known again.
pub(crate) fn fingerprint(client: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    client.hash(&mut hasher);
    target.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}
