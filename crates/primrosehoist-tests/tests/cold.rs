//! An upstream in cold start never gets more than it bears, whoever holds it and whoever fails.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use common::caller::{Ask, complete, prefix, whole};
use common::{Fleet, Layout, fault};

/// Callers per daemon: several times what the cold engines bear.
const CALLERS_PER_DAEMON: usize = 5;

struct Flood {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Tally>>,
}

/// What the callers of a flood were told.
#[derive(Debug, Default)]
struct Tally {
    whole: usize,
    not_run: usize,
    incomplete: usize,
    unknown: usize,
    wrong: Vec<String>,
}

impl Tally {
    fn add(&mut self, other: Self) {
        self.whole += other.whole;
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
                let ask = fleet.ask(index, "", 10);
                threads.push(std::thread::spawn(move || flood(&ask, caller, &stop)));
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

fn flood(ask: &Ask, caller: usize, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let prompt = format!(
            "{} caller {caller} round {round} {}",
            ask.address,
            "word ".repeat(200)
        );
        let ask = Ask {
            prompt,
            timeout_ms: Some(5000),
            ..ask.clone()
        };
        let answer = complete(&ask);
        match answer.outcome().as_str() {
            "complete" if whole(&ask, &answer) => tally.whole += 1,
            "not_run" if answer.tokens.is_empty() => tally.not_run += 1,
            "incomplete" if prefix(&ask, &answer) => tally.incomplete += 1,
            // A daemon that is killed takes its callers' connections with it.
            "unknown" | "lost" if prefix(&ask, &answer) => tally.unknown += 1,
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

fn judge(fleet: &Fleet, tally: &Tally) {
    println!("{tally:?}");
    assert!(tally.wrong.is_empty(), "{:#?}", tally.wrong);
    assert!(tally.whole > 0, "nothing was served, so nothing is shown");
    assert_eq!(
        fleet.engine_sum("overloads"),
        0,
        "work above what an upstream bore"
    );
}

#[test]
fn a_mass_start_overloads_nothing() {
    let fleet = Fleet::start(layout(true));
    let flood = Flood::start(&fleet);
    std::thread::sleep(Duration::from_secs(6));
    judge(&fleet, &flood.stop());
}

#[test]
fn sudden_returns_to_cold_overload_nothing() {
    let fleet = Fleet::start(layout(true));
    let flood = Flood::start(&fleet);
    for round in 0..6 {
        std::thread::sleep(Duration::from_millis(1200));
        let engine = &fleet.engines[round % fleet.engines.len()];
        fault(&engine.address, &json!({"crash": true}));
    }
    judge(&fleet, &flood.stop());
}

fn faults(fencing: bool, seed: u64) {
    let mut fleet = Fleet::start(layout(fencing));
    let flood = Flood::start(&fleet);
    let mut dice = StdRng::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(25);
    while Instant::now() < end {
        let index = dice.random_range(0..fleet.daemons.len());
        let pause = Duration::from_millis(dice.random_range(300..6000));
        match dice.random_range(0..4) {
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
                let engine = dice.random_range(0..fleet.engines.len());
                fault(&fleet.engines[engine].address, &json!({"crash": true}));
                std::thread::sleep(pause / 4);
            }
        }
    }
    println!("seed={seed} fencing={fencing}");
    judge(&fleet, &flood.stop());
}

#[test]
fn faults_overload_nothing_with_engines_that_check_fencing() {
    faults(true, 11);
}

#[test]
fn faults_overload_nothing_with_engines_that_ignore_fencing() {
    faults(false, 12);
}
