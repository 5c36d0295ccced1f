//! Checks the invariants of admission in random runs.

use std::collections::BTreeSet;
use std::time::Duration;

use primrosehoist::coordination::admission::{Finish, Scheduler, Verdict};
use primrosehoist::state::limit::Failure;
use primrosehoist::state::queue::{Item, Ticket};
use primrosehoist_property::arbitrary::{self, Unstructured};
use tokio::time::Instant;

use crate::fixture::{MEMORY, half, item, upstream};
use primrosehoist_property::check;

/// The requests of a random run by state.
#[derive(Default)]
struct Run {
    offered: Vec<Item>,
    waiting: BTreeSet<Ticket>,
    in_flight: BTreeSet<Ticket>,
}

impl Run {
    fn in_flight(&self) -> impl Iterator<Item = &Item> {
        self.in_flight.iter().map(|t| &self.offered[*t as usize])
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
    ) -> arbitrary::Result<()> {
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
            Verdict::Send => self.send(ticket),
            Verdict::Queued => assert!(self.waiting.insert(ticket)),
            Verdict::Refused(..) => {}
        }
        Ok(())
    }

    /// Marks a request as sent, and checks that it may run together with those in flight.
    fn send(&mut self, ticket: Ticket) {
        let item = &self.offered[ticket as usize];
        let alone = item.suspect || self.in_flight().any(|other| other.suspect);
        assert!(!alone || self.in_flight.is_empty(), "a suspect runs alone");
        assert!(self.in_flight().all(|other| other.half == item.half));
        assert!(self.in_flight.insert(ticket));
    }

    fn step(
        &mut self,
        u: &mut Unstructured<'_>,
        scheduler: &mut Scheduler,
        now: Instant,
    ) -> arbitrary::Result<()> {
        let picked = Self::pick(u, &self.in_flight);
        let mut removed = Vec::new();
        match (u.int_in_range(0..=11)?, picked) {
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
                self.in_flight.remove(&ticket);
            }
            (10, _) => {
                removed = scheduler.switch_half(half(if u.arbitrary()? { "g" } else { "h" }));
            }
            (11, _) if u.arbitrary()? => removed = scheduler.drain(),
            _ => {}
        }
        removed.extend(scheduler.expire(now));
        removed.extend(scheduler.displace(now));
        for ticket in removed {
            assert!(self.waiting.remove(&ticket));
        }
        Ok(())
    }
}

#[test]
fn random_runs_keep_all_invariants() {
    check(16_000, |u| {
        let mut now = Instant::now();
        let reserve = u.int_in_range(0..=2)?;
        let mut scheduler = Scheduler::new(&upstream(3), 1, reserve);
        let mut run = Run::default();
        for _ in 0..200 {
            now += Duration::from_millis(u.int_in_range(0..=400)?);
            let before = run.in_flight.len();
            run.step(u, &mut scheduler, now)?;
            for ticket in scheduler.admit(now) {
                assert!(run.waiting.remove(&ticket));
                run.send(ticket);
            }
            check_invariants(&run, &mut scheduler, before, reserve, now);
        }
        Ok(())
    });
}

fn check_invariants(
    run: &Run,
    scheduler: &mut Scheduler,
    before: usize,
    reserve: u32,
    now: Instant,
) {
    let advert = scheduler.advert(now);
    let limit = scheduler.limit_mut().current(now);
    let memory: u64 = run.in_flight().map(Item::memory_tokens).sum();
    assert_eq!(scheduler.in_flight(), run.in_flight.len());
    assert_eq!(scheduler.queued(), run.waiting.len());
    assert_eq!(advert.limit, limit.saturating_sub(reserve));
    assert!(run.in_flight.len() <= before.max(advert.limit as usize));
    assert!(memory <= MEMORY);
    assert_eq!(advert.memory_free, MEMORY - memory);
}
