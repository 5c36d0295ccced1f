//! The other daemons of the fleet, known from the platform's list and from their messages.
//!
//! Only daemons that the platform lists, or that a listed daemon of their zone names, become peers.
//! Messages from other addresses are rejected.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;
use tokio::time::Instant;

use crate::coordination::rendezvous;
use crate::coordination::shutdown::Phase;
use crate::coordination::watchers::{self, Member, Status};
use crate::state::map::{Map, Set};
use crate::state::versions::Versions;

/// The largest fleet in which each daemon tells its load to all others.
pub const FLEET_SCOPE_MAX: usize = 100;

/// The silence after which a daemon counts as gone and gets messages only occasionally.
pub const SILENCE_MAX: Duration = Duration::from_secs(3);

/// A silent daemon gets every nth message.
const SILENT_MESSAGE_PERIOD: u64 = 20;

/// The number of daemons that share their load per step of the spacing factor. Messages are spaced
/// further apart from twice this number on.
const PEERS_PER_SPACING_STEP: usize = 16;

/// The largest spacing factor.
const SPACING_FACTOR_MAX: u32 = 6;

/// The largest number of peers.
const PEERS_MAX: usize = 4096;

quick_error! {
    /// An error from a message of a daemon that is not a peer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// The platform lists no daemon at the address.
        Unknown(address: IpAddr) { display("no daemon is registered at {}", address) }
    }
}

/// The daemons to which a daemon tells its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All daemons.
    Fleet,
    /// The daemons of its zone. Other zones are told of the load on their upstreams, and of summaries
    /// on request.
    Zone,
}

/// What a daemon tells of itself that decides what others ask of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Told {
    /// The versions of the platform state that it has applied.
    pub versions: Versions,
    /// Whether its host is cut off from the upstreams.
    pub cut_off: bool,
    /// Whether it takes requests of clients.
    pub phase: Phase,
}

impl Told {
    /// Creates what a daemon tells of itself.
    pub fn new(versions: Versions, cut_off: bool) -> Self {
        Self {
            versions,
            cut_off,
            phase: Phase::Serving,
        }
    }
}

/// A daemon at its address.
#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    told: Told,
    /// The start time of its process in Unix milliseconds, once a message of it was received.
    started_ms: Option<u64>,
    /// When it was last heard from, or reported to be live, unless it is known to be gone.
    last_heard: Option<Instant>,
}

impl Peer {
    fn is_live(&self, now: Instant) -> bool {
        self.is_heard_within(SILENCE_MAX, now)
    }

    fn is_heard_within(&self, silence_max: Duration, now: Instant) -> bool {
        let is_recent = |heard: Instant| now.saturating_duration_since(heard) < silence_max;
        self.last_heard.is_some_and(is_recent)
    }
}

/// The other daemons.
#[derive(Debug)]
pub struct Peers {
    host: Arc<str>,
    zone: Arc<str>,
    address: IpAddr,
    by_address: Map<IpAddr, Peer>,
    generation: u64,
}

impl Peers {
    /// Creates the peers of the daemon on `host` in `zone` at `address`.
    pub fn new(host: Arc<str>, zone: Arc<str>, address: IpAddr) -> Self {
        Self {
            host,
            zone,
            address,
            by_address: Map::default(),
            generation: 0,
        }
    }

    /// Adds a daemon. It counts as live until it has been silent for too long. Returns whether it was
    /// unknown; another host at the address is replaced.
    pub fn add(&mut self, host: &Arc<str>, zone: &Arc<str>, address: IpAddr, now: Instant) -> bool {
        let known = self.by_address.get(&address);
        let is_known = known.is_some_and(|peer| peer.member.host == *host);
        if is_known || address == self.address || self.by_address.len() >= PEERS_MAX {
            return false;
        }
        let peer = Peer {
            member: Member {
                host: Arc::clone(host),
                zone: Arc::clone(zone),
                status: Status::Idle,
            },
            told: Told::default(),
            started_ms: None,
            last_heard: Some(now),
        };
        self.by_address.insert(address, peer);
        self.generation += 1;
        true
    }

