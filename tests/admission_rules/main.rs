//! Tests of the admission rules of a scheduler.

mod fixture;
mod invariants;

use std::time::Duration;

use primrosehoist::coordination::admission::{
    Finish, Foreign, LONG_PREFILLS_MAX, LONG_STARVATION_TIMEOUT, QUEUE_PER_SLOT, Reason,
    SUSPECT_STARVATION_TIMEOUT, Scheduler, Verdict, priority,
};
use primrosehoist::state::queue::Item;
use tokio::time::Instant;

use crate::fixture::{LONG, MEMORY, half, item, refused, scheduler, suspect, upstream};

#[test]
fn a_cold_upstream_gets_its_cold_limit_and_a_bounded_queue() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    let verdicts: Vec<Verdict> = (0..30)
        .map(|t| scheduler.offer(item(t, 100, now), now))
        .collect();
    let count = |v: Verdict| verdicts.iter().filter(|x| **x == v).count();
    assert_eq!(count(Verdict::Send), 2);
    assert_eq!(count(Verdict::Queued), 2 * QUEUE_PER_SLOT);
    assert_eq!(refused(verdicts[29]), Some(Reason::Full));
}

#[test]
fn slots_are_reserved_for_the_predecessor_until_released() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&upstream(1), 2, 1);
    assert_eq!(scheduler.offer(item(1, 100, now), now), Verdict::Queued);
    assert!(scheduler.admit(now).is_empty());
    scheduler.release_reserve();
    assert_eq!(scheduler.admit(now), [1]);
}

#[test]
fn work_left_by_a_predecessor_takes_slots_and_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    scheduler.set_foreign(Foreign {
        requests: 2,
        memory_tokens: 0,
    });
    assert_eq!(scheduler.offer(item(1, 1_001, now), now), Verdict::Queued);
    assert_eq!(scheduler.offer(suspect(2, now), now), Verdict::Queued);
    assert!(scheduler.admit(now).is_empty());
    scheduler.set_foreign(Foreign {
        requests: 1,
        memory_tokens: MEMORY - 1_000,
    });
    assert!(scheduler.admit(now).is_empty());
    assert_eq!(scheduler.advert(now).memory_free, 1_000);
    scheduler.set_foreign(Foreign::default());
    // The shorter request goes first, which is the suspect.
    assert_eq!(scheduler.admit(now), [2]);
    scheduler.finished(2, Finish::Completed, now);
    assert_eq!(scheduler.admit(now), [1]);
}

#[test]
fn work_of_an_impossible_size_does_not_overflow_the_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    assert_eq!(scheduler.offer(item(1, 1_000, now), now), Verdict::Send);
    scheduler.set_foreign(Foreign {
        requests: 1,
        memory_tokens: u64::MAX,
    });
    assert_eq!(scheduler.offer(item(2, 1_000, now), now), Verdict::Queued);
    assert_eq!(scheduler.advert(now).memory_free, 0);
}

#[test]
fn a_resumed_stream_is_counted_without_admission() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    let foreign = |requests| Foreign {
        requests,
        memory_tokens: 0,
    };
    scheduler.set_foreign(foreign(2));
    scheduler.adopt(item(1, 1_000, now), now);
    assert_eq!(scheduler.in_flight(), 1);
    scheduler.set_foreign(foreign(1));
    assert_eq!(scheduler.offer(item(2, 1_000, now), now), Verdict::Queued);
    scheduler.finished(1, Finish::Completed, now);
    assert_eq!(scheduler.admit(now), [2]);
}

#[test]
fn memory_only_requests_affect_neither_rate_nor_prefill_limit() {
    let now = Instant::now();
    let mut scheduler = scheduler(16);
    for ticket in 0..LONG_PREFILLS_MAX as u64 {
        assert_eq!(scheduler.offer(item(ticket, LONG, now), now), Verdict::Send);
        scheduler.mark_memory_only(ticket);
        scheduler.first_token(ticket, now + Duration::from_secs(60));
    }
    let later = now + Duration::from_secs(120);
    let advert = scheduler.advert(later);
    assert_eq!(advert.prefill_rate, 0);
    let occupied = LONG_PREFILLS_MAX as u64 * LONG;
    assert_eq!(advert.memory_free, MEMORY - occupied);
    assert_eq!(scheduler.offer(item(9, LONG, later), later), Verdict::Send);
}

