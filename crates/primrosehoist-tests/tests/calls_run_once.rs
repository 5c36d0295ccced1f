//! Tests that a call that must run once does so, while daemons are paused, stopped and killed, upstreams
//! are replaced at their addresses, and upstreams refuse calls, lose answers and repeat refusals late.
//!
//! `PRIMROSEHOIST_SEEDS` sets the number of seeds, `PRIMROSEHOIST_SECONDS` how long each one runs.

mod common;

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use common::calls::{assert_ran_once, call_repeatedly, count, setting, summary};
use common::platform::Deployment;
use common::scripted::{Received, Requests, misdirected, refusal, start_upstream, success};
use serde_json::json;

const CALLERS: u64 = 16;
const DAEMONS: u8 = 3;
const UPSTREAMS: usize = 2;

/// How an upstream handles a call, by the hash of its id and the upstream.
#[derive(PartialEq)]
enum Behavior {
    Refuse,
    RefuseTwice,
    Lose,
    Answer,
}

fn hash(id: &str, upstream: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, upstream).hash(&mut hasher);
    hasher.finish()
}

fn behavior(id: &str, upstream: usize) -> Behavior {
    match hash(id, upstream) % 20 {
        0 => Behavior::Refuse,
        1 => Behavior::RefuseTwice,
        2 => Behavior::Lose,
        _ => Behavior::Answer,
    }
}

