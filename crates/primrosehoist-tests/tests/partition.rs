//! Tests with daemons that are partitioned, replaced one by one, or started all at once.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use serde_json::json;

use common::load::{Load, Plan, Record, assert_consistent, assert_correct};
use common::versions::Sampler;
use common::{Fleet, Layout, counts, fault, now_ms, received, wait};

/// The time within which a change must be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// The duration of a partition.
const CUT: Duration = Duration::from_secs(15);

/// The maximum time until an upstream is taken over from an unreachable holder: failure
/// detection, the lease with its margin, and some iterations of the holding task.
const TAKEOVER_WITHIN: Duration = Duration::from_secs(10);

/// The maximum platform calls per daemon and second, on average.
const CALLS_PER_DAEMON_AND_S: u64 = 6;

/// The time over which platform calls are averaged.
const CALLS_WINDOW: Duration = Duration::from_secs(10);

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

fn layout(fencing: bool) -> Layout {
    Layout {
        fencing,
        engine_arguments: vec![
            "--prefill-rate",
            "100000",
            "--decode-ms",
            "5",
            "--warm-after",
            "60",
            "--crash-downtime-ms",
            "500",
        ],
        settings: "[mechanisms]\nallow_cuts = true\n",
        ..Layout::default()
    }
}

/// Partitions the daemons of `zone` from those of other zones in both directions.
fn cut_zone(fleet: &Fleet, zone: &str) {
    let others = fleet.in_zone(zone, false);
    for index in fleet.in_zone(zone, true) {
        fleet.cut(index, &others, &others);
    }
}

fn heal(fleet: &Fleet) {
    fault(&fleet.platform, &json!({"down_for": []}));
    for index in ALL {
        fleet.cut(index, &[], &[]);
    }
}

/// Publishes a configuration with changed limits. Returns the time before, in milliseconds since
/// the Unix epoch.
fn publish_change(fleet: &mut Fleet) -> u64 {
    fleet.layout.warm_requests += 1;
    fleet.publish_changed("another limit")
}

fn ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Returns the upstreams that daemon `index` holds.
fn held(fleet: &Fleet, index: usize) -> Vec<String> {
    let status = fleet.status(index);
    let holdings = status["holdings"].as_array().cloned().unwrap_or_default();
    let names = holdings.iter().filter_map(|h| h["upstream"].as_str());
    names.map(str::to_owned).collect()
}

#[test]
fn a_zone_without_the_platform_gets_the_configuration_from_peers() {
    let mut fleet = Fleet::start(layout(true));
    let sampler = Sampler::start(&fleet);
    let load = Load::start(&fleet, &ALL, &Plan::default());
    std::thread::sleep(Duration::from_secs(1));
    fault(&fleet.platform, &json!({"down_for": ["zone-a"]}));
    std::thread::sleep(Duration::from_secs(4));
    let published = publish_change(&mut fleet);
    std::thread::sleep(Duration::from_secs(7));
    heal(&fleet);
    std::thread::sleep(Duration::from_secs(1));
    let records = load.stop();
    let versions = sampler.stop();
    assert_correct(&records, "all", 100, |_| true);
    assert_eq!(fleet.engine_sum("overloads"), 0);
    versions.assert_monotonic();
    versions.assert_in_force(&ALL, 2, published, IN_FORCE_WITHIN);
}

