//! Tests of which upstreams may get work.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::Set;
use primrosehoist::state::roster::{Phase, RETURN_GRACE, Roster, Upstream};
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
fn draining_and_missing_upstreams_get_nothing() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], now);
    assert_eq!(ids(&roster), ["a", "b"]);
    let leaving = Upstream {
        phase: Phase::Draining,
        ..upstream("a", "z")
    };
    roster.put(leaving, now);
    assert_eq!(ids(&roster), ["b"]);
    assert!(!roster.may_send(&upstream("a", "z")));
    roster.remove("b", now);
    assert!(ids(&roster).is_empty());
    assert!(!roster.may_send(&upstream("b", "z")));
}

#[test]
fn a_list_replaces_what_was_known() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], now);
    roster.replace(vec![upstream("b", "z"), upstream("c", "z")], now);
    assert_eq!(ids(&roster), ["b", "c"]);
}

#[test]
fn another_process_under_the_same_id_is_not_the_one_that_was_chosen() {
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
        roster.put(changed.clone(), now);
        assert!(!roster.may_send(&chosen), "{changed:?}");
        assert!(roster.may_send(&changed));
    }
}

#[test]
fn a_zone_out_of_service_gets_nothing_until_it_is_back() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "y"), upstream("b", "z")], now);
    roster.set_evacuated(Set::from_iter([Arc::from("z")]), now);
    assert_eq!(ids(&roster), ["a"]);
    assert!(!roster.may_send(&upstream("b", "z")));
    roster.set_evacuated(Set::default(), now);
    assert_eq!(ids(&roster), ["a", "b"]);
}

#[test]
fn after_an_absence_of_the_platform_a_missing_entry_has_time_to_return() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let draining = Upstream {
        phase: Phase::Draining,
        ..upstream("d", "z")
    };
    roster.replace(vec![upstream("a", "z"), upstream("b", "z"), draining], now);
    roster.platform_returned(now);
    roster.replace(Vec::new(), now);
    assert_eq!(
        ids(&roster),
        ["a", "b"],
        "entries lapsed while the platform was away"
    );
    assert!(!roster.may_send(&upstream("d", "z")));
    let later = now + Duration::from_millis(500);
    roster.put(upstream("a", "z"), later);
    assert!(roster.expire(later).is_empty());
    let end = now + RETURN_GRACE;
    assert_eq!(roster.expire(end), [Arc::from("b")]);
    assert_eq!(ids(&roster), ["a"]);
    roster.remove("a", end);
    assert!(ids(&roster).is_empty(), "the grace is over");
}

#[test]
fn an_upstream_is_cold_for_the_time_that_its_entry_names() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let cold = Upstream {
        cold_ms: 3000,
        ..upstream("a", "z")
    };
    roster.put(cold, now);
    assert!(roster.is_cold("a", now + Duration::from_millis(2999)));
    assert!(!roster.is_cold("a", now + Duration::from_secs(3)));
    assert!(!roster.is_cold("b", now));
}
