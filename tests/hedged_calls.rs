//! Tests hedged calls.

use std::time::Duration;

use primrosehoist::transport::hedge::first_success;
use tokio::time::{Instant, sleep};

const DELAY: Duration = Duration::from_millis(200);

/// Calls candidates that answer after `latencies` in milliseconds, or fail if the second value is
/// false. Returns the index of the one whose result was used, how many were called, and the time taken.
async fn call(latencies: &[(u64, bool)]) -> (Option<usize>, usize, Duration) {
    let started = Instant::now();
    let mut called = 0;
    let next = || {
        let (latency, succeeds) = *latencies.get(called)?;
        let index = called;
        called += 1;
        Some(async move {
            sleep(Duration::from_millis(latency)).await;
            succeeds.then_some(index)
        })
    };
    let result = first_success(next, DELAY).await;
    (result, called, started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn one_call_suffices_if_it_is_answered_soon() {
    let (result, called, elapsed) = call(&[(150, true), (0, true)]).await;
    assert_eq!((result, called), (Some(0), 1));
    assert!(elapsed < DELAY, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn each_silent_candidate_costs_one_delay() {
    const SILENT: (u64, bool) = (3_600_000, true);
    let (result, called, elapsed) = call(&[SILENT, SILENT, SILENT, (10, true), SILENT]).await;
    assert_eq!((result, called), (Some(3), 4));
    assert!(elapsed < 4 * DELAY, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_failure_is_followed_by_the_next_call_at_once() {
    let (result, called, elapsed) = call(&[(10, false), (10, false), (10, true)]).await;
    assert_eq!((result, called), (Some(2), 3));
    assert!(elapsed < DELAY, "{elapsed:?}");
}

#[tokio::test(start_paused = true)]
async fn a_slow_call_is_still_awaited_after_others_were_started() {
    let (result, called, _) = call(&[(450, true), (3_600_000, true), (10, false)]).await;
    assert_eq!((result, called), (Some(0), 3));
}

#[tokio::test(start_paused = true)]
async fn there_is_no_result_if_all_calls_fail() {
    let (result, called, _) = call(&[(10, false), (500, false)]).await;
    assert_eq!((result, called), (None, 2));
    assert_eq!(call(&[]).await.0, None);
}
