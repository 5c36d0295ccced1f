//! Tests the cost that failures and the warnings of other daemons add to an upstream.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::health::{Health, Observation};
use tokio::time::Instant;

fn name(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_warning_raises_the_cost_of_an_upstream_without_excluding_it() {
    let now = Instant::now();
    let mut health = Health::default();
    assert_eq!(health.cost("u1", 0, now), Some(0.0));
    health.record_warnings(&name("h1"), &[name("u1")], now);
    let one = health.cost("u1", 3, now).expect("it may be used");
    assert!(one > 0.0);
    health.record_warnings(&name("h2"), &[name("u1")], now);
    assert!(health.cost("u1", 3, now).expect("it may be used") > one);
    assert_eq!(
        health.cost("u2", 0, now),
        Some(0.0),
        "other upstreams are unaffected"
    );
}

#[test]
fn a_warning_expires_unless_it_is_repeated() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_warnings(&name("h1"), &[name("u1"), name("u2")], start);
    health.record_warnings(&name("h1"), &[name("u2")], start);
    assert_eq!(
        health.cost("u1", 0, start),
        Some(0.0),
        "the warning was withdrawn"
    );
    let later = start + Duration::from_secs(2);
    assert_eq!(
        health.cost("u2", 0, later),
        Some(0.0),
        "the warning expired"
    );
}

#[test]
fn only_upstreams_that_are_avoided_now_are_reported() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record(&name("bad"), Observation::Failure, start);
    health.record(&name("gone"), Observation::Unreachable, start);
    assert_eq!(health.avoided(start), [name("gone")]);
    assert_eq!(health.cost("gone", 0, start), None);
    let later = start + Duration::from_millis(600);
    assert!(
        health.avoided(later).is_empty(),
        "a single request may probe it"
    );
    health.record(&name("gone"), Observation::Unreachable, later);
    assert_eq!(
        health.avoided(later + Duration::from_millis(900)),
        [name("gone")]
    );
}

#[test]
fn unreachable_upstreams_are_forgotten_and_faulty_ones_are_not() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record(&name("faulty"), Observation::Failure, now);
    for _ in 0..5 {
        health.record(&name("cut"), Observation::Unreachable, now);
    }
    health.record_warnings(&name("h1"), &[name("warned")], now);
    let costs = |health: &Health| ["faulty", "warned"].map(|id| health.cost(id, 0, now));
    let before = costs(&health);
    health.forget_unreachable();
    assert_eq!(costs(&health), before);
    assert!(
        before
            .iter()
            .all(|cost| cost.is_some_and(|cost| cost > 0.0))
    );
    assert!(health.avoided(now).is_empty());
    assert_eq!(health.cost("cut", 3, now), Some(0.0));
}

#[tokio::test(start_paused = true)]
async fn upstream_is_avoided_for_a_while_after_it_could_not_be_reached() {
    let mut health = Health::default();
    let (upstream, now) = (Arc::from("u"), Instant::now());
    health.record(&upstream, Observation::Failure, now);
    assert!(!health.is_avoided(&upstream, now));
    health.record(&upstream, Observation::Unreachable, now);
    assert!(health.is_avoided(&upstream, now));
    assert!(!health.is_avoided(&upstream, now + Duration::from_secs(6)));
}
