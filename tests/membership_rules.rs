//! Tests which daemons count as alive and what they learn from each other.

use std::time::Duration;

use primrosehoist::coordination::heartbeat::Heartbeat;
use primrosehoist::coordination::membership::{INTERVAL, Local, Membership, SILENCE};
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

/// Some daemons, of which those in `cut` neither send nor hear.
struct Group {
    now: Instant,
    daemons: Vec<(Member, Membership, Local)>,
    cut: Vec<usize>,
    exchanges: u64,
    bytes: u64,
}

impl Group {
    /// Starts `per_zone` daemons in each zone, each of which knows the list of all.
    fn new(zones: &[&str], per_zone: usize) -> Self {
        let now = Instant::now();
        let members: Vec<Member> = zones
            .iter()
            .flat_map(|zone| (0..per_zone).map(move |n| member(&format!("{zone}-{n}"), zone)))
            .collect();
        let start = |own: &Member| {
            let mut membership = Membership::new(own.clone(), 1);
            membership.learn_list(members.clone(), now);
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
            cut: Vec::new(),
            exchanges: 0,
            bytes: 0,
        }
    }

    fn beat(&mut self) {
        self.now += INTERVAL;
        for index in 0..self.daemons.len() {
            let (_, membership, local) = &mut self.daemons[index];
            let targets = membership.beat(local, self.now);
            for target in targets {
                let to = &target.member.host;
                let position = self.daemons.iter().position(|(own, _, _)| own.host == *to);
                let other = position.filter(|other| !self.cut.contains(other));
                if let Some(other) = other.filter(|_| !self.cut.contains(&index)) {
                    self.exchange(index, other, &target.heartbeat);
                }
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, heartbeat: &Heartbeat) {
        let (_, callee, local) = &mut self.daemons[to];
        callee.hear(heartbeat, self.now);
        let answer = callee.answer(local, heartbeat, self.now);
        self.daemons[from].1.hear(&answer, self.now);
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
fn all_daemons_see_all_others_and_their_upstreams() {
    let mut group = Group::new(&["a", "b", "c"], 3);
    for _ in 0..8 {
        group.beat();
    }
    for (own, membership, local) in &group.daemons {
        let view = membership.view(local, group.now);
        assert_eq!(view.daemons.len(), 9, "at {}", own.host);
        assert_eq!(view.holders.len(), 9, "at {}", own.host);
    }
}

#[test]
fn a_silent_daemon_is_dropped_and_comes_back() {
    let mut group = Group::new(&["a"], 3);
    for _ in 0..4 {
        group.beat();
    }
    group.cut.push(1);
    let beats = SILENCE.as_millis() / INTERVAL.as_millis();
    for _ in 0..=beats {
        group.beat();
    }
    assert_eq!([group.alive(0), group.alive(1), group.alive(2)], [2, 1, 2]);
    group.cut.clear();
    for _ in 0..8 {
        group.beat();
    }
    assert_eq!([group.alive(0), group.alive(1), group.alive(2)], [3, 3, 3]);
}

#[test]
fn one_exchange_per_pair_and_interval_suffices() {
    let mut group = Group::new(&["a"], 9);
    for _ in 0..10 {
        group.beat();
    }
    group.exchanges = 0;
    for _ in 0..10 {
        group.beat();
    }
    assert_eq!(group.exchanges, 10 * 9 * 8 / 2);
}

#[test]
fn members_are_learned_from_one_seed() {
    let now = Instant::now();
    let mut group = Group::new(&["a"], 4);
    for _ in 0..4 {
        group.beat();
    }
    let own = member("a-new", "a");
    let newcomer = Membership::new(own.clone(), 1);
    group.daemons.push((own, newcomer, Local::default()));
    let heartbeat = group.daemons[4].1.introduce(&Local::default());
    group.exchange(4, 0, &heartbeat);
    for _ in 0..8 {
        group.beat();
    }
    assert_eq!(group.alive(4), 5);
    assert_eq!(group.alive(3), 5);
    assert!(group.now > now);
}

#[test]
fn a_heartbeat_of_an_older_process_is_dropped() {
    let now = Instant::now();
    let local = Local::default();
    let mut membership = Membership::new(member("a-0", "a"), 1);
    let beat = |incarnation, version| {
        let sender = Membership::new(member("a-1", "a"), incarnation);
        Heartbeat {
            version,
            ..sender.introduce(&local)
        }
    };
    let host = name::Host::try_from("a-1").unwrap();
    let version = |membership: &Membership| membership.view(&local, now).daemons[&host].version;
    membership.hear(&beat(2, 7), now);
    membership.hear(&beat(1, 9), now);
    assert_eq!(version(&membership), 7);
    membership.hear(&beat(3, 1), now);
    assert_eq!(version(&membership), 1);
}

#[test]
fn the_higher_epoch_of_two_adverts_counts() {
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
            ..sender.introduce(&Local::default())
        };
        membership.hear(&heartbeat, now);
        let view = membership.view(&local, now);
        let upstream = name::Upstream::try_from("up").unwrap();
        assert_eq!(view.holders[&upstream].member.host.as_str(), holder);
    }
}

#[test]
fn a_partner_that_does_not_answer_is_replaced() {
    let mut group = Group::new(&["a", "b"], 2);
    for _ in 0..8 {
        group.beat();
    }
    let upstreams = |group: &Group| {
        let (_, membership, local) = &group.daemons[0];
        membership.view(local, group.now).holders.len()
    };
    assert_eq!(upstreams(&group), 4);
    // Whichever of the two is the partner, the other takes its place.
    for cut in [2, 3] {
        group.cut = vec![cut];
        for _ in 0..20 {
            group.beat();
        }
        assert_eq!(upstreams(&group), 3, "with {cut} cut off");
    }
}

#[test]
fn heartbeats_stay_within_the_budget_of_bytes() {
    const BUDGET_BYTES_PER_S: u64 = 21_000;
    const SECONDS: u64 = 10;
    let mut group = Group::new(&["a"], 33);
    for (_, _, local) in &mut group.daemons {
        local.adverts = (0..3).map(|n| advert(&format!("up-{n}"), 1)).collect();
    }
    for _ in 0..10 {
        group.beat();
    }
    group.bytes = 0;
    for _ in 0..2 * SECONDS {
        group.beat();
    }
    // Each byte counts at its sender and at its receiver.
    let per_daemon = 2 * group.bytes / SECONDS / 33;
    println!("{per_daemon} bytes of frames per daemon and second");
    assert!(
        per_daemon < BUDGET_BYTES_PER_S,
        "{per_daemon} bytes per second"
    );
    assert!(Duration::from_secs(SECONDS) > SILENCE);
}
