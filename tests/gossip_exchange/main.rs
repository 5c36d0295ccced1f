//! Drives the gossip between daemons through loss, duplication, reordering, cuts, crashes and
//! restarts, and checks what each daemon then knows of the load.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::{Datagram, Info, Outgoing, QUERY_INTERVAL, Query, State};
use primrosehoist::coordination::peers::{Error, FLEET_SCOPE_MAX, Scope};
use primrosehoist::coordination::shutdown::Phase;
use primrosehoist::coordination::watchers::SILENCE_MAX;
use primrosehoist::protocol::gossip::encode;
use primrosehoist::state::map::{Map, Set};
use primrosehoist::state::occupancy::Occupancy;
use primrosehoist::state::versions::{Revision, Versions};
use tokio::time::Instant;

use fleet::{Cut, Fleet, SETTLE_TIME, STEP, address, load, upstream, zone};

/// Returns a revision of the store's first era.
fn revision(number: u64) -> Revision {
    Revision { era: 0, number }
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
        fleet.daemons[5].info.versions.upstreams = revision(9);
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
                    .ahead_of(&own, &Set::default(), 0.5, fleet.now)
                    .is_some()
                {
                    daemon.info.versions.upstreams = revision(9);
                    daemon.has_changed = true;
                }
            }
            let behind = fleet
                .daemons
                .iter()
                .filter(|d| d.info.versions.upstreams != revision(9));
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
        fleet.daemons[index].info.versions.upstreams = revision(version);
    }
    fleet.run(Duration::from_secs(1));
    let peers = &fleet.daemons[0].exchange.peers;
    for step in 0..20 {
        let random = f64::from(step) / 20.0;
        let chosen = peers.ahead_of(&Versions::default(), &Set::default(), random, fleet.now);
        assert!(chosen == Some(address(2)) || chosen == Some(address(3)));
        // One that has some state may ask any that has a newer one, so that all do not ask the same.
        let own = Versions {
            upstreams: revision(2),
            ..Versions::default()
        };
        assert_ne!(
            peers.ahead_of(&own, &Set::default(), random, fleet.now),
            Some(address(4))
        );
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
            fleet.daemons[0].info.crashes.push((crash, crash, 0));
            assert_eq!(tell(&mut fleet), 0);
        }
        fleet.daemons[0].info.versions.upstreams.number += 1;
        assert_eq!(tell(&mut fleet), 1);
    }
}

/// A daemon that is cut off tells others at once, and those of other zones with a load there too.
#[test]
fn a_cut_off_daemon_tells_others_at_once() {
    for mut fleet in fleets(11) {
        // The upstream is in another zone than the daemon.
        fleet.begin(0, 1);
        fleet.run(Duration::from_secs(1));
        let now = fleet.now;
        let tell = |fleet: &mut Fleet| {
            let all = fleet.act(0, |exchange, view| exchange.tell_load(view, now));
            let told = all.into_iter().filter_map(|outgoing| {
                let Datagram::State(state) = outgoing.datagram else {
                    return None;
                };
                Some((outgoing.targets, state.info.cut_off))
            });
            told.collect::<Vec<_>>()
        };
        tell(&mut fleet);
        for cut_off in [true, false] {
            fleet.daemons[0].info.cut_off = cut_off;
            let all = tell(&mut fleet);
            assert!(all.iter().all(|(_, told)| *told == cut_off));
            let targets: Set<_> = all.into_iter().flat_map(|(targets, _)| targets).collect();
            let (near, far) = (address(fleet.zones), address(1));
            assert!(targets.contains(&near) && targets.contains(&far));
            assert!(tell(&mut fleet).is_empty(), "it is told once");
        }
    }
}

#[test]
fn a_helper_is_a_live_daemon_that_is_not_cut_off() {
    // Daemons 2 and 4 are in the zone of daemon 0.
    let mut fleet = Fleet::new(6, 2, 4, 12);
    let run = |fleet: &mut Fleet, cut_off: [bool; 6]| {
        for (daemon, cut_off) in fleet.daemons.iter_mut().zip(cut_off) {
            daemon.has_changed = daemon.info.cut_off != cut_off;
            daemon.info.cut_off = cut_off;
        }
        fleet.run(Duration::from_millis(100));
    };
    let helpers = |fleet: &Fleet, tried: &[usize]| {
        let tried: Set<_> = tried.iter().map(|index| address(*index)).collect();
        let peers = &fleet.daemons[0].exchange.peers;
        let steps = (0..20).map(|step| f64::from(step) / 20.0);
        let chosen: Set<_> = steps
            .filter_map(|random| peers.handover_target(&tried, random, fleet.now))
            .collect();
        let indices = (0..6).filter(|index| chosen.contains(&address(*index)));
        indices.collect::<Vec<_>>()
    };
    run(&mut fleet, [false; 6]);
    assert_eq!(helpers(&fleet, &[]), [2, 4], "the own zone goes first");
    assert_eq!(helpers(&fleet, &[2]), [4]);
    assert_eq!(helpers(&fleet, &[2, 4]), [1, 3, 5]);
    run(&mut fleet, [true, false, true, false, false, true]);
    assert_eq!(helpers(&fleet, &[]), [4]);
    assert_eq!(helpers(&fleet, &[4]), [1, 3]);
    run(&mut fleet, [true, false, true, false, true, true]);
    assert_eq!(helpers(&fleet, &[]), [1, 3]);
    run(&mut fleet, [true; 6]);
    assert!(helpers(&fleet, &[]).is_empty());
    run(&mut fleet, [true, true, false, true, true, true]);
    assert_eq!(helpers(&fleet, &[]), [2], "it is not cut off any more");
    fleet.kill(2);
    fleet.run(SILENCE_MAX);
    assert!(helpers(&fleet, &[]).is_empty(), "it is silent");
}

