//! Tests of single placement decisions.

use std::sync::Arc;

use primrosehoist::coordination::assign::{self, Candidate, Choice, Demand};
use primrosehoist::state::engine::Engine;
use primrosehoist::state::occupancy::{LatencyClass, Work};
use primrosehoist::state::partition::{Detector, Partitions};
use primrosehoist::state::roster::{Phase, Upstream};
use primrosehoist_property::check;
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

fn candidate(id: usize, work: Work) -> Candidate {
    Candidate {
        upstream: Arc::new(Upstream {
            id: Arc::from(format!("u{id:02}")),
            service: Arc::from("model"),
            address: "10.0.0.1:80".parse().expect("a valid address"),
            zone: Arc::from("z"),
            slots: 16,
            phase: Phase::Ready,
            cold_ms: 0,
            started_ms: None,
        }),
        work,
        local: true,
        cold: false,
        failure_cost: 0.0,
        permit_wait_ms: None,
        unreachable: false,
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

fn prefilling(prefill_ms: f32) -> Work {
    Work {
        counts: [0, 0, 1],
        weights: [0.0, 0.0, 20.0],
        prefill_ms,
        memory_tokens: 200_000,
        ..Work::default()
    }
}

fn demand(prompt_tokens: u64) -> Demand {
    let (latency_class, objective_in_ms) = match prompt_tokens {
        0..=25_000 => (LatencyClass::Strict, 300.0),
        25_001..=100_000 => (LatencyClass::Moderate, 1500.0),
        _ => (LatencyClass::Relaxed, 3000.0),
    };
    Demand {
        prompt_tokens,
        answer_tokens: 1500,
        latency_class,
        weight: assign::weight(prompt_tokens),
        objective_ms: objective_in_ms,
        objective_in_ms,
        abandoned_in_ms: 10_000.0,
        wait_left: 1.0,
        is_begun: false,
        over_share: 0.0,
        refusal_factor: 1.0,
        salt: 0,
    }
}

fn chosen(choice: &Choice) -> Vec<usize> {
    match choice {
        Choice::Send {
            primary, helpers, ..
        } => [*primary].into_iter().chain(helpers.clone()).collect(),
        Choice::Wait | Choice::Crowded | Choice::Unavailable => Vec::new(),
    }
}

#[test]
fn short_prompts_are_packed_onto_protected_engines() {
    let works = [strict(0), strict(5), strict(0), prefilling(900.0)];
    let candidates: Vec<Candidate> = works
        .into_iter()
        .enumerate()
        .map(|(id, work)| candidate(id, work))
        .collect();
    let choice = assign::place(
        &candidates,
        &demand(5000),
        &engine(),
        &Partitions::default(),
    );
    assert_eq!(chosen(&choice), [1]);
}

#[test]
fn full_protected_engine_overflows_to_an_idle_one() {
    let candidates = vec![
        candidate(0, strict(16)),
        candidate(1, strict(0)),
        candidate(2, prefilling(500.0)),
    ];
    let choice = assign::place(
        &candidates,
        &demand(5000),
        &engine(),
        &Partitions::default(),
    );
    assert_eq!(chosen(&choice), [1]);
}

/// Guards against responses that are broken off beside free slots.
#[test]
fn a_request_that_was_sent_before_pays_no_price_for_a_slot() {
    let candidates: Vec<Candidate> = (0..10).map(|id| candidate(id, strict(15))).collect();
    let late = Demand {
        objective_in_ms: 0.0,
        ..demand(1000)
    };
    let (engine, none) = (engine(), Partitions::default());
    let choice = assign::place(&candidates, &late, &engine, &none);
    assert_eq!(choice, Choice::Crowded);
    let begun = Demand {
        is_begun: true,
        over_share: 1.0,
        ..late
    };
    let choice = assign::place(&candidates, &begun, &engine, &none);
    assert!(matches!(choice, Choice::Send { .. }), "{choice:?}");
}

/// Guards against refusals beside free slots, where upstreams have more than the configuration says.
#[test]
fn the_slots_that_upstreams_register_count() {
    let candidates: Vec<Candidate> = (0..10)
        .map(|id| {
            let mut candidate = candidate(id, strict(16));
            Arc::make_mut(&mut candidate.upstream).slots = 32;
            candidate
        })
        .collect();
    let (demand, none) = (demand(5000), Partitions::default());
    let refused = assign::overload(&candidates, &demand, &engine(), &none, 0.5);
    assert!(refused.is_none(), "{refused:?}");
    let mut absurd = candidates;
    for candidate in &mut absurd {
        Arc::make_mut(&mut candidate.upstream).slots = u64::MAX;
    }
    let refused = assign::overload(&absurd, &demand, &engine(), &none, 0.5);
    assert!(refused.is_none(), "{refused:?}");
}

#[test]
fn long_prompts_are_split_across_unprotected_engines() {
    let mut candidates = vec![candidate(0, strict(10)), candidate(1, strict(10))];
    candidates.extend((2..8).map(|id| candidate(id, Work::default())));
    let choice = assign::place(
        &candidates,
        &demand(210_000),
        &engine(),
        &Partitions::default(),
    );
    let chosen = chosen(&choice);
    assert!(chosen.len() >= 3, "{choice:?}");
    assert!(chosen.iter().all(|index| *index >= 2), "{choice:?}");
}

#[test]
fn long_prompts_are_not_prefilled_concurrently() {
    let candidates: Vec<Candidate> = (0..4).map(|id| candidate(id, prefilling(700.0))).collect();
    assert_eq!(
        assign::place(
            &candidates,
            &demand(210_000),
            &engine(),
            &Partitions::default()
        ),
        Choice::Wait
    );
}

#[test]
fn long_prompt_waits_if_it_would_delay_many_requests() {
    let candidates: Vec<Candidate> = (0..4).map(|id| candidate(id, strict(12))).collect();
    assert_eq!(
        assign::place(
            &candidates,
            &demand(120_000),
            &engine(),
            &Partitions::default()
        ),
        Choice::Wait
    );
}

#[test]
fn prompt_larger_than_one_engine_reserves_memory_at_helpers() {
    let candidates: Vec<Candidate> = (0..6).map(|id| candidate(id, Work::default())).collect();
    for (tokens, reserving) in [(400_000, 0), (500_000, 1), (1_000_000, 2)] {
        match assign::place(
            &candidates,
            &demand(tokens),
            &engine(),
            &Partitions::default(),
        ) {
            Choice::Send {
                helpers, tickets, ..
            } => {
                assert_eq!(tickets.len(), reserving, "{tokens}");
                assert!(helpers.len() >= reserving);
                let share = (tokens + 1500).div_ceil(reserving as u64 + 1);
                assert!(tickets.iter().all(|ticket| *ticket == share), "{tickets:?}");
            }
            other => panic!("{tokens} tokens: {other:?}"),
        }
    }
    let first_two = &candidates[..2];
    assert_eq!(
        assign::place(
            first_two,
            &demand(1_000_000),
            &engine(),
            &Partitions::default()
        ),
        Choice::Wait
    );
}

#[test]
fn occupied_memory_is_not_available() {
    let occupied = Work {
        memory_tokens: 300_000,
        ..Work::default()
    };
    let candidates = vec![candidate(0, occupied), candidate(1, Work::default())];
    let choice = assign::place(
        &candidates,
        &demand(210_000),
        &engine(),
        &Partitions::default(),
    );
    assert_eq!(chosen(&choice).first(), Some(&1));
}

#[test]
fn no_upstreams_means_unavailable() {
    assert_eq!(
        assign::place(&[], &demand(5000), &engine(), &Partitions::default()),
        Choice::Unavailable
    );
    assert_eq!(assign::least_loaded(&[]), Choice::Unavailable);
}

#[test]
fn services_without_engine_use_the_least_loaded_upstream() {
    let candidates = vec![
        candidate(0, strict(3)),
        candidate(1, strict(1)),
        candidate(2, strict(2)),
    ];
    assert_eq!(chosen(&assign::least_loaded(&candidates)), [1]);
    let failing = Candidate {
        failure_cost: 5.0,
        ..candidate(1, strict(1))
    };
    let candidates = vec![candidate(0, strict(3)), failing, candidate(2, strict(2))];
    assert_eq!(chosen(&assign::least_loaded(&candidates)), [2]);
    let full: Vec<Candidate> = (0..3).map(|id| candidate(id, strict(16))).collect();
    assert_eq!(assign::least_loaded(&full), Choice::Wait);
}

#[test]
fn short_prompts_leave_upstreams_that_name_a_limit_to_long_ones() {
    let limited = |id, wait_ms| Candidate {
        permit_wait_ms: Some(wait_ms),
        ..candidate(id, Work::default())
    };
    let place = |candidates: &[Candidate], prompt_tokens| {
        assign::place(
            candidates,
            &demand(prompt_tokens),
            &engine(),
            &Partitions::default(),
        )
    };
    let candidates = [limited(0, 0.0), candidate(1, strict(6)), limited(2, 0.0)];
    assert_eq!(chosen(&place(&candidates, 5000)), [1]);
    let long = chosen(&place(&candidates, 210_000));
    assert!(!long.contains(&1), "{long:?}");
    let waiting = [limited(0, 250.0), limited(1, 50.0)];
    assert_eq!(chosen(&place(&waiting, 5000)), [1], "the earliest permit");
    let calls = [limited(0, 0.0), candidate(1, strict(6))];
    assert_eq!(chosen(&assign::least_loaded(&calls)), [1]);
}

#[test]
fn random_placements_respect_slots_and_memory() {
    check(22_000, |u| {
        let count = u.int_in_range(0..=20)?;
        let mut candidates = Vec::new();
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
            candidates.push(candidate(id, work));
        }
        let demand = demand(u.int_in_range(1..=1_200_000)?);
        if let Choice::Send {
            primary,
            helpers,
            tickets,
            ready_ms,
        } = assign::place(&candidates, &demand, &engine(), &Partitions::default())
        {
            assert!(candidates[primary].work.running() < 16);
            assert!(helpers.len() <= 16 && tickets.len() <= helpers.len());
            let mut all = helpers.clone();
            all.push(primary);
            all.sort_unstable();
            all.dedup();
            assert_eq!(
                all.len(),
                helpers.len() + 1,
                "an engine was chosen more than once"
            );
            let kept = demand.prompt_tokens - tickets.iter().sum::<u64>().min(demand.prompt_tokens);
            assert!(u64::from(candidates[primary].work.memory_tokens) + kept <= 450_000);
            for (ticket, helper) in tickets.iter().zip(&helpers) {
                assert!(u64::from(candidates[*helper].work.memory_tokens) + ticket <= 450_000);
            }
            assert!(ready_ms.is_finite());
        }
        Ok(())
    });
}

#[test]
fn prompt_is_not_split_across_partitioned_zones() {
    let now = Instant::now();
    let mut detector = Detector::default();
    let hop = (Arc::from("near"), Arc::from("far"));
    detector.record_failure(&hop, &Arc::from("u10"), now);
    detector.record_failure(&hop, &Arc::from("u11"), now);
    let mut candidates: Vec<Candidate> = (0..6).map(|id| candidate(id, Work::default())).collect();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        let mut upstream = Upstream::clone(&candidate.upstream);
        let is_near = index < 3;
        upstream.zone = Arc::from(if is_near { "near" } else { "far" });
        candidate.upstream = Arc::new(upstream);
        candidate.local = is_near;
        candidate.unreachable = !is_near;
    }
    let choice = assign::place(
        &candidates,
        &demand(210_000),
        &engine(),
        &detector.partitions(now),
    );
    let used = chosen(&choice);
    assert!(used.len() > 1, "{choice:?}");
    assert!(used.iter().all(|index| *index < 3), "{choice:?}");
    // The far zone is tried once the near one has no free slots.
    for candidate in &mut candidates[..3] {
        candidate.work = strict(16);
    }
    let choice = assign::place(
        &candidates,
        &demand(5000),
        &engine(),
        &detector.partitions(now),
    );
    assert!(chosen(&choice)[0] >= 3, "{choice:?}");
}

