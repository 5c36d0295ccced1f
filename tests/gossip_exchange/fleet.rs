//! A fleet of daemons that exchange gossip over a faulty network, on a clock of its own.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::{
    Datagram, Exchange, Info, Outgoing, Own, QUERY_INTERVAL, Received, View,
};
use primrosehoist::coordination::peers::Error;
use primrosehoist::protocol::gossip::{decode, encode};
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::{Key, LatencyClass, Load, Occupancy};
use tokio::time::Instant;

pub const STEP: Duration = Duration::from_millis(10);

/// The longest silence of a daemon whose load does not change.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// The time within which every daemon knows the load that does not change any more.
pub const SETTLE_TIME: Duration = Duration::from_secs(7);

pub type InfoFn<'a> = &'a dyn Fn() -> Info;
pub type RecentFn<'a> = &'a dyn Fn() -> Map<Key, u32>;
pub type ZoneFn<'a> = &'a dyn Fn(Key) -> Option<Arc<str>>;

pub struct Rng(u64);

impl Rng {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn below(&mut self, bound: usize) -> usize {
        (self.next() * bound as f64) as usize
    }
}

pub fn address(index: usize) -> IpAddr {
    Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8).into()
}

pub fn zone(index: usize, zones: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", index % zones))
}

pub fn upstream(index: usize) -> String {
    format!("i-{index}")
}

pub fn load() -> Load {
    Load {
        latency_class: Some(LatencyClass::Strict),
        weight: 1.5,
        prefill_ms: 20.0,
        memory_tokens: 5120,
    }
}

/// A daemon with its requests.
pub struct Daemon {
    pub exchange: Exchange,
    pub occupancy: Occupancy,
    /// The upstreams of its requests.
    pub open: Vec<usize>,
    pub running: bool,
    pub info: Info,
    pub told_at: Instant,
    pub has_changed: bool,
    pub asked_at: Instant,
}

/// The fault of the network between two daemons, by their zones.
pub type Cut = fn(from_zone: usize, to_zone: usize) -> bool;

pub struct Fleet {
    pub zones: usize,
    pub upstreams: usize,
    pub daemons: Vec<Daemon>,
    pub now: Instant,
    pub rng: Rng,
    pub loss: f64,
    pub cut: Cut,
    pub in_flight: Vec<(Instant, usize, IpAddr, Datagram)>,
    pub sent: u64,
}

