//! Tracks the load on each upstream.
//!
//! Requests of this daemon are counted exactly. Those of other daemons are known from their
//! periodic reports.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::Map;

/// How long a report of another daemon stays valid. The requests of a daemon that crashed are no
/// longer running.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);

/// The longest allowed pause between events of a [`LatencyClass::Strict`] request.
pub const STRICT_PAUSE_MAX: Duration = Duration::from_millis(300);

/// The longest allowed pause between events of a [`LatencyClass::Moderate`] request.
pub const MODERATE_PAUSE_MAX: Duration = Duration::from_millis(600);

/// A latency class: how much delay between two events a decoding request tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LatencyClass {
    /// Prefill work on the same engine soon makes it late.
    Strict,
    /// Tolerates some prefill work on the same engine.
    Moderate,
    /// Tolerates most prefill work on the same engine.
    Relaxed,
}

impl From<Option<Duration>> for LatencyClass {
    /// Returns the latency class of a request with this maximum pause between events. Without a
    /// maximum, no event is ever late.
    fn from(pause: Option<Duration>) -> Self {
        match pause {
            Some(pause) if pause <= STRICT_PAUSE_MAX => Self::Strict,
            Some(pause) if pause <= MODERATE_PAUSE_MAX => Self::Moderate,
            _ => Self::Relaxed,
        }
    }
}

/// The load on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Requests in flight, by [`LatencyClass`].
    pub counts: [u32; 3],
    /// The summed weights of the requests in flight, by [`LatencyClass`]. The weight of a request is the
    /// loss if it is late.
    pub weights: [f32; 3],
    /// The prefill time of the prompts whose first event has not arrived, in milliseconds.
    pub prefill_ms: f32,
    /// Tokens of prompts and answers in KV memory.
    pub memory_tokens: u32,
    /// Requests that other daemons sent in the last second.
    pub recent_requests: u32,
}

impl Work {
    fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        for (weight, more) in self.weights.iter_mut().zip(other.weights) {
            *weight += more;
        }
        self.prefill_ms += other.prefill_ms;
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.recent_requests += other.recent_requests;
    }

    fn subtract(&mut self, other: &Self) {
        for (count, less) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_sub(less);
        }
        for (weight, less) in self.weights.iter_mut().zip(other.weights) {
            *weight = (*weight - less).max(0.0);
        }
        self.prefill_ms = (self.prefill_ms - other.prefill_ms).max(0.0);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.recent_requests = self.recent_requests.saturating_sub(other.recent_requests);
        for (weight, count) in self.weights.iter_mut().zip(self.counts) {
            if count == 0 {
                *weight = 0.0;
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.running() == 0 && self.prefill_ms < 0.01 && self.recent_requests == 0
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the number of requests in flight of this latency class.
    pub fn count(&self, latency_class: LatencyClass) -> u32 {
        self.counts[latency_class as usize]
    }

    /// Returns the summed weight of the requests in flight of this latency class.
    pub fn weight(&self, latency_class: LatencyClass) -> f64 {
        f64::from(self.weights[latency_class as usize])
    }
}

/// The load that one request adds to one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// How much delay the request tolerates while it decodes; `None` on a helper, which only
    /// prefills a part of the prompt.
    pub latency_class: Option<LatencyClass>,
    /// The loss if the request is late.
    pub weight: f32,
    /// The prefill time of the upstream's part of the prompt, in milliseconds.
    pub prefill_ms: f32,
    /// Tokens that the request keeps in KV memory on the upstream.
    pub memory_tokens: u32,
}

impl Load {
    fn work(&self) -> Work {
        let mut work = Work {
            prefill_ms: self.prefill_ms,
            memory_tokens: self.memory_tokens,
            ..Work::default()
        };
        if let Some(latency_class) = self.latency_class {
            work.counts[latency_class as usize] = 1;
            work.weights[latency_class as usize] = self.weight;
        }
        work
    }