#[test]
fn prompt_waits_if_its_client_would_give_up_before_the_first_event() {
    let engine = engine();
    let backlogged = [candidate(0, prefilling(4400.0))];
    let mut short = demand(5000);
    short.abandoned_in_ms = 2000.0;
    let choice = assign::place(&backlogged, &short, &engine, &Partitions::default());
    assert_eq!(choice, Choice::Wait);
    short.abandoned_in_ms = 9000.0;
    let choice = assign::place(&backlogged, &short, &engine, &Partitions::default());
    assert_eq!(chosen(&choice), [0]);
}

#[test]
fn longest_prompts_can_be_prefilled_before_clients_give_up() {
    // Their objective is 3 s, and clients give up after four times that.
    let min_ms = assign::min_prefill_ms(1_000_000, &engine());
    assert!(min_ms < 12_000.0 / 2.0, "{min_ms}");
    assert!(min_ms > 1000.0, "{min_ms}");
}

/// Returns how many of 1000 requests are refused on arrival while `busy` of `count` engines prefill long
/// prompts for two seconds.
fn refused(demand: &Demand, count: usize, busy: usize) -> usize {
    refused_with(demand, count, busy, 2000.0)
}

fn refused_with(demand: &Demand, count: usize, busy: usize, prefill_ms: f32) -> usize {
    let works = (0..count).map(|id| {
        if id < busy {
            prefilling(prefill_ms)
        } else {
            strict(0)
        }
    });
    let candidates: Vec<Candidate> = works
        .enumerate()
        .map(|(id, work)| candidate(id, work))
        .collect();
    let draws = (0..1000).map(|number| f64::from(number) / 1000.0);
    let refused = draws.filter(|draw| {
        assign::overload(
            &candidates,
            demand,
            &engine(),
            &Partitions::default(),
            *draw,
        )
        .is_some()
    });
    refused.count()
}

