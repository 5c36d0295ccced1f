//! What a scheduler admits to its upstream, and what it never does.

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use primrosehoist::coordination::admission::{
    Finish, Foreign, LONG_PATIENCE, LONG_PREFILLS_MAX, QUEUE_PER_SLOT, Reason, SUSPECT_PATIENCE,
    Scheduler, Verdict, priority,
};
use primrosehoist::state::fleet::{Presence, Upstream};
use primrosehoist::state::limit::Failure;
use primrosehoist::state::name;
use primrosehoist::state::queue::{Item, Ticket};
use tokio::time::Instant;

const MEMORY: u64 = 400_000;
const LONG: u64 = 50_000;

fn half(raw: &str) -> name::Half {
    name::Half::try_from(raw).unwrap()
}

fn upstream(cold: u32) -> Upstream {
    Upstream {
        name: name::Upstream::try_from("u1").unwrap(),
        service: name::Service::try_from("s").unwrap(),
        half: half("h"),
        zone: name::Zone::try_from("z").unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        cold_requests: cold,
        warm_requests: 16,
        memory_tokens: MEMORY,
        fencing: true,
        state: Presence::Live,
    }
}

fn scheduler(cold: u32) -> Scheduler {
    Scheduler::new(&upstream(cold), 1, 0)
}

fn item(ticket: Ticket, prompt_tokens: u64, now: Instant) -> Item {
    Item {
        ticket,
        workspace: name::Workspace::try_from("w").unwrap(),
        weight: 1,
        half: half("h"),
        prompt_tokens,
        answer_tokens: 0,
        deadline: now + Duration::from_secs(600),
        suspect: false,
    }
}

fn suspect(ticket: Ticket, now: Instant) -> Item {
    Item {
        suspect: true,
        ..item(ticket, 1_000, now)
    }
}

fn refused(verdict: Verdict) -> Option<Reason> {
    match verdict {
        Verdict::Refused(reason, _) => Some(reason),
        Verdict::Send | Verdict::Queued => None,
    }
}

/// The requests of a random run, by where they are.
#[derive(Default)]
struct Run {
    offered: Vec<Item>,
    waiting: BTreeSet<Ticket>,
    flying: BTreeSet<Ticket>,
}

impl Run {
    fn flying(&self) -> impl Iterator<Item = &Item> {
        self.flying.iter().map(|t| &self.offered[*t as usize])
    }

    fn pick(u: &mut Unstructured<'_>, set: &BTreeSet<Ticket>) -> Option<Ticket> {
        let index = u.choose_index(set.len().max(1)).ok()?;
        set.iter().nth(index).copied()
    }

    fn offer(
        &mut self,
        u: &mut Unstructured<'_>,
        scheduler: &mut Scheduler,
        now: Instant,
    ) -> arbtest::arbitrary::Result<()> {
        let ticket = self.offered.len() as Ticket;
        let mut item = item(ticket, u.int_in_range(0..=MEMORY + 1_000)?, now);
        if u.arbitrary()? {
            item.prompt_tokens %= 4_000;
        }
        item.suspect = u.ratio(1, 10)?;
        item.half = half(if u.ratio(1, 4)? { "g" } else { "h" });
        item.deadline = now + Duration::from_millis(u.int_in_range(0..=30_000)?);
        self.offered.push(item.clone());
        match scheduler.offer(item, now) {
            Verdict::Send => self.depart(ticket),
            Verdict::Queued => assert!(self.waiting.insert(ticket)),
            Verdict::Refused(..) => {}
        }
        Ok(())
    }

    /// Takes a request as sent, and checks that it does not mix with what is in flight.
    fn depart(&mut self, ticket: Ticket) {
        let item = &self.offered[ticket as usize];
        let alone = item.suspect || self.flying().any(|other| other.suspect);
        assert!(!alone || self.flying.is_empty(), "a suspect runs alone");
        assert!(self.flying().all(|other| other.half == item.half));
        assert!(self.flying.insert(ticket));
    }

    fn step(
        &mut self,
        u: &mut Unstructured<'_>,
        scheduler: &mut Scheduler,
        now: Instant,
    ) -> arbtest::arbitrary::Result<()> {
        let flying = Self::pick(u, &self.flying);
        let mut left = Vec::new();
        match (u.int_in_range(0..=11)?, flying) {
            (0..=4, _) => self.offer(u, scheduler, now)?,
            (5..=6, Some(ticket)) => scheduler.first_token(ticket, now),
            (7..=9, Some(ticket)) => {
                let ends = [
                    Finish::Completed,
                    Finish::Completed,
                    Finish::Cancelled,
                    Finish::NotSent,
                    Finish::Failed(Failure::Broken),
                ];
                scheduler.finished(ticket, *u.choose(&ends)?, now);
                self.flying.remove(&ticket);
            }
            (10, _) => left = scheduler.switch(half(if u.arbitrary()? { "g" } else { "h" })),
            (11, _) if u.arbitrary()? => left = scheduler.drain(),
            _ => {}
        }
        left.extend(scheduler.expire(now));
        left.extend(scheduler.displaced(now));
        for ticket in left {
            assert!(self.waiting.remove(&ticket));
        }
        Ok(())
    }
}

#[test]
fn no_rule_is_broken_in_any_run() {
    arbtest(|u| {
        let mut now = Instant::now();
        let reserve = u.int_in_range(0..=2)?;
        let mut scheduler = Scheduler::new(&upstream(3), 1, reserve);
        let mut run = Run::default();
        for _ in 0..200 {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let before = run.flying.len();
            run.step(u, &mut scheduler, now)?;
            for ticket in scheduler.next(now) {
                assert!(run.waiting.remove(&ticket));
                run.depart(ticket);
            }
            check(&run, &mut scheduler, before, reserve, now);
        }
        Ok(())
    })
    .budget_ms(3_000);
}

fn check(run: &Run, scheduler: &mut Scheduler, before: usize, reserve: u32, now: Instant) {
    let advert = scheduler.advert(now);
    let limit = scheduler.limit_mut().current(now);
    let memory: u64 = run.flying().map(Item::memory_tokens).sum();
    assert_eq!(scheduler.in_flight(), run.flying.len());
    assert_eq!(scheduler.queued(), run.waiting.len());
    assert_eq!(advert.limit, limit.saturating_sub(reserve));
    assert!(run.flying.len() <= before.max(advert.limit as usize));
    assert!(memory <= MEMORY);
    assert_eq!(advert.memory_free, MEMORY - memory);
}

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
        memory_tokens: MEMORY - 1_000,
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

#[test]
fn an_overdue_first_token_cools_and_displaces() {
    let now = Instant::now();
    let mut scheduler = scheduler(2);
    let warm = now + Duration::from_millis(50);
    for ticket in 0..64 {
        scheduler.offer(item(ticket, 1_000, now), now);
        scheduler.first_token(ticket, warm);
        scheduler.finished(ticket, Finish::Completed, warm);
    }
    assert_eq!(scheduler.advert(warm).limit, 16);
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
