//! Tests that retries stay within the budget and backoff delays within their bounds.

use std::time::Duration;

use primrosehoist::state::budget::{
    BACKOFF_FIRST, BACKOFF_MAX, BURST, Budget, FLOOR_PER_SECOND, backoff,
};
use primrosehoist_property::check;
use tokio::time::Instant;

#[test]
fn retries_never_exceed_share_and_floor() {
    check(7_000, |u| {
        let start = Instant::now();
        let percent: u32 = u.int_in_range(0..=100)?;
        let mut budget = Budget::new(percent, start);
        let (mut now, mut attempts, mut retries) = (start, 0_u64, 0_u64);
        for _ in 0..500 {
            now += Duration::from_millis(u.int_in_range(0..=100)?);
            if u.arbitrary()? {
                budget.deposit();
                attempts += 1;
            }
            retries += u64::from(budget.withdraw(now));
            let floor = BURST + FLOOR_PER_SECOND * ((now - start).as_secs() + 1);
            assert!(retries <= attempts * u64::from(percent) / 100 + floor);
        }
        Ok(())
    });
}

#[test]
fn retries_are_earned_over_time_without_attempts() {
    let now = Instant::now();
    let mut budget = Budget::new(0, now);
    let burst = (0..100).filter(|_| budget.withdraw(now)).count();
    assert_eq!(burst as u64, BURST);
    assert!(budget.withdraw(now + Duration::from_secs(1)));
    assert!(!budget.withdraw(now + Duration::from_secs(1)));
}

#[test]
fn backoff_stays_within_bounds() {
    check(3_500, |u| {
        let delay = backoff(u.arbitrary()?, u.arbitrary()?);
        assert!(delay >= BACKOFF_FIRST / 2 && delay <= BACKOFF_MAX);
        Ok(())
    });
    assert!(backoff(3, 0) > backoff(0, u64::MAX));
}