    /// Returns whether a daemon is known at `address`.
    pub fn contains(&self, address: IpAddr) -> bool {
        self.by_address.contains_key(&address)
    }

    /// Returns the host of the daemon at `address`, if one is known.
    pub fn host_at(&self, address: IpAddr) -> Option<&Arc<str>> {
        let peer = self.by_address.get(&address);
        peer.map(|peer| &peer.member.host)
    }

    /// Returns the address, the host and the zone of all known daemons, including silent ones and the own
    /// one.
    pub fn listed(&self) -> Vec<(IpAddr, Arc<str>, Arc<str>)> {
        let own = (self.address, Arc::clone(&self.host), Arc::clone(&self.zone));
        let others = self.by_address.iter().map(|(address, peer)| {
            let member = &peer.member;
            (*address, Arc::clone(&member.host), Arc::clone(&member.zone))
        });
        others.chain([own]).collect()
    }

    /// Returns a number that changes when a daemon is added.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the hosts of all known daemons, including silent ones and the own one.
    pub fn hosts(&self) -> Vec<Arc<str>> {
        let others = self.by_address.values();
        let others = others.map(|peer| Arc::clone(&peer.member.host));
        others.chain([Arc::clone(&self.host)]).collect()
    }

    /// Returns the daemons to which this one tells its load. It depends on how many daemons have ever
    /// been known, so that it does not change when some of them are silent.
    pub fn scope(&self) -> Scope {
        if self.by_address.len() < FLEET_SCOPE_MAX {
            Scope::Fleet
        } else {
            Scope::Zone
        }
    }

    /// Returns the factor by which messages are further apart than in a small fleet.
    pub fn spacing(&self) -> u32 {
        let daemons = match self.scope() {
            Scope::Fleet => self.by_address.len(),
            Scope::Zone => self.in_zone(&self.zone).count(),
        };
        let steps = (daemons / PEERS_PER_SPACING_STEP) as u32;
        steps.clamp(1, SPACING_FACTOR_MAX)
    }

    /// Records a message from the daemon `member` at `address`, which started at `started_ms`. Returns
    /// whether it is the first message since that start.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon is known at the address.
    pub fn update(
        &mut self,
        address: IpAddr,
        member: Member,
        started_ms: u64,
        told: Told,
        now: Instant,
    ) -> Result<bool, Error> {
        let peer = self.by_address.get_mut(&address);
        let peer = peer.ok_or(Error::Unknown(address))?;
        if peer.member.host != member.host {
            self.generation += 1;
        }
        let is_first = peer.started_ms != Some(started_ms);
        *peer = Peer {
            member,
            told,
            started_ms: Some(started_ms),
            last_heard: Some(now),
        };
        Ok(is_first)
    }

    /// Records that a message from `address` was received; returns the daemon there.
    ///
    /// # Errors
    ///
    /// Returns an error if no daemon is known at the address.
    pub fn heard(&mut self, address: IpAddr, now: Instant) -> Result<&Member, Error> {
        let peer = self.by_address.get_mut(&address);
        let peer = peer.ok_or(Error::Unknown(address))?;
        peer.last_heard = Some(now);
        Ok(&peer.member)
    }

    /// Records whether the daemon at `address`, if there is one, takes requests.
    pub fn set_phase(&mut self, address: IpAddr, phase: Phase) {
        if let Some(peer) = self.by_address.get_mut(&address) {
            peer.told.phase = phase;
        }
    }

    /// Returns how many of the other daemons are live and take requests that they can send to upstreams.
    pub fn serving_count(&self, now: Instant) -> usize {
        let others = self.by_address.values();
        let serving = others.filter(|peer| {
            peer.told.phase == Phase::Serving && !peer.told.cut_off && self.is_heard(peer, now)
        });
        serving.count()
    }

    /// Returns the address of the live daemon that ranks first for `key`, or `None` if that is this one.
    pub fn first_in_rank(&self, key: &str, now: Instant) -> Option<IpAddr> {
        let heard = self.by_address.iter();
        let heard = heard.filter(|(_, peer)| self.is_heard(peer, now));
        let rank = |host: &Arc<str>| (rendezvous::weight(key, host), Arc::clone(host));
        let first = heard.max_by_key(|(_, peer)| rank(&peer.member.host))?;
        (rank(&first.1.member.host) > rank(&self.host)).then_some(*first.0)
    }