#[test]
fn an_isolated_zone_keeps_serving_and_catches_up() {
    let mut fleet = Fleet::start(layout(true));
    let sampler = Sampler::start(&fleet);
    let load = Load::start(&fleet, &ALL, &Plan::default());
    std::thread::sleep(Duration::from_secs(1));
    fault(&fleet.platform, &json!({"down_for": ["zone-a"]}));
    cut_zone(&fleet, "zone-a");
    let cut = now_ms();
    std::thread::sleep(CUT / 2);
    let published = publish_change(&mut fleet);
    std::thread::sleep(CUT / 2);
    let cut_end = now_ms();
    heal(&fleet);
    let healed = now_ms();
    std::thread::sleep(IN_FORCE_WITHIN + Duration::from_secs(2));
    let records = load.stop();
    let versions = sampler.stop();
    assert_consistent(&records);
    let settled = cut + ms(IN_FORCE_WITHIN);
    let inside = |record: &Record| record.sent_ms > settled && record.ended_ms < cut_end;
    let in_zone = |record: &Record| fleet.daemons[record.daemon].zone == "zone-a";
    assert_correct(&records, "isolated zone", 20, |r| inside(r) && in_zone(r));
    assert_correct(&records, "other zones", 20, |r| inside(r) && !in_zone(r));
    assert_correct(&records, "after the cut", 20, |r| {
        r.sent_ms > healed + ms(IN_FORCE_WITHIN)
    });
    let own = fleet
        .engines
        .iter()
        .find(|engine| engine.zone == "zone-a" && engine.half == "north")
        .expect("the zone has an engine");
    assert!(
        received(&own.address, settled, cut_end).len() >= 20,
        "the zone's own engine serves it"
    );
    assert_eq!(fleet.engine_sum("overloads"), 0);
    versions.assert_monotonic();
    versions.assert_in_force(
        &fleet.in_zone("zone-a", false),
        2,
        published,
        IN_FORCE_WITHIN,
    );
    versions.assert_in_force(&fleet.in_zone("zone-a", true), 2, healed, IN_FORCE_WITHIN);
    let during_cut = versions.delay_ms(0, 2, 0).expect("the version was sampled") < cut_end;
    assert!(!during_cut, "an isolated zone cannot have the change");
}

/// How one daemon is isolated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// From the platform and, in both directions, from all other daemons.
    Everything,
    /// It receives nothing from other daemons, but can send to them and reach the platform.
    Receiving,
}

/// Returns the number of attempts of `daemon` that the engines received between two times.
fn sent_by(fleet: &Fleet, records: &[Record], daemon: usize, from_ms: u64, to_ms: u64) -> usize {
    let own = records.iter().filter(|record| record.daemon == daemon);
    let own: HashSet<_> = own.filter_map(|r| r.answer.request_id.clone()).collect();
    let attempts = fleet
        .engines
        .iter()
        .flat_map(|engine| received(&engine.address, from_ms, to_ms));
    attempts
        .filter(|id| {
            id.rsplit_once('-')
                .is_some_and(|(request, _)| own.contains(request))
        })
        .count()
}

/// Isolates a daemon that holds upstreams, and asserts that another takes them over and that it
/// sends nothing afterwards.
fn assert_isolated_daemon_stops(fencing: bool, kind: Cut) {
    let fleet = Fleet::start(layout(fencing));
    let plan = Plan {
        callers_per_daemon: 3,
        max_tokens: 60,
        ..Plan::default()
    };
    let holds_north = |index| {
        let names = held(&fleet, index);
        names.iter().any(|name| name.starts_with("north-engine"))
    };
    let isolated = usize::from(!holds_north(0));
    let taker = 1 - isolated;
    let upstreams = held(&fleet, isolated);
    println!("host-{isolated} holds {upstreams:?}");
    let load = Load::start(&fleet, &ALL, &plan);
    std::thread::sleep(Duration::from_secs(1));
    let others: Vec<_> = ALL.into_iter().filter(|index| *index != isolated).collect();
    if kind == Cut::Everything {
        let host = &fleet.daemons[isolated].host;
        fault(&fleet.platform, &json!({"down_for": [host]}));
        fleet.cut(isolated, &others, &others);
    } else {
        fleet.cut(isolated, &[], &others);
    }
    let cut = now_ms();
    wait(TAKEOVER_WITHIN, "the upstreams are taken over", || {
        let holds = held(&fleet, taker);
        upstreams.iter().all(|upstream| holds.contains(upstream))
    });
    let taken_over = now_ms();
    println!("taken over {} ms after the cut", taken_over - cut);
    std::thread::sleep(CUT.saturating_sub(Duration::from_millis(taken_over - cut)));
    let cut_end = now_ms();
    heal(&fleet);
    let healed = now_ms();
    std::thread::sleep(IN_FORCE_WITHIN + Duration::from_secs(2));
    let records = load.stop();
    assert_consistent(&records);
    let sent = sent_by(&fleet, &records, isolated, taken_over, cut_end);
    println!("{sent} requests sent by the daemon that lost its upstreams");
    assert_eq!(sent, 0, "sent without a lease");
    assert_correct(&records, "other daemons", 20, |r| {
        r.daemon != isolated && r.sent_ms > taken_over && r.ended_ms < cut_end
    });
    assert_correct(&records, "after the cut", 20, |r| {
        r.sent_ms > healed + ms(IN_FORCE_WITHIN)
    });
    assert_eq!(fleet.engine_sum("overloads"), 0);
    if !fencing {
        assert_eq!(fleet.engine_sum("stale_taken"), 0);
    }
}

