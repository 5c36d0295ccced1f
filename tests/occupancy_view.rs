//! Tests of the load and health tracking of upstreams, and of the messages that share it.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::{
    Change, Datagram, Delta, Info, Query, State, Summary, Update,
};
use primrosehoist::coordination::permit::{self, Permit};
use primrosehoist::coordination::watchers::Status;
use primrosehoist::protocol::gossip::{decode, encode};
use primrosehoist::protocol::snapshot::{Compressed, Snapshot};
use primrosehoist::state::health::{Health, Observation};
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::{Key, LatencyClass, Load, Occupancy, REPORT_TTL, Work};
use primrosehoist::state::rate;
use primrosehoist::state::versions::{Revision, Versions};
use primrosehoist_property::check;
use tokio::time::Instant;

fn load(latency_class: Option<LatencyClass>, prefill_ms: f32, memory_tokens: u32) -> Load {
    Load {
        latency_class,
        weight: if latency_class.is_some() { 2.0 } else { 0.0 },
        prefill_ms,
        memory_tokens,
    }
}

#[test]
fn no_load_is_left_after_all_requests_end() {
    check(12_000, |u| {
        let mut occupancy = Occupancy::default();
        let upstream: Arc<str> = Arc::from("u");
        let mut open = Vec::new();
        for _ in 0..u.int_in_range(0..=60)? {
            if open.is_empty() || u.arbitrary()? {
                let latency_class = *u.choose(&[
                    None,
                    Some(LatencyClass::Strict),
                    Some(LatencyClass::Moderate),
                    Some(LatencyClass::Relaxed),
                ])?;
                let load = load(
                    latency_class,
                    u.int_in_range(1..=5000_u16)?.into(),
                    u.int_in_range(0..=500_000)?,
                );
                occupancy.begin(&upstream, &load);
                open.push((load, true));
            } else {
                let index = u.choose_index(open.len())?;
                if open[index].1 && u.arbitrary()? {
                    occupancy.finish_prefill(&upstream, &open[index].0);
                    open[index].1 = false;
                } else {
                    let (load, prefilling) = open.swap_remove(index);
                    occupancy.end(&upstream, &load, prefilling);
                }
            }
        }
        let running = open
            .iter()
            .filter(|(load, _)| load.latency_class.is_some())
            .count();
        assert_eq!(occupancy.work(&upstream).running() as usize, running);
        for (load, prefilling) in open {
            occupancy.end(&upstream, &load, prefilling);
        }
        assert_eq!(occupancy.work(&upstream).running(), 0);
        assert!(occupancy.work(&upstream).prefill_ms < 0.5);
        Ok(())
    });
}

#[test]
fn reports_of_other_daemons_add_up_and_are_replaced() {
    let now = Instant::now();
    let upstream: Arc<str> = Arc::from("u");
    let mut other = Occupancy::default();
    other.begin(&upstream, &load(Some(LatencyClass::Strict), 20.0, 5000));
    let mut own = Occupancy::default();
    own.begin(
        &upstream,
        &load(Some(LatencyClass::Moderate), 270.0, 45_000),
    );
    let zone: Arc<str> = Arc::from("z");
    own.update_report(
        &Arc::from("b"),
        &zone,
        (1, 1),
        other.report(&Map::default()),
        now,
    );
    own.update_report(
        &Arc::from("c"),
        &zone,
        (1, 1),
        other.report(&Map::default()),
        now,
    );
    let work = own.work(&upstream);
    assert_eq!(work.counts, [2, 1, 0]);
    assert!((work.prefill_ms - 310.0).abs() < 0.1);
    own.update_report(&Arc::from("b"), &zone, (1, 2), Vec::new(), now);
    assert_eq!(own.work(&upstream).counts, [1, 1, 0]);
    own.update_report(
        &Arc::from("b"),
        &zone,
        (1, 1),
        other.report(&Map::default()),
        now,
    );
    assert_eq!(
        own.work(&upstream).counts,
        [1, 1, 0],
        "an older report that arrives late is ignored"
    );
    own.update_report(
        &Arc::from("b"),
        &zone,
        (2, 1),
        other.report(&Map::default()),
        now,
    );
    assert_eq!(
        own.work(&upstream).counts,
        [2, 1, 0],
        "a report after a restart of the daemon is newer"
    );
}