#[test]
fn only_daemons_that_take_requests_count_as_serving() {
    let mut fleet = Fleet::new(6, 2, 4, 14);
    fleet.run(Duration::from_millis(100));
    let now = fleet.now;
    let peers = &mut fleet.daemons[0].exchange.peers;
    assert_eq!(peers.serving_count(now), 5);
    peers.set_phase(address(1), Phase::Stopping);
    peers.set_phase(address(2), Phase::Starting);
    assert_eq!(peers.serving_count(now), 3);
    // A complete state of a daemon that takes requests has no phase.
    fleet.run(Duration::from_millis(700));
    let peers = &mut fleet.daemons[0].exchange.peers;
    assert_eq!(peers.serving_count(fleet.now), 5);
    fleet.kill(3);
    fleet.run(SILENCE_MAX);
    let peers = &fleet.daemons[0].exchange.peers;
    assert_eq!(peers.serving_count(fleet.now), 4, "one is silent");
}

/// Daemons of other zones hear of it from queries and summaries.
#[test]
fn a_cut_off_daemon_is_known_to_those_that_ask_it() {
    let mut fleet = Fleet::new(FLEET_SCOPE_MAX + 8, 4, 24, 13);
    for daemon in &mut fleet.daemons {
        daemon.info.cut_off = true;
    }
    fleet.daemons[5].info.cut_off = false;
    // Every other daemon of the zone is asked by, or asks, a given one only by chance.
    fleet.run(Duration::from_secs(2));
    let now = fleet.now;
    let peers = &fleet.daemons[1].exchange.peers;
    assert_eq!(
        peers.handover_target(&Set::default(), 0.5, now),
        Some(address(5))
    );
    let query = |fleet: &mut Fleet, cut_off| {
        fleet.act(0, |exchange, view| {
            let query = Datagram::Query(Query {
                host: Arc::from("host-5"),
                zone: zone(5, 4),
                started_ms: 1,
                info: Info {
                    cut_off,
                    ..Info::default()
                },
                members: 0,
            });
            let received = exchange.receive(address(5), query, view, now);
            received.expect("the daemon is known");
        });
    };
    let others: Set<_> = (1..FLEET_SCOPE_MAX + 8)
        .filter(|index| *index != 5)
        .map(address)
        .collect();
    let helper = |fleet: &Fleet| {
        fleet.daemons[0]
            .exchange
            .peers
            .handover_target(&others, 0.5, now)
    };
    query(&mut fleet, true);
    assert_eq!(helper(&fleet), None);
    query(&mut fleet, false);
    assert_eq!(helper(&fleet), Some(address(5)));
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

#[test]
fn daemons_of_other_zones_are_asked_after_the_first_one() {
    // Daemons 2 and 4 are in the zone of daemon 0.
    let mut fleet = Fleet::new(6, 2, 4, 9);
    for daemon in &mut fleet.daemons[1..] {
        daemon.info.versions.upstreams = revision(2);
    }
    fleet.run(Duration::from_secs(1));
    let peers = &fleet.daemons[0].exchange.peers;
    let own = Versions {
        upstreams: revision(1),
        ..Versions::default()
    };
    let ahead = |tried: &Set<_>, random| peers.ahead_of(&own, tried, random, fleet.now);
    let near = [address(2), address(4)];
    let steps = (0..20).map(|step| f64::from(step) / 20.0);
    for random in steps.clone() {
        let first = ahead(&Set::default(), random).expect("others are ahead");
        assert!(near.contains(&first), "{first}");
    }
    let tried: Set<_> = [address(2)].into_iter().collect();
    let second: Set<_> = steps.filter_map(|random| ahead(&tried, random)).collect();
    let expected = [1, 3, 4, 5].map(address).into_iter().collect();
    assert_eq!(second, expected);
    let all: Set<_> = (1..6).map(address).collect();
    assert_eq!(ahead(&all, 0.5), None);
}
