//! Tests of single placements.

use std::sync::Arc;

use primrosehoist::coordination::assign::{self, Choice, Need, Seat};
use primrosehoist::state::engine::Engine;
use primrosehoist::state::occupancy::{Pace, Work};
use primrosehoist::state::partition::{Detector, Partitions};
use primrosehoist::state::roster::{Phase, Upstream};
use tokio::time::Instant;

fn engine() -> Engine {
    Engine {
        slots: 16,
        memory_tokens: 450_000,
        stride: 46.0,
        step_ms: 0.925,
        per_sequence_ms: 0.00483,
        context_ms_per_k: 0.00254,
        prefill_tokens_per_s: 256_000.0,
        attention_ms_per_m_pairs: 0.0917,
    }
}

fn seat(id: usize, work: Work) -> Seat {
    Seat {
        upstream: Arc::new(Upstream {
            id: Arc::from(format!("u{id:02}")),
            service: Arc::from("model"),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: Arc::from("z"),
            slots: 16,
            phase: Phase::Ready,
            cold_ms: 0,
            started_ms: None,
        }),
        work,
        local: true,
        cold: false,
        distrust: 0.0,
        cut_off: false,
    }
}

fn strict(count: u32) -> Work {
    Work {
        counts: [count, 0, 0],
        weights: [count as f32 * 1.5, 0.0, 0.0],
        memory_tokens: count * 6000,
        ..Work::default()
    }
}

fn reading(prefill_ms: f32) -> Work {
    Work {
        counts: [0, 0, 1],
        weights: [0.0, 0.0, 20.0],
        prefill_ms,
        memory_tokens: 200_000,
        ..Work::default()
    }
}

fn need(prompt_tokens: u64) -> Need {
    let (pace, left_ms) = match prompt_tokens {
        0..=25_000 => (Pace::Strict, 300.0),
        25_001..=100_000 => (Pace::Moderate, 1500.0),
        _ => (Pace::Relaxed, 3000.0),
    };
    Need {
        prompt_tokens,
        answer_tokens: 1500,
        pace,
        weight: assign::weight(prompt_tokens),
        left_ms,
        abandoned_ms: 10_000.0,
        patience: 1.0,
        salt: 0,
    }
}

fn chosen(choice: &Choice) -> Vec<usize> {
    match choice {
        Choice::Send { first, helpers, .. } => {
            [*first].into_iter().chain(helpers.clone()).collect()
        }
        Choice::Wait | Choice::Nowhere => Vec::new(),
    }
}

#[test]
fn short_prompts_are_packed_onto_the_engines_in_use_for_them() {
    let works = [strict(0), strict(5), strict(0), reading(900.0)];
    let seats: Vec<Seat> = works
        .into_iter()
        .enumerate()
        .map(|(id, work)| seat(id, work))
        .collect();
    let choice = assign::generate(&seats, &need(5000), &engine(), &Partitions::default());
    assert_eq!(chosen(&choice), [1]);
}

#[test]
fn a_full_engine_makes_room_on_another_one() {
    let seats = vec![
        seat(0, strict(16)),
        seat(1, strict(0)),
        seat(2, reading(500.0)),
    ];
    let choice = assign::generate(&seats, &need(5000), &engine(), &Partitions::default());
    assert_eq!(chosen(&choice), [1]);
}

#[test]
fn long_prompts_are_read_by_several_engines_away_from_short_answers() {
    let mut seats = vec![seat(0, strict(10)), seat(1, strict(10))];
    seats.extend((2..8).map(|id| seat(id, Work::default())));
    let choice = assign::generate(&seats, &need(210_000), &engine(), &Partitions::default());
    let chosen = chosen(&choice);
    assert!(chosen.len() >= 3, "{choice:?}");
    assert!(chosen.iter().all(|index| *index >= 2), "{choice:?}");
}

#[test]
fn two_long_prompts_are_not_read_at_once() {
    let seats: Vec<Seat> = (0..4).map(|id| seat(id, reading(700.0))).collect();
    assert_eq!(
        assign::generate(&seats, &need(210_000), &engine(), &Partitions::default()),
        Choice::Wait
    );
}

#[test]
fn a_long_prompt_waits_rather_than_making_many_late() {
    let seats: Vec<Seat> = (0..4).map(|id| seat(id, strict(12))).collect();
    assert_eq!(
        assign::generate(&seats, &need(120_000), &engine(), &Partitions::default()),
        Choice::Wait
    );
}

#[test]
fn a_prompt_beyond_one_engine_gets_memory_at_others() {
    let seats: Vec<Seat> = (0..6).map(|id| seat(id, Work::default())).collect();
    for (tokens, holders) in [(400_000, 0), (500_000, 1), (1_000_000, 2)] {
        match assign::generate(&seats, &need(tokens), &engine(), &Partitions::default()) {
            Choice::Send {
                helpers, tickets, ..
            } => {
                assert_eq!(tickets.len(), holders, "{tokens}");
                assert!(helpers.len() >= holders);
                let share = (tokens + 1500).div_ceil(holders as u64 + 1);
                assert!(tickets.iter().all(|ticket| *ticket == share), "{tickets:?}");
            }
            other => panic!("{tokens} tokens: {other:?}"),
        }
    }
    let two = &seats[..2];
    assert_eq!(
        assign::generate(two, &need(1_000_000), &engine(), &Partitions::default()),
        Choice::Wait
    );
}

