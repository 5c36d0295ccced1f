//! Tests of the order and fairness of the queue of one upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use primrosehoist::state::name;
use primrosehoist::state::queue::{Item, PENALTY_MAX, Queue, Ticket};
use primrosehoist_property::check;
use tokio::time::Instant;

fn item(ticket: Ticket, workspace: &str, weight: u32, prompt_tokens: u64, now: Instant) -> Item {
    Item {
        ticket,
        workspace: name::Workspace::try_from(workspace).unwrap(),
        weight,
        half: name::Half::try_from("h").unwrap(),
        prompt_tokens,
        answer_tokens: 100,
        deadline: now + Duration::from_secs(60),
        suspect: false,
    }
}

fn pop(queue: &mut Queue) -> Option<Item> {
    queue.pop(|_| true)
}

#[test]
fn workspaces_share_by_weight() {
    check(2_500, |u| {
        let now = Instant::now();
        let mut queue = Queue::default();
        let (heavy, light) = (u.int_in_range(1..=8)?, u.int_in_range(1..=8)?);
        for ticket in 0..400 {
            queue.push(
                item(ticket, "a", heavy, u.int_in_range(1..=2_000)?, now),
                now,
            );
            queue.push(
                item(1_000 + ticket, "b", light, u.int_in_range(1..=2_000)?, now),
                now,
            );
        }
        let mut served = BTreeMap::from([("a", 0_u64), ("b", 0)]);
        for _ in 0..u.int_in_range(1..=400)? {
            let item = pop(&mut queue).unwrap();
            let key = if item.ticket < 1_000 { "a" } else { "b" };
            *served.get_mut(key).unwrap() += item.memory_tokens() + 64;
        }
        // Shares are exact up to one item of each workspace.
        let a = served["a"] as f64 / f64::from(heavy);
        let b = served["b"] as f64 / f64::from(light);
        let item_max = 2_164.0;
        let bound = item_max / f64::from(heavy) + item_max / f64::from(light);
        assert!((a - b).abs() <= bound, "{a} {b}");
        Ok(())
    });
}

#[test]
fn a_flood_of_one_workspace_does_not_delay_another() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for ticket in 0..1_000 {
        queue.push(item(ticket, "flood", 1, 1_000, now), now);
    }
    pop(&mut queue);
    queue.push(item(5_000, "small", 1, 1_000, now), now);
    let next = [pop(&mut queue), pop(&mut queue)];
    assert!(next.iter().flatten().any(|item| item.ticket == 5_000));
}

#[test]
fn a_workspace_accumulates_no_credit_while_idle() {
    let now = Instant::now();
    let mut queue = Queue::default();
    for ticket in 0..200 {
        queue.push(item(ticket, "a", 1, 1_000, now), now);
    }
    for _ in 0..100 {
        pop(&mut queue);
    }
    for ticket in 1_000..1_100 {
        queue.push(item(ticket, "b", 1, 1_000, now), now);
    }
    let from_b = (0..20).filter(|_| pop(&mut queue).unwrap().ticket >= 1_000);
    assert!(from_b.count() <= 11);
}

#[test]
fn short_prompts_overtake_long_ones_for_a_bounded_time() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(item(1, "a", 1, 1_000_000, now), now);
    queue.push(item(2, "a", 1, 1_000, now), now + PENALTY_MAX / 2);
    queue.push(item(3, "a", 1, 1_000, now), now + PENALTY_MAX);
    let order: Vec<Ticket> = std::iter::from_fn(|| pop(&mut queue))
        .map(|i| i.ticket)
        .collect();
    assert_eq!(order, [2, 1, 3]);
}

#[test]
fn items_that_do_not_fit_are_skipped_and_kept() {
    let now = Instant::now();
    let mut queue = Queue::default();
    queue.push(item(1, "a", 1, 5_000, now), now);
    queue.push(item(2, "b", 1, 50_000, now), now);
    let short = |queue: &mut Queue| queue.pop(|w| w.item.prompt_tokens < 10_000);
    assert_eq!(short(&mut queue).map(|i| i.ticket), Some(1));
    assert_eq!(short(&mut queue), None);
    assert_eq!((queue.len(), queue.tokens()), (1, 50_100));
}

#[test]
fn every_item_is_removed_exactly_once() {
    check(3_500, |u| {
        let mut now = Instant::now();
        let mut queue = Queue::default();
        let mut queued: BTreeMap<Ticket, u64> = BTreeMap::new();
        for ticket in 0..200 {
            now += Duration::from_millis(u.int_in_range(0..=500)?);
            let workspace = ["a", "b", "c"][u.choose_index(3)?];
            let mut new = item(ticket, workspace, 1, u.int_in_range(0..=1_000_000)?, now);
            new.deadline = now + Duration::from_millis(u.int_in_range(0..=20_000)?);
            queued.insert(ticket, new.memory_tokens());
            queue.push(new, now);
            let removed = match u.int_in_range(0..=3)? {
                0 => queue.expire(now),
                1 => queue
                    .remove(u.int_in_range(0..=ticket)?)
                    .into_iter()
                    .collect(),
                _ => pop(&mut queue).into_iter().collect(),
            };
            for item in removed {
                assert!(queued.remove(&item.ticket).is_some());
            }
            assert_eq!(queue.len(), queued.len());
            assert_eq!(queue.tokens(), queued.values().sum::<u64>());
            assert!(
                queue
                    .iter()
                    .all(|w| w.item.deadline > now || w.enqueued <= now)
            );
        }
        queue.expire(now + Duration::from_secs(20));
        assert!(queue.is_empty());
        Ok(())
    });
}
