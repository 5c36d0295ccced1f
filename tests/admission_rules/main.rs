//! What a scheduler admits to its upstream, and what it never does.

mod fixture;
mod runs;

use std::time::Duration;

use primrosehoist::coordination::admission::{
    Finish, Foreign, LONG_PATIENCE, LONG_PREFILLS_MAX, QUEUE_PER_SLOT, Reason, SUSPECT_PATIENCE,
    Scheduler, Verdict, priority,
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
fn slots_stay_free_for_the_predecessor_until_settled() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(&upstream(1), 2, 1);
    assert_eq!(scheduler.offer(item(1, 100, now), now), Verdict::Queued);
    assert!(scheduler.next(now).is_empty());
    scheduler.settle();
    assert_eq!(scheduler.next(now), [1]);
}

#[test]
fn what_a_predecessor_left_running_takes_slots_and_memory() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    scheduler.set_foreign(Foreign {
        requests: 2,
        memory_tokens: 0,
    });
    assert_eq!(scheduler.offer(item(1, 1_001, now), now), Verdict::Queued);
    assert_eq!(scheduler.offer(suspect(2, now), now), Verdict::Queued);
    assert!(scheduler.next(now).is_empty());
    scheduler.set_foreign(Foreign {
        requests: 1,
        memory_tokens: MEMORY - 1_000,
    });
    assert!(scheduler.next(now).is_empty());
    assert_eq!(scheduler.advert(now).memory_free, 1_000);
    scheduler.set_foreign(Foreign::default());
    // The suspect is the shorter one.
    assert_eq!(scheduler.next(now), [2]);
    scheduler.finished(2, Finish::Completed, now);
    assert_eq!(scheduler.next(now), [1]);
}

#[test]
fn long_prompts_leave_room_for_short_ones() {
    let now = Instant::now();
    let mut scheduler = scheduler(16);
    let sent = (0..8).filter(|t| scheduler.offer(item(*t, LONG, now), now) == Verdict::Send);
    assert_eq!(sent.count(), LONG_PREFILLS_MAX);
    for ticket in 0..8 {
        scheduler.first_token(ticket, now);
        scheduler.next(now);
    }
    let used = MEMORY - scheduler.advert(now).memory_free;
    assert!(used <= MEMORY - MEMORY / 8, "{used}");
    scheduler.offer(item(9, 1_000, now), now);
    assert_eq!(scheduler.next(now), [9]);
}

#[test]
fn only_prompts_that_go_first_hold_back_a_long_one() {
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
    assert_eq!(scheduler.next(now), [9]);
}

#[test]
fn short_prompts_do_not_keep_memory_from_a_long_one_for_ever() {
    let now = Instant::now();
    let mut scheduler = scheduler(64);
    for ticket in 0..30 {
        scheduler.offer(item(ticket, 10_000, now), now);
    }
    assert_eq!(
        scheduler.offer(item(99, 300_000, now), now),
        Verdict::Queued
    );
    let late = now + LONG_PATIENCE;
    scheduler.limit_mut().completed(late);
    for ticket in 0..30 {
        scheduler.finished(ticket, Finish::Cancelled, late);
        scheduler.offer(item(100 + ticket, 10_000, late), late);
        if scheduler.next(late).contains(&99) {
            return;
        }
    }
    panic!("the long prompt never ran");
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
    assert_eq!(scheduler.next(now), [4]);
    let late = now + SUSPECT_PATIENCE;
    scheduler.offer(item(5, 100, late), late);
    assert!(scheduler.next(late).is_empty());
    scheduler.finished(1, Finish::Completed, late);
    scheduler.finished(4, Finish::Completed, late);
    assert_eq!(scheduler.next(late), [2]);
    scheduler.finished(2, Finish::Completed, late);
    assert_eq!(scheduler.next(late), [5]);
}

#[test]
fn what_cannot_start_in_time_is_refused_early() {
    let now = Instant::now();
    let mut scheduler = scheduler(8);
    scheduler.offer(item(1, 10_000, now), now);
    let shown = now + Duration::from_secs(1);
    scheduler.first_token(1, shown);
    let mut late = item(2, 100_000, shown);
    late.deadline = shown + Duration::from_secs(5);
    assert_eq!(
        refused(scheduler.offer(late.clone(), shown)),
        Some(Reason::Late)
    );
    late.deadline = shown + Duration::from_secs(11);
    assert_eq!(scheduler.offer(late.clone(), shown), Verdict::Send);
    scheduler.drain();
    late.prompt_tokens = MEMORY + 1;
    assert_eq!(refused(scheduler.offer(late, shown)), Some(Reason::TooLong));
}

#[test]
fn an_idle_upstream_is_always_tried() {
    let now = Instant::now();
    let mut scheduler = scheduler(8);
    scheduler.offer(item(1, 1_000, now), now);
    let shown = now + Duration::from_secs(100);
    scheduler.first_token(1, shown);
    scheduler.finished(1, Finish::Completed, shown);
    let mut next = item(2, 1_000, shown);
    next.deadline = shown + Duration::from_secs(1);
    assert_eq!(scheduler.offer(next, shown), Verdict::Send);
}

/// Shows the upstream warm, by short prompts sent at `now` and answered at `warm`.
fn warm_up(scheduler: &mut Scheduler, now: Instant, warm: Instant) {
    for ticket in 0..64 {
        scheduler.offer(item(ticket, 1_000, now), now);
        scheduler.first_token(ticket, warm);
        scheduler.finished(ticket, Finish::Completed, warm);
    }
    assert_eq!(scheduler.advert(warm).limit, 16);
}

#[test]
fn an_overdue_first_token_cools_and_displaces() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    let warm = now + Duration::from_millis(50);
    warm_up(&mut scheduler, now, warm);
    for ticket in 100..150 {
        scheduler.offer(item(ticket, 1_000, warm), warm);
    }
    assert_eq!((scheduler.in_flight(), scheduler.queued()), (16, 34));
    let overdue = warm + Duration::from_secs(4);
    assert!(scheduler.next(overdue).is_empty());
    assert_eq!(scheduler.advert(overdue).limit, 2);
    assert_eq!(scheduler.displaced(overdue).len(), 34 - 2 * QUEUE_PER_SLOT);
}

#[test]
fn long_answers_displace_no_one() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    warm_up(&mut scheduler, now, now + Duration::from_millis(50));
    for ticket in 100..150 {
        scheduler.offer(item(ticket, 1_000, now), now);
        scheduler.first_token(ticket, now);
    }
    let later = now + Duration::from_secs(20);
    assert!(scheduler.next(later).is_empty() && scheduler.displaced(later).is_empty());
    assert_eq!((scheduler.in_flight(), scheduler.queued()), (16, 34));
}

#[test]
fn halves_do_not_use_an_upstream_together() {
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
    assert_eq!(scheduler.switch(half("g")), [5]);
    assert_eq!(scheduler.offer(other(7), now), Verdict::Queued);
    for ticket in 1..=4 {
        assert!(scheduler.next(now).is_empty());
        scheduler.finished(ticket, Finish::Completed, now);
    }
    assert_eq!(scheduler.next(now), [7]);
}

#[test]
fn longer_prompts_are_never_more_urgent() {
    let lengths = [0, 4_096, 4_097, 20_000, 100_000, 300_000, 1_000_000];
    assert!(lengths.is_sorted_by_key(|tokens| priority(*tokens)));
}
