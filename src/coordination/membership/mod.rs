//! Cluster membership: which daemons are alive and which upstreams they hold.
//!
//! A daemon exchanges heartbeats with every daemon of its own zone and with one daemon of each
//! other zone, selected by a rendezvous hash. Of two daemons in one zone, the one with the smaller
//! name initiates the exchange; the other does so only if it receives nothing. The response carries
//! the same state as the request, so one exchange per interval updates both sides.
//!
//! Members are discovered through the platform's list of hosts, the settings and heartbeats, but
//! count as alive only after a heartbeat was received. Heartbeats of an older process on the same
//! host are ignored.
//!
//! To limit traffic, adverts are sent with every second heartbeat and only within the zone, and
//! member lists only to a peer whose digest differs. The holdings of other zones are requested from
//! one daemon of each zone, at intervals that grow with the size of the responses to keep them near
//! [`RELAY_BYTES_PER_S`]. With a few daemons and a dozen upstreams per zone the interval is one
//! second; placement in another zone relies on adverts of that age.

mod partner;
mod peer;

use std::cmp::Reverse;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::{Heartbeat, Relay};
use crate::coordination::rendezvous;
use crate::state::fleet::Version;
use crate::state::map::{Map, Set};
use crate::state::name;
use crate::state::view::{Advert, Daemon, Holder, Member, View};

use partner::Zone;
use peer::{EXPIRY, Peer};

/// The interval between two heartbeats to the same peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long after its last heartbeat a daemon counts as alive.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// The target rate of relay traffic received from all other zones together.
pub const RELAY_BYTES_PER_S: u64 = 4096;

/// The current state of this daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Local {
    /// The active configuration version.
    pub version: Version,
    /// Whether the daemon is shutting down.
    pub draining: bool,
    /// Milliseconds since it last read the platform, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that it holds.
    pub adverts: Vec<Advert>,
}

