//! No engine loses memory for good, whoever dies or is paused in the middle of what.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use common::caller::{Ask, call, complete, prefix, whole};
use common::{Fleet, Layout, counts};

/// The time within which everything is free again, that of a resumption included.
const FREE_WITHIN: Duration = Duration::from_secs(30);

/// An engine that would keep what is left behind for ten times as long.
fn layout(fencing: bool) -> Layout {
    Layout {
        zones: vec!["zone-a", "zone-b"],
        // With two, a dead one that the platform still lists keeps the other from taking over.
        daemons_per_zone: 3,
        fencing,
        cold_requests: 12,
        warm_requests: 16,
        engine_arguments: vec![
            "--prefill-rate",
            "200000",
            "--decode-ms",
            "20",
            "--resume-grace-ms",
            "300000",
        ],
        ..Layout::default()
    }
}

struct Callers {
    stop: Arc<AtomicBool>,
    whole: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Callers {
    /// Starts callers of short and of very long answers.
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let whole = Arc::new(AtomicUsize::new(0));
        let mut threads = Vec::new();
        for index in 0..fleet.daemons.len() {
            for max_tokens in [20, 100, 5000] {
                let ask = fleet.ask(index, "", max_tokens);
                let (stop, whole) = (Arc::clone(&stop), Arc::clone(&whole));
                threads.push(std::thread::spawn(move || run(&ask, &stop, &whole)));
            }
        }
        Self {
            stop,
            whole,
            threads,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let mut wrong = Vec::new();
        for thread in self.threads {
            wrong.extend(thread.join().expect("the caller ends"));
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
        let whole = self.whole.load(Ordering::Relaxed);
        println!("whole={whole}");
        assert!(whole > 0, "nothing was served, so nothing is shown");
    }
}

fn run(ask: &Ask, stop: &AtomicBool, served: &AtomicUsize) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        round += 1;
        let ask = Ask {
            prompt: format!(
                "{} {} round {round} {}",
                ask.address,
                ask.max_tokens,
                "w ".repeat(300)
            ),
            timeout_ms: Some(20_000),
            ..ask.clone()
        };
        let answer = complete(&ask);
        if whole(&ask, &answer) {
            served.fetch_add(1, Ordering::Relaxed);
        } else if answer.done || !prefix(&ask, &answer) {
            wrong.push(format!("{answer:?}"));
        } else {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    wrong
}

/// Leaves a reservation and an export behind in the name of the engine's holder, as a daemon
/// does that dies before it releases them.
fn leave_behind(fleet: &Fleet, engine: usize, number: usize) -> usize {
    let address = &fleet.engines[engine].address;
    let admin = |path: &str| format!("http://{address}/admin/{path}");
    let listed = call("GET", &admin("running"), &[], "").json();
    let Some(stream) = listed["streams"]
        .as_array()
        .and_then(|s| s.first().cloned())
    else {
        return 0;
    };
    let epoch = stream["epoch"].to_string();
    let holder = stream["holder"].as_str().unwrap_or_default().to_owned();
    let owner = [
        ("x-holder", holder.as_str()),
        ("x-fencing-epoch", epoch.as_str()),
    ];
    let post = |path: &str, content: &Value| {
        let reply = call("POST", &admin(path), &owner, &content.to_string());
        usize::from(reply.status == 200)
    };
    post(
        "kv/reserve",
        &json!({"id": format!("left-{number}"), "tokens": 1000}),
    ) + post("kv/export", &json!({"id": stream["id"]}))
}

/// Kills and pauses daemons in the middle of streams and reservations.
fn faults(fleet: &mut Fleet, seed: u64) -> usize {
    let mut dice = StdRng::seed_from_u64(seed);
    let end = Instant::now() + Duration::from_secs(15);
    let mut left = 0;
    let mut number = 0;
    while Instant::now() < end {
        for engine in 0..fleet.engines.len() {
            number += 1;
            left += leave_behind(fleet, engine, number);
        }
        let index = dice.random_range(0..fleet.daemons.len());
        let pause = Duration::from_millis(dice.random_range(500..6000));
        if dice.random_range(0..2) == 0 {
            let process = fleet.daemons[index].process.take();
            process.expect("the daemon runs").kill();
            std::thread::sleep(pause / 3);
            fleet.start_daemon(index);
        } else {
            let process = fleet.daemons[index].process.as_ref();
            process.expect("the daemon runs").pause();
            std::thread::sleep(pause);
            process.expect("the daemon runs").resume();
        }
    }
    left
}

/// Returns what is still owned, by engine.
fn owned(fleet: &Fleet) -> Vec<String> {
    let mut owned = Vec::new();
    for engine in &fleet.engines {
        let counts = counts(&engine.address);
        for count in ["kv_owned_tokens", "kv_orphan_tokens", "running"] {
            if counts[count] != 0 {
                owned.push(format!("{} {count} {}", engine.name, counts[count]));
            }
        }
    }
    owned
}

fn everything_is_freed(fencing: bool, seed: u64) {
    let mut fleet = Fleet::start(layout(fencing));
    let callers = Callers::start(&fleet);
    std::thread::sleep(Duration::from_secs(1));
    let left = faults(&mut fleet, seed);
    // One daemon dies in the middle of its streams and stays dead.
    let last = fleet.daemons[0].process.take();
    last.expect("the daemon runs").kill();
    let since = Instant::now();
    callers.stop();
    let mut owned_tokens = owned(&fleet);
    while !owned_tokens.is_empty() && since.elapsed() < FREE_WITHIN {
        std::thread::sleep(Duration::from_millis(200));
        owned_tokens = owned(&fleet);
    }
    println!(
        "seed={seed} fencing={fencing} left={left} free_after={:?}",
        since.elapsed()
    );
    assert!(left > 0, "nothing was left behind, so nothing is shown");
    assert_eq!(owned_tokens, Vec::<String>::new(), "still owned");
    assert_eq!(fleet.engine_sum("overloads"), 0);
}

#[test]
fn deaths_and_pauses_lose_no_memory_of_engines_that_check_fencing() {
    everything_is_freed(true, 51);
}

#[test]
fn deaths_and_pauses_lose_no_memory_of_engines_that_ignore_fencing() {
    everything_is_freed(false, 52);
}
