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
