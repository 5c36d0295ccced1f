//! Tests of which upstreams requests may be sent to.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::Set;
use primrosehoist::state::roster::{Phase, RECONNECT_GRACE, Roster, Upstream};
use primrosehoist::state::versions::{Revision, Versions};
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

fn ids(roster: &Roster, now: Instant) -> Vec<String> {
    let mut ids: Vec<String> = roster
        .candidates("model", now)
        .map(|upstream| upstream.id.to_string())
        .collect();
    ids.sort();
    ids
}

#[test]
fn draining_and_removed_upstreams_are_not_routable() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], false, now);
    assert_eq!(ids(&roster, now), ["a", "b"]);
    let draining = Upstream {
        phase: Phase::Draining,
        ..upstream("a", "z")
    };
    roster.upsert(draining, now);
    assert_eq!(ids(&roster, now), ["b"]);
    assert!(!roster.is_routable(&upstream("a", "z"), now));
    roster.remove("b", now);
    assert!(ids(&roster, now).is_empty());
    assert!(!roster.is_routable(&upstream("b", "z"), now));
}

#[test]
fn a_list_replaces_all_entries() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], false, now);
    roster.replace(vec![upstream("b", "z"), upstream("c", "z")], false, now);
    assert_eq!(ids(&roster, now), ["b", "c"]);
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
        assert!(!roster.is_routable(&chosen, now), "{changed:?}");
        assert!(roster.is_routable(&changed, now));
    }
}

#[test]
fn upstreams_of_an_evacuated_zone_are_not_routable_until_it_is_back() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "y"), upstream("b", "z")], false, now);
    roster.set_evacuated_zones(Set::from_iter([Arc::from("z")]), now);
    assert_eq!(ids(&roster, now), ["a"]);
    assert!(!roster.is_routable(&upstream("b", "z"), now));
    roster.set_evacuated_zones(Set::default(), now);
    assert_eq!(ids(&roster, now), ["a", "b"]);
}

#[test]
fn entries_missing_after_a_platform_outage_are_kept_for_a_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let draining = Upstream {
        phase: Phase::Draining,
        ..upstream("d", "z")
    };
    roster.replace(
        vec![upstream("a", "z"), upstream("b", "z"), draining],
        false,
        now,
    );
    roster.platform_reconnected(now);
    assert!(roster.replace(Vec::new(), true, now));
    assert_eq!(
        ids(&roster, now),
        ["a", "b"],
        "entries expired during the platform outage"
    );
    assert!(!roster.is_routable(&upstream("d", "z"), now));
    let later = now + Duration::from_millis(500);
    roster.upsert(upstream("a", "z"), later);
    assert!(roster.expire(later).is_empty());
    let end = now + RECONNECT_GRACE;
    assert!(!roster.is_routable(&upstream("b", "z"), end));
    assert_eq!(roster.expire(end), [Arc::from("b")]);
    assert_eq!(ids(&roster, end), ["a"]);
    roster.remove("a", end);
    assert!(ids(&roster, end).is_empty(), "the grace period is over");
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

/// The page gives an upstream whose entry expired about two seconds to return; the shortest bound on
/// requests to one that left is as long.
#[test]
fn the_grace_period_is_shorter_than_the_shortest_drain_bound() {
    assert!(RECONNECT_GRACE < Duration::from_secs(2));
}

#[test]
fn missing_entries_are_kept_while_the_platform_is_away_again() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], false, start);
    roster.platform_reconnected(start);
    assert!(roster.replace(Vec::new(), true, start));
    roster.set_platform_reachable(false, at(1200));
    assert_eq!(ids(&roster, at(9000)), ["a", "b"]);
    assert!(roster.expire(at(9000)).is_empty());
    assert_eq!(roster.grace_left(at(9000)), Duration::from_millis(700));
    // Back after too short a time for entries to expire, it has 700 ms left.
    let mut shortly = roster.clone();
    shortly.set_platform_reachable(true, at(2000));
    assert_eq!(ids(&shortly, at(2699)), ["a", "b"]);
    assert!(ids(&shortly, at(2700)).is_empty());
    assert_eq!(shortly.expire(at(2700)).len(), 2);
    // After an outage, upstreams have the whole time to return.
    roster.platform_reconnected(at(9000));
    roster.upsert(upstream("b", "z"), at(9500));
    let end = at(9000) + RECONNECT_GRACE;
    assert_eq!(ids(&roster, end - Duration::from_millis(1)), ["a", "b"]);
    assert_eq!(ids(&roster, end), ["b"]);
    assert_eq!(roster.expire(end), [Arc::from("a")]);
}

