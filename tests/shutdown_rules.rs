//! Which requests a daemon that shuts down accepts, and what the others are told.

use std::time::Duration;

use primrosehoist::coordination::shutdown::{
    SILENCE_MAX, ends_in_time, keeps_accepting, retry_after, stream_time,
};
use primrosehoist::state::engine::Engine;
use primrosehoist::state::occupancy::Work;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

const ENGINE: Engine = Engine {
    slots: 16,
    memory_tokens: 450_000,
    stride: 46.0,
    step_ms: 0.925,
    per_sequence_ms: 0.005,
    context_ms_per_k: 0.0025,
    prefill_tokens_per_s: 256_000.0,
    attention_ms_per_m_pairs: 0.0917,
};

#[test]
fn requests_are_accepted_while_they_come_and_no_other_host_takes_them() {
    assert!(keeps_accepting(0, ms(499)));
    assert!(!keeps_accepting(0, ms(500)));
    assert!(!keeps_accepting(1, ms(0)));
}

#[test]
fn request_ends_in_time_by_its_deadline_or_with_half_of_the_time_to_spare() {
    let in_time = |deadline, answer, left| ends_in_time(deadline, answer, Duration::ZERO, left);
    assert!(in_time(ms(1000), Duration::MAX, ms(1000)));
    assert!(in_time(ms(9000), ms(500), ms(1000)));
    assert!(!in_time(ms(1001), ms(501), ms(1000)));
    assert!(!in_time(ms(1), ms(1), ms(0)));
}

/// Guards against a stream that is cut at the end of a daemon, since its upstream paused.
#[test]
fn stream_ends_in_time_although_its_upstream_is_silent_meanwhile() {
    let in_time = |deadline, answer, left| ends_in_time(deadline, answer, SILENCE_MAX, left);
    let left = SILENCE_MAX + ms(1000);
    assert!(in_time(left, Duration::MAX, left));
    assert!(in_time(ms(9000), ms(500), left));
    assert!(!in_time(ms(9000), ms(501), left));
    assert!(!in_time(ms(9000), ms(1), SILENCE_MAX));
    assert!(!in_time(ms(9000), ms(1), ms(0)));
}

#[test]
fn stream_takes_as_long_as_on_the_slowest_upstream() {
    let idle = Work::default();
    let busy = Work {
        counts: [16, 0, 0],
        prefill_ms: 700.0,
        memory_tokens: 400_000,
        ..idle
    };
    let time = |works: &[Work]| stream_time(4960, 1610, &ENGINE, works.iter().copied());
    // 37 passes of 46 steps, after 20 ms of prefill.
    let alone = time(&[idle]);
    assert!((ms(1600)..ms(1650)).contains(&alone), "{alone:?}");
    let slowest = time(&[idle, busy, idle]);
    assert!((ms(4100)..ms(4300)).contains(&slowest), "{slowest:?}");
    let endless = stream_time(u64::MAX, u64::MAX, &ENGINE, [idle]);
    assert_eq!(endless, Duration::MAX);
}

#[test]
fn caller_is_told_to_come_at_once_only_if_another_host_takes_requests() {
    assert_eq!(retry_after(3, ms(5000)), ms(20));
    assert_eq!(retry_after(0, ms(700)), ms(700));
    assert_eq!(retry_after(0, ms(5000)), ms(2000));
}