    /// Returns how many of the other daemons are live, and how many there are.
    pub fn heard_count(&self, now: Instant) -> (usize, usize) {
        let heard = self.by_address.values();
        let heard = heard.filter(|peer| self.is_heard(peer, now)).count();
        (heard, self.by_address.len())
    }

    /// Returns whether a daemon is live. Those that send messages to this one are silent for a shorter
    /// time.
    fn is_heard(&self, peer: &Peer, now: Instant) -> bool {
        let is_direct = self.scope() == Scope::Fleet || peer.member.zone == self.zone;
        let silence_max = if is_direct {
            watchers::SILENCE_MAX
        } else {
            SILENCE_MAX
        };
        peer.is_heard_within(silence_max, now)
    }

    /// Returns the live daemons, and of the own zone only those that were heard from within
    /// `silence_max`.
    pub fn members(&self, silence_max: Duration, now: Instant) -> Vec<Member> {
        let peers = self.by_address.values();
        let heard = peers.filter(|peer| {
            let silence_max = if peer.member.zone == self.zone {
                silence_max
            } else {
                SILENCE_MAX
            };
            peer.is_heard_within(silence_max, now)
        });
        heard.map(|peer| peer.member.clone()).collect()
    }

    /// Returns the addresses of all daemons that get message `number`.
    pub fn targets(&self, number: u64, now: Instant) -> Vec<IpAddr> {
        targets_among(self.by_address.iter(), number, now)
    }

    /// Returns the addresses of the daemons in `zone` that get message `number`.
    pub fn targets_in(&self, zone: &str, number: u64, now: Instant) -> Vec<IpAddr> {
        targets_among(self.in_zone(zone), number, now)
    }

    fn in_zone<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = (&'a IpAddr, &'a Peer)> {
        let peers = self.by_address.iter();
        peers.filter(move |(_, peer)| peer.member.zone.as_ref() == zone)
    }

    /// Returns the other zones that have daemons, sorted.
    pub fn other_zones(&self) -> Vec<Arc<str>> {
        let zones = self.by_address.values().map(|peer| &peer.member.zone);
        let zones: Set<&Arc<str>> = zones.filter(|zone| **zone != self.zone).collect();
        let mut zones: Vec<_> = zones.into_iter().cloned().collect();
        zones.sort();
        zones
    }

    /// Returns the zones that have live daemons, including the own one.
    pub fn live_zones(&self, now: Instant) -> Set<Arc<str>> {
        let live = self.by_address.values().filter(|peer| peer.is_live(now));
        let zones = live.map(|peer| &peer.member.zone).chain([&self.zone]);
        zones.cloned().collect()
    }

    /// Returns a daemon of `zone` that is not in `tried`, a live one if there is any. `random` is from
    /// 0 to 1.
    pub fn random_in(
        &self,
        zone: &str,
        tried: &Set<IpAddr>,
        random: f64,
        now: Instant,
    ) -> Option<IpAddr> {
        let untried = || {
            self.in_zone(zone)
                .filter(|(address, _)| !tried.contains(address))
        };
        let live = untried().filter(|(_, peer)| peer.is_live(now));
        let live: Vec<_> = live.map(|(address, _)| *address).collect();
        let all = || untried().map(|(address, _)| *address).collect();
        let candidates: Vec<IpAddr> = if live.is_empty() { all() } else { live };
        pick(&candidates, random).copied()
    }

