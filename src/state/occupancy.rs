//! Tracks the load on each upstream.
//!
//! Requests of this daemon are counted exactly. Those of other daemons are known from their
//! reports, or, for the upstreams of a distant zone, from a summary of the daemons there.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::{Map, Set};

/// How long a report of another daemon stays valid. The requests of a daemon that crashed are no
/// longer running.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);

/// How long a summary of another zone stays valid. A daemon asks each zone several times within
/// this time.
pub const SUMMARY_TTL: Duration = Duration::from_secs(4);

/// The age of the news from the daemon's zone: how long the others take to tell of a request.
const ZONE_AGE: Duration = Duration::from_millis(4);

/// How long all daemons of the zone may be silent before the news from them is older. Each says something
/// within this time.
const ZONE_SILENCE_MAX: Duration = Duration::from_millis(500);

/// The unit of [`Work::memory_tokens`] in messages, in tokens.
const PACKED_MEMORY_TOKENS: u32 = 256;

/// The unit of [`Work::weights`] in messages.
const PACKED_WEIGHT: f32 = 0.1;

/// The longest allowed pause between events of a [`LatencyClass::Strict`] request.
pub const STRICT_PAUSE_MAX: Duration = Duration::from_millis(300);

/// The longest allowed pause between events of a [`LatencyClass::Moderate`] request.
pub const MODERATE_PAUSE_MAX: Duration = Duration::from_millis(600);

/// A latency class: how much delay between two events a decoding request tolerates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// Identifies an upstream in messages between daemons: a hash of its id, which is much shorter than
/// the id. Two upstreams whose hashes collide share their load until one of them is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "[u8; 4]", into = "[u8; 4]")]
pub struct Key(u32);

impl From<&str> for Key {
    /// Returns the key of the upstream with this id, by the FNV-1a hash.
    fn from(id: &str) -> Self {
        let hash = id.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
            (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
        });
        Self(hash)
    }
}

impl From<[u8; 4]> for Key {
    fn from(bytes: [u8; 4]) -> Self {
        Self(u32::from_le_bytes(bytes))
    }
}

impl From<Key> for [u8; 4] {
    fn from(key: Key) -> Self {
        key.0.to_le_bytes()
    }
}

/// The load on one upstream. Messages contain it in coarser units.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
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

/// A [`Work`] as integers, most of which take one byte each.
#[derive(Serialize, Deserialize)]
struct Packed {
    counts: [u32; 3],
    weights: [u32; 3],
    prefill_ms: u32,
    memory: u32,
    recent_requests: u32,
}

impl From<Work> for Packed {
    fn from(work: Work) -> Self {
        Self {
            counts: work.counts,
            weights: work
                .weights
                .map(|weight| (weight / PACKED_WEIGHT).round() as u32),
            prefill_ms: work.prefill_ms.round() as u32,
            memory: work.memory_tokens.div_ceil(PACKED_MEMORY_TOKENS),
            recent_requests: work.recent_requests,
        }
    }
}

impl From<Packed> for Work {
    fn from(packed: Packed) -> Self {
        Self {
            counts: packed.counts,
            weights: packed.weights.map(|weight| weight as f32 * PACKED_WEIGHT),
            prefill_ms: packed.prefill_ms as f32,
            memory_tokens: packed.memory.saturating_mul(PACKED_MEMORY_TOKENS),
            recent_requests: packed.recent_requests,
        }
    }
}

impl Work {
    fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_add(more);
        }
        for (weight, more) in self.weights.iter_mut().zip(other.weights) {
            *weight += more;
        }
        self.prefill_ms += other.prefill_ms;
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.recent_requests = self.recent_requests.saturating_add(other.recent_requests);
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
        self.running() == 0
            && self.prefill_ms < 0.01
            && self.memory_tokens == 0
            && self.recent_requests == 0
    }

    /// Adds `count` requests like those that run there, whose prompts are not prefilled. `prefill_ms` returns
    /// the prefill time of a prompt of so many tokens, in milliseconds.
    pub fn add_similar<F>(&mut self, count: u32, prefill_ms: F)
    where
        F: Fn(u64) -> f64,
    {
        let running = self.running();
        if count == 0 {
            return;
        }
        let usual = (0..self.counts.len()).max_by_key(|class| self.counts[*class]);
        let Some(usual) = usual.filter(|_| running > 0) else {
            self.counts[LatencyClass::Strict as usize] = count;
            return;
        };
        let weight = self.weights[usual] / self.counts[usual] as f32;
        let tokens = self.memory_tokens / running;
        self.counts[usual] = self.counts[usual].saturating_add(count);
        self.weights[usual] += weight * count as f32;
        self.prefill_ms += prefill_ms(u64::from(tokens)) as f32 * count as f32;
        self.memory_tokens = self
            .memory_tokens
            .saturating_add(tokens.saturating_mul(count));
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        let counts = self.counts.iter();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
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

/// What is known of the load on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct News {
    /// The load of this daemon's requests and what was told of the others'.
    pub work: Work,
    /// The rate at which the others sent requests, per second.
    pub rate_per_s: f64,
    /// The time during which they may have sent requests that are not in `work`.
    pub age: Duration,
}

