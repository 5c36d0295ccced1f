//! Tests what failures and the warnings of other daemons make an upstream cost.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::trust::{Ending, Trust};
use tokio::time::Instant;

fn name(name: &str) -> Arc<str> {
    Arc::from(name)
}

#[test]
fn a_warning_makes_an_upstream_dear_and_does_not_forbid_it() {
    let now = Instant::now();
    let mut trust = Trust::default();
    assert_eq!(trust.cost("u1", 0, now), Some(0.0));
    trust.warn(&name("h1"), &[name("u1")], now);
    let one = trust.cost("u1", 3, now).expect("it may be used");
    assert!(one > 0.0);
    trust.warn(&name("h2"), &[name("u1")], now);
    assert!(trust.cost("u1", 3, now).expect("it may be used") > one);
    assert_eq!(trust.cost("u2", 0, now), Some(0.0), "others cost nothing");
}

#[test]
fn a_warning_ends_when_it_is_not_repeated() {
    let start = Instant::now();
    let mut trust = Trust::default();
    trust.warn(&name("h1"), &[name("u1"), name("u2")], start);
    trust.warn(&name("h1"), &[name("u2")], start);
    assert_eq!(trust.cost("u1", 0, start), Some(0.0), "taken back");
    let later = start + Duration::from_secs(2);
    assert_eq!(trust.cost("u2", 0, later), Some(0.0), "too old");
}

#[test]
fn only_an_upstream_that_is_avoided_now_is_warned_of() {
    let start = Instant::now();
    let mut trust = Trust::default();
    trust.record(&name("bad"), Ending::Bad, start);
    trust.record(&name("gone"), Ending::Unreachable, start);
    assert_eq!(trust.avoided(start), [name("gone")]);
    assert_eq!(trust.cost("gone", 0, start), None);
    let later = start + Duration::from_millis(600);
    assert!(trust.avoided(later).is_empty(), "one request may try it");
    trust.record(&name("gone"), Ending::Unreachable, later);
    assert_eq!(
        trust.avoided(later + Duration::from_millis(900)),
        [name("gone")]
    );
}
