//! The upstreams that may get work.
//!
//! The roster follows the platform's entries of upstreams and the zones that operators took out.
//! It also answers what an absence from the platform means: while the platform was away, entries
//! lapse although their upstreams live, so right after its return an absence is no proof yet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::{Map, Set};

/// How long after the platform's return an entry that lapsed meanwhile may be missing although
/// its upstream lives. The operators state about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_secs(2);

/// How long an upstream must have been known, or its zone in service, before it is taken for
/// warm. Upstreams stay cold for a few seconds.
pub const WARM_AFTER: Duration = Duration::from_secs(6);

/// Where an upstream is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id. A restarted upstream mostly has a new one.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens. Used again by others after it is gone.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at the same time.
    pub slots: u64,
    /// Where it is in its life.
    pub phase: Phase,
    /// How much longer it is cold, from when the entry was written.
    pub cold_ms: u64,
    /// When its process started, in Unix milliseconds, if it says so.
    pub started_ms: Option<u64>,
}

impl Upstream {
    /// Returns whether `other` is the same process.
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.id == other.id
            && self.address == other.address
            && self.service == other.service
            && self.started_ms == other.started_ms
    }
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Arc<Upstream>,
    /// When the entry was last written.
    seen: Instant,
    /// When the entry was found missing, if it is.
    missing: Option<Instant>,
}

/// The upstreams and the zones that are out of service.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: Map<Arc<str>, Entry>,
    evacuated: Set<Arc<str>>,
    /// When zones came back into service.
    returned: Map<Arc<str>, Instant>,
    /// Absences before this time are no proof.
    lenient_until: Option<Instant>,
}

impl Roster {
    /// Takes in the whole list of upstreams.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        let present: Set<Arc<str>> = upstreams.iter().map(|up| Arc::clone(&up.id)).collect();
        let absent: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in absent {
            self.remove(&id, now);
        }
        for upstream in upstreams {
            self.put(upstream, now);
        }
    }

    /// Takes in one entry.
    pub fn put(&mut self, upstream: Upstream, now: Instant) {
        let id = Arc::clone(&upstream.id);
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            entry.missing = None;
            return;
        }
        let upstream = Arc::new(upstream);
        let entry = Entry {
            upstream,
            seen: now,
            missing: None,
        };
        self.entries.insert(id, entry);
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let lenient = self.lenient_until.is_some_and(|until| now < until);
        if lenient && let Some(entry) = self.entries.get_mut(id) {
            let ready = entry.upstream.phase == Phase::Ready;
            if ready {
                entry.missing.get_or_insert(now);
                return;
            }
        }
        self.entries.remove(id);
    }

    /// Takes in that the platform is back after an absence: for a short time a missing entry
    /// does not prove that its upstream is gone.
    pub fn platform_returned(&mut self, now: Instant) {
        self.lenient_until = Some(now + RETURN_GRACE);
    }

    /// Drops entries that are still missing after the grace; returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.lenient_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.lenient_until = None;
        let missing: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing.is_some())
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &missing {
            self.entries.remove(id);
        }
        missing
    }

    /// Takes in which zones are out of service.
    pub fn set_evacuated(&mut self, zones: Set<Arc<str>>, now: Instant) {
        for zone in self.evacuated.difference(&zones) {
            self.returned.insert(Arc::clone(zone), now);
        }
        self.evacuated = zones;
    }

    /// Returns the zones that are out of service.
    pub fn evacuated(&self) -> &Set<Arc<str>> {
        &self.evacuated
    }

    /// Returns whether work may be sent to the process that `upstream` describes.
    pub fn may_send(&self, upstream: &Upstream) -> bool {
        let entry = self.entries.get(&upstream.id);
        entry.is_some_and(|entry| {
            entry.upstream.phase == Phase::Ready && entry.upstream.is_same_process(upstream)
        }) && !self.evacuated.contains(&upstream.zone)
    }

    /// Returns the upstreams of `service` that may get work.
    pub fn candidates<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.entries
            .values()
            .map(|entry| &entry.upstream)
            .filter(move |upstream| {
                upstream.service.as_ref() == service
                    && upstream.phase == Phase::Ready
                    && !self.evacuated.contains(&upstream.zone)
            })
    }

    /// Returns whether the upstream is still cold by its own entry.
    pub fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            let end = entry.seen + Duration::from_millis(entry.upstream.cold_ms);
            now < end
        })
    }

    /// Returns whether the upstream has not been known for long enough to be taken for warm, or was
    /// out of service until recently.
    pub fn may_be_cold(&self, id: &str, now: Instant) -> bool {
        self.is_cold(id, now)
            || self.entries.get(id).is_none_or(|entry| {
                let returned = self.returned.get(&entry.upstream.zone);
                let settled = |since: Instant| since + WARM_AFTER <= now;
                !settled(entry.seen) || returned.is_some_and(|since| !settled(*since))
            })
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
