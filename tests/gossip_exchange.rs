//! Drives the gossip between daemons through loss, duplication, reordering, cuts, crashes and
//! restarts, and checks what each daemon then knows of the load.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::{
    Datagram, Exchange, Info, Outgoing, Own, QUERY_INTERVAL, Query, Received, State, View,
};
use primrosehoist::coordination::peers::{Error, FLEET_SCOPE_MAX, Scope};
use primrosehoist::protocol::gossip::{decode, encode};
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::{Key, LatencyClass, Load, Occupancy};
use primrosehoist::state::versions::Versions;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(10);

/// The longest silence of a daemon whose load does not change.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// The time within which every daemon knows the load that does not change any more.
const SETTLE_TIME: Duration = Duration::from_secs(7);

type InfoFn<'a> = &'a dyn Fn() -> Info;
type RecentFn<'a> = &'a dyn Fn() -> Map<Key, u32>;
type ZoneFn<'a> = &'a dyn Fn(Key) -> Option<Arc<str>>;

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() * bound as f64) as usize
    }
}

fn address(index: usize) -> IpAddr {
    Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250) as u8).into()
}

fn zone(index: usize, zones: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", index % zones))
}

fn upstream(index: usize) -> String {
    format!("i-{index}")
}

fn load() -> Load {
    Load {
        latency_class: Some(LatencyClass::Strict),
        weight: 1.5,
        prefill_ms: 20.0,
        memory_tokens: 5120,
    }
}

/// A daemon with its requests.
struct Daemon {
    exchange: Exchange,
    occupancy: Occupancy,
    /// The upstreams of its requests.
    open: Vec<usize>,
    running: bool,
    info: Info,
    told_at: Instant,
    has_changed: bool,
    asked_at: Instant,
}

/// The fault of the network between two daemons, by their zones.
type Cut = fn(from_zone: usize, to_zone: usize) -> bool;

struct Fleet {
    zones: usize,
    upstreams: usize,
    daemons: Vec<Daemon>,
    now: Instant,
    rng: Rng,
    loss: f64,
    cut: Cut,
    in_flight: Vec<(Instant, usize, IpAddr, Datagram)>,
    sent: u64,
}

