//! Which daemons are alive, and what they hold.
//!
//! A daemon exchanges heartbeats with each daemon of its own zone and with one daemon of each
//! other zone, which a rendezvous hash picks. Of a pair in one zone, the daemon with the smaller
//! name opens the exchange; the other does so only if it hears nothing. The answer carries the
//! same as the request, so one exchange per interval informs both.
//!
//! Members are learned from the platform's list of hosts, from the settings and from heartbeats,
//! but count as alive only once they were heard. A heartbeat of an older process of the same host
//! is dropped.
//!
//! Cost: adverts go with every second heartbeat and only inside the zone; names of members go only
//! to a peer whose digest differs. What other zones hold is asked from one daemon of each zone, at
//! intervals that grow with the size of the answers, so that they stay near
//! [`RELAY_BYTES_PER_S`]. With a few daemons and a dozen upstreams per zone that is once a second;
//! placement in another zone is decided on adverts that are this old.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::{Heartbeat, Relay};
use crate::coordination::rendezvous;
use crate::state::fleet::Version;
use crate::state::map::{Map, Set};
use crate::state::name;
use crate::state::view::{Advert, Daemon, Holder, Member, View};

/// The pause between two heartbeats to the same peer.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// A daemon that was not heard for this long is not alive.
pub const SILENCE: Duration = Duration::from_secs(2);

/// The bytes that answers of other zones may take, in total.
pub const RELAY_BYTES_PER_S: u64 = 4096;

/// The shortest pause between two questions to the same zone.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);

/// The pause between attempts to reach a member that is not alive.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// A member that nobody lists and that was not heard for this long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// The encoded size of a relay or an advert, roughly.
const RELAY_BYTES: u64 = 48;

/// What the daemon knows about itself at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Local {
    /// The configuration version in force.
    pub version: Version,
    /// Whether the daemon shuts down.
    pub draining: bool,
    /// Milliseconds since it last read the platform, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that it holds.
    pub adverts: Vec<Advert>,
}

/// A peer to send a heartbeat to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The peer.
    pub member: Member,
    /// The heartbeat to send.
    pub heartbeat: Heartbeat,
}

/// What is known of one other daemon.
#[derive(Debug)]
struct Peer {
    member: Member,
    incarnation: u64,
    learned_at: Instant,
    /// When it was last known to live, by itself or by a relay.
    heard_at: Option<Instant>,
    probed_at: Option<Instant>,
    /// When the first question went out that was not answered by itself.
    unanswered_since: Option<Instant>,
    version: Version,
    draining: bool,
    platform_age_ms: Option<u64>,
    digest: u64,
    adverts: Vec<Advert>,
    /// When it sent its adverts by itself.
    adverts_at: Option<Instant>,
}

/// What is known of the exchange with another zone.
#[derive(Debug)]
struct Zone {
    asked_at: Instant,
    /// How long after a question the next one goes out.
    interval: Duration,
}