#[test]
fn upstream_reported_missing_while_the_platform_is_away_is_given_up_after_its_return() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z")], false, start);
    roster.set_platform_reachable(false, at(100));
    roster.mark_missing("a", Duration::from_millis(500), at(3000));
    assert_eq!(ids(&roster, at(8000)), ["a"]);
    assert_eq!(
        roster.missing(at(8000)),
        [(Arc::from("a"), Duration::from_millis(500))]
    );
    roster.set_platform_reachable(true, at(8000));
    assert_eq!(ids(&roster, at(8499)), ["a"]);
    assert_eq!(roster.expire(at(8500)), [Arc::from("a")]);
}

#[test]
fn an_upstream_that_leaves_in_the_grace_period_is_not_used() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z"), upstream("b", "z")], false, now);
    roster.platform_reconnected(now);
    assert!(roster.replace(vec![upstream("a", "z")], true, now));
    assert_eq!(ids(&roster, now), ["a", "b"]);
    // A later list shows that `a` left after the platform was back; `b` may still return.
    let later = now + Duration::from_millis(400);
    assert!(roster.replace(Vec::new(), false, later));
    assert_eq!(ids(&roster, later), ["b"]);
    assert!(!roster.replace(Vec::new(), false, later), "nothing is new");
}

#[test]
fn missing_entries_end_at_the_same_time_for_daemons_that_got_them_from_others() {
    let now = Instant::now();
    let list = || vec![upstream("a", "z"), upstream("b", "z")];
    let mut follower = Roster::default();
    follower.replace(list(), false, now);
    follower.platform_reconnected(now);
    follower.replace(vec![upstream("a", "z")], true, now);
    let later = now + Duration::from_millis(600);
    let mut other = Roster::default();
    other.replace(list(), false, now);
    other.restore(
        follower.upstreams().map(|u| u.as_ref().clone()).collect(),
        &follower.missing(later),
        later,
    );
    let end = now + RECONNECT_GRACE;
    for roster in [&mut follower, &mut other] {
        assert_eq!(ids(roster, end - Duration::from_millis(1)), ["a", "b"]);
        assert_eq!(ids(roster, end), ["a"]);
        assert_eq!(roster.expire(end), [Arc::from("b")]);
    }
}

#[test]
fn missing_entries_of_other_daemons_end_with_the_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.replace(vec![upstream("a", "z")], false, now);
    roster.mark_missing("a", Duration::MAX, now);
    let end = now + RECONNECT_GRACE;
    assert_eq!(ids(&roster, end - Duration::from_millis(1)), ["a"]);
    assert_eq!(roster.expire(end), [Arc::from("a")]);
}

#[test]
fn an_upstream_that_has_left_does_not_come_back_with_the_state_of_a_daemon_that_misses_it() {
    let now = Instant::now();
    let all = || vec![upstream("a", "z"), upstream("b", "z")];
    let missing = [(Arc::from("a"), Duration::from_millis(1900))];
    let mut roster = Roster::default();
    roster.replace(all(), false, now);
    roster.discard("a");
    roster.restore(all(), &missing, now);
    assert_eq!(ids(&roster, now), ["b"]);
    // A daemon that does not know better uses it for as long as the other one does.
    for mut roster in [Roster::default(), {
        let mut known = Roster::default();
        known.replace(all(), false, now);
        known
    }] {
        roster.restore(all(), &missing, now);
        assert_eq!(ids(&roster, now), ["a", "b"]);
        assert_eq!(ids(&roster, now + Duration::from_secs(2)), ["b"]);
    }
}

