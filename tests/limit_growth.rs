//! Tests that the limit never exceeds the capacity of a modelled upstream and falls at the first
//! sign of a cold start.

use std::time::Duration;

use primrosehoist::state::limit::{
    COMPLETIONS_TO_WARM, EVIDENCE_TTL, Failure, IDLE_MAX, Limit, REPORT_TTL,
};
use primrosehoist_property::arbitrary::{self, Unstructured};
use primrosehoist_property::check;
use tokio::time::Instant;

const COLD: u32 = 2;
const WARM: u32 = 16;
const PROMPT: u64 = 2_000;
const WARM_TIME: Duration = Duration::from_millis(100);
const COLD_TIME: Duration = Duration::from_secs(2);
/// The prefill rate above which a slow first token reveals a cold start, in tokens per second. It
/// is a quarter of the warm upstream's rate.
const REVEALING_RATE: f64 = 5_000.0;

/// An upstream whose capacity grows with each completion since it became cold.
struct Model {
    completions: u32,
    in_flight: u32,
    /// Whether the upstream became cold without any sign of it so far.
    silently_cold: bool,
}

impl Model {
    fn capacity(&self) -> u32 {
        let done = self.completions.min(COMPLETIONS_TO_WARM);
        COLD + (WARM - COLD) * done / COMPLETIONS_TO_WARM
    }
}

fn warm_limit(now: Instant) -> Limit {
    let mut limit = Limit::new(COLD, WARM);
    for _ in 0..COMPLETIONS_TO_WARM {
        limit.first_token(now, PROMPT, PROMPT, WARM_TIME);
        limit.completed(now);
    }
    limit
}

#[test]
fn limit_never_exceeds_the_capacity() {
    check(22_000, |u| {
        let mut now = Instant::now();
        let mut limit = Limit::new(COLD, WARM);
        let mut model = Model {
            completions: 0,
            in_flight: 0,
            silently_cold: false,
        };
        for _ in 0..300 {
            now += Duration::from_millis(u.int_in_range(0..=500)?);
            step(u, &mut limit, &mut model, now)?;
            assert!(model.silently_cold || limit.current(now) <= model.capacity());
        }
        Ok(())
    });
}

fn step(
    u: &mut Unstructured<'_>,
    limit: &mut Limit,
    model: &mut Model,
    now: Instant,
) -> arbitrary::Result<()> {
    match u.int_in_range(0..=19)? {
        0 => {
            model.completions = 0;
            model.silently_cold = true;
        }
        1 => limit.reported(now, u.int_in_range(0..=99)?, u.int_in_range(0..=1)?),
        2 if model.in_flight > 0 => {
            model.in_flight -= 1;
            model.completions = 0;
            model.silently_cold = false;
            limit.failed(now, Failure::Broken);
        }
        3..=10 if model.in_flight < limit.current(now) => {
            model.in_flight += 1;
            limit.sent(now);
            if model.silently_cold {
                // The first request after the upstream became cold reveals it: by a slow first
                // token if the warm rate was measured before, otherwise by a refusal.
                if limit.prefill_rate() > Some(REVEALING_RATE) {
                    limit.first_token(now, PROMPT, PROMPT, COLD_TIME);
                } else {
                    limit.failed(now, Failure::Refused);
                }
                model.silently_cold = false;
            } else {
                limit.first_token(now, PROMPT, PROMPT, WARM_TIME);
            }
        }
        _ if model.in_flight > 0 => {
            model.in_flight -= 1;
            model.completions += 1;
            limit.completed(now);
        }
        _ => {}
    }
    Ok(())
}

#[test]
fn time_alone_never_raises_the_limit() {
    check(7_000, |u| {
        let now = Instant::now();
        let mut limit = Limit::new(COLD, WARM);
        for _ in 0..u.int_in_range(0..=100)? {
            limit.completed(now);
        }
        let later = now + Duration::from_millis(u.int_in_range(0..=120_000)?);
        assert!(limit.current(later) <= limit.current(now));
        Ok(())
    });
}

#[test]
fn completions_raise_the_limit_to_warm() {
    let now = Instant::now();
    let limit = warm_limit(now);
    assert_eq!(limit.current(now), WARM);
    assert_eq!(Limit::new(COLD, WARM).current(now), COLD);
    assert_eq!(Limit::new(4, 1).current(now), 4);
}

#[test]
fn each_failure_resets_to_cold() {
    let now = Instant::now();
    for kind in [
        Failure::Refused,
        Failure::Connect,
        Failure::Broken,
        Failure::Timeout,
    ] {
        let mut limit = warm_limit(now);
        limit.failed(now, kind);
        limit.completed(now);
        assert_eq!(limit.current(now), COLD, "{kind}");
    }
}

#[test]
fn a_slow_first_token_resets_to_cold_unless_other_work_explains_it() {
    let now = Instant::now();
    let cases = [
        (PROMPT, Duration::from_millis(300), WARM),
        (PROMPT, COLD_TIME, COLD),
        (PROMPT * 20, COLD_TIME, WARM),
    ];
    for (work, elapsed, expected) in cases {
        let mut limit = warm_limit(now);
        limit.first_token(now, PROMPT, work, elapsed);
        assert_eq!(limit.current(now), expected, "{work} in {elapsed:?}");
    }
}

#[test]
fn a_cold_upstream_can_warm_up_again() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    for _ in 0..COMPLETIONS_TO_WARM {
        limit.first_token(now, PROMPT, PROMPT, COLD_TIME);
        limit.completed(now);
    }
    assert!(limit.current(now) >= WARM - 1, "{}", limit.current(now));
}

#[test]
fn missing_evidence_lowers_the_limit() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    let quiet = now + EVIDENCE_TTL + Duration::from_millis(1);
    assert_eq!(limit.current(quiet), COLD);
    limit.first_token(quiet, PROMPT, PROMPT, WARM_TIME);
    assert_eq!(limit.current(quiet), WARM);
    let idle = quiet + IDLE_MAX + Duration::from_millis(1);
    limit.sent(idle);
    limit.first_token(idle, PROMPT, PROMPT, WARM_TIME);
    assert_eq!(limit.current(idle), COLD);
}

#[test]
fn load_reports_only_lower_the_limit() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    limit.reported(now, 5, 3);
    assert_eq!(limit.current(now), 5);
    let later = now + REPORT_TTL + Duration::from_millis(1);
    limit.completed(later);
    assert_eq!(limit.current(later), WARM);
    limit.reported(later, 1_000, 1);
    assert_eq!(limit.current(later), WARM);
}