    /// Returns the address of a live daemon that has newer state than `own` and is not in `tried`.
    /// `random` is from 0 to 1.
    ///
    /// The first one is in the own zone if possible. The others are in any zone, since the daemons of
    /// a zone often fail together. A daemon that has no state yet gets one that no other daemon of
    /// its zone is ahead of, since it would use an outdated one.
    pub fn ahead_of(
        &self,
        own: &Versions,
        tried: &Set<IpAddr>,
        random: f64,
        now: Instant,
    ) -> Option<IpAddr> {
        let peers = self.by_address.iter();
        let (mut near, mut far): (Vec<_>, Vec<_>) = peers
            .filter(|(_, peer)| peer.is_live(now) && peer.told.versions.is_ahead_of(own))
            .filter(|(address, _)| !tried.contains(address))
            .partition(|(_, peer)| peer.member.zone == self.zone);
        if *own != Versions::default() && !tried.is_empty() {
            far.append(&mut near);
        } else {
            let versions = near.iter().map(|(_, peer)| peer.told.versions);
            let newest = versions.fold(*own, |newest, versions| newest.merge(&versions));
            let is_newest = |peer: &Peer| !newest.is_ahead_of(&peer.told.versions);
            if near.iter().any(|(_, peer)| is_newest(peer)) {
                near.retain(|(_, peer)| is_newest(peer));
            }
        }
        let candidates = if near.is_empty() { far } else { near };
        pick(&candidates, random).map(|(address, _)| **address)
    }

    /// Returns whether the daemon at `address` says that it is cut off from the upstreams.
    pub fn is_cut_off(&self, address: IpAddr) -> bool {
        let peer = self.by_address.get(&address);
        peer.is_some_and(|peer| peer.told.cut_off)
    }

    /// Returns the address of a random live daemon that is not cut off from the upstreams and not in
    /// `tried`, of the own zone if there is one. `random` is from 0 to 1.
    pub fn handover_target(
        &self,
        tried: &Set<IpAddr>,
        random: f64,
        now: Instant,
    ) -> Option<IpAddr> {
        let peers = self.by_address.iter();
        let (near, far): (Vec<_>, Vec<_>) = peers
            .filter(|(_, peer)| self.is_heard(peer, now) && !peer.told.cut_off)
            .filter(|(address, _)| !tried.contains(address))
            .partition(|(_, peer)| peer.member.zone == self.zone);
        let candidates = if near.is_empty() { far } else { near };
        pick(&candidates, random).map(|(address, _)| **address)
    }

    /// Returns the live daemons of `zone` with their addresses, including the own one.
    pub fn live_in(&self, zone: &str, now: Instant) -> Vec<(IpAddr, Arc<str>)> {
        let live = self.in_zone(zone).filter(|(_, peer)| peer.is_live(now));
        let live = live.map(|(address, peer)| (*address, Arc::clone(&peer.member.host)));
        let own = (zone == self.zone.as_ref()).then(|| (self.address, Arc::clone(&self.host)));
        live.chain(own).collect()
    }

    /// Returns a digest of the live daemons of `zone`, which does not depend on their order.
    pub fn digest(&self, zone: &str, now: Instant) -> u64 {
        let live = self.live_in(zone, now);
        let hashes = live
            .iter()
            .map(|(address, host)| rendezvous::weight(&address.to_string(), host));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Records that the live daemons of another zone are those known here.
    pub fn confirm_zone(&mut self, zone: &str, now: Instant) {
        for peer in self.by_address.values_mut() {
            if peer.member.zone.as_ref() == zone && peer.is_live(now) {
                peer.last_heard = Some(now);
            }
        }
    }

    /// Records which daemons of another zone are live.
    pub fn set_zone(&mut self, zone: &Arc<str>, live: &[(IpAddr, Arc<str>)], now: Instant) {
        for (address, host) in live {
            self.add(host, zone, *address, now);
        }
        let addresses: Set<&IpAddr> = live.iter().map(|(address, _)| address).collect();
        for (address, peer) in &mut self.by_address {
            if peer.member.zone == *zone {
                peer.last_heard = addresses.contains(address).then_some(now);
            }
        }
    }
}

fn targets_among<'a, I>(peers: I, number: u64, now: Instant) -> Vec<IpAddr>
where
    I: Iterator<Item = (&'a IpAddr, &'a Peer)>,
{
    let include_silent = number.is_multiple_of(SILENT_MESSAGE_PERIOD);
    peers
        .filter(|(_, peer)| include_silent || peer.is_live(now))
        .map(|(address, _)| *address)
        .collect()
}

fn pick<T>(items: &[T], random: f64) -> Option<&T> {
    let index = (random * items.len() as f64) as usize;
    items.get(index.min(items.len().saturating_sub(1)))
}