/// The daemons that this daemon knows.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    incarnation: u64,
    beats: u64,
    peers: Map<name::Host, Peer>,
    zones: Map<name::Zone, Zone>,
    /// The hosts in the platform's list, once it was read.
    listed: Option<Set<name::Host>>,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
    ///
    /// The incarnation must rise with each start of the process.
    pub fn new(own: Member, incarnation: u64) -> Self {
        Self {
            own,
            incarnation,
            beats: 0,
            peers: Map::default(),
            zones: Map::default(),
            listed: None,
        }
    }

    /// Returns how long ago `host` was known to live, by itself or by a relay.
    pub fn age(&self, host: &name::Host, now: Instant) -> Option<Duration> {
        let heard_at = self.peers.get(host)?.heard_at?;
        Some(now.saturating_duration_since(heard_at))
    }

    /// Records that `member` may exist.
    pub fn learn(&mut self, member: Member, now: Instant) {
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

    /// Records the daemons in the platform's list of hosts.
    pub fn learn_list(&mut self, members: Vec<Member>, now: Instant) {
        self.listed = Some(members.iter().map(|member| member.host.clone()).collect());
        for member in members {
            self.learn(member, now);
        }
    }

    /// Records a heartbeat, which was sent to this daemon or answered to it.
    pub fn hear(&mut self, heartbeat: &Heartbeat, now: Instant) {
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
        peer.hear(member, heartbeat, now);
        for member in &heartbeat.members {
            self.learn(member.clone(), now);
        }
        if !own_zone {
            self.hear_relays(&heartbeat.zone, &heartbeat.relays, now);
        }
    }

    fn hear_relays(&mut self, zone: &name::Zone, relays: &[Relay], now: Instant) {
        for relay in relays.iter().filter(|relay| relay.member.zone == *zone) {
            self.learn(relay.member.clone(), now);
            if let Some(peer) = self.peers.get_mut(&relay.member.host) {
                peer.hear_relay(relay, now);
            }
        }
        let items: u64 = relays
            .iter()
            .map(|relay| 1 + relay.adverts.len() as u64)
            .sum();
        let zones = self.zones.len().max(1) as u64;
        let interval =
            Duration::from_millis(items * RELAY_BYTES * zones * 1000 / RELAY_BYTES_PER_S);
        if let Some(state) = self.zones.get_mut(zone) {
            state.interval = interval.max(RELAY_INTERVAL);
        }
    }

    /// Returns the heartbeats that are due; called once per [`INTERVAL`].
    pub fn beat(&mut self, local: &Local, now: Instant) -> Vec<Target> {
        self.beats += 1;
        self.forget(now);
        let mut members = self.due_in_zone(now);
        members.extend(self.partners(now));
        members
            .into_iter()
            .map(|member| {
                let mut heartbeat = self.compose(local, &member, now);
                heartbeat.wants_relays = self.asks_relays(&member.zone, now);
                Target { member, heartbeat }
            })
            .collect()
    }

    /// Returns the answer to a heartbeat, which [`Membership::hear`] was told of.
    pub fn answer(&self, local: &Local, asked: &Heartbeat, now: Instant) -> Heartbeat {
        let member = Member {
            host: asked.host.clone(),
            zone: asked.zone.clone(),
            address: asked.address.clone(),
        };
        let mut heartbeat = self.compose(local, &member, now);
        if asked.zone == self.own.zone && asked.adverts.is_some() {
            heartbeat.adverts = Some(local.adverts.clone());
        }
        if asked.wants_relays {
            heartbeat.adverts = Some(local.adverts.clone());
            heartbeat.relays = self.relays(now);
        }
        heartbeat
    }

    /// Returns the snapshot of daemons and holders for the path of requests.
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

    /// Returns the daemons of the own zone that are alive and not shutting down, this one included.
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

    /// Returns the other daemons of the own zone that are alive.
    pub fn zone_members(&self, now: Instant) -> Vec<Member> {
        self.zone_peers(now)
            .map(|peer| peer.member.clone())
            .collect()
    }

    /// Returns the alive daemon with the highest version above `version`, if there is one.
    pub fn ahead_of(&self, version: Version, now: Instant) -> Option<Member> {
        self.peers
            .values()
            .filter(|peer| peer.version > version && peer.is_alive(now))
            .max_by_key(|peer| (peer.member.zone == self.own.zone, peer.version))
            .map(|peer| peer.member.clone())
    }

    /// Returns whether the platform's list was read and does not hold `host`.
    pub fn is_gone(&self, host: &name::Host) -> bool {
        let listed = self.listed.as_ref();
        listed.is_some_and(|listed| !listed.contains(host))
    }

    /// Returns whether `host` is this daemon or was heard within [`SILENCE`].
    pub fn is_alive(&self, host: &name::Host, now: Instant) -> bool {
        let peer = self.peers.get(host);
        *host == self.own.host || peer.is_some_and(|peer| peer.is_alive(now))
    }

    /// Returns whether `host` sent adverts since `since` and has nothing more at `upstream` by
    /// `epoch` or an older one.
    pub fn has_left(
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
        let here = |advert: &Advert| advert.upstream == *upstream && advert.epoch <= epoch;
        fresh && !peer.adverts.iter().any(here)
    }

    /// Returns the heartbeat that makes this daemon known to one that it knows no name of.
    pub fn introduce(&self, local: &Local) -> Heartbeat {
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
        let extra = self.zones.get(&peer.member.zone).map(|zone| zone.interval);
        peer.is_heard_within(SILENCE + extra.unwrap_or_default(), now)
    }

    fn compose(&self, local: &Local, to: &Member, now: Instant) -> Heartbeat {
        let own_zone = to.zone == self.own.zone;
        let digest = self.digest(now);
        let differs = self
            .peers
            .get(&to.host)
            .is_some_and(|peer| peer.digest != digest);
        let adverts = (own_zone && self.beats.is_multiple_of(2)).then(|| local.adverts.clone());
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
            ..self.introduce(local)
        }
    }

    fn relays(&self, now: Instant) -> Vec<Relay> {
        self.zone_peers(now).map(|peer| peer.relay(now)).collect()
    }

    fn digest(&self, now: Instant) -> u64 {
        let hosts = self.zone_peers(now).map(|peer| &peer.member.host);
        hosts.chain([&self.own.host]).fold(0, |digest, host| {
            digest ^ rendezvous::weight("member", host)
        })
    }

    fn due_in_zone(&mut self, now: Instant) -> Vec<Member> {
        let own = &self.own;
        let peers = self.peers.values_mut();
        peers
            .filter(|peer| peer.member.zone == own.zone && peer.is_due(&own.host, now))
            .map(|peer| {
                peer.probed_at = Some(now);
                peer.member.clone()
            })
            .collect()
    }

    /// Picks one daemon of each other zone: an alive one, else one to probe.
    fn partners(&mut self, now: Instant) -> Vec<Member> {
        let mut zones: Map<name::Zone, Vec<&Peer>> = Map::default();
        for peer in self.peers.values() {
            if peer.member.zone != self.own.zone {
                zones
                    .entry(peer.member.zone.clone())
                    .or_default()
                    .push(peer);
            }
        }
        let picked: Vec<Member> = zones
            .into_values()
            .filter_map(|peers| self.partner(&peers, now))
            .collect();
        for member in &picked {
            if let Some(peer) = self.peers.get_mut(&member.host) {
                peer.record_probe(now);
            }
        }
        picked
    }

    fn partner(&self, peers: &[&Peer], now: Instant) -> Option<Member> {
        let reachable = peers.iter().filter(|peer| peer.answers(now));
        let own = self.own.host.as_str();
        let host = rendezvous::first(own, reachable.map(|peer| &peer.member.host));
        if let Some(host) = host {
            return Some(self.peers[host].member.clone());
        }
        let oldest = peers
            .iter()
            .min_by_key(|peer| (peer.probed_at, &peer.member.host))?;
        Some(oldest.member.clone())
    }

    fn asks_relays(&mut self, zone: &name::Zone, now: Instant) -> bool {
        if *zone == self.own.zone {
            return false;
        }
        let state = self.zones.get(zone);
        if state.is_some_and(|state| now < state.asked_at + state.interval) {
            return false;
        }
        let interval = state.map_or(RELAY_INTERVAL, |state| state.interval);
        let asked_at = now;
        self.zones.insert(zone.clone(), Zone { asked_at, interval });
        true
    }

    fn forget(&mut self, now: Instant) {
        let listed = self.listed.as_ref();
        self.peers.retain(|host, peer| {
            let is_listed = listed.is_some_and(|listed| listed.contains(host));
            let last = peer.heard_at.unwrap_or(peer.learned_at);
            is_listed || now.saturating_duration_since(last) < FORGET
        });
    }
}

