//! Tests that an upstream in cold start is never overloaded, whoever holds it and whatever fails.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use common::caller::{Completion, complete, is_correct, is_prefix};
use common::{Fleet, Layout, fault};

/// Callers per daemon: several times the capacity of the cold engines.
const CALLERS_PER_DAEMON: usize = 5;

struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Tally>>,
}

/// The outcomes of the requests of a flood.
#[derive(Debug, Default)]
struct Tally {
    correct: usize,
    not_run: usize,
    incomplete: usize,
    unknown: usize,
    wrong: Vec<String>,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.correct += other.correct;
        self.not_run += other.not_run;
        self.incomplete += other.incomplete;
        self.unknown += other.unknown;
        self.wrong.extend(other.wrong);
    }
}

impl Flood {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for index in 0..fleet.daemons.len() {
            for caller in 0..CALLERS_PER_DAEMON {
                let stop = Arc::clone(&stop);
                let completion = fleet.completion(index, "", 10);
                threads.push(std::thread::spawn(move || {
                    flood(&completion, caller, &stop)
                }));
            }
        }
        Self { stop, threads }
    }

    fn stop(self) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        let mut tally = Tally::default();
        for thread in self.threads {
            tally.add(thread.join().expect("the caller ends"));
        }
        tally
    }
}

fn flood(completion: &Completion, caller: usize, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let prompt = format!(
            "{} caller {caller} round {round} {}",
            completion.address,
            "word ".repeat(200)
        );
        let completion = Completion {
            prompt,
            timeout_ms: Some(5000),
            ..completion.clone()
        };
        let answer = complete(&completion);
        match answer.outcome().as_str() {
            "complete" if is_correct(&completion, &answer) => tally.correct += 1,
            "not_run" if answer.tokens.is_empty() => tally.not_run += 1,
            "incomplete" if is_prefix(&completion, &answer) => tally.incomplete += 1,
            // Killing a daemon closes the connections of its callers.
            "unknown" | "lost" if is_prefix(&completion, &answer) => tally.unknown += 1,
            _ => tally.wrong.push(format!("{answer:?}")),
        }
        std::thread::sleep(Duration::from_millis(if answer.done { 1 } else { 50 }));
    }
    tally
}

fn layout(fencing: bool) -> Layout {
    Layout {
        fencing,
        engine_arguments: vec![
            "--prefill-rate",
            "100000",
            "--decode-ms",
            "5",
            "--warm-after",
            "40",
            "--crash-downtime-ms",
            "500",
        ],
        ..Layout::default()
    }
}

fn assert_no_overload(fleet: &Fleet, tally: &Tally) {
    println!("{tally:?}");
    assert!(tally.wrong.is_empty(), "{:#?}", tally.wrong);
    assert!(tally.correct > 0, "no request was served");
    assert_eq!(
        fleet.engine_sum("overloads"),
        0,
        "an upstream received more than its capacity"
    );
}

#[test]
fn a_mass_start_overloads_no_upstream() {
    let fleet = Fleet::start(layout(true));
    let flood = Flood::start(&fleet);
    std::thread::sleep(Duration::from_secs(6));
    assert_no_overload(&fleet, &flood.stop());
}

#[test]
fn engine_crashes_overload_no_upstream() {
    let fleet = Fleet::start(layout(true));
    let flood = Flood::start(&fleet);
    for round in 0..6 {
        std::thread::sleep(Duration::from_millis(1200));
        let engine = &fleet.engines[round % fleet.engines.len()];
        fault(&engine.address, &json!({"crash": true}));
    }
    assert_no_overload(&fleet, &flood.stop());
}

fn assert_faults_overload_nothing(fencing: bool, seed: u64) {
    let mut fleet = Fleet::start(layout(fencing));
    let flood = Flood::start(&fleet);
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end {
        let index = rng.random_range(0..fleet.daemons.len());
        let pause = Duration::from_millis(rng.random_range(300..6000));
        match rng.random_range(0..4) {
            0 => {
                fleet.daemons[index]
                    .process
                    .take()
                    .expect("the daemon runs")
                    .kill();
                std::thread::sleep(pause / 3);
                fleet.start_daemon(index);
            }
            1 => {
                let process = fleet.daemons[index]
                    .process
                    .as_ref()
                    .expect("the daemon runs");
                process.pause();
                std::thread::sleep(pause);
                process.resume();
            }
            2 => {
                fault(&fleet.platform, &json!({"down": true}));
                std::thread::sleep(pause);
                fault(&fleet.platform, &json!({"down": false}));
            }
            _ => {
                let engine = rng.random_range(0..fleet.engines.len());
                fault(&fleet.engines[engine].address, &json!({"crash": true}));
                std::thread::sleep(pause / 4);
            }
        }
    }
    println!("seed={seed} fencing={fencing}");
    assert_no_overload(&fleet, &flood.stop());
}

#[test]
fn faults_overload_no_upstream_that_checks_fencing() {
    assert_faults_overload_nothing(true, 11);
}

#[test]
fn faults_overload_no_upstream_that_ignores_fencing() {
    assert_faults_overload_nothing(false, 12);
}

/// A holder that is paused with queued requests must not send them after another took over.
#[test]
fn a_paused_holder_sends_nothing_after_its_lease() {
    let fleet = Fleet::start(Layout {
        zones: vec!["zone-a"],
        daemons_per_zone: 3,
        ..layout(false)
    });
    let engine = &fleet.engines[0];
    let holds = |index: usize| {
        let status = fleet.status(index);
        let holdings = status["holdings"].as_array().cloned().unwrap_or_default();
        holdings
            .iter()
            .any(|held| held["upstream"] == engine.name.as_str())
    };
    let holder = (0..3)
        .find(|index| holds(*index))
        .expect("the engine is held");
    let others: Vec<usize> = (0..3).filter(|index| *index != holder).collect();
    // More requests than the engine admits, so that most of them wait in the holder's queue.
    let waiting: Vec<_> = (0..12)
        .map(|caller| {
            let prompt = format!("caller {caller} of a paused daemon");
            let completion = Completion {
                timeout_ms: Some(60_000),
                ..fleet.completion(holder, &prompt, 100)
            };
            std::thread::spawn(move || complete(&completion))
        })
        .collect();
    common::wait(
        Duration::from_secs(10),
        "the engine received a request",
        || common::counts(&engine.address)["received"].as_u64() > Some(0),
    );
    let process = fleet.daemons[holder].process.as_ref();
    let process = process.expect("the daemon runs");
    process.pause();
    common::wait(Duration::from_secs(30), "another daemon takes over", || {
        others.iter().any(|index| holds(*index))
    });
    let served = fleet.completion(others[0], "a question to the new holder", 10);
    assert!(is_correct(&served, &complete(&served)));
    process.resume();
    for caller in waiting {
        caller.join().expect("the caller ends");
    }
    let counts = common::counts(&engine.address);
    assert_eq!(counts["stale_taken"], 0, "work sent under an expired lease");
    assert_eq!(fleet.engine_sum("overloads"), 0);
}