/// A helper of a long prompt keeps memory for it after it has prefilled its part, and no request of
/// its own.
#[test]
fn memory_that_is_only_reserved_counts_for_all_daemons_until_the_end() {
    let now = Instant::now();
    let (daemon, zone): (Arc<str>, Arc<str>) = (Arc::from("b"), Arc::from("z"));
    let helping = load(None, 400.0, 128_000);
    let serving = load(Some(LatencyClass::Strict), 20.0, 5120);
    let recent = Map::default();
    let mut helper = Occupancy::default();
    let mut other = Occupancy::default();
    helper.begin("u", &helping);
    helper.begin("u", &serving);
    other.update_report(&daemon, &zone, (1, 1), helper.report(&recent), now);
    helper.finish_prefill("u", &helping);
    helper.end("u", &serving, true);
    let changes = helper.take_changes(&recent);
    assert!(other.update_entries(&daemon, (1, 2), changes, now));
    for occupancy in [&helper, &other] {
        let work = occupancy.work("u");
        assert_eq!((work.running(), work.memory_tokens), (0, 128_000));
    }
    helper.end("u", &helping, false);
    let changes = helper.take_changes(&recent);
    assert!(other.update_entries(&daemon, (1, 3), changes, now));
    assert_eq!(helper.work("u"), Work::default());
    assert_eq!(other.work("u"), Work::default());
}

#[test]
fn the_report_of_a_silent_daemon_expires() {
    let now = Instant::now();
    let mut own = Occupancy::default();
    let work = Work {
        counts: [3, 0, 0],
        ..Work::default()
    };
    let zone: Arc<str> = Arc::from("z");
    let report = vec![(Key::from("u"), work)];
    own.update_report(&Arc::from("b"), &zone, (1, 1), report, now);
    own.expire(now + REPORT_TTL);
    assert_eq!(own.work("u").running(), 3);
    own.expire(now + REPORT_TTL + Duration::from_millis(1));
    assert_eq!(own.work("u").running(), 0);
}

fn revision(number: u64) -> Revision {
    Revision { era: 3, number }
}

fn messages() -> Vec<Datagram> {
    let info = Info {
        status: Status::Following,
        cut_off: true,
        versions: Versions {
            configuration: 7,
            upstreams: revision(8),
            evacuations: revision(9),
        },
        avoided: vec![Arc::from("u2")],
        leaving: vec![(Key::from("u3"), 5)],
        limits: vec![rate::Report {
            upstream: Key::from("u4"),
            started_ms: 6,
            limit: Some(rate::Limit::try_from(2.5).expect("a limit")),
            age_ms: 7,
        }],
        crashes: vec![(1, 2, 6)],
        absolutions: vec![(3, 4, 7)],
    };
    let work = Work {
        counts: [1, 2, 300],
        weights: [1.5, 0.0, 90.0],
        prefill_ms: 20.0,
        memory_tokens: 512_000,
        recent_requests: 4,
    };
    let load = vec![(Key::from("u"), Work::default()), (Key::from("v"), work)];
    let limit = info.limits[0];
    let (host, zone): (Arc<str>, Arc<str>) = (Arc::from("h"), Arc::from("z"));
    vec![
        Datagram::Permit(permit::Message::Query(permit::Query {
            number: 1,
            patience: Duration::from_millis(300),
            limit,
        })),
        Datagram::Permit(permit::Message::Reply(permit::Reply {
            number: 1,
            permit: Permit::Granted(Duration::from_millis(20)),
        })),
        Datagram::State(State {
            host: Arc::clone(&host),
            zone: Arc::clone(&zone),
            sequence: (5, 6),
            info: info.clone(),
            load: load.clone(),
        }),
        Datagram::Delta(Delta {
            sequence: (5, 7),
            load: load.clone(),
        }),
        Datagram::Query(Query {
            host: Arc::clone(&host),
            zone: Arc::clone(&zone),
            started_ms: 5,
            info: info.clone(),
            members: 99,
        }),
        Datagram::Summary(Summary {
            host: Arc::clone(&host),
            zone,
            started_ms: 5,
            info,
            load,
            members: Some(vec![("10.0.0.1".parse().expect("an address"), host)]),
        }),
        Datagram::Update(Update {
            since: revision(10),
            revision: revision(12),
            changes: vec![Change::Remove {
                id: Arc::from("u"),
                left: Duration::from_millis(1500),
            }],
        }),
    ]
}