#[test]
fn an_isolated_daemon_loses_its_upstreams_safely() {
    assert_isolated_daemon_stops(true, Cut::Everything);
}

#[test]
fn an_isolated_daemon_sends_nothing_to_engines_that_ignore_fencing() {
    assert_isolated_daemon_stops(false, Cut::Everything);
}

#[test]
fn a_daemon_that_receives_nothing_sends_nothing_to_engines_that_ignore_fencing() {
    assert_isolated_daemon_stops(false, Cut::Receiving);
}

#[test]
fn a_rolling_replacement_of_all_daemons_cuts_nothing() {
    let mut fleet = Fleet::start(layout(true));
    let plan = Plan {
        fails_over: true,
        ..Plan::default()
    };
    let load = Load::start(&fleet, &ALL, &plan);
    std::thread::sleep(Duration::from_secs(1));
    for index in ALL {
        let mut process = fleet.daemons[index]
            .process
            .take()
            .expect("the daemon runs");
        process.terminate();
        let status = process.wait(Duration::from_secs(40));
        assert!(
            status.is_some_and(|status| status.success()),
            "host-{index}: {status:?}"
        );
        fleet.start_daemon(index);
        fleet.wait_version(1, IN_FORCE_WITHIN);
        std::thread::sleep(Duration::from_secs(1));
    }
    fleet.wait_held(TAKEOVER_WITHIN);
    let records = load.stop();
    assert_correct(&records, "all", 100, |_| true);
    assert_eq!(fleet.engine_sum("overloads"), 0);
}

fn platform_calls(fleet: &Fleet) -> u64 {
    let counts = counts(&fleet.platform);
    let calls = ["reads", "writes", "watches"];
    calls
        .iter()
        .map(|call| counts[call].as_u64().expect("the platform counts calls"))
        .sum()
}

/// Starts all daemons at once while the platform has `faults`, and asserts that they call it at
/// most at the permitted rate and serve once it is available.
fn mass_start(faults: &serde_json::Value) {
    let mut fleet = Fleet::start(layout(true));
    fault(&fleet.platform, &json!({"down": true}));
    for daemon in &mut fleet.daemons {
        daemon.process.take().expect("the daemon runs").kill();
    }
    fault(&fleet.platform, faults);
    let before = platform_calls(&fleet);
    let started = now_ms();
    for index in ALL {
        fleet.start_daemon(index);
    }
    let load = Load::start(&fleet, &ALL, &Plan::default());
    std::thread::sleep(CALLS_WINDOW.saturating_sub(Duration::from_millis(now_ms() - started)));
    let calls = platform_calls(&fleet) - before;
    let elapsed_ms = now_ms() - started;
    println!(
        "{calls} platform calls by {} daemons in {elapsed_ms} ms",
        ALL.len()
    );
    assert!(
        calls * 1000 <= CALLS_PER_DAEMON_AND_S * ALL.len() as u64 * elapsed_ms,
        "{calls} calls in {elapsed_ms} ms"
    );
    fault(&fleet.platform, &json!({"down": false, "slow_ms": 0}));
    fleet.wait_version(1, Duration::from_secs(15));
    fleet.wait_held(Duration::from_secs(20));
    let served = now_ms();
    std::thread::sleep(Duration::from_secs(3));
    let records = load.stop();
    assert_consistent(&records);
    assert_correct(&records, "once upstreams are held", 20, |r| {
        r.sent_ms > served
    });
    assert_eq!(fleet.engine_sum("overloads"), 0);
}

#[test]
fn a_mass_start_does_not_flood_a_recovering_platform() {
    mass_start(&json!({"down": false, "slow_ms": 2000}));
}

#[test]
fn a_mass_start_does_not_flood_a_platform_that_is_down() {
    mass_start(&json!({"down": true}));
}
