//! Heartbeat exchange with one daemon of each other zone.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::heartbeat::Relay;
use crate::coordination::membership::peer::Peer;
use crate::coordination::membership::{Membership, RELAY_BYTES_PER_S};
use crate::coordination::rendezvous;
use crate::state::map::Map;
use crate::state::name;
use crate::state::view::Member;

/// The approximate encoded size of a relay or an advert.
const RELAY_BYTES: u64 = 48;

/// The minimum interval between two requests for relays to the same zone.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the exchange with another zone.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) requested_at: Instant,
    /// The interval between two requests for relays.
    pub(crate) interval: Duration,
}

impl Membership {
    pub(crate) fn record_relays(&mut self, zone: &name::Zone, relays: &[Relay], now: Instant) {
        for relay in relays.iter().filter(|relay| relay.member.zone == *zone) {
            self.add_member(relay.member.clone(), now);
            if let Some(peer) = self.peers.get_mut(&relay.member.host) {
                peer.record_relay(relay, now);
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

    /// Returns one daemon of each other zone: a responsive one, or else one to probe.
    pub(crate) fn pick_partners(&mut self, now: Instant) -> Vec<Member> {
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
            .filter_map(|peers| self.pick_partner(&peers, now))
            .collect();
        for member in &picked {
            if let Some(peer) = self.peers.get_mut(&member.host) {
                peer.record_probe(now);
            }
        }
        picked
    }

    fn pick_partner(&self, peers: &[&Peer], now: Instant) -> Option<Member> {
        let reachable = peers.iter().filter(|peer| peer.is_responsive(now));
        let own = self.own.host.as_str();
        let host = rendezvous::first(own, reachable.map(|peer| &peer.member.host));
        if let Some(host) = host {
            return Some(self.peers[host].member.clone());
        }
        let least_recent = peers
            .iter()
            .min_by_key(|peer| (peer.probed_at, &peer.member.host))?;
        Some(least_recent.member.clone())
    }

    /// Returns whether relays should be requested from `zone` now, and records the request if so.
    pub(crate) fn request_relays_if_due(&mut self, zone: &name::Zone, now: Instant) -> bool {
        if *zone == self.own.zone {
            return false;
        }
        let state = self.zones.get(zone);
        if state.is_some_and(|state| now < state.requested_at + state.interval) {
            return false;
        }
        let interval = state.map_or(RELAY_INTERVAL, |state| state.interval);
        let requested_at = now;
        self.zones.insert(
            zone.clone(),
            Zone {
                requested_at,
                interval,
            },
        );
        true
    }
}