#[test]
fn memory_that_is_taken_is_not_planned_with() {
    let taken = Work {
        memory_tokens: 300_000,
        ..Work::default()
    };
    let seats = vec![seat(0, taken), seat(1, Work::default())];
    let choice = assign::generate(&seats, &need(210_000), &engine(), &Partitions::default());
    assert_eq!(chosen(&choice).first(), Some(&1));
}

#[test]
fn without_upstreams_nobody_waits_for_a_place() {
    assert_eq!(
        assign::generate(&[], &need(5000), &engine(), &Partitions::default()),
        Choice::Nowhere
    );
    assert_eq!(assign::plain(&[]), Choice::Nowhere);
}

#[test]
fn plain_services_use_the_least_occupied_upstream() {
    let seats = vec![seat(0, strict(3)), seat(1, strict(1)), seat(2, strict(2))];
    assert_eq!(chosen(&assign::plain(&seats)), [1]);
    let distrusted = Seat {
        distrust: 5.0,
        ..seat(1, strict(1))
    };
    let seats = vec![seat(0, strict(3)), distrusted, seat(2, strict(2))];
    assert_eq!(chosen(&assign::plain(&seats)), [2]);
    let full: Vec<Seat> = (0..3).map(|id| seat(id, strict(16))).collect();
    assert_eq!(assign::plain(&full), Choice::Wait);
}

#[test]
fn whatever_runs_a_choice_keeps_slots_memory_and_order() {
    arbtest::arbtest(|u| {
        let count = u.int_in_range(0..=20)?;
        let mut seats = Vec::new();
        for id in 0..count {
            let counts = [
                u.int_in_range(0..=17)?,
                u.int_in_range(0..=4)?,
                u.int_in_range(0..=2)?,
            ];
            let work = Work {
                counts,
                weights: counts.map(|count| count as f32 * 2.0),
                prefill_ms: u.int_in_range(0..=3000_u16)?.into(),
                memory_tokens: u.int_in_range(0..=450_000)?,
                recent_requests: 0,
            };
            seats.push(seat(id, work));
        }
        let need = need(u.int_in_range(1..=1_200_000)?);
        if let Choice::Send {
            first,
            helpers,
            tickets,
            ready_ms,
        } = assign::generate(&seats, &need, &engine(), &Partitions::default())
        {
            assert!(seats[first].work.running() < 16);
            assert!(helpers.len() <= 16 && tickets.len() <= helpers.len());
            let mut all = helpers.clone();
            all.push(first);
            all.sort_unstable();
            all.dedup();
            assert_eq!(all.len(), helpers.len() + 1, "an engine was chosen twice");
            let kept = need.prompt_tokens - tickets.iter().sum::<u64>().min(need.prompt_tokens);
            assert!(u64::from(seats[first].work.memory_tokens) + kept <= 450_000);
            for (ticket, helper) in tickets.iter().zip(&helpers) {
                assert!(u64::from(seats[*helper].work.memory_tokens) + ticket <= 450_000);
            }
            assert!(ready_ms.is_finite());
        }
        Ok(())
    })
    .budget_ms(1500);
}

#[test]
fn a_prompt_is_not_divided_across_a_cut_between_zones() {
    let now = Instant::now();
    let mut paths = Detector::default();
    let hop = (Arc::from("near"), Arc::from("far"));
    paths.record_failure(&hop, &Arc::from("u10"), now);
    paths.record_failure(&hop, &Arc::from("u11"), now);
    let mut seats: Vec<Seat> = (0..6).map(|id| seat(id, Work::default())).collect();
    for (index, seat) in seats.iter_mut().enumerate() {
        let mut upstream = Upstream::clone(&seat.upstream);
        let is_near = index < 3;
        upstream.zone = Arc::from(if is_near { "near" } else { "far" });
        seat.upstream = Arc::new(upstream);
        seat.local = is_near;
        seat.cut_off = !is_near;
    }
    let choice = assign::generate(&seats, &need(210_000), &engine(), &paths.partitions(now));
    let used = chosen(&choice);
    assert!(used.len() > 1, "{choice:?}");
    assert!(used.iter().all(|index| *index < 3), "{choice:?}");
    // With all slots of the near zone taken, the far one is tried.
    for seat in &mut seats[..3] {
        seat.work = strict(16);
    }
    let choice = assign::generate(&seats, &need(5000), &engine(), &paths.partitions(now));
    assert!(chosen(&choice)[0] >= 3, "{choice:?}");
}

#[test]
fn a_prompt_is_not_placed_where_its_client_leaves_before_the_first_event() {
    let engine = engine();
    let busy = [seat(0, reading(4400.0))];
    let mut short = need(5000);
    short.abandoned_ms = 2000.0;
    let choice = assign::generate(&busy, &short, &engine, &Partitions::default());
    assert_eq!(choice, Choice::Wait);
    short.abandoned_ms = 9000.0;
    let choice = assign::generate(&busy, &short, &engine, &Partitions::default());
    assert_eq!(chosen(&choice), [0]);
}

#[test]
fn the_longest_prompts_can_be_read_before_their_clients_leave() {
    // Their objective is 3 s, and clients bear four times that.
    let soonest = assign::soonest_ms(1_000_000, &engine());
    assert!(soonest < 12_000.0 / 2.0, "{soonest}");
    assert!(soonest > 1000.0, "{soonest}");
}
