//! The registered upstreams and whether requests may be sent to them.
//!
//! The roster mirrors the platform's upstream entries and the zones that operators evacuated. While
//! the platform is unreachable, entries expire although their upstreams are alive. Right after it
//! reconnects, a missing entry therefore does not prove that its upstream is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::{Map, Set};

/// How long after the platform reconnects the entry of a live upstream may be missing because it
/// expired during the outage. The operators specify about two seconds.
pub const RECONNECT_GRACE: Duration = Duration::from_secs(2);

/// How long an upstream must have been registered, and its zone in service, before it is assumed to
/// be warm. Upstreams stay cold for a few seconds.
pub const WARMUP_TIME: Duration = Duration::from_secs(6);

/// The lifecycle phase of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests in flight, then shuts down.
    Draining,
}

/// An upstream as registered with the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id. A restarted upstream usually has a new one.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The listening address. Another upstream may reuse it after this one is gone.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u64,
    /// The lifecycle phase.
    pub phase: Phase,
    /// How long it stays cold after the entry was written, in milliseconds.
    pub cold_ms: u64,
    /// The start time of its process in Unix milliseconds, if the entry has it.
    pub started_ms: Option<u64>,
}

impl Upstream {
    /// Returns whether `other` describes the same process.
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
    updated: Instant,
    /// When the entry was first found missing, if it is.
    missing_since: Option<Instant>,
}

/// The registered upstreams and the evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    entries: Map<Arc<str>, Entry>,
    evacuated: Set<Arc<str>>,
    /// When zones returned to service.
    reinstated: Map<Arc<str>, Instant>,
    /// Until then, a missing entry does not prove that its upstream is gone.
    grace_until: Option<Instant>,
}

impl Roster {
    /// Replaces all entries by the complete list `upstreams`.
    pub fn replace(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        let present: Set<Arc<str>> = upstreams
            .iter()
            .map(|upstream| Arc::clone(&upstream.id))
            .collect();
        let removed: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in removed {
            self.remove(&id, now);
        }
        for upstream in upstreams {
            self.upsert(upstream, now);
        }
    }

    /// Inserts or updates the entry of an upstream.
    pub fn upsert(&mut self, upstream: Upstream, now: Instant) {
        let id = Arc::clone(&upstream.id);
        if let Some(entry) = self.entries.get_mut(&id)
            && *entry.upstream == upstream
        {
            entry.missing_since = None;
            return;
        }
        let upstream = Arc::new(upstream);
        let entry = Entry {
            upstream,
            updated: now,
            missing_since: None,
        };
        self.entries.insert(id, entry);
    }

    /// Removes an entry. During the grace period after a reconnect, the entry of a ready upstream
    /// is only marked as missing.
    pub fn remove(&mut self, id: &str, now: Instant) {
        let in_grace = self.grace_until.is_some_and(|until| now < until);
        if in_grace && let Some(entry) = self.entries.get_mut(id) {
            let ready = entry.upstream.phase == Phase::Ready;
            if ready {
                entry.missing_since.get_or_insert(now);
                return;
            }
        }
        self.entries.remove(id);
    }

    /// Starts the grace period after the platform was unreachable: for [`RECONNECT_GRACE`], a
    /// missing entry does not prove that its upstream is gone.
    pub fn platform_reconnected(&mut self, now: Instant) {
        self.grace_until = Some(now + RECONNECT_GRACE);
    }

    /// Removes the entries that are still missing after the grace period and returns their ids.
    pub fn expire(&mut self, now: Instant) -> Vec<Arc<str>> {
        if self.grace_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.grace_until = None;
        let missing: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.missing_since.is_some())
            .map(|(id, _)| Arc::clone(id))
            .collect();
        for id in &missing {
            self.entries.remove(id);
        }
        missing
    }

    /// Sets the evacuated zones.
    pub fn set_evacuated_zones(&mut self, zones: Set<Arc<str>>, now: Instant) {
        for zone in self.evacuated.difference(&zones) {
            self.reinstated.insert(Arc::clone(zone), now);
        }
        self.evacuated = zones;
    }

    /// Returns the evacuated zones.
    pub fn evacuated_zones(&self) -> &Set<Arc<str>> {
        &self.evacuated
    }

    /// Returns whether requests may be sent to the process that `upstream` describes.
    pub fn is_routable(&self, upstream: &Upstream) -> bool {
        let entry = self.entries.get(&upstream.id);
        entry.is_some_and(|entry| {
            entry.upstream.phase == Phase::Ready && entry.upstream.is_same_process(upstream)
        }) && !self.evacuated.contains(&upstream.zone)
    }

    /// Returns the upstreams of `service` to which requests may be sent.
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

    /// Returns whether the upstream is still cold according to its entry.
    pub fn is_cold(&self, id: &str, now: Instant) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            let cold_until = entry.updated + Duration::from_millis(entry.upstream.cold_ms);
            now < cold_until
        })
    }

    /// Returns whether the upstream may be cold: its entry says so, it was registered or updated
    /// less than [`WARMUP_TIME`] ago, its zone returned to service less than that ago, or it is
    /// unknown.
    pub fn may_be_cold(&self, id: &str, now: Instant) -> bool {
        self.is_cold(id, now)
            || self.entries.get(id).is_none_or(|entry| {
                let reinstated = self.reinstated.get(&entry.upstream.zone);
                let is_past_warmup = |since: Instant| since + WARMUP_TIME <= now;
                !is_past_warmup(entry.updated)
                    || reinstated.is_some_and(|since| !is_past_warmup(*since))
            })
    }

    /// Returns all registered upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.entries.values().map(|entry| &entry.upstream)
    }

    /// Returns the number of registered upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no upstream is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
