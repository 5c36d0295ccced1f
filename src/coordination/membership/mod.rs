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

mod partner;
mod peer;

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::{Heartbeat, Relay};
use crate::coordination::rendezvous;
use crate::state::fleet::Version;
use crate::state::map::{Map, Set};
use crate::state::name;
use crate::state::view::{Advert, Daemon, Holder, Member, View};

use partner::Zone;
use peer::{FORGET, Peer};

/// The pause between two heartbeats to the same peer.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// A daemon that was not heard for this long is not alive.
pub const SILENCE: Duration = Duration::from_secs(2);

/// The bytes that answers of other zones may take, in total.
pub const RELAY_BYTES_PER_S: u64 = 4096;

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
            digest ^ rendezvous::weight("member", host.as_str())
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

    fn forget(&mut self, now: Instant) {
        let listed = self.listed.as_ref();
        self.peers.retain(|host, peer| {
            let is_listed = listed.is_some_and(|listed| listed.contains(host));
            let last = peer.heard_at.unwrap_or(peer.learned_at);
            is_listed || now.saturating_duration_since(last) < FORGET
        });
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
