//! Tests which hops between zones count as cut.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::paths::{Hop, Paths};
use tokio::time::Instant;

fn hop(from: &str, to: &str) -> Hop {
    (Arc::from(from), Arc::from(to))
}

fn is_cut(paths: &Paths, hop: &Hop, now: Instant) -> bool {
    paths.cuts(now).contains(&hop.0, &hop.1)
}

#[test]
fn failures_of_several_upstreams_show_a_cut() {
    let now = Instant::now();
    let cases: [(&str, &str, &[&str], bool); 5] = [
        ("a", "b", &["u1"], false),
        ("a", "b", &["u1", "u1", "u1"], false),
        ("a", "b", &["u1", "u2"], true),
        // Within a zone, each upstream stands for itself.
        ("a", "a", &["u1", "u2", "u3"], false),
        ("a", "b", &["u1", "answered", "u2"], false),
    ];
    for (from, to, events, expected) in cases {
        let mut paths = Paths::default();
        let hop = hop(from, to);
        for event in events {
            match *event {
                "answered" => paths.answered(&hop),
                upstream => paths.failed(&hop, &Arc::from(upstream), now),
            }
        }
        assert_eq!(
            is_cut(&paths, &hop, now),
            expected,
            "{from} {to} {events:?}"
        );
    }
}

#[test]
fn a_cut_is_tried_again_after_longer_and_longer_pauses() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut paths = Paths::default();
    let hop = hop("a", "b");
    paths.failed(&hop, &Arc::from("u1"), at(0));
    paths.failed(&hop, &Arc::from("u2"), at(0));
    assert!(is_cut(&paths, &hop, at(999)));
    assert!(!is_cut(&paths, &hop, at(1000)), "one request may try it");
    paths.failed(&hop, &Arc::from("u1"), at(1100));
    assert!(is_cut(&paths, &hop, at(3000)));
    paths.answered(&hop);
    assert!(!is_cut(&paths, &hop, at(1200)), "an answer ends it at once");
}

#[test]
fn old_failures_are_forgotten() {
    let start = Instant::now();
    let mut paths = Paths::default();
    let hop = hop("a", "b");
    paths.failed(&hop, &Arc::from("u1"), start);
    let later = start + Duration::from_secs(7);
    paths.failed(&hop, &Arc::from("u2"), later);
    assert!(!is_cut(&paths, &hop, later));
}

#[test]
fn other_hops_are_not_concerned() {
    let now = Instant::now();
    let mut paths = Paths::default();
    paths.failed(&hop("a", "b"), &Arc::from("u1"), now);
    paths.failed(&hop("a", "b"), &Arc::from("u2"), now);
    assert!(!is_cut(&paths, &hop("b", "a"), now));
    assert!(!is_cut(&paths, &hop("a", "c"), now));
}
