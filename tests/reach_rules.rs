//! Tests of the detection that a host is cut off from the upstreams.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::Set;
use primrosehoist::state::reach::{Change, Detector, probe_targets};
use primrosehoist::state::roster::{Phase, Upstream};
use tokio::time::{Instant, advance};

fn name(name: &str) -> Arc<str> {
    Arc::from(name)
}

fn upstream(id: &str, zone: &str) -> Arc<Upstream> {
    Arc::new(Upstream {
        id: name(id),
        service: name("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: name(zone),
        slots: 1,
        phase: Phase::Ready,
        cold_ms: 0,
        started_ms: None,
    })
}

async fn pass(ms: u64) {
    advance(Duration::from_millis(ms)).await;
}

/// Returns a detector that has just found the host to be cut off.
fn cut_off() -> Detector {
    let mut detector = Detector::default();
    let now = Instant::now();
    detector.record_failure(&name("u1"), now);
    detector.record_failure(&name("u2"), now);
    assert_eq!(detector.record_probe(3, 0, 0.0, now), Some(Change::CutOff));
    detector
}

#[tokio::test(start_paused = true)]
async fn a_single_silent_upstream_causes_no_probe() {
    let mut detector = Detector::default();
    for _ in 0..5 {
        detector.begin(&name("u1"), Instant::now());
    }
    pass(60_000).await;
    assert!(!detector.needs_probe(Instant::now()));
    assert_eq!(detector.probe_due(Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn a_crashed_upstream_causes_no_probe() {
    let mut detector = Detector::default();
    for _ in 0..20 {
        detector.record_failure(&name("u1"), Instant::now());
        assert!(!detector.needs_probe(Instant::now()));
        pass(100).await;
    }
    assert!(detector.failed_recently("u1", Instant::now()));
    assert!(!detector.failed_recently("u2", Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn a_host_is_not_cut_off_if_a_probe_reaches_one_upstream() {
    let mut detector = Detector::default();
    for id in ["u1", "u2", "u3", "u4"] {
        detector.record_failure(&name(id), Instant::now());
    }
    assert!(detector.needs_probe(Instant::now()));
    assert_eq!(detector.record_probe(3, 1, 0.5, Instant::now()), None);
    assert!(!detector.is_cut_off());
}

#[tokio::test(start_paused = true)]
async fn a_host_is_cut_off_if_two_upstreams_fail_and_the_probe_too() {
    for probed in [2, 3] {
        let mut detector = Detector::default();
        detector.record_failure(&name("u1"), Instant::now());
        pass(1999).await;
        detector.record_failure(&name("u2"), Instant::now());
        assert!(detector.needs_probe(Instant::now()));
        assert!(!detector.is_cut_off(), "suspicion alone changes nothing");
        let change = detector.record_probe(probed, 0, 0.5, Instant::now());
        assert_eq!(change, Some(Change::CutOff));
        assert!(detector.is_cut_off());
    }
}

#[tokio::test(start_paused = true)]
async fn failures_far_apart_cause_no_probe() {
    let mut detector = Detector::default();
    detector.record_failure(&name("u1"), Instant::now());
    pass(2000).await;
    detector.record_failure(&name("u2"), Instant::now());
    assert!(!detector.needs_probe(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn silence_of_two_upstreams_causes_a_probe() {
    let mut detector = Detector::default();
    // Nothing was heard for long, but nothing was waited for either.
    detector.record_heard(Instant::now());
    pass(60_000).await;
    assert!(!detector.begin(&name("u1"), Instant::now()));
    pass(1000).await;
    assert!(detector.begin(&name("u2"), Instant::now()));
    pass(399).await;
    assert!(!detector.needs_probe(Instant::now()));
    detector.record_heard(Instant::now());
    pass(399).await;
    assert!(!detector.needs_probe(Instant::now()));
    let due = Instant::now() + Duration::from_millis(1);
    assert_eq!(detector.probe_due(Instant::now()), Some(due));
    pass(1).await;
    assert!(detector.needs_probe(Instant::now()));
    assert_eq!(
        detector.silence(Instant::now()),
        Some(Duration::from_millis(400))
    );
    detector.end(&name("u2"));
    assert!(!detector.needs_probe(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn an_upstream_is_waited_for_until_its_last_attempt_ends() {
    let mut detector = Detector::default();
    for id in ["u1", "u2", "u2"] {
        detector.begin(&name(id), Instant::now());
    }
    pass(400).await;
    detector.end(&name("u2"));
    assert!(detector.needs_probe(Instant::now()));
    detector.end(&name("u2"));
    assert!(!detector.needs_probe(Instant::now()));
    // An end without a beginning has no effect.
    detector.end(&name("u2"));
    detector.begin(&name("u2"), Instant::now());
    pass(399).await;
    assert!(!detector.needs_probe(Instant::now()));
}

#[tokio::test(start_paused = true)]
async fn upstreams_are_probed_at_most_once_a_second() {
    let mut detector = Detector::default();
    detector.begin(&name("u1"), Instant::now());
    detector.begin(&name("u2"), Instant::now());
    let mut probes = 0;
    for step in 0..10_000 {
        if step % 50 == 0 {
            detector.record_failure(&name("u1"), Instant::now());
            detector.record_failure(&name("u2"), Instant::now());
        }
        if detector.needs_probe(Instant::now()) {
            probes += 1;
            assert_eq!(detector.record_probe(3, 1, 0.0, Instant::now()), None);
        }
        pass(1).await;
    }
    assert_eq!(probes, 10);
}

#[tokio::test(start_paused = true)]
async fn a_cut_off_host_probes_until_one_connection_is_made() {
    let mut detector = cut_off();
    // Connections that live on do not end it, since requests may need new ones.
    detector.record_heard(Instant::now());
    for random in [0.0, 0.5, 1.0, 0.2] {
        assert_eq!(detector.record_probe(3, 0, random, Instant::now()), None);
        let interval = 250 + (250.0 * random) as u64;
        pass(interval - 1).await;
        assert!(!detector.needs_probe(Instant::now()), "{random}");
        pass(1).await;
        assert!(detector.needs_probe(Instant::now()), "{random}");
        assert!(detector.is_cut_off());
    }
    let change = detector.record_probe(3, 1, 0.0, Instant::now());
    assert_eq!(change, Some(Change::Restored));
    assert!(!detector.is_cut_off());
    pass(10_000).await;
    assert!(
        !detector.needs_probe(Instant::now()),
        "the failures during the cut are forgotten"
    );
}

#[tokio::test(start_paused = true)]
async fn probes_of_fewer_than_two_upstreams_are_no_evidence() {
    let mut detector = Detector::default();
    for probed in [0, 1] {
        assert_eq!(detector.record_probe(probed, 0, 0.0, Instant::now()), None);
        assert!(!detector.is_cut_off());
    }
    let mut detector = cut_off();
    assert_eq!(detector.record_probe(0, 0, 0.0, Instant::now()), None);
    assert_eq!(detector.record_probe(1, 0, 0.0, Instant::now()), None);
    assert!(detector.is_cut_off());
    assert_eq!(
        detector.record_probe(1, 1, 0.0, Instant::now()),
        Some(Change::Restored),
        "one connection is enough to end it"
    );
}

/// Returns the ids of the probe targets for each of several random orders.
fn targets(candidates: &[Arc<Upstream>], failed: &[&str], zone: &str) -> Vec<Vec<Arc<str>>> {
    let mut state = 1_u64;
    let random = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (state >> 11) as f64 / (1_u64 << 53) as f64
    };
    let mut random = random;
    let choose = |_| {
        let is_failed = |id: &str| failed.contains(&id);
        let (chosen, _others) = probe_targets(candidates, is_failed, zone, &mut random);
        chosen.iter().map(|target| Arc::clone(&target.id)).collect()
    };
    (0..50).map(choose).collect()
}

#[test]
fn probes_cover_distinct_zones_and_the_own_one() {
    let zones = ["a", "b", "c", "d"];
    let mut candidates = Vec::new();
    for number in 0..5 {
        candidates.extend(zones.map(|zone| upstream(&format!("{zone}{number}"), zone)));
    }
    let all = targets(&candidates, &[], "a");
    let mut seen: Set<Arc<str>> = Set::default();
    for chosen in &all {
        let zones: Set<&str> = chosen.iter().map(|id| &id[..1]).collect();
        assert_eq!((chosen.len(), zones.len()), (3, 3), "{chosen:?}");
        assert!(zones.contains("a"), "{chosen:?}");
        seen.extend(chosen.iter().cloned());
    }
    assert_eq!(seen.len(), 20, "any upstream may be probed");
}

#[test]
fn probes_prefer_upstreams_that_have_not_failed() {
    let candidates = ["a1", "a2", "a3", "b1", "b2", "c1"].map(|id| upstream(id, &id[..1]));
    // All of a zone may have failed; then another one of the others is no substitute.
    for chosen in targets(&candidates, &["a1", "a2", "b2", "c1"], "d") {
        let chosen: Set<&str> = chosen.iter().map(AsRef::as_ref).collect();
        assert_eq!(chosen, ["a3", "b1", "c1"].into_iter().collect());
    }
    let candidates = ["a1", "b1", "c1", "d1", "e1"].map(|id| upstream(id, &id[..1]));
    for chosen in targets(&candidates, &["a1", "c1"], "f") {
        let chosen: Set<&str> = chosen.iter().map(AsRef::as_ref).collect();
        assert_eq!(chosen, ["b1", "d1", "e1"].into_iter().collect());
    }
}

#[test]
fn probes_take_several_upstreams_of_a_zone_if_there_are_too_few_zones() {
    let candidates = ["a1", "a2", "a3", "b1"].map(|id| upstream(id, &id[..1]));
    for chosen in targets(&candidates, &[], "b") {
        assert_eq!(chosen.len(), 3);
        assert!(chosen.contains(&name("b1")));
    }
    let candidates = ["a1", "a2"].map(|id| upstream(id, &id[..1]));
    for chosen in targets(&candidates, &["a1", "a2"], "b") {
        assert_eq!(chosen.len(), 2, "there are no others");
    }
    assert!(targets(&[], &[], "a").iter().all(Vec::is_empty));
}

#[tokio::test(start_paused = true)]
async fn host_whose_neighbour_becomes_cut_off_is_probed_once() {
    let mut detector = Detector::default();
    let now = Instant::now();
    assert!(!detector.needs_probe(now));
    detector.doubt();
    assert!(detector.needs_probe(now));
    assert_eq!(detector.record_probe(3, 3, 0.0, now), None);
    let later = now + Duration::from_secs(10);
    assert!(!detector.needs_probe(later));
    detector.doubt();
    assert_eq!(
        detector.record_probe(3, 0, 0.0, later),
        Some(Change::CutOff)
    );
}

#[tokio::test(start_paused = true)]
async fn upstreams_count_as_heard_for_two_seconds() {
    let mut detector = Detector::default();
    let now = Instant::now();
    assert!(!detector.hears_upstreams(now));
    detector.record_heard(now);
    assert!(detector.hears_upstreams(now + Duration::from_millis(1999)));
    assert!(!detector.hears_upstreams(now + Duration::from_secs(2)));
}

#[test]
fn other_upstreams_confirm_that_none_can_be_reached() {
    let candidates: Vec<_> = (0..50).map(|i| upstream(&format!("u{i}"), "a")).collect();
    let (first, others) = probe_targets(&candidates, |_| false, "a", || 0.5);
    assert_eq!((first.len(), others.len()), (3, 32));
    let ids: Set<Arc<str>> = first
        .iter()
        .chain(&others)
        .map(|u| Arc::clone(&u.id))
        .collect();
    assert_eq!(ids.len(), 35, "each upstream is probed once");
    let (first, others) = probe_targets(&candidates[..2], |_| false, "a", || 0.5);
    assert_eq!((first.len(), others.len()), (2, 0));
}