/// Guards against requests to an upstream that said that it leaves, or wants none for some time, after its
/// entry was gone for a moment.
#[test]
fn what_an_upstream_says_of_itself_outlives_its_entry() {
    let now = Instant::now();
    let process = |id: &str, started_ms| Upstream {
        started_ms,
        ..upstream(id, "z")
    };
    let mut roster = Roster::default();
    for (id, started_ms) in [("leaves", Some(1)), ("defers", Some(1)), ("unknown", None)] {
        roster.upsert(process(id, started_ms), now);
    }
    assert!(roster.mark_leaving(&process("leaves", Some(1))));
    assert!(roster.mark_leaving(&process("unknown", None)));
    roster.defer(&process("defers", Some(1)), now + Duration::from_secs(9));
    for _ in 0..2 {
        for (id, started_ms) in [("leaves", Some(1)), ("defers", Some(1)), ("unknown", None)] {
            roster.discard(id);
            roster.upsert(process(id, started_ms), now);
        }
        assert_eq!(ids(&roster, now), ["unknown"]);
    }
    assert_eq!(
        ids(&roster, now + Duration::from_secs(9)),
        ["defers", "unknown"]
    );
    // Another process under the same id has said nothing.
    for id in ["leaves", "defers"] {
        roster.discard(id);
        roster.upsert(process(id, Some(2)), now);
    }
    assert_eq!(ids(&roster, now), ["defers", "leaves", "unknown"]);
}

#[test]
fn what_an_upstream_says_after_its_entry_expired_is_remembered() {
    let now = Instant::now();
    let process = |id: &str| Upstream {
        started_ms: Some(1),
        ..upstream(id, "z")
    };
    let mut roster = Roster::default();
    for id in ["leaves", "defers"] {
        roster.upsert(process(id), now);
        roster.discard(id);
    }
    assert!(roster.mark_leaving(&process("leaves")));
    roster.defer(&process("defers"), now + Duration::from_secs(9));
    for id in ["leaves", "defers"] {
        roster.upsert(process(id), now);
    }
    assert!(ids(&roster, now).is_empty());
    assert_eq!(ids(&roster, now + Duration::from_secs(9)), ["defers"]);
}

#[test]
fn a_copy_of_the_list_neither_revives_an_upstream_that_left_nor_one_that_drains() {
    let now = Instant::now();
    let process = |id: &str, started_ms, phase| Upstream {
        started_ms: Some(started_ms),
        phase,
        ..upstream(id, "z")
    };
    let mut roster = Roster::default();
    for id in ["left", "drains", "ready"] {
        roster.upsert(process(id, 1, Phase::Ready), now);
    }
    roster.upsert(process("drains", 1, Phase::Draining), now);
    roster.discard("left");
    let copy = ["left", "drains", "ready", "new"].map(|id| process(id, 1, Phase::Ready));
    let listed = roster.without_revived(copy.to_vec());
    let phases: Vec<_> = listed
        .iter()
        .map(|upstream| (upstream.id.as_ref(), upstream.phase))
        .collect();
    let expected = [
        ("drains", Phase::Draining),
        ("ready", Phase::Ready),
        ("new", Phase::Ready),
    ];
    assert_eq!(phases, expected);
    // Another process under the same id is not meant.
    let next = ["left", "drains"]
        .map(|id| process(id, 2, Phase::Ready))
        .to_vec();
    assert_eq!(roster.without_revived(next.clone()), next);
}

#[test]
fn a_revision_of_a_later_era_is_newer_whatever_its_number() {
    let revision = |era, number| Revision { era, number };
    assert!(revision(1, 0) > revision(0, u64::MAX));
    assert!(revision(1, 2) > revision(1, 1));
    let versions = |era, number| Versions {
        upstreams: revision(era, number),
        ..Versions::default()
    };
    assert!(versions(1, 3).is_ahead_of(&versions(0, 40)));
    assert!(!versions(0, 40).is_ahead_of(&versions(1, 3)));
    assert_eq!(versions(1, 3).merge(&versions(0, 40)), versions(1, 3));
}

/// A daemon that is still at it answers nobody meanwhile.
#[test]
fn large_state_of_another_daemon_does_not_stop_the_runtime() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.upsert(upstream("known", "z"), now);
    let ids: Vec<String> = (0..60_000).map(|number| format!("i-{number}")).collect();
    let upstreams = ids.iter().map(|id| upstream(id, "z")).collect();
    let missing = |number: usize| (Arc::from(format!("m-{number}")), RECONNECT_GRACE);
    let missing: Vec<_> = (0..ids.len()).map(missing).collect();
    let started = std::time::Instant::now();
    roster.restore(upstreams, &missing, now);
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(roster.len(), ids.len());
}