/// The load on several upstreams.
pub type Report = Vec<(Key, Work)>;

/// What another daemon reported.
#[derive(Debug)]
struct Peer {
    /// When its last message was received, or `None` once the report has expired.
    received: Option<Instant>,
    sequence: (u64, u64),
    zone: Arc<str>,
    work: Map<Key, Work>,
}

/// What the daemons of another zone reported together.
#[derive(Debug)]
struct Summary {
    received: Instant,
    work: Map<Key, Work>,
}

/// The load on all upstreams.
#[derive(Debug, Default)]
pub struct Occupancy {
    /// The load of this daemon's requests.
    local: Map<Key, Work>,
    /// The upstreams on which it changed since the last call of [`Occupancy::take_changes`].
    changed: Set<Key>,
    /// The sum of the valid reports and summaries.
    remote: Map<Key, Work>,
    /// The reports, by daemon.
    peers: Map<Arc<str>, Peer>,
    /// When a message of another daemon was received last.
    heard: Option<Instant>,
    /// The valid summaries, by zone.
    summaries: Map<Arc<str>, Summary>,
}

impl Occupancy {
    /// Records that a request was sent to `upstream`.
    pub fn begin(&mut self, upstream: &str, load: &Load) {
        let key = Key::from(upstream);
        self.local.entry(key).or_default().add(&load.work());
        self.changed.insert(key);
    }

    /// Records that the upstream has prefilled its part of the prompt.
    pub fn finish_prefill(&mut self, upstream: &str, load: &Load) {
        let key = Key::from(upstream);
        if let Some(work) = self.local.get_mut(&key) {
            work.subtract(&load.prefill());
            self.changed.insert(key);
        }
    }

    /// Records the end of a request. `prefilling` is whether its prefill had not finished, that is,
    /// whether [`Occupancy::finish_prefill`] was not called for it.
    pub fn end(&mut self, upstream: &str, load: &Load, prefilling: bool) {
        let key = Key::from(upstream);
        let Some(work) = self.local.get_mut(&key) else {
            return;
        };
        let mut remaining = load.work();
        if !prefilling {
            remaining.prefill_ms = 0.0;
        }
        work.subtract(&remaining);
        if work.is_empty() {
            self.local.remove(&key);
        }
        self.changed.insert(key);
    }

    /// Returns the load of this daemon's requests, to be sent to other daemons. `recent` holds the
    /// number of requests sent to each upstream in the last second.
    pub fn report(&self, recent: &Map<Key, u32>) -> Report {
        let mut report = self.local.clone();
        for (key, count) in recent {
            report.entry(*key).or_default().recent_requests = *count;
        }
        report.into_iter().collect()
    }

    /// Returns the load of this daemon's requests on the upstreams on which it changed since the
    /// last call. An upstream without load has an empty entry.
    pub fn take_changes(&mut self, recent: &Map<Key, u32>) -> Report {
        let entry = |key: Key| {
            let mut work = self.local.get(&key).copied().unwrap_or_default();
            work.recent_requests = recent.get(&key).copied().unwrap_or(0);
            (key, work)
        };
        self.changed.drain().map(entry).collect()
    }

    /// Replaces the report of another daemon, which is in `zone`. `sequence` is the start time of
    /// that daemon and the number of its message. A report that is not newer than the last one is
    /// ignored. Returns whether it was newer.
    pub fn update_report(
        &mut self,
        daemon: &Arc<str>,
        zone: &Arc<str>,
        sequence: (u64, u64),
        report: Report,
        now: Instant,
    ) -> bool {
        if let Some(peer) = self.peers.get(daemon)
            && sequence <= peer.sequence
        {
            return false;
        }
        self.heard = Some(now);
        let peer = Peer {
            received: Some(now),
            sequence,
            zone: Arc::clone(zone),
            work: report.into_iter().collect(),
        };
        add_all(&mut self.remote, &peer.work);
        if let Some(previous) = self.peers.insert(Arc::clone(daemon), peer) {
            subtract_all(&mut self.remote, &previous.work);
        }
        true
    }