impl Fleet {
    fn new(daemons: usize, zones: usize, upstreams: usize, seed: u64) -> Self {
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

    fn start(&self, index: usize, started_ms: u64) -> Daemon {
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
    fn list(&mut self, index: usize, listed: usize) {
        for other in 0..listed {
            let host = Arc::from(format!("host-{other}"));
            let zone = zone(other, self.zones);
            let peers = &mut self.daemons[index].exchange.peers;
            peers.add(&host, &zone, address(other), self.now);
        }
    }

    fn begin(&mut self, index: usize, upstream_index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.occupancy.begin(&upstream(upstream_index), &load());
        daemon.open.push(upstream_index);
        daemon.has_changed = true;
    }

    fn end(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        if let Some(upstream_index) = daemon.open.pop() {
            daemon
                .occupancy
                .end(&upstream(upstream_index), &load(), true);
            daemon.has_changed = true;
        }
    }

    /// Calls `action` with the exchange of daemon `index` and what its messages depend on.
    fn act<A, T>(&mut self, index: usize, action: A) -> T
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

    fn transmit(&mut self, from: usize, outgoing: Outgoing) {
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

    fn receive(&mut self, to: usize, from: IpAddr, datagram: Datagram) -> Result<Received, Error> {
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

    fn run(&mut self, time: Duration) {
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
    fn disturb(&mut self, time: Duration) {
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

    fn kill(&mut self, index: usize) {
        self.daemons[index].running = false;
        self.daemons[index].open.clear();
    }

    fn assert_all_know_the_load(&self, what: &str) {
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

/// A fleet of each scope.
fn fleets(seed: u64) -> [Fleet; 2] {
    [
        Fleet::new(9, 3, 12, seed),
        Fleet::new(FLEET_SCOPE_MAX + 8, 4, 24, seed),
    ]
}

#[test]
fn all_daemons_know_the_load_after_loss_duplication_and_reordering() {
    for mut fleet in fleets(1) {
        fleet.run(Duration::from_secs(1));
        fleet.loss = 0.2;
        fleet.disturb(Duration::from_secs(3));
        fleet.loss = 0.0;
        fleet.run(SETTLE_TIME);
        fleet.assert_all_know_the_load("after loss");
    }
}

#[test]
fn load_of_crashed_daemons_ends_and_restarted_ones_are_heard() {
    for mut fleet in fleets(2) {
        fleet.disturb(Duration::from_secs(2));
        let killed: Vec<usize> = (0..fleet.daemons.len()).step_by(4).collect();
        for index in &killed {
            fleet.kill(*index);
        }
        fleet.disturb(Duration::from_secs(1));
        fleet.run(SETTLE_TIME);
        fleet.assert_all_know_the_load("after the crashes");
        for index in &killed {
            let daemon = fleet.start(*index, 2);
            fleet.daemons[*index] = daemon;
            fleet.list(*index, fleet.daemons.len());
        }
        fleet.disturb(Duration::from_secs(2));
        fleet.run(SETTLE_TIME);
        fleet.assert_all_know_the_load("after the restarts");
    }
}

#[test]
fn zones_that_were_cut_off_catch_up() {
    let cuts: [Cut; 3] = [
        |from, to| (from == 0) != (to == 0),
        |from, to| from == 0 && to != 0,
        |from, to| from != 0 && to == 0,
    ];
    for (number, cut) in cuts.into_iter().enumerate() {
        for mut fleet in fleets(3) {
            fleet.disturb(Duration::from_secs(1));
            fleet.cut = cut;
            fleet.disturb(Duration::from_secs(4));
            fleet.cut = |_, _| false;
            fleet.run(SETTLE_TIME);
            fleet.assert_all_know_the_load(&format!("after cut {number}"));
        }
    }
}

/// A change of version reaches every daemon that can be reached, without the store, well within the
/// shortest bound on it.
#[test]
fn newer_versions_become_known_in_all_zones() {
    for mut fleet in fleets(4) {
        fleet.run(Duration::from_secs(2));
        fleet.loss = 0.05;
        fleet.daemons[5].info.versions.upstreams = 9;
        fleet.daemons[5].has_changed = true;
        let changed = fleet.now;
        loop {
            fleet.run(STEP);
            // A daemon that learns of a version fetches the state, and then tells of it too.
            for index in 0..fleet.daemons.len() {
                let daemon = &mut fleet.daemons[index];
                let own = daemon.info.versions;
                if daemon
                    .exchange
                    .peers
                    .ahead_of(&own, 0.5, fleet.now)
                    .is_some()
                {
                    daemon.info.versions.upstreams = 9;
                    daemon.has_changed = true;
                }
            }
            let behind = fleet
                .daemons
                .iter()
                .filter(|d| d.info.versions.upstreams != 9);
            if behind.count() == 0 {
                break;
            }
            let elapsed = fleet.now - changed;
            assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
        }
    }
}

#[test]
fn added_daemons_become_known_and_share_their_load() {
    let mut fleet = Fleet::new(FLEET_SCOPE_MAX + 8, 4, 24, 5);
    fleet.run(Duration::from_secs(2));
    let added = fleet.daemons.len();
    let daemon = fleet.start(added, 1);
    fleet.daemons.push(daemon);
    fleet.list(added, added);
    // The daemons of its zone list the registered ones when they hear from it.
    for index in 0..added {
        if index % fleet.zones == added % fleet.zones {
            fleet.list(index, added + 1);
        }
    }
    fleet.disturb(Duration::from_secs(2));
    fleet.run(SETTLE_TIME);
    fleet.assert_all_know_the_load("after the addition");
    for daemon in &fleet.daemons[..added] {
        let hosts = daemon.exchange.peers.hosts();
        assert_eq!(hosts.len(), added + 1);
    }
}

#[test]
fn messages_from_unregistered_addresses_are_rejected() {
    let mut fleet = Fleet::new(3, 1, 4, 6);
    fleet.begin(0, 1);
    let now = fleet.now;
    let messages = fleet.act(0, |exchange, view| exchange.tell_load(view, now));
    let stranger = address(200);
    for outgoing in messages {
        assert_eq!(
            fleet.receive(1, stranger, outgoing.datagram),
            Err(Error::Unknown(stranger))
        );
    }
    assert_eq!(fleet.daemons[1].occupancy.work(&upstream(1)).running(), 0);
}

/// In a large fleet, the number of messages of a daemon depends on its zone, not on the fleet.
#[test]
fn messages_grow_with_the_zone_and_not_with_the_fleet() {
    let count = |daemons: usize, zones: usize| {
        let mut fleet = Fleet::new(daemons, zones, zones * 6, 7);
        assert_eq!(fleet.daemons[0].exchange.peers.scope(), Scope::Zone);
        fleet.run(Duration::from_secs(2));
        let before = fleet.sent;
        // Each daemon uses the upstreams of its zone.
        for round in 0..4 {
            for index in 0..daemons {
                fleet.begin(index, index % zones + zones * (round % 6));
            }
            fleet.run(Duration::from_millis(500));
        }
        (fleet.sent - before) as f64 / daemons as f64
    };
    let small = count(120, 4);
    let large = count(360, 12);
    assert!(large < small * 1.2, "{small} and {large} messages a daemon");
}

#[test]
fn a_daemon_without_state_asks_one_that_is_not_behind() {
    let mut fleet = Fleet::new(6, 1, 4, 8);
    for (index, version) in [(1, 3), (2, 4), (3, 4), (4, 2)] {
        fleet.daemons[index].info.versions.upstreams = version;
    }
    fleet.run(Duration::from_secs(1));
    let peers = &fleet.daemons[0].exchange.peers;
    for step in 0..20 {
        let random = f64::from(step) / 20.0;
        let chosen = peers.ahead_of(&Versions::default(), random, fleet.now);
        assert!(chosen == Some(address(2)) || chosen == Some(address(3)));
        // One that has some state may ask any that has a newer one, so that all do not ask the same.
        let own = Versions {
            upstreams: 2,
            ..Versions::default()
        };
        assert_ne!(peers.ahead_of(&own, random, fleet.now), Some(address(4)));
    }
}

/// Upstreams that fail make every daemon change its warnings again and again. They wait for the next
/// complete state; versions do not.
#[test]
fn warnings_cause_no_additional_states() {
    for mut fleet in fleets(9) {
        fleet.run(Duration::from_secs(1));
        let now = fleet.now;
        let tell = |fleet: &mut Fleet| {
            let all = fleet.act(0, |exchange, view| exchange.tell_load(view, now));
            let states = all.iter().map(|outgoing| &outgoing.datagram);
            states
                .filter(|datagram| matches!(datagram, Datagram::State(_)))
                .count()
        };
        tell(&mut fleet);
        for crash in 0..50 {
            fleet.daemons[0].info.avoided = vec![Arc::from(upstream(crash as usize))];
            fleet.daemons[0].info.crashes.push((crash, crash));
            assert_eq!(tell(&mut fleet), 0);
        }
        fleet.daemons[0].info.versions.upstreams += 1;
        assert_eq!(tell(&mut fleet), 1);
    }
}

/// The planned fleet.
const PLANNED_DAEMONS: usize = 400;
const PLANNED_ZONES: usize = 12;
const PLANNED_UPSTREAMS: usize = 1100;

/// Returns the first daemon of the planned fleet, which knows the others. Those of its zone have some
/// requests on each upstream there.
fn planned_daemon() -> Fleet {
    let mut fleet = Fleet::new(1, PLANNED_ZONES, PLANNED_UPSTREAMS, 10);
    fleet.list(0, PLANNED_DAEMONS);
    let now = fleet.now;
    for peer in (PLANNED_ZONES..PLANNED_DAEMONS).step_by(PLANNED_ZONES) {
        let mut occupancy = Occupancy::default();
        for request in 0..9 {
            let index = (peer + request * PLANNED_ZONES * 7) % PLANNED_UPSTREAMS;
            let index = index / PLANNED_ZONES * PLANNED_ZONES;
            occupancy.begin(&upstream(index), &load());
        }
        let state = Datagram::State(State {
            host: Arc::from(format!("host-{peer}")),
            zone: zone(peer, PLANNED_ZONES),
            sequence: (1, 1),
            info: Info::default(),
            load: occupancy.report(&Map::default()),
        });
        let received = fleet.act(0, |exchange, view| {
            exchange.receive(address(peer), state, view, now)
        });
        received.expect("the daemon is known");
    }
    fleet
}

/// Returns the answer to a query of a daemon of another zone.
fn planned_reply(fleet: &mut Fleet) -> Outgoing {
    let now = fleet.now;
    let asker = 1 + fleet.rng.below(PLANNED_ZONES - 1);
    let query = Datagram::Query(Query {
        host: Arc::from(format!("host-{asker}")),
        zone: zone(asker, PLANNED_ZONES),
        started_ms: 1,
        info: Info::default(),
        members: fleet.daemons[0].exchange.peers.digest("zone-0", now),
    });
    let received = fleet.act(0, |exchange, view| {
        exchange.receive(address(asker), query, view, now)
    });
    let reply = received.expect("the daemon is known").reply;
    Outgoing {
        targets: vec![address(asker)],
        datagram: reply.expect("a query is answered"),
    }
}

/// Counts what one daemon of the planned fleet sends at 2,400 requests a second in all; since all are
/// alike, it receives as much.
#[test]
fn control_of_a_daemon_at_the_planned_size_fits_its_budget() {
    const REQUESTS_PER_S: f64 = 6.0;
    /// The time from placement to the first event, and from there to the end of a request.
    const PREFILL: Duration = Duration::from_millis(300);
    const DECODE: Duration = Duration::from_millis(1200);
    /// How long changes that free capacity are coalesced in a zone of 33 daemons.
    const COALESCE: Duration = Duration::from_millis(50);
    const RUN: Duration = Duration::from_secs(20);
    /// The operators' budget for all control of a daemon.
    const BYTES_PER_S_MAX: f64 = 21_000.0;

    let mut fleet = planned_daemon();
    let start = fleet.now;
    let mut sent = Vec::new();
    let mut ends: Vec<(Instant, usize, bool)> = Vec::new();
    let mut freed_at = None;
    let mut next = start;
    while fleet.now < start + RUN {
        fleet.now += Duration::from_millis(5);
        let now = fleet.now;
        let mut is_urgent = false;
        if now >= next {
            let gap = -(1.0 - fleet.rng.next()).ln() / REQUESTS_PER_S;
            next += Duration::from_secs_f64(gap);
            let index = fleet.rng.below(PLANNED_UPSTREAMS / PLANNED_ZONES) * PLANNED_ZONES;
            fleet.begin(0, index);
            ends.push((now + PREFILL, index, true));
            is_urgent = true;
        }
        let due: Vec<_>;
        (due, ends) = ends.into_iter().partition(|(at, ..)| *at <= now);
        for (_, index, prefilling) in due {
            let occupancy = &mut fleet.daemons[0].occupancy;
            if prefilling {
                occupancy.finish_prefill(&upstream(index), &load());
                ends.push((now + DECODE, index, false));
            } else {
                occupancy.end(&upstream(index), &load(), false);
            }
            freed_at.get_or_insert(now);
        }
        if is_urgent || freed_at.is_some_and(|at| now >= at + COALESCE) {
            freed_at = None;
            sent.extend(fleet.act(0, |exchange, view| exchange.tell_load(view, now)));
        }
        let elapsed = (now - start).as_millis();
        if elapsed.is_multiple_of(QUERY_INTERVAL.as_millis()) {
            let random = fleet.rng.next();
            let query = fleet.act(0, |exchange, view| exchange.query(view.info, random, now));
            sent.extend(query);
            // On average, it answers as many queries as it sends.
            sent.push(planned_reply(&mut fleet));
        }
        for peer in (PLANNED_ZONES..PLANNED_DAEMONS).step_by(PLANNED_ZONES) {
            let heard = fleet.daemons[0].exchange.peers.heard(address(peer), now);
            heard.expect("the daemon is known");
        }
    }
    let length = |outgoing: &Outgoing| {
        let bytes = encode(&outgoing.datagram).expect("messages can be encoded");
        bytes.len() * outgoing.targets.len()
    };
    let bytes: usize = sent.iter().map(length).sum();
    let datagrams: usize = sent.iter().map(|outgoing| outgoing.targets.len()).sum();
    let seconds = RUN.as_secs_f64();
    let bytes_per_s = bytes as f64 / seconds;
    println!(
        "{bytes_per_s:.0} B/s and {:.0} datagrams/s sent, as much received",
        datagrams as f64 / seconds
    );
    assert!(
        2.0 * bytes_per_s <= BYTES_PER_S_MAX,
        "{bytes_per_s:.0} B/s each way"
    );
}
