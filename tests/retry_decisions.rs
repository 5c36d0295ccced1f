//! Tests which retries draw on the budget, and the delay before a stream is resumed.

use primrosehoist::coordination::retry::{RESUME_DELAY_MAX, Reach, may_retry, resume_delay};
use primrosehoist::state::budget::{Budget, SAVED_MAX};
use primrosehoist_property::check;
use tokio::time::Instant;

#[test]
fn resume_delay_is_bounded() {
    check(1_500, |u| {
        assert!(resume_delay(u.arbitrary()?) <= RESUME_DELAY_MAX);
        Ok(())
    });
}

#[test]
fn only_attempts_that_were_received_draw_on_the_budget() {
    let now = Instant::now();
    let mut budget = Budget::new(0, now);
    for _ in 0..1000 {
        assert!(may_retry(&mut budget, Reach::Unreached, now));
    }
    let drawn = (0..1000)
        .filter(|_| may_retry(&mut budget, Reach::Reached, now))
        .count();
    assert!(
        drawn as u64 <= SAVED_MAX,
        "{drawn} retries without first attempts"
    );
    assert!(!may_retry(&mut budget, Reach::Reached, now));
    assert!(may_retry(&mut budget, Reach::Unreached, now));
}