    /// Updates entries in the report of another daemon. They are ignored unless a report of the same
    /// start of that daemon is known, and unless they are newer. Returns whether they were applied.
    pub fn update_entries(
        &mut self,
        daemon: &str,
        sequence: (u64, u64),
        entries: Report,
        now: Instant,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(daemon) else {
            return false;
        };
        let same_start = peer.received.is_some() && sequence.0 == peer.sequence.0;
        if !same_start || sequence.1 <= peer.sequence.1 {
            return false;
        }
        peer.sequence = sequence;
        peer.received = Some(now);
        self.heard = Some(now);
        for (key, work) in entries {
            let previous = if work.is_empty() {
                peer.work.remove(&key)
            } else {
                peer.work.insert(key, work)
            };
            let total = self.remote.entry(key).or_default();
            total.add(&work);
            total.subtract(&previous.unwrap_or_default());
            if total.is_empty() {
                self.remote.remove(&key);
            }
        }
        true
    }

    /// Replaces the summary of the load on the upstreams of `zone`.
    pub fn update_summary(&mut self, zone: &Arc<str>, report: Report, now: Instant) {
        let summary = Summary {
            received: now,
            work: report.into_iter().collect(),
        };
        add_all(&mut self.remote, &summary.work);
        if let Some(previous) = self.summaries.insert(Arc::clone(zone), summary) {
            subtract_all(&mut self.remote, &previous.work);
        }
    }

    /// Returns the known load on the upstreams for which `included` returns true, without that of
    /// daemons in the zone `excluded`, to which the summary is sent.
    pub fn summary<I>(&self, recent: &Map<Key, u32>, excluded: &str, included: I) -> Report
    where
        I: Fn(Key) -> bool,
    {
        let own: Map<Key, Work> = self.report(recent).into_iter().collect();
        let peers = self.peers.values();
        let peers = peers.filter(|peer| peer.zone.as_ref() != excluded);
        let mut totals: Map<Key, Work> = Map::default();
        for work in peers.map(|peer| &peer.work).chain([&own]) {
            for (key, work) in work {
                if included(*key) {
                    totals.entry(*key).or_default().add(work);
                }
            }
        }
        totals.into_iter().collect()
    }

    /// Drops the reports of daemons that have been silent for longer than [`REPORT_TTL`], and
    /// summaries older than [`SUMMARY_TTL`].
    pub fn expire(&mut self, now: Instant) {
        let remote = &mut self.remote;
        for peer in self.peers.values_mut() {
            let expired = |received| received + REPORT_TTL < now;
            if peer.received.is_some_and(expired) {
                peer.received = None;
                subtract_all(remote, &std::mem::take(&mut peer.work));
            }
        }
        self.summaries.retain(|_, summary| {
            let valid = now <= summary.received + SUMMARY_TTL;
            if !valid {
                subtract_all(remote, &summary.work);
            }
            valid
        });
    }

    /// Returns the known load on `upstream`.
    pub fn work(&self, upstream: &str) -> Work {
        self.work_of(Key::from(upstream))
    }

    fn work_of(&self, key: Key) -> Work {
        let mut work = self.local.get(&key).copied().unwrap_or_default();
        if let Some(remote) = self.remote.get(&key) {
            work.add(remote);
        }
        work
    }

    /// Returns what is known of the load on `upstream`. The age of the news from several sources is the mean,
    /// weighted by the rates of the requests that they tell of.
    pub fn news(&self, upstream: &str, now: Instant) -> News {
        let key = Key::from(upstream);
        let work = self.work_of(key);
        let rate = f64::from(self.remote.get(&key).map_or(0, |work| work.recent_requests));
        if rate == 0.0 {
            return News {
                work,
                ..News::default()
            };
        }
        let (mut distant_rate, mut age_sum) = (0.0, 0.0);
        for summary in self.summaries.values() {
            if let Some(work) = summary.work.get(&key) {
                let rate = f64::from(work.recent_requests);
                let age = now.saturating_duration_since(summary.received) + ZONE_AGE;
                distant_rate += rate;
                age_sum += rate * age.as_secs_f64();
            }
        }
        age_sum += (rate - distant_rate).max(0.0) * self.zone_age(now).as_secs_f64();
        News {
            work,
            rate_per_s: rate,
            age: Duration::from_secs_f64(age_sum / rate.max(distant_rate)),
        }
    }

    fn zone_age(&self, now: Instant) -> Duration {
        let silence = self.heard.map(|heard| now.saturating_duration_since(heard));
        ZONE_AGE
            + silence.map_or(Duration::ZERO, |silence| {
                silence.saturating_sub(ZONE_SILENCE_MAX)
            })
    }
}

fn add_all(totals: &mut Map<Key, Work>, parts: &Map<Key, Work>) {
    for (key, work) in parts {
        totals.entry(*key).or_default().add(work);
    }
}

fn subtract_all(totals: &mut Map<Key, Work>, parts: &Map<Key, Work>) {
    for (key, work) in parts {
        let Some(total) = totals.get_mut(key) else {
            continue;
        };
        total.subtract(work);
        if total.is_empty() {
            totals.remove(key);
        }
    }
}