impl Fleet {
    pub fn new(daemons: usize, zones: usize, upstreams: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            zones,
            upstreams,
            daemons: Vec::new(),
            now,
            rng: Rng(seed * 2_654_435_761 + 1),
            loss: 0.0,
            cut: |_, _| false,
            in_flight: Vec::new(),
            sent: 0,
        };
        for index in 0..daemons {
            let daemon = fleet.start(index, 1);
            fleet.daemons.push(daemon);
        }
        for index in 0..daemons {
            fleet.list(index, daemons);
        }
        fleet
    }

    pub fn start(&self, index: usize, started_ms: u64) -> Daemon {
        let own = Own {
            host: Arc::from(format!("host-{index}")),
            zone: zone(index, self.zones),
            address: address(index),
            started_ms,
        };
        Daemon {
            exchange: Exchange::new(own),
            occupancy: Occupancy::default(),
            open: Vec::new(),
            running: true,
            info: Info::default(),
            told_at: self.now,
            has_changed: true,
            asked_at: self.now,
        }
    }

    /// Tells daemon `index` of the first `listed` daemons, as the store's list does.
    pub fn list(&mut self, index: usize, listed: usize) {
        for other in 0..listed {
            let host = Arc::from(format!("host-{other}"));
            let zone = zone(other, self.zones);
            let peers = &mut self.daemons[index].exchange.peers;
            peers.add(&host, &zone, address(other), self.now);
        }
    }

    pub fn begin(&mut self, index: usize, upstream_index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.occupancy.begin(&upstream(upstream_index), &load());
        daemon.open.push(upstream_index);
        daemon.has_changed = true;
    }

    pub fn end(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(upstream_index) = daemon.open.pop() {
            daemon
                .occupancy
                .end(&upstream(upstream_index), &load(), true);
            daemon.has_changed = true;
        }
    }

    /// Calls `action` with the exchange of daemon `index` and what its messages depend on.
    pub fn act<A, T>(&mut self, index: usize, action: A) -> T
    where
        A: FnOnce(&mut Exchange, &mut View<'_, InfoFn<'_>, RecentFn<'_>, ZoneFn<'_>>) -> T,
    {
        let (zones, upstreams) = (self.zones, self.upstreams);
        let by_key: BTreeMap<Key, usize> = (0..upstreams)
            .map(|index| (Key::from(upstream(index).as_str()), index))
            .collect();
        let daemon = &mut self.daemons[index];
        let told = daemon.info.clone();
        let info: InfoFn<'_> = &|| told.clone();
        let recent: RecentFn<'_> = &Map::default;
        let zone_of: ZoneFn<'_> = &|key| by_key.get(&key).map(|index| zone(*index, zones));
        let mut view = View {
            occupancy: &mut daemon.occupancy,
            info,
            recent,
            zone_of,
        };
        action(&mut daemon.exchange, &mut view)
    }

    pub fn transmit(&mut self, from: usize, outgoing: Outgoing) {
        let bytes = encode(&outgoing.datagram).expect("messages can be encoded");
        for target in outgoing.targets {
            let to = (0..self.daemons.len())
                .find(|index| address(*index) == target)
                .expect("targets exist");
            assert_ne!(to, from);
            self.sent += 1;
            let is_cut = (self.cut)(from % self.zones, to % self.zones);
            if is_cut || self.rng.next() < self.loss {
                continue;
            }
            // A few are duplicated, and any may overtake others.
            let copies = if self.rng.next() < self.loss { 2 } else { 1 };
            for _ in 0..copies {
                let delay = Duration::from_millis(self.rng.below(30) as u64);
                let datagram = decode(&bytes).expect("messages can be decoded");
                let message = (self.now + delay, to, address(from), datagram);
                self.in_flight.push(message);
            }
        }
    }

    pub fn receive(
        &mut self,
        to: usize,
        from: IpAddr,
        datagram: Datagram,
    ) -> Result<Received, Error> {
        let now = self.now;
        let received = self.act(to, |exchange, view| {
            exchange.receive(from, datagram, view, now)
        })?;
        if let Some(reply) = received.reply.clone() {
            self.transmit(
                to,
                Outgoing {
                    targets: vec![from],
                    datagram: reply,
                },
            );
        }
        Ok(received)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            let now = self.now;
            let due: Vec<_>;
            (due, self.in_flight) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            for (_, to, from, datagram) in due {
                if self.daemons[to].running {
                    let _unknown = self.receive(to, from, datagram).is_err();
                }
            }
            for index in 0..self.daemons.len() {
                let daemon = &mut self.daemons[index];
                if !daemon.running {
                    continue;
                }
                daemon.occupancy.expire(now);
                if daemon.has_changed || now >= daemon.told_at + HEARTBEAT {
                    daemon.has_changed = false;
                    daemon.told_at = now;
                    let all = self.act(index, |exchange, view| exchange.tell_load(view, now));
                    for outgoing in all {
                        self.transmit(index, outgoing);
                    }
                }
                if now >= self.daemons[index].asked_at + QUERY_INTERVAL {
                    self.daemons[index].asked_at = now;
                    let random = self.rng.next();
                    let query = self.act(index, |exchange, view| {
                        exchange.query(view.info, random, now)
                    });
                    if let Some(query) = query {
                        self.transmit(index, query);
                    }
                }
            }
        }
    }

    /// Begins and ends requests at random for `time`.
    pub fn disturb(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for _ in 0..=self.daemons.len() / 8 {
                let index = self.rng.below(self.daemons.len());
                if self.daemons[index].running {
                    if self.rng.next() < 0.55 {
                        let upstream_index = self.rng.below(self.upstreams);
                        self.begin(index, upstream_index);
                    } else {
                        self.end(index);
                    }
                }
            }
            self.run(STEP * 2);
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.daemons[index].running = false;
        self.daemons[index].open.clear();
    }

    pub fn assert_all_know_the_load(&self, what: &str) {
        let mut expected = vec![0; self.upstreams];
        for daemon in self.daemons.iter().filter(|daemon| daemon.running) {
            for upstream_index in &daemon.open {
                expected[*upstream_index] += 1;
            }
        }
        for (index, daemon) in self.daemons.iter().enumerate() {
            if !daemon.running {
                continue;
            }
            for (upstream_index, count) in expected.iter().enumerate() {
                let work = daemon.occupancy.work(&upstream(upstream_index));
                assert_eq!(
                    work.running(),
                    *count,
                    "{what}: host-{index} about {} in {}",
                    upstream(upstream_index),
                    zone(upstream_index, self.zones)
                );
                let tokens = count * load().memory_tokens;
                assert_eq!(work.memory_tokens, tokens, "{what}: host-{index}");
            }
        }
    }
}