/// What the upstreams know of each other, and what ran on them.
#[derive(Default)]
struct Shared {
    /// The number of upstreams that there have been at each address.
    generations: [usize; UPSTREAMS],
    /// How often each call ran.
    runs: HashMap<String, usize>,
    misdirected: usize,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

fn upstream_id(upstream: usize, generation: usize) -> String {
    format!("upstream-{upstream}-{generation}")
}

/// Returns the late copy of the last answer on the connection, if that was a refusal and comes twice.
fn late_copy(received: &Received) -> String {
    let Some(previous) = &received.previous else {
        return String::new();
    };
    let comes_twice = |copy: &String| {
        let is_copy = received.previous_answer.ends_with(copy.as_str());
        is_copy && behavior(previous, received.upstream) != Behavior::Refuse
    };
    let copies = [refusal(previous), misdirected(previous)];
    copies.into_iter().find(comes_twice).unwrap_or_default()
}

/// Answers a call; the late copy of a refusal arrives just before the answer to the next call.
fn answer(received: &Received, shared: &Mutex<Shared>) -> (String, bool) {
    let late = late_copy(received);
    let number = hash(&received.id, received.upstream) / 20;
    std::thread::sleep(Duration::from_millis(number % 3 * (number % 11)));
    let mut shared = lock(shared);
    let generation = shared.generations[received.upstream];
    if received.expected != upstream_id(received.upstream, generation) {
        shared.misdirected += 1;
        drop(shared);
        // Meanwhile the daemon may learn of the successor.
        std::thread::sleep(Duration::from_millis(number % 5 * 40));
        return (late + &misdirected(&received.id), false);
    }
    let behavior = behavior(&received.id, received.upstream);
    if matches!(behavior, Behavior::Refuse | Behavior::RefuseTwice) {
        return (late + &refusal(&received.id), false);
    }
    *shared.runs.entry(received.id.clone()).or_default() += 1;
    if behavior == Behavior::Lose {
        return (late, true);
    }
    let answer = success(&received.id) + "Content-Length: 4\r\n\r\ndone";
    (late + &answer, number.is_multiple_of(13))
}

/// Replaces the upstream at an address, as after a restart under another id.
fn replace(deployment: &Deployment, shared: &Mutex<Shared>, addresses: &[String], upstream: usize) {
    let mut guard = lock(shared);
    guard.generations[upstream] += 1;
    let generation = guard.generations[upstream];
    drop(guard);
    // The new process serves before the platform lists it.
    std::thread::sleep(Duration::from_millis(100));
    let mut entry = deployment.entry(0, "ready");
    entry["Address"] = json!(addresses[upstream]);
    let id = upstream_id(upstream, generation);
    deployment.put("servers", &id, &entry);
    if generation > 1 {
        deployment.delete("servers", &upstream_id(upstream, generation - 1));
    }
}

/// Pauses, stops and kills daemons, and replaces upstreams, until `ends`; returns the number of faults.
fn inject(
    rng: &mut StdRng,
    deployment: &mut Deployment,
    (shared, upstreams): (&Mutex<Shared>, &[String]),
    ends: Instant,
) -> usize {
    let mut faults = 0;
    while Instant::now() < ends {
        std::thread::sleep(Duration::from_millis(rng.random_range(20..150)));
        if rng.random_bool(0.5) {
            faults += 1;
            replace(
                deployment,
                shared,
                upstreams,
                rng.random_range(0..UPSTREAMS),
            );
            continue;
        }
        let index = rng.random_range(0..usize::from(DAEMONS));
        let process = deployment.daemons[index].process.as_mut();
        let process = process.expect("the daemon runs");
        faults += 1;
        match rng.random_range(0..12) {
            0 => process.kill(),
            1 => {
                process.terminate();
                assert!(process.wait(Duration::from_secs(15)).is_some(), "stops");
            }
            2 => {
                process.reload();
                continue;
            }
            _ => {
                process.pause();
                std::thread::sleep(Duration::from_millis(rng.random_range(2..80)));
                process.resume();
                continue;
            }
        }
        deployment.start_daemon(index);
    }
    faults
}

fn run(seed: u64, duration: Duration) {
    let mut deployment = Deployment::ready(DAEMONS);
    let (shared, requests) = (Arc::new(Mutex::new(Shared::default())), Requests::default());
    let upstreams: Vec<String> = (0..UPSTREAMS)
        .map(|number| {
            let shared = Arc::clone(&shared);
            let script = move |received: &Received| answer(received, &shared);
            start_upstream("127.0.0.1:0", number, script, &requests)
        })
        .collect();
    for runner in &deployment.runners {
        deployment.delete("servers", &runner.id);
    }
    for number in 0..UPSTREAMS {
        replace(&deployment, &shared, &upstreams, number);
    }
    std::thread::sleep(Duration::from_millis(900));
    let daemons = deployment.daemons.iter();
    let addresses: Vec<String> = daemons.map(|daemon| daemon.ingress.clone()).collect();
    let ends = Instant::now() + duration;
    let stopped = AtomicBool::new(false);
    let mut rng = StdRng::seed_from_u64(seed);
    let (statuses, faults) = std::thread::scope(|scope| {
        let (addresses, stopped) = (&addresses, &stopped);
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || call_repeatedly(seed << 8 | caller, addresses, ends, stopped))
            })
            .collect();
        let faults = inject(&mut rng, &mut deployment, (&shared, &upstreams), ends);
        stopped.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        let statuses: HashMap<String, u16> = callers
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        (statuses, faults)
    });
    // Calls that are still on their way may yet run.
    std::thread::sleep(Duration::from_secs(2));
    let shared = lock(&shared);
    println!(
        "seed={seed} {} faults={faults} misdirected={}",
        summary(&statuses),
        shared.misdirected,
    );
    assert_ran_once(&format!("seed {seed}"), &statuses, &shared.runs);
    assert!(
        shared.misdirected > 0,
        "seed {seed}: no call met a replaced upstream"
    );
    assert!(
        count(&statuses, &[200]) > 100,
        "seed {seed}: hardly any call ran"
    );
    assert!(
        count(&statuses, &[503]) > 0,
        "seed {seed}: no call was reported as not run"
    );
}

/// Guards against calls that run twice, or run although they were reported as not run.
#[test]
fn calls_run_once_beside_faults() {
    let duration = Duration::from_secs(setting("PRIMROSEHOIST_SECONDS", 12));
    for seed in 1..=setting("PRIMROSEHOIST_SEEDS", 1) {
        run(seed, duration);
    }
}