/// Guards against serving smaller prompts at the cost of the largest while engines are scarce.
#[test]
fn prompts_of_all_sizes_are_refused_alike_when_engines_are_scarce() {
    let counts = [150_000, 300_000, 1_000_000].map(|tokens| refused(&demand(tokens), 100, 91));
    assert!(counts[0] > 500, "{counts:?}");
    assert_eq!(counts, [counts[0]; 3]);
}

#[test]
fn no_prompt_is_refused_on_arrival_while_engines_are_free() {
    assert_eq!(refused(&demand(600_000), 100, 70), 0);
    let some = refused(&demand(600_000), 100, 80);
    assert!(some > 0 && some < refused(&demand(600_000), 100, 95));
}

/// Guards against refusals while a few prompts, split across all engines, are done in a moment.
#[test]
fn no_prompt_is_refused_on_arrival_while_engines_are_busy_for_a_moment() {
    assert_eq!(refused_with(&demand(600_000), 100, 100, 400.0), 0);
}

#[test]
fn prompts_that_tolerate_only_short_pauses_are_not_refused_on_arrival() {
    for tokens in [5000, 45_000, 90_000] {
        assert_eq!(refused(&demand(tokens), 100, 100), 0);
    }
}

#[test]
fn prompts_wait_in_a_small_fleet() {
    assert_eq!(refused(&demand(300_000), 16, 16), 0);
}

#[test]
fn load_that_another_daemon_reports_does_not_overflow_a_choice() {
    let counts = [0, 1, u32::MAX];
    let amounts = [0.0, 1.0, f32::MAX];
    check(2000, |random| {
        let mut work = || -> primrosehoist_property::arbitrary::Result<Work> {
            Ok(Work {
                counts: [
                    *random.choose(&counts)?,
                    *random.choose(&counts)?,
                    *random.choose(&counts)?,
                ],
                weights: [*random.choose(&amounts)?; 3],
                prefill_ms: *random.choose(&amounts)?,
                memory_tokens: *random.choose(&counts)?,
                recent_requests: 0,
            })
        };
        let candidates = [
            candidate(0, work()?),
            candidate(1, work()?),
            candidate(2, work()?),
        ];
        let demand = demand(*random.choose(&[0, 5000, 210_000, u64::MAX])?);
        let (engine, partitions) = (engine(), Partitions::default());
        assign::place(&candidates, &demand, &engine, &partitions);
        assign::shortage(&candidates, &demand, &engine, &partitions);
        let _overload = assign::overload(&candidates, &demand, &engine, &partitions, 0.5);
        assign::least_loaded(&candidates);
        Ok(())
    });
}
