//! Tests of which upstreams requests may be sent to.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::Set;
use primrosehoist::state::roster::{Phase, RECONNECT_GRACE, Roster, Upstream};
use tokio::time::Instant;

fn upstream(id: &str, zone: &str) -> Upstream {
    Upstream {
        id: Arc::from(id),
        service: Arc::from("model"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from(zone),
        slots: 16,
        phase: Phase::Ready,
        cold_ms: 0,
        started_ms: Some(100),
    }
}

fn ids(roster: &Roster) -> Vec<String> {
    let mut ids: Vec<String> = roster
        .candidates("model")
        .map(|upstream| upstream.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn draining_and_removed_upstreams_are_not_routable() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], now);
    assert_eq!(ids(&roster), ["a", "b"]);
    let draining = Upstream {
        phase: Phase::Draining,
        ..upstream("a", "z")
    };
    roster.upsert(draining, now);
    assert_eq!(ids(&roster), ["b"]);
    assert!(!roster.is_routable(&upstream("a", "z")));
    roster.remove("b", now);
    assert!(ids(&roster).is_empty());
    assert!(!roster.is_routable(&upstream("b", "z")));
}

#[test]
fn a_list_replaces_all_entries() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], now);
    roster.replace(vec![upstream("b", "z"), upstream("c", "z")], now);
    assert_eq!(ids(&roster), ["b", "c"]);
}

#[test]
fn another_process_with_the_same_id_is_a_different_upstream() {
    let now = Instant::now();
    let chosen = upstream("a", "z");
    let changes = [
        Upstream {
            started_ms: Some(200),
            ..chosen.clone()
        },
        Upstream {
            address: "10.0.0.2:80".parse().expect("an address"),
            ..chosen.clone()
        },
        Upstream {
            service: Arc::from("desk"),
            ..chosen.clone()
        },
    ];
    for changed in changes {
        let mut roster = Roster::default();
        roster.upsert(changed.clone(), now);
        assert!(!roster.is_routable(&chosen), "{changed:?}");
        assert!(roster.is_routable(&changed));
    }
}

#[test]
fn upstreams_of_an_evacuated_zone_are_not_routable_until_it_is_back() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "y"), upstream("b", "z")], now);
    roster.set_evacuated_zones(Set::from_iter([Arc::from("z")]), now);
    assert_eq!(ids(&roster), ["a"]);
    assert!(!roster.is_routable(&upstream("b", "z")));
    roster.set_evacuated_zones(Set::default(), now);
    assert_eq!(ids(&roster), ["a", "b"]);
}

#[test]
fn entries_missing_after_a_platform_outage_are_kept_for_a_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let draining = Upstream {
        phase: Phase::Draining,
        ..upstream("d", "z")
    };
    roster.replace(vec![upstream("a", "z"), upstream("b", "z"), draining], now);
    roster.platform_reconnected(now);
    roster.replace(Vec::new(), now);
    assert_eq!(
        ids(&roster),
        ["a", "b"],
        "entries expired during the platform outage"
    );
    assert!(!roster.is_routable(&upstream("d", "z")));
    let later = now + Duration::from_millis(500);
    roster.upsert(upstream("a", "z"), later);
    assert!(roster.expire(later).is_empty());
    let end = now + RECONNECT_GRACE;
    assert_eq!(roster.expire(end), [Arc::from("b")]);
    assert_eq!(ids(&roster), ["a"]);
    roster.remove("a", end);
    assert!(ids(&roster).is_empty(), "the grace period is over");
}

#[test]
fn an_upstream_is_cold_for_the_time_in_its_entry() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let cold = Upstream {
        cold_ms: 3000,
        ..upstream("a", "z")
    };
    roster.upsert(cold, now);
    assert!(roster.is_cold("a", now + Duration::from_millis(2999)));
    assert!(!roster.is_cold("a", now + Duration::from_secs(3)));
    assert!(!roster.is_cold("b", now));
}
