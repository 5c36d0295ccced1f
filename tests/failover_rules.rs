//! Tests of the decision after a failed attempt.

use primrosehoist::coordination::failover::{Decision, Failover, Failure};
use primrosehoist_property::check;

const ALL: [Failure; 4] = [
    Failure::Unsent,
    Failure::Rejected,
    Failure::Reported,
    Failure::Lost,
];

#[test]
fn decision_after_the_first_failure() {
    let cases = [
        // A request that must not run twice is retried only if it certainly did not run.
        (false, 1, Failure::Unsent, true, Decision::Retry),
        (false, 1, Failure::Rejected, true, Decision::Retry),
        (false, 3, Failure::Reported, true, Decision::PassOn),
        (false, 3, Failure::Lost, true, Decision::Uncertain),
        (true, 2, Failure::Reported, true, Decision::Retry),
        (true, 2, Failure::Lost, true, Decision::Retry),
        (true, 1, Failure::Lost, true, Decision::Uncertain),
        // Without budget the failure is reported, unless no upstream was reached.
        (true, 2, Failure::Unsent, false, Decision::Retry),
        (false, 1, Failure::Unsent, false, Decision::Retry),
        (true, 2, Failure::Rejected, false, Decision::NotRun),
        (true, 2, Failure::Reported, false, Decision::PassOn),
        (true, 2, Failure::Lost, false, Decision::Uncertain),
    ];
    for (repeatable, runs_max, failure, budget, expected) in cases {
        let mut failover = Failover::new(repeatable, runs_max);
        let decision = failover.on_failure(failure, || budget);
        assert_eq!(
            decision, expected,
            "{repeatable} {runs_max} {failure} {budget}"
        );
    }
}

#[test]
fn unreachable_upstreams_are_skipped_up_to_a_limit() {
    let mut failover = Failover::new(false, 1);
    for attempt in 1..10 {
        let decision = failover.on_failure(Failure::Unsent, || false);
        assert_eq!(decision, Decision::Retry, "attempt {attempt}");
    }
    let decision = failover.on_failure(Failure::Unsent, || false);
    assert_eq!(
        decision,
        Decision::NotRun,
        "unsent attempts are not limited"
    );
}

#[test]
fn rejection_after_a_run_is_reported_as_uncertain() {
    let mut failover = Failover::new(true, 3);
    assert_eq!(failover.on_failure(Failure::Lost, || true), Decision::Retry);
    assert_eq!(
        failover.on_failure(Failure::Rejected, || false),
        Decision::Uncertain
    );
}

#[test]
fn decisions_hold_for_random_failures() {
    check(2_000, |u| {
        let repeatable = u.arbitrary()?;
        let runs_max = u.int_in_range(1..=4)?;
        let mut failover = Failover::new(repeatable, runs_max);
        let mut runs = 0;
        for attempt in 1..=50 {
            let failure = *u.choose(&ALL)?;
            let budget = u.ratio(9, 10)?;
            runs += u64::from(matches!(failure, Failure::Reported | Failure::Lost));
            let decision = failover.on_failure(failure, || budget);
            if decision == Decision::NotRun {
                assert_eq!(
                    runs, 0,
                    "a request that may have run was reported as not run"
                );
            }
            if decision != Decision::Retry {
                return Ok(());
            }
            assert!(runs < runs_max, "more runs than allowed");
            assert!(repeatable || runs == 0, "a request may run twice");
            assert!(attempt < 20, "attempts are not limited");
        }
        Ok(())
    });
}

#[test]
fn only_attempts_that_may_have_run_use_up_runs() {
    let mut failover = Failover::new(true, 3);
    for (failure, left) in [
        (Failure::Unsent, 3),
        (Failure::Rejected, 3),
        (Failure::Lost, 2),
        (Failure::Reported, 1),
        (Failure::Lost, 0),
        (Failure::Lost, 0),
    ] {
        let _decision = failover.on_failure(failure, || true);
        assert_eq!(failover.runs_left(), left, "{failure}");
    }
    assert_eq!(Failover::new(false, 3).runs_left(), 1);
}