    fn prefill(&self) -> Work {
        Work {
            prefill_ms: self.prefill_ms,
            ..Work::default()
        }
    }
}

/// The load that one daemon's requests put on each upstream.
pub type Report = Vec<(Arc<str>, Work)>;

/// The last report of another daemon.
#[derive(Debug, Default)]
struct Peer {
    received: Option<Instant>,
    sequence: (u64, u64),
    work: Map<Arc<str>, Work>,
}

/// The load on all upstreams.
#[derive(Debug, Default)]
pub struct Occupancy {
    /// The load of this daemon's requests.
    local: Map<Arc<str>, Work>,
    /// The sum of the valid reports of other daemons.
    remote: Map<Arc<str>, Work>,
    /// The last report of each other daemon.
    peers: Map<Arc<str>, Peer>,
}

impl Occupancy {
    /// Records that a request was sent to `upstream`.
    pub fn begin(&mut self, upstream: &Arc<str>, load: &Load) {
        self.local
            .entry(Arc::clone(upstream))
            .or_default()
            .add(&load.work());
    }

    /// Records that the upstream has prefilled its part of the prompt.
    pub fn finish_prefill(&mut self, upstream: &str, load: &Load) {
        if let Some(work) = self.local.get_mut(upstream) {
            work.subtract(&load.prefill());
        }
    }

    /// Records the end of a request. `prefilling` is whether its prefill had not finished, that is,
    /// whether [`Occupancy::finish_prefill`] was not called for it.
    pub fn end(&mut self, upstream: &str, load: &Load, prefilling: bool) {
        let Some(work) = self.local.get_mut(upstream) else {
            return;
        };
        let mut remaining = load.work();
        if !prefilling {
            remaining.prefill_ms = 0.0;
        }
        work.subtract(&remaining);
        if work.is_empty() {
            self.local.remove(upstream);
        }
    }

    /// Returns the load of this daemon's requests, to be sent to other daemons. `recent` holds the
    /// number of requests sent to each upstream in the last second.
    pub fn report(&self, recent: Vec<(Arc<str>, u32)>) -> Report {
        let mut report = self.local.clone();
        for (id, count) in recent {
            report.entry(id).or_default().recent_requests = count;
        }
        report.into_iter().collect()
    }

    /// Updates the report of another daemon. `sequence` is the start time of that daemon and the
    /// number of its report. A report that is not newer than the last one is ignored.
    pub fn update_report(
        &mut self,
        daemon: &Arc<str>,
        sequence: (u64, u64),
        report: Report,
        now: Instant,
    ) {
        let peer = self.peers.entry(Arc::clone(daemon)).or_default();
        if peer.received.is_some() && sequence <= peer.sequence {
            return;
        }
        let work = report.into_iter().collect();
        let previous = std::mem::replace(&mut peer.work, work);
        peer.received = Some(now);
        peer.sequence = sequence;
        subtract_all(&mut self.remote, &previous);
        for (id, work) in &peer.work {
            self.remote.entry(Arc::clone(id)).or_default().add(work);
        }
    }

    /// Drops the reports of daemons that have sent none for longer than [`REPORT_TTL`].
    pub fn expire(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            if peer
                .received
                .is_some_and(|received| received + REPORT_TTL < now)
            {
                peer.received = None;
                subtract_all(&mut self.remote, &std::mem::take(&mut peer.work));
            }
        }
    }

    /// Returns the known load on `upstream`.
    pub fn work(&self, upstream: &str) -> Work {
        let mut work = self.local.get(upstream).copied().unwrap_or_default();
        if let Some(remote) = self.remote.get(upstream) {
            work.add(remote);
        }
        work
    }
}

fn subtract_all(totals: &mut Map<Arc<str>, Work>, parts: &Map<Arc<str>, Work>) {
    for (id, work) in parts {
        let Some(total) = totals.get_mut(id) else {
            continue;
        };
        total.subtract(work);
        if total.is_empty() {
            totals.remove(id);
        }
    }
}
