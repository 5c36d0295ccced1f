//! State of one other daemon.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::{Heartbeat, Relay};
use crate::coordination::membership::{HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT};
use crate::state::fleet::Version;
use crate::state::name;
use crate::state::view::{Advert, Daemon, Member};

/// How long a member that is not in the platform's list is kept after it was last seen alive.
pub(crate) const EXPIRY: Duration = Duration::from_secs(60);

/// The interval between attempts to reach a member that is not alive.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The state of one other daemon.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) incarnation: u64,
    pub(crate) discovered_at: Instant,
    /// When it was last seen alive, directly or through a relay.
    pub(crate) last_seen_at: Option<Instant>,
    pub(crate) probed_at: Option<Instant>,
    /// When the first probe was sent that the daemon has not answered directly.
    pub(crate) unanswered_since: Option<Instant>,
    pub(crate) version: Version,
    pub(crate) draining: bool,
    pub(crate) platform_age_ms: Option<u64>,
    pub(crate) digest: u64,
    pub(crate) adverts: Vec<Advert>,
    /// When it last sent its adverts directly.
    pub(crate) adverts_at: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(member: Member, now: Instant) -> Self {
        Self {
            member,
            incarnation: 0,
            discovered_at: now,
            last_seen_at: None,
            probed_at: None,
            unanswered_since: None,
            version: 0,
            draining: false,
            platform_age_ms: None,
            digest: 0,
            adverts: Vec::new(),
            adverts_at: None,
        }
    }

    pub(crate) fn record_heartbeat(&mut self, member: Member, heartbeat: &Heartbeat, now: Instant) {
        // Adverts relayed before the first heartbeat are assumed to belong to the same process.
        if self.incarnation != 0 && heartbeat.incarnation != self.incarnation {
            self.adverts.clear();
        }
        self.member = member;
        self.incarnation = heartbeat.incarnation;
        self.last_seen_at = Some(now);
        self.unanswered_since = None;
        self.version = heartbeat.version;
        self.draining = heartbeat.draining;
        self.platform_age_ms = heartbeat.platform_age_ms;
        self.digest = heartbeat.digest;
        if let Some(adverts) = &heartbeat.adverts {
            self.adverts.clone_from(adverts);
            self.adverts_at = Some(now);
        }
    }

    pub(crate) fn record_relay(&mut self, relay: &Relay, now: Instant) {
        let last_seen_at = now.checked_sub(Duration::from_millis(relay.age_ms));
        if last_seen_at >= self.adverts_at {
            self.adverts.clone_from(&relay.adverts);
        }
        // A direct heartbeat without adverts may have arrived since.
        if last_seen_at > self.last_seen_at {
            self.last_seen_at = last_seen_at;
            self.version = relay.version;
            self.draining = relay.draining;
        }
    }

    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        self.was_seen_within(LIVENESS_TIMEOUT, now)
    }

    pub(crate) fn was_seen_within(&self, duration: Duration, now: Instant) -> bool {
        self.last_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < duration)
    }

    /// Returns whether a heartbeat from this daemon to the peer is due.
    pub(crate) fn is_heartbeat_due(&self, own: &name::Host, now: Instant) -> bool {
        if !self.is_alive(now) {
            return self
                .probed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        }
        *own < self.member.host || !self.was_seen_within(2 * HEARTBEAT_INTERVAL, now)
    }

    /// Returns whether the peer, in another zone, can be expected to respond.
    ///
    /// A peer that is alive according to relays but does not respond to this daemon is tried again
    /// after [`EXPIRY`].
    pub(crate) fn is_responsive(&self, now: Instant) -> bool {
        let failing = self.unanswered_since.is_some_and(|since| {
            let unanswered = now.saturating_duration_since(since);
            unanswered >= LIVENESS_TIMEOUT && unanswered < EXPIRY
        });
        self.last_seen_at.is_some() && !failing && !self.is_expired(now)
    }

    pub(crate) fn record_probe(&mut self, now: Instant) {
        self.probed_at = Some(now);
        let since = self.unanswered_since.get_or_insert(now);
        if now.saturating_duration_since(*since) >= EXPIRY {
            *since = now;
        }
    }

    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        !self.was_seen_within(EXPIRY, now)
    }

    pub(crate) fn daemon(&self) -> Daemon {
        Daemon {
            member: self.member.clone(),
            version: self.version,
            draining: self.draining,
        }
    }

    pub(crate) fn relay(&self, now: Instant) -> Relay {
        let age = self
            .last_seen_at
            .map(|at| now.saturating_duration_since(at));
        Relay {
            member: self.member.clone(),
            version: self.version,
            draining: self.draining,
            age_ms: age.unwrap_or(EXPIRY).as_millis() as u64,
            adverts: self.adverts.clone(),
        }
    }
}
