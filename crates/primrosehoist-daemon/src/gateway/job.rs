//! An admitted request.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use primrosehoist::coordination::assign::{self, Demand};
use primrosehoist::coordination::share::Excess;
use primrosehoist::state::handoff::Handoff;
use primrosehoist::state::occupancy::LatencyClass;
use primrosehoist::state::route::{Route, Service};
use primrosehoist::transport::http::body::Buffered;
use primrosehoist_platform::header;
use rustc_hash::FxHasher;
use tokio::time::Instant;

use super::suspension;

/// The cap on the estimated prefill time, longer than any request may take.
const PREFILL_TIME_MAX: Duration = Duration::from_secs(3600);

/// An admitted request with the data that its attempts need.
#[derive(Debug)]
pub(crate) struct Job {
    /// The parsed headers.
    pub(crate) request: header::Request,
    /// The headers as the client sent them.
    pub(crate) headers: HeaderMap,
    pub(crate) method: http::Method,
    /// The path and query.
    pub(crate) target: String,
    pub(crate) body: Buffered,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<Service>,
    pub(crate) workspace: Option<Arc<str>>,
    /// The host of the daemon that handed the request over, if it came to that one.
    pub(crate) entry: Option<Arc<str>>,
    /// The largest number of upstreams on which the request may run.
    pub(crate) attempts_max: u64,
    /// Whether the client has received a part of the answer from another daemon.
    pub(crate) resumes: bool,
    /// The priority; 0 is the highest.
    pub(crate) priority: u64,
    /// When the request was received.
    pub(crate) received: Instant,
    /// When the timeout of the client or the route expires.
    pub(crate) deadline: Instant,
    /// The host's total suspended time when the request was received.
    pub(crate) suspended: Duration,
    /// The hash of workspace, path and body.
    pub(crate) fingerprint: u64,
    /// Whether any of the request may have been sent to an upstream.
    pub(crate) handoff: Handoff,
    /// What may crash the upstreams that run the request: the fingerprint, then hashes of the parts of
    /// the prompt that other requests share.
    pub(crate) crash_causes: Vec<u64>,
}

impl Job {
    /// Returns the time until the deadline, less the time for which the host was suspended since
    /// the request was received.
    pub(crate) fn remaining(&self) -> Duration {
        let suspended = suspension::total().saturating_sub(self.suspended);
        self.deadline
            .saturating_duration_since(Instant::now())
            .saturating_sub(suspended)
    }

    /// Returns whether an attempt that goes on after `last_event` resumes a response.
    pub(crate) fn resumes_with(&self, last_event: Option<u64>) -> bool {
        self.resumes || last_event != self.request.last_event
    }

    /// Returns the parts of the prompt that may crash upstreams.
    pub(crate) fn shared_parts(&self) -> &[u64] {
        self.crash_causes.get(1..).unwrap_or_default()
    }

    /// Returns when the latency objective is missed.
    pub(crate) fn due(&self) -> Instant {
        self.received + self.route.latency_target
    }

    /// Returns when the client gives up if it gets no event. If the attempt `resumes` a response,
    /// the client's timeout is counted from now, when the previous event arrived.
    pub(crate) fn abandoned_at(&self, resumes: bool) -> Instant {
        let since = if resumes {
            Instant::now()
        } else {
            self.received
        };
        let abandoned = self.route.abandoned_after();
        abandoned.map_or(self.deadline, |after| self.deadline.min(since + after))
    }

    /// Returns the latency class of the request.
    pub(crate) fn latency_class(&self) -> LatencyClass {
        LatencyClass::from(self.route.pause_max)
    }

    /// Returns the prefill time of the prompt on one upstream, in milliseconds.
    pub(crate) fn prefill_ms(&self) -> f64 {
        let engine = self.service.engine.as_ref();
        engine.map_or(0.0, |engine| engine.prefill_ms(self.request.prompt_tokens))
    }

    /// Returns the shortest prefill time if several upstreams share the prompt.
    pub(crate) fn shortest_prefill_time(&self) -> Duration {
        let engine = self.service.engine.as_ref();
        let soonest = |engine| assign::min_prefill_ms(self.request.prompt_tokens, engine);
        // The number of tokens comes from the client and is unbounded.
        let seconds = engine.map_or(0.0, soonest) / 1000.0;
        Duration::try_from_secs_f64(seconds)
            .map_or(PREFILL_TIME_MAX, |soonest| soonest.min(PREFILL_TIME_MAX))
    }

    /// Returns whether the prompt is so long that no other long one may share its upstream.
    pub(crate) fn is_long(&self) -> bool {
        self.prefill_ms() >= assign::LONG_PREFILL_MS
    }

    /// Returns the engine capacity that the request needs. `wait_left` is the remaining share of its
    /// queueing time; `resumes` is whether the attempt resumes a response, and `excess` how far the
    /// workspace is over its share.
    pub(crate) fn demand(&self, wait_left: f64, resumes: bool, excess: Excess) -> Demand {
        let now = Instant::now();
        let left = self.due().saturating_duration_since(now);
        let abandoned = self.abandoned_at(resumes).saturating_duration_since(now);
        Demand {
            prompt_tokens: self.request.prompt_tokens,
            answer_tokens: self.request.answer_tokens,
            latency_class: self.latency_class(),
            weight: assign::weight(self.request.prompt_tokens),
            objective_ms: self.route.latency_target.as_secs_f64() * 1000.0,
            objective_in_ms: left.as_secs_f64() * 1000.0,
            abandoned_in_ms: abandoned.as_secs_f64() * 1000.0,
            wait_left,
            is_begun: resumes,
            over_share: excess.own,
            refusal_factor: excess.refusal_factor,
            salt: self.fingerprint,
        }
    }
}

/// Returns what may crash the upstreams that run a request.
pub(crate) fn crash_causes(fingerprint: u64, shared_parts: &[String]) -> Vec<u64> {
    let parts = shared_parts.iter();
    let parts = parts.map(|part| self::fingerprint("", part, &[]));
    [fingerprint].into_iter().chain(parts).collect()
}

/// Returns the hash that identifies repetitions of a request that crashes upstreams.
pub(crate) fn fingerprint(client: &str, target: &str, body: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    client.hash(&mut hasher);
    target.hash(&mut hasher);
    body.hash(&mut hasher);
    hasher.finish()
}