#[test]
fn long_prompts_leave_memory_for_short_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(16);
    let sent = (0..8).filter(|t| scheduler.offer(item(*t, LONG, now), now) == Verdict::Send);
    assert_eq!(sent.count(), LONG_PREFILLS_MAX);
    for ticket in 0..8 {
        scheduler.first_token(ticket, now);
        scheduler.admit(now);
    }
    let used = MEMORY - scheduler.advert(now).memory_free;
    assert!(used <= MEMORY - MEMORY / 8, "{used}");
    scheduler.offer(item(9, 1_000, now), now);
    assert_eq!(scheduler.admit(now), [9]);
}

#[test]
fn only_equally_or_more_urgent_prefills_delay_a_long_prompt() {
    const HUGE: u64 = 150_000;
    let cases = [
        (HUGE, 20_000, Verdict::Send),
        (20_000, HUGE, Verdict::Queued),
        (20_000, 20_000, Verdict::Queued),
        (HUGE, HUGE, Verdict::Queued),
    ];
    let now = Instant::now();
    for (running, offered, verdict) in cases {
        let mut scheduler = scheduler(16);
        for ticket in 0..LONG_PREFILLS_MAX as u64 {
            let sent = scheduler.offer(item(ticket, running, now), now);
            assert_eq!(sent, Verdict::Send, "{running}");
        }
        let last = scheduler.offer(item(9, offered, now), now);
        assert_eq!(last, verdict, "{offered} after {running}");
    }
}

#[test]
fn long_prompts_leave_slots_for_short_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(4);
    for ticket in 0..4 {
        scheduler.offer(item(ticket, 20_000, now), now);
        scheduler.first_token(ticket, now);
    }
    assert_eq!((scheduler.in_flight(), scheduler.queued()), (3, 1));
    scheduler.offer(item(9, 1_000, now), now);
    assert_eq!(scheduler.admit(now), [9]);
}

#[test]
fn short_prompts_do_not_starve_a_long_one_of_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(64);
    for ticket in 0..30 {
        scheduler.offer(item(ticket, 10_000, now), now);
    }
    assert_eq!(
        scheduler.offer(item(99, 300_000, now), now),
        Verdict::Queued
    );
    let late = now + LONG_STARVATION_TIMEOUT;
    scheduler.limit_mut().completed(late);
    for ticket in 0..30 {
        scheduler.finished(ticket, Finish::Cancelled, late);
        scheduler.offer(item(100 + ticket, 10_000, late), late);
        if scheduler.admit(late).contains(&99) {
            return;
        }
    }
    panic!("the long prompt was never sent");
}

#[test]
fn a_suspect_waits_until_idle_and_is_not_starved() {
    let now = Instant::now();
    let mut scheduler = scheduler(4);
    scheduler.offer(item(1, 100, now), now);
    assert_eq!(scheduler.offer(suspect(2, now), now), Verdict::Queued);
    assert_eq!(
        refused(scheduler.offer(suspect(3, now), now)),
        Some(Reason::Busy)
    );
    scheduler.offer(item(4, 100, now), now);
    assert_eq!(scheduler.admit(now), [4]);
    let late = now + SUSPECT_STARVATION_TIMEOUT;
    scheduler.offer(item(5, 100, late), late);
    assert!(scheduler.admit(late).is_empty());
    scheduler.finished(1, Finish::Completed, late);
    scheduler.finished(4, Finish::Completed, late);
    assert_eq!(scheduler.admit(late), [2]);
    scheduler.finished(2, Finish::Completed, late);
    assert_eq!(scheduler.admit(late), [5]);
}