impl Peer {
    fn new(member: Member, now: Instant) -> Self {
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

    fn hear(&mut self, member: Member, heartbeat: &Heartbeat, now: Instant) {
        if heartbeat.incarnation != self.incarnation {
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

    fn hear_relay(&mut self, relay: &Relay, now: Instant) {
        let heard_at = now.checked_sub(Duration::from_millis(relay.age_ms));
        if heard_at <= self.heard_at {
            return;
        }
        self.heard_at = heard_at;
        self.version = relay.version;
        self.draining = relay.draining;
        self.adverts.clone_from(&relay.adverts);
    }

    fn is_alive(&self, now: Instant) -> bool {
        self.is_heard_within(SILENCE, now)
    }

    fn is_heard_within(&self, duration: Duration, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < duration)
    }

    /// Whether a heartbeat of this daemon to the peer is due.
    fn is_due(&self, own: &name::Host, now: Instant) -> bool {
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
    fn answers(&self, now: Instant) -> bool {
        let failing = self.unanswered_since.is_some_and(|since| {
            let unanswered = now.saturating_duration_since(since);
            unanswered >= SILENCE && unanswered < FORGET
        });
        self.heard_at.is_some() && !failing && !self.is_stale(now)
    }

    fn record_probe(&mut self, now: Instant) {
        self.probed_at = Some(now);
        let since = self.unanswered_since.get_or_insert(now);
        if now.saturating_duration_since(*since) >= FORGET {
            *since = now;
        }
    }

    fn is_stale(&self, now: Instant) -> bool {
        !self.is_heard_within(FORGET, now)
    }

    fn daemon(&self) -> Daemon {
        Daemon {
            member: self.member.clone(),
            version: self.version,
            draining: self.draining,
        }
    }

    fn relay(&self, now: Instant) -> Relay {
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

impl View {
    /// Adds a daemon and its adverts; of two holders of an upstream the higher epoch counts.
    fn add(&mut self, daemon: Daemon, adverts: &[Advert]) {
        for advert in adverts {
            let known = self.holders.get(&advert.upstream);
            if known.is_none_or(|known| known.advert.epoch < advert.epoch) {
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
