//! What is known of one other daemon.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::{Heartbeat, Relay};
use crate::coordination::membership::{INTERVAL, SILENCE};
use crate::state::fleet::Version;
use crate::state::name;
use crate::state::view::{Advert, Daemon, Member};

/// A member that nobody lists and that was not heard for this long is forgotten.
pub(crate) const FORGET: Duration = Duration::from_secs(60);

/// The pause between attempts to reach a member that is not alive.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// What is known of one other daemon.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) member: Member,
    pub(crate) incarnation: u64,
    pub(crate) learned_at: Instant,
    /// When it was last known to live, by itself or by a relay.
    pub(crate) heard_at: Option<Instant>,
    pub(crate) probed_at: Option<Instant>,
    /// When the first question went out that was not answered by itself.
    pub(crate) unanswered_since: Option<Instant>,
    pub(crate) version: Version,
    pub(crate) draining: bool,
    pub(crate) platform_age_ms: Option<u64>,
    pub(crate) digest: u64,
    pub(crate) adverts: Vec<Advert>,
    /// When it sent its adverts by itself.
    pub(crate) adverts_at: Option<Instant>,
}

impl Peer {
    pub(crate) fn new(member: Member, now: Instant) -> Self {
        Self {
            member,
            incarnation: 0,
            learned_at: now,
            heard_at: None,
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

    pub(crate) fn hear(&mut self, member: Member, heartbeat: &Heartbeat, now: Instant) {
        // What a relay told before the first heartbeat is of the same process, as far as is known.
        if self.incarnation != 0 && heartbeat.incarnation != self.incarnation {
            self.adverts.clear();
        }
        self.member = member;
        self.incarnation = heartbeat.incarnation;
        self.heard_at = Some(now);
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

    pub(crate) fn hear_relay(&mut self, relay: &Relay, now: Instant) {
        let heard_at = now.checked_sub(Duration::from_millis(relay.age_ms));
        if heard_at >= self.adverts_at {
            self.adverts.clone_from(&relay.adverts);
        }
        // The peer may have been heard directly since, but without its adverts.
        if heard_at > self.heard_at {
            self.heard_at = heard_at;
            self.version = relay.version;
            self.draining = relay.draining;
        }
    }

    pub(crate) fn is_alive(&self, now: Instant) -> bool {
        self.is_heard_within(SILENCE, now)
    }

    pub(crate) fn is_heard_within(&self, duration: Duration, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < duration)
    }

    /// Whether a heartbeat of this daemon to the peer is due.
    pub(crate) fn is_due(&self, own: &name::Host, now: Instant) -> bool {
        if !self.is_alive(now) {
            return self
                .probed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
        }
        *own < self.member.host || !self.is_heard_within(2 * INTERVAL, now)
    }

    /// Whether the peer, in another zone, is fit to be asked.
    ///
    /// A peer that others hear but that does not answer this daemon is tried again after
    /// [`FORGET`].
    pub(crate) fn answers(&self, now: Instant) -> bool {
        let failing = self.unanswered_since.is_some_and(|since| {
            let unanswered = now.saturating_duration_since(since);
            unanswered >= SILENCE && unanswered < FORGET
        });
        self.heard_at.is_some() && !failing && !self.is_stale(now)
    }

    pub(crate) fn record_probe(&mut self, now: Instant) {
        self.probed_at = Some(now);
        let since = self.unanswered_since.get_or_insert(now);
        if now.saturating_duration_since(*since) >= FORGET {
            *since = now;
        }
    }

    pub(crate) fn is_stale(&self, now: Instant) -> bool {
        !self.is_heard_within(FORGET, now)
    }

    pub(crate) fn daemon(&self) -> Daemon {
        Daemon {
            member: self.member.clone(),
            version: self.version,
            draining: self.draining,
        }
    }

    pub(crate) fn relay(&self, now: Instant) -> Relay {
        let age = self.heard_at.map(|at| now.saturating_duration_since(at));
        Relay {
            member: self.member.clone(),
            version: self.version,
            draining: self.draining,
            age_ms: age.unwrap_or(FORGET).as_millis() as u64,
            adverts: self.adverts.clone(),
        }
    }
}
