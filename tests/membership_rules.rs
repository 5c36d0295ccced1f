//! Tests of liveness detection and of the state that daemons exchange.

use std::time::Duration;

use primrosehoist::coordination::heartbeat::Heartbeat;
use primrosehoist::coordination::membership::{
    HEARTBEAT_INTERVAL, LIVENESS_TIMEOUT, Local, Membership,
};
use primrosehoist::protocol::codec;
use primrosehoist::state::name;
use primrosehoist::state::view::{Advert, Member};
use tokio::time::Instant;

fn member(host: &str, zone: &str) -> Member {
    Member {
        host: name::Host::try_from(host).unwrap(),
        zone: name::Zone::try_from(zone).unwrap(),
        address: format!("{host}.example:7200"),
    }
}

fn advert(upstream: &str, epoch: u64) -> Advert {
    Advert {
        upstream: name::Upstream::try_from(upstream).unwrap(),
        epoch,
        limit: 4,
        in_flight: 1,
        queued: 0,
        tokens: 100,
        long_tokens: 0,
        memory_free: 1000,
        prefill_rate: 1000,
    }
}

/// Daemons that exchange heartbeats, except for the indices in `disconnected`.
struct Cluster {
    now: Instant,
    daemons: Vec<(Member, Membership, Local)>,
    disconnected: Vec<usize>,
    exchanges: u64,
    bytes: u64,
}

impl Cluster {
    /// Starts `per_zone` daemons in each zone, all with the complete list of hosts.
    fn new(zones: &[&str], per_zone: usize) -> Self {
        let now = Instant::now();
        let members: Vec<Member> = zones
            .iter()
            .flat_map(|zone| (0..per_zone).map(move |n| member(&format!("{zone}-{n}"), zone)))
            .collect();
        let start = |own: &Member| {
            let mut membership = Membership::new(own.clone(), 1);
            membership.set_listed_members(members.clone(), now);
            let upstream = format!("up-{}", own.host);
            let local = Local {
                adverts: vec![advert(&upstream, 1)],
                ..Local::default()
            };
            (own.clone(), membership, local)
        };
        Self {
            now,
            daemons: members.iter().map(start).collect(),
            disconnected: Vec::new(),
            exchanges: 0,
            bytes: 0,
        }
    }