#[test]
fn gossip_messages_and_snapshots_round_trip_and_garbage_is_rejected() {
    let messages: Vec<Vec<u8>> = messages()
        .into_iter()
        .map(|message| {
            let bytes = encode(&message).expect("a message can be encoded");
            assert_eq!(decode(&bytes), Ok(message));
            bytes
        })
        .collect();
    let text = "{\"Version\":1}".repeat(1000);
    let snapshot = Snapshot {
        versions: Versions::default(),
        configuration: Some(Compressed::new(&text)),
        upstreams: Some(Vec::new()),
        missing: vec![(Arc::from("u"), Duration::from_millis(700))],
        evacuated: None,
    };
    let whole = snapshot.encode().expect("a snapshot can be encoded");
    assert!(
        whole.len() * 8 < text.len(),
        "configurations are compressed"
    );
    let decoded = Snapshot::try_from(whole.as_slice()).expect("a snapshot can be decoded");
    assert_eq!(decoded, snapshot);
    let configuration = decoded
        .configuration
        .expect("the configuration is included");
    assert_eq!(configuration.text(), Ok(text));
    check(9_000, |u| {
        let bytes = u.choose(&messages)?;
        for original in [bytes, &whole] {
            let mut damaged = original.clone();
            for _ in 0..u.int_in_range(1..=4)? {
                let index = u.choose_index(damaged.len())?;
                damaged[index] = u.arbitrary()?;
            }
            damaged.truncate(u.int_in_range(0..=damaged.len())?);
            // Decoding may succeed or fail but must not panic.
            let _message = decode(&damaged);
            if let Ok(snapshot) = Snapshot::try_from(damaged.as_slice())
                && let Some(configuration) = snapshot.configuration
            {
                let _text = configuration.text();
            }
        }
        Ok(())
    });
}

#[test]
fn an_unreachable_upstream_is_probed_by_one_request_at_a_time() {
    let now = Instant::now();
    let upstream: Arc<str> = Arc::from("u");
    let mut health = Health::default();
    assert_eq!(health.cost(&upstream, 9, now), Some(0.0));
    health.record(&upstream, Observation::Unreachable, now);
    assert_eq!(health.cost(&upstream, 0, now), None);
    let later = now + Duration::from_millis(600);
    assert!(health.cost(&upstream, 0, later).is_some());
    assert_eq!(
        health.cost(&upstream, 1, later),
        None,
        "a single request probes whether it has recovered"
    );
    health.record(&upstream, Observation::Unreachable, later);
    assert_eq!(
        health.cost(&upstream, 0, later + Duration::from_millis(900)),
        None
    );
    health.record(&upstream, Observation::Success, later);
    assert!(health.cost(&upstream, 9, later).is_some());
}

#[test]
fn an_upstream_that_fails_part_of_its_requests_costs_more() {
    let now = Instant::now();
    let (failing, good): (Arc<str>, Arc<str>) = (Arc::from("grey"), Arc::from("good"));
    let mut health = Health::default();
    for request in 0..20 {
        health.record(&good, Observation::Success, now);
        let observation = if request % 2 == 0 {
            Observation::Failure
        } else {
            Observation::Success
        };
        health.record(&failing, observation, now);
    }
    assert_eq!(health.cost(&good, 5, now), Some(0.0));
    assert!(health.cost(&failing, 5, now) > Some(3.0));
    health.remove(&failing);
    assert_eq!(health.cost(&failing, 5, now), Some(0.0));
}
