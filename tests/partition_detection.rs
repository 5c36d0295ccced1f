//! Tests of the detection of partitions between zones.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::partition::{Detector, Hop};
use tokio::time::Instant;

fn hop(from: &str, to: &str) -> Hop {
    (Arc::from(from), Arc::from(to))
}

fn is_partitioned(detector: &Detector, hop: &Hop, now: Instant) -> bool {
    detector.partitions(now).contains(&hop.0, &hop.1)
}

#[test]
fn failures_of_several_upstreams_indicate_a_partition() {
    let now = Instant::now();
    let cases: [(&str, &str, &[&str], bool); 5] = [
        ("a", "b", &["u1"], false),
        ("a", "b", &["u1", "u1", "u1"], false),
        ("a", "b", &["u1", "u2"], true),
        // Failures within a zone do not indicate a partition.
        ("a", "a", &["u1", "u2", "u3"], false),
        ("a", "b", &["u1", "answered", "u2"], false),
    ];
    for (from, to, events, expected) in cases {
        let mut detector = Detector::default();
        let hop = hop(from, to);
        for event in events {
            match *event {
                "answered" => detector.record_success(&hop),
                upstream => detector.record_failure(&hop, &Arc::from(upstream), now),
            }
        }
        assert_eq!(
            is_partitioned(&detector, &hop, now),
            expected,
            "{from} {to} {events:?}"
        );
    }
}

#[test]
fn a_partition_is_retried_with_exponential_backoff() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut detector = Detector::default();
    let hop = hop("a", "b");
    detector.record_failure(&hop, &Arc::from("u1"), at(0));
    detector.record_failure(&hop, &Arc::from("u2"), at(0));
    assert!(is_partitioned(&detector, &hop, at(999)));
    assert!(
        !is_partitioned(&detector, &hop, at(1000)),
        "the hop may be tried again"
    );
    detector.record_failure(&hop, &Arc::from("u1"), at(1100));
    assert!(is_partitioned(&detector, &hop, at(3000)));
    detector.record_success(&hop);
    assert!(
        !is_partitioned(&detector, &hop, at(1200)),
        "an answer ends the partition at once"
    );
}

#[test]
fn old_failures_expire() {
    let start = Instant::now();
    let mut detector = Detector::default();
    let hop = hop("a", "b");
    detector.record_failure(&hop, &Arc::from("u1"), start);
    let later = start + Duration::from_secs(7);
    detector.record_failure(&hop, &Arc::from("u2"), later);
    assert!(!is_partitioned(&detector, &hop, later));
}

#[test]
fn other_hops_are_not_affected() {
    let now = Instant::now();
    let mut detector = Detector::default();
    detector.record_failure(&hop("a", "b"), &Arc::from("u1"), now);
    detector.record_failure(&hop("a", "b"), &Arc::from("u2"), now);
    assert!(!is_partitioned(&detector, &hop("b", "a"), now));
    assert!(!is_partitioned(&detector, &hop("a", "c"), now));
}

#[test]
fn hops_from_a_zone_can_be_forgotten() {
    let now = Instant::now();
    let mut detector = Detector::default();
    for hop in [hop("a", "b"), hop("a", "c"), hop("b", "c")] {
        detector.record_failure(&hop, &Arc::from("u1"), now);
        detector.record_failure(&hop, &Arc::from("u2"), now);
        assert!(is_partitioned(&detector, &hop, now));
    }
    detector.forget_from("a");
    assert!(!is_partitioned(&detector, &hop("a", "b"), now));
    assert!(!is_partitioned(&detector, &hop("a", "c"), now));
    assert!(is_partitioned(&detector, &hop("b", "c"), now));
    detector.record_failure(&hop("a", "b"), &Arc::from("u1"), now);
    assert!(
        !is_partitioned(&detector, &hop("a", "b"), now),
        "the failures before do not count any more"
    );
}