    fn run_interval(&mut self) {
        self.now += HEARTBEAT_INTERVAL;
        for index in 0..self.daemons.len() {
            let (_, membership, local) = &mut self.daemons[index];
            let targets = membership.due_heartbeats(local, self.now);
            for target in targets {
                let to = &target.member.host;
                let position = self.daemons.iter().position(|(own, _, _)| own.host == *to);
                let other = position.filter(|other| !self.disconnected.contains(other));
                if let Some(other) = other.filter(|_| !self.disconnected.contains(&index)) {
                    self.exchange(index, other, &target.heartbeat);
                }
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        let (_, callee, local) = &mut self.daemons[to];
        callee.record_heartbeat(heartbeat, self.now);
        let answer = callee.answer(local, heartbeat, self.now);
        self.daemons[from].1.record_heartbeat(&answer, self.now);
        self.exchanges += 1;
        let bytes = [heartbeat, &answer].map(|sent| codec::encode(sent).unwrap().len() as u64);
        self.bytes += bytes.iter().sum::<u64>();
    }

    fn alive(&self, index: usize) -> usize {
        let (_, membership, local) = &self.daemons[index];
        membership.view(local, self.now).daemons.len()
    }
}

#[test]
fn all_daemons_see_each_other_and_their_upstreams() {
    let mut cluster = Cluster::new(&["a", "b", "c"], 3);
    for _ in 0..8 {
        cluster.run_interval();
    }
    for (own, membership, local) in &cluster.daemons {
        let view = membership.view(local, cluster.now);
        assert_eq!(view.daemons.len(), 9, "at {}", own.host);
        assert_eq!(view.holders.len(), 9, "at {}", own.host);
    }
}

#[test]
fn a_silent_daemon_is_dropped_and_comes_back() {
    let mut cluster = Cluster::new(&["a"], 3);
    for _ in 0..4 {
        cluster.run_interval();
    }
    cluster.disconnected.push(1);
    let beats = LIVENESS_TIMEOUT.as_millis() / HEARTBEAT_INTERVAL.as_millis();
    for _ in 0..=beats {
        cluster.run_interval();
    }
    assert_eq!(
        [cluster.alive(0), cluster.alive(1), cluster.alive(2)],
        [2, 1, 2]
    );
    cluster.disconnected.clear();
    for _ in 0..8 {
        cluster.run_interval();
    }
    assert_eq!(
        [cluster.alive(0), cluster.alive(1), cluster.alive(2)],
        [3, 3, 3]
    );
}

#[test]
fn each_pair_exchanges_one_heartbeat_per_interval() {
    let mut cluster = Cluster::new(&["a"], 9);
    for _ in 0..10 {
        cluster.run_interval();
    }
    cluster.exchanges = 0;
    for _ in 0..10 {
        cluster.run_interval();
    }
    assert_eq!(cluster.exchanges, 10 * 9 * 8 / 2);
}

#[test]
fn members_are_discovered_through_one_seed() {
    let now = Instant::now();
    let mut cluster = Cluster::new(&["a"], 4);
    for _ in 0..4 {
        cluster.run_interval();
    }
    let own = member("a-new", "a");
    let newcomer = Membership::new(own.clone(), 1);
    cluster.daemons.push((own, newcomer, Local::default()));
    let heartbeat = cluster.daemons[4].1.base_heartbeat(&Local::default());
    cluster.exchange(4, 0, &heartbeat);
    for _ in 0..8 {
        cluster.run_interval();
    }
    assert_eq!(cluster.alive(4), 5);
    assert_eq!(cluster.alive(3), 5);
    assert!(cluster.now > now);
}

#[test]
fn a_heartbeat_of_an_older_process_is_ignored() {
    let now = Instant::now();
    let local = Local::default();
    let mut membership = Membership::new(member("a-0", "a"), 1);
    let beat = |incarnation, version| {
        let sender = Membership::new(member("a-1", "a"), incarnation);
        Heartbeat {
            version,
            ..sender.base_heartbeat(&local)
        }
    };
    let host = name::Host::try_from("a-1").unwrap();
    let version = |membership: &Membership| membership.view(&local, now).daemons[&host].version;
    membership.record_heartbeat(&beat(2, 7), now);
    membership.record_heartbeat(&beat(1, 9), now);
    assert_eq!(version(&membership), 7);
    membership.record_heartbeat(&beat(3, 1), now);
    assert_eq!(version(&membership), 1);
}

#[test]
fn the_higher_epoch_of_two_adverts_wins() {
    let now = Instant::now();
    for (own_epoch, other_epoch, holder) in [(1, 2, "a-1"), (2, 1, "a-0")] {
        let local = Local {
            adverts: vec![advert("up", own_epoch)],
            ..Local::default()
        };
        let mut membership = Membership::new(member("a-0", "a"), 1);
        let sender = Membership::new(member("a-1", "a"), 1);
        let heartbeat = Heartbeat {
            adverts: Some(vec![advert("up", other_epoch)]),
            ..sender.base_heartbeat(&Local::default())
        };
        membership.record_heartbeat(&heartbeat, now);
        let view = membership.view(&local, now);
        let upstream = name::Upstream::try_from("up").unwrap();
        assert_eq!(view.holders[&upstream].member.host.as_str(), holder);
    }
}

#[test]
fn an_unresponsive_partner_is_replaced() {
    let mut cluster = Cluster::new(&["a", "b"], 2);
    for _ in 0..8 {
        cluster.run_interval();
    }
    let upstreams = |cluster: &Cluster| {
        let (_, membership, local) = &cluster.daemons[0];
        membership.view(local, cluster.now).holders.len()
    };
    assert_eq!(upstreams(&cluster), 4);
    // One of the two is the partner; the other one replaces it.
    for disconnected in [2, 3] {
        cluster.disconnected = vec![disconnected];
        for _ in 0..20 {
            cluster.run_interval();
        }
        assert_eq!(upstreams(&cluster), 3, "with {disconnected} disconnected");
    }
}

#[test]
fn heartbeats_stay_within_the_byte_budget() {
    const BUDGET_BYTES_PER_S: u64 = 21_000;
    const SECONDS: u64 = 10;
    let mut cluster = Cluster::new(&["a"], 33);
    for (_, _, local) in &mut cluster.daemons {
        local.adverts = (0..3).map(|n| advert(&format!("up-{n}"), 1)).collect();
    }
    for _ in 0..10 {
        cluster.run_interval();
    }
    cluster.bytes = 0;
    for _ in 0..2 * SECONDS {
        cluster.run_interval();
    }
    // Each byte counts for its sender and its receiver.
    let per_daemon = 2 * cluster.bytes / SECONDS / 33;
    println!("{per_daemon} frame bytes per daemon and second");
    assert!(
        per_daemon < BUDGET_BYTES_PER_S,
        "{per_daemon} bytes per second"
    );
    assert!(Duration::from_secs(SECONDS) > LIVENESS_TIMEOUT);
}

#[test]
fn all_daemons_with_a_newer_configuration_can_be_asked_those_of_the_zone_first() {
    // The daemons of zone a are 0 to 2, and those of zone b 3 to 5.
    let mut cluster = Cluster::new(&["a", "b"], 3);
    for (index, version) in [5, 5, 6, 7, 7, 4].into_iter().enumerate() {
        cluster.daemons[index].2.version = version;
    }
    for _ in 0..8 {
        cluster.run_interval();
    }
    let hosts = |cluster: &Cluster, version| {
        let (_, membership, _) = &cluster.daemons[0];
        let ahead = membership.peers_ahead_of(version, cluster.now);
        let hosts: Vec<String> = ahead.iter().map(|peer| peer.host.to_string()).collect();
        hosts
    };
    let mut ahead = hosts(&cluster, 5);
    assert_eq!(ahead.remove(0), "a-2");
    ahead.sort();
    assert_eq!(ahead, ["b-0", "b-1"]);
    cluster.disconnected = vec![2, 3, 4];
    let beats = LIVENESS_TIMEOUT.as_millis() / HEARTBEAT_INTERVAL.as_millis();
    for _ in 0..=beats {
        cluster.run_interval();
    }
    assert!(hosts(&cluster, 5).is_empty());
}