/// A heartbeat to send and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The destination.
    pub member: Member,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// The daemons known to this daemon.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    incarnation: u64,
    rounds: u64,
    peers: Map<name::Host, Peer>,
    zones: Map<name::Zone, Zone>,
    /// The platform's list of hosts, once it has been read.
    listed: Option<Set<name::Host>>,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
    ///
    /// The incarnation must increase with each start of the process.
    pub fn new(own: Member, incarnation: u64) -> Self {
        Self {
            own,
            incarnation,
            rounds: 0,
            peers: Map::default(),
            zones: Map::default(),
            listed: None,
        }
    }

    /// Returns the time since `host` was last seen alive, directly or through a relay.
    pub fn age(&self, host: &name::Host, now: Instant) -> Option<Duration> {
        let last_seen_at = self.peers.get(host)?.last_seen_at?;
        Some(now.saturating_duration_since(last_seen_at))
    }

    /// Adds `member` as a possible peer. It does not count as alive until it was seen.
    pub fn add_member(&mut self, member: Member, now: Instant) {
        if member.host == self.own.host {
            return;
        }
        let peer = self
            .peers
            .entry(member.host.clone())
            .or_insert_with(|| Peer::new(member.clone(), now));
        if !peer.is_alive(now) {
            peer.member = member;
        }
    }

    /// Sets the platform's list of hosts and adds its members as possible peers.
    pub fn set_listed_members(&mut self, members: Vec<Member>, now: Instant) {
        self.listed = Some(members.iter().map(|member| member.host.clone()).collect());
        for member in members {
            self.add_member(member, now);
        }
    }

    /// Records a heartbeat received as a request or as a response.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let member = Member {
            host: heartbeat.host.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address.clone(),
        };
        if member.host == self.own.host {
            return;
        }
        let own_zone = member.zone == self.own.zone;
        let peer = self
            .peers
            .entry(member.host.clone())
            .or_insert_with(|| Peer::new(member.clone(), now));
        if heartbeat.incarnation < peer.incarnation && peer.is_alive(now) {
            return;
        }
        peer.record_heartbeat(member, heartbeat, now);
        for member in &heartbeat.members {
            self.add_member(member.clone(), now);
        }
        if !own_zone {
            self.record_relays(&heartbeat.zone, &heartbeat.relays, now);
        }
    }

    /// Returns the heartbeats that are due. Must be called once per [`HEARTBEAT_INTERVAL`].
    pub fn due_heartbeats(&mut self, local: &Local, now: Instant) -> Vec<Target> {
        self.rounds += 1;
        self.remove_expired(now);
        let mut members = self.due_in_zone(now);
        members.extend(self.pick_partners(now));
        members
            .into_iter()
            .map(|member| {
                let mut heartbeat = self.heartbeat_to(local, &member, now);
                heartbeat.wants_relays = self.request_relays_if_due(&member.zone, now);
                Target { member, heartbeat }
            })
            .collect()
    }

    /// Returns the response to a heartbeat that was passed to [`Membership::record_heartbeat`].
    pub fn answer(&self, local: &Local, request: &Heartbeat, now: Instant) -> Heartbeat {
        let member = Member {
            host: request.host.clone(),
            zone: request.zone.clone(),
            address: request.address.clone(),
        };
        let mut heartbeat = self.heartbeat_to(local, &member, now);
        if request.zone == self.own.zone && request.adverts.is_some() {
            heartbeat.adverts = Some(local.adverts.clone());
        }
        if request.wants_relays {
            heartbeat.adverts = Some(local.adverts.clone());
            heartbeat.relays = self.relays(now);
        }
        heartbeat
    }

    /// Returns a snapshot of daemons and holders for the request path.
    pub fn view(&self, local: &Local, now: Instant) -> View {
        let mut view = View::default();
        view.add(
            Daemon {
                member: self.own.clone(),
                version: local.version,
                draining: local.draining,
            },
            &local.adverts,
        );
        for peer in self.peers.values() {
            if self.counts_as_alive(peer, now) {
                view.add(peer.daemon(), &peer.adverts);
            }
        }
        view
    }

    /// Returns the daemons of this zone that are alive and not shutting down, including this one.
    pub fn candidates(&self, local: &Local, now: Instant) -> Vec<name::Host> {
        let mut hosts: Vec<_> = self
            .zone_peers(now)
            .filter(|peer| !peer.draining)
            .map(|peer| peer.member.host.clone())
            .collect();
        if !local.draining {
            hosts.push(self.own.host.clone());
        }
        hosts.sort();
        hosts
    }

    /// Returns the other daemons of this zone that are alive.
    pub fn zone_members(&self, now: Instant) -> Vec<Member> {
        self.zone_peers(now)
            .map(|peer| peer.member.clone())
            .collect()
    }

    /// Returns the live daemons with a configuration version above `version`: first those of this
    /// zone, then those with the highest version.
    pub fn peers_ahead_of(&self, version: Version, now: Instant) -> Vec<Member> {
        let peers = self.peers.values();
        let mut ahead: Vec<_> = peers
            .filter(|peer| peer.version > version && peer.is_alive(now))
            .collect();
        ahead.sort_by_key(|peer| Reverse((peer.member.zone == self.own.zone, peer.version)));
        ahead.into_iter().map(|peer| peer.member.clone()).collect()
    }

    /// Returns whether the platform's list of hosts was read and does not contain `host`.
    pub fn is_gone(&self, host: &name::Host) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.contains(host))
    }

    /// Returns whether `host` is this daemon or was seen alive within [`LIVENESS_TIMEOUT`].
    pub fn is_alive(&self, host: &name::Host, now: Instant) -> bool {
        let peer = self.peers.get(host);
        *host == self.own.host || peer.is_some_and(|peer| peer.is_alive(now))
    }

    /// Returns whether `host` has sent adverts since `since` and no longer advertises `upstream` at
    /// `epoch` or an older one.
    pub fn has_released(
        &self,
        host: &name::Host,
        upstream: &name::Upstream,
        epoch: u64,
        since: Instant,
    ) -> bool {
        let Some(peer) = self.peers.get(host) else {
            return false;
        };
        let fresh = peer.adverts_at.is_some_and(|at| at >= since);
        let matches = |advert: &Advert| advert.upstream == *upstream && advert.epoch <= epoch;
        fresh && !peer.adverts.iter().any(matches)
    }

    /// Returns a heartbeat without adverts, members and relays, for contacting a daemon whose name
    /// is unknown.
    pub fn base_heartbeat(&self, local: &Local) -> Heartbeat {
        Heartbeat {
            host: self.own.host.clone(),
            zone: self.own.zone.clone(),
            address: self.own.address.clone(),
            incarnation: self.incarnation,
            version: local.version,
            draining: local.draining,
            platform_age_ms: local.platform_age_ms,
            adverts: None,
            digest: 0,
            members: Vec::new(),
            wants_relays: true,
            relays: Vec::new(),
        }
    }

    fn zone_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |peer| peer.member.zone == self.own.zone && peer.is_alive(now))
    }

    fn counts_as_alive(&self, peer: &Peer, now: Instant) -> bool {
        let relay_interval = self.zones.get(&peer.member.zone).map(|zone| zone.interval);
        peer.was_seen_within(LIVENESS_TIMEOUT + relay_interval.unwrap_or_default(), now)
    }

    fn heartbeat_to(&self, local: &Local, to: &Member, now: Instant) -> Heartbeat {
        let own_zone = to.zone == self.own.zone;
        let digest = self.digest(now);
        let differs = self
            .peers
            .get(&to.host)
            .is_some_and(|peer| peer.digest != digest);
        let adverts = (own_zone && self.rounds.is_multiple_of(2)).then(|| local.adverts.clone());
        let members = if own_zone && differs {
            self.zone_members(now)
        } else {
            Vec::new()
        };
        Heartbeat {
            adverts,
            digest,
            members,
            wants_relays: false,
            ..self.base_heartbeat(local)
        }
    }

    fn relays(&self, now: Instant) -> Vec<Relay> {
        self.zone_peers(now).map(|peer| peer.relay(now)).collect()
    }

    fn digest(&self, now: Instant) -> u64 {
        let hosts = self.zone_peers(now).map(|peer| &peer.member.host);
        hosts.chain([&self.own.host]).fold(0, |digest, host| {
            digest ^ rendezvous::weight("member", host.as_str())
        })
    }

    fn due_in_zone(&mut self, now: Instant) -> Vec<Member> {
        let own = &self.own;
        let peers = self.peers.values_mut();
        peers
            .filter(|peer| peer.member.zone == own.zone && peer.is_heartbeat_due(&own.host, now))
            .map(|peer| {
                peer.probed_at = Some(now);
                peer.member.clone()
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Instant) {
        let listed = self.listed.as_ref();
        self.peers.retain(|host, peer| {
            let is_listed = listed.is_some_and(|listed| listed.contains(host));
            let last = peer.last_seen_at.unwrap_or(peer.discovered_at);
            is_listed || now.saturating_duration_since(last) < EXPIRY
        });
    }
}

impl View {
    /// Adds a daemon and its adverts. If two daemons advertise an upstream, the higher epoch wins.
    fn add(&mut self, daemon: Daemon, adverts: &[Advert]) {
        for advert in adverts {
            let current = self.holders.get(&advert.upstream);
            if current.is_none_or(|current| current.advert.epoch < advert.epoch) {
                let holder = Holder {
                    member: daemon.member.clone(),
                    advert: advert.clone(),
                };
                self.holders.insert(advert.upstream.clone(), holder);
            }
        }
        self.daemons.insert(daemon.member.host.clone(), daemon);
    }
}
