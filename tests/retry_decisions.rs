//! The delay between attempts and the retry budget.

use std::time::Duration;

use arbtest::arbtest;
use primrosehoist::coordination::retry::{
    Budget, DELAY_BASE, DELAY_MAX, FLOOR_RETRIES, RESUME_DELAY_MAX, SAVED_RETRIES_MAX, delay,
    resume_delay,
};

#[test]
fn delays_stay_below_an_exponential_limit() {
    arbtest(|u| {
        let failed: u32 = u.arbitrary()?;
        let dice = u.arbitrary()?;
        let limit = DELAY_BASE
            .saturating_mul(1 << failed.min(16))
            .min(DELAY_MAX);
        assert!(delay(failed, dice) <= limit);
        assert!(resume_delay(dice) <= RESUME_DELAY_MAX);
        Ok(())
    });
    assert_eq!(delay(5, 0), Duration::ZERO);
}

#[test]
fn a_budget_never_gives_more_than_was_earned() {
    arbtest(|u| {
        let budget = Budget::default();
        let mut earned = FLOOR_RETRIES * 100;
        let mut taken = 0;
        for _ in 0..u.int_in_range(0..=400)? {
            if u.arbitrary()? {
                let percent = u.int_in_range(0..=100)?;
                budget.earn(percent);
                earned += u64::from(percent);
            } else if budget.take() {
                taken += 100;
            }
            assert!(taken <= earned);
            assert!(budget.saved() <= SAVED_RETRIES_MAX);
        }
        Ok(())
    });
}

#[test]
fn a_service_that_fails_multiplies_its_load_by_its_percentage_only() {
    let budget = Budget::default();
    let first = 10_000;
    let mut retries = 0;
    for _ in 0..first {
        budget.earn(20);
        while budget.take() {
            retries += 1;
        }
    }
    assert_eq!(retries, FLOOR_RETRIES + first / 5);
}