#[test]
fn requests_that_cannot_start_in_time_are_refused_early() {
    let now = Instant::now();
    let mut scheduler = scheduler(8);
    scheduler.offer(item(1, 10_000, now), now);
    let measured_at = now + Duration::from_secs(1);
    scheduler.first_token(1, measured_at);
    let mut late = item(2, 100_000, measured_at);
    late.deadline = measured_at + Duration::from_secs(5);
    assert_eq!(
        refused(scheduler.offer(late.clone(), measured_at)),
        Some(Reason::Late)
    );
    late.deadline = measured_at + Duration::from_secs(11);
    assert_eq!(scheduler.offer(late.clone(), measured_at), Verdict::Send);
    scheduler.drain();
    late.prompt_tokens = MEMORY + 1;
    assert_eq!(
        refused(scheduler.offer(late, measured_at)),
        Some(Reason::TooLong)
    );
}

#[test]
fn an_idle_upstream_is_always_tried() {
    let now = Instant::now();
    let mut scheduler = scheduler(8);
    scheduler.offer(item(1, 1_000, now), now);
    let measured_at = now + Duration::from_secs(100);
    scheduler.first_token(1, measured_at);
    scheduler.finished(1, Finish::Completed, measured_at);
    let mut next = item(2, 1_000, measured_at);
    next.deadline = measured_at + Duration::from_secs(1);
    assert_eq!(scheduler.offer(next, measured_at), Verdict::Send);
}

/// Raises the limit to its warm value with short prompts sent at `now` and answered at `warm`.
fn warm_up(scheduler: &mut Scheduler, now: Instant, warm: Instant) {
    for ticket in 0..64 {
        scheduler.offer(item(ticket, 1_000, now), now);
        scheduler.first_token(ticket, warm);
        scheduler.finished(ticket, Finish::Completed, warm);
    }
    assert_eq!(scheduler.advert(warm).limit, 16);
}

#[test]
fn an_overdue_first_token_lowers_the_limit_and_displaces_requests() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    let warm = now + Duration::from_millis(50);
    warm_up(&mut scheduler, now, warm);
    for ticket in 100..150 {
        scheduler.offer(item(ticket, 1_000, warm), warm);
    }
    assert_eq!((scheduler.in_flight(), scheduler.queued()), (16, 34));
    let overdue = warm + Duration::from_secs(4);
    assert!(scheduler.admit(overdue).is_empty());
    assert_eq!(scheduler.advert(overdue).limit, 2);
    assert_eq!(scheduler.displace(overdue).len(), 34 - 2 * QUEUE_PER_SLOT);
}

#[test]
fn long_responses_displace_no_requests() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    warm_up(&mut scheduler, now, now + Duration::from_millis(50));
    for ticket in 100..150 {
        scheduler.offer(item(ticket, 1_000, now), now);
        scheduler.first_token(ticket, now);
    }
    let later = now + Duration::from_secs(20);
    assert!(scheduler.admit(later).is_empty() && scheduler.displace(later).is_empty());
    assert_eq!((scheduler.in_flight(), scheduler.queued()), (16, 34));
}

#[test]
fn two_halves_never_share_an_upstream() {
    let now = Instant::now();
    let mut scheduler = scheduler(4);
    let other = |ticket| Item {
        half: half("g"),
        ..item(ticket, 100, now)
    };
    for ticket in 1..=5 {
        scheduler.offer(item(ticket, 100, now), now);
    }
    assert_eq!(
        refused(scheduler.offer(other(6), now)),
        Some(Reason::OtherHalf)
    );
    assert_eq!(scheduler.switch_half(half("g")), [5]);
    assert_eq!(scheduler.offer(other(7), now), Verdict::Queued);
    for ticket in 1..=4 {
        assert!(scheduler.admit(now).is_empty());
        scheduler.finished(ticket, Finish::Completed, now);
    }
    assert_eq!(scheduler.admit(now), [7]);
}

#[test]
fn longer_prompts_never_have_a_more_urgent_priority() {
    let lengths = [0, 4_096, 4_097, 20_000, 100_000, 300_000, 1_000_000];
    assert!(lengths.is_sorted_by_key(|tokens| priority(*tokens)));
}
