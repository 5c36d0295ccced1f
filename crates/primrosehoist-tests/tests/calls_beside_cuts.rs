//! Tests that a call that must run once does so, while daemons are cut off from all upstreams, killed and
//! paused, and upstreams refuse calls, lose answers and repeat refusals late.
//!
//! `PRIMROSEHOIST_SEEDS` sets the number of seeds, `PRIMROSEHOIST_SECONDS` how long each one runs.

mod common;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use common::calls::{assert_ran_once, call_repeatedly, count, setting, summary};
use common::links::{Links, Mode};
use common::platform::{Deployment, configuration};
use common::scripted::{Received, Requests, refusal, start_upstream, success};

const CALLERS: u64 = 16;
const ZONES: [&str; 3] = ["zone-a", "zone-a", "zone-b"];

/// What the scripted upstreams have run.
type Runs = Mutex<HashMap<String, usize>>;

/// Answers a call by its number: some are refused, some of the refusals come again before the next
/// answer, and some answers are lost.
fn answer(received: &Received, runs: &Runs) -> (String, bool) {
    let number = |id: &str| -> usize {
        let digits = id.rsplit('-').next().expect("ids end with numbers");
        digits.parse::<usize>().expect("a number") + received.upstream * 7
    };
    let late = match &received.previous {
        Some(previous) if number(previous) % 20 == 1 => refusal(previous),
        _ => String::new(),
    };
    let number = number(&received.id);
    sleep(Duration::from_millis((number % 3 * (number % 11)) as u64));
    if matches!(number % 20, 0 | 1) {
        return (late + &refusal(&received.id), false);
    }
    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    *runs.entry(received.id.clone()).or_default() += 1;
    drop(runs);
    if number % 20 == 2 {
        return (late, true);
    }
    let answer = success(&received.id) + "Content-Length: 4\r\n\r\ndone";
    (late + &answer, number.is_multiple_of(13))
}

/// Cuts daemons off and heals them, kills and pauses them until `ends`; returns the number of cuts.
fn disturb(rng: &mut StdRng, deployment: &mut Deployment, links: &Links, ends: Instant) -> usize {
    let mut cuts = 0;
    let mut healed_at = vec![Instant::now(); deployment.daemons.len()];
    while Instant::now() < ends {
        sleep(Duration::from_millis(rng.random_range(20..150)));
        let now = Instant::now();
        for (daemon, healed_at) in healed_at.iter().enumerate() {
            if *healed_at <= now {
                links.set(daemon, Mode::Pass);
            }
        }
        let daemon = rng.random_range(0..healed_at.len());
        if rng.random_bool(0.2) && healed_at[daemon] <= now {
            let modes = [Mode::Hang, Mode::Reset, Mode::Refuse];
            links.set(daemon, modes[rng.random_range(0..modes.len())]);
            healed_at[daemon] = now + Duration::from_millis(rng.random_range(300..4000));
            cuts += 1;
            continue;
        }
        let process = deployment.daemons[daemon].process.as_mut();
        let process = process.expect("the daemon runs");
        if rng.random_bool(0.1) {
            process.kill();
            deployment.start_daemon(daemon);
        } else {
            process.pause();
            sleep(Duration::from_millis(rng.random_range(2..80)));
            process.resume();
        }
    }
    (0..healed_at.len()).for_each(|daemon| links.set(daemon, Mode::Pass));
    cuts
}

fn run_calls(seed: u64, duration: Duration) {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    let (runs, requests) = (Arc::new(Runs::default()), Requests::default());
    let upstreams: Vec<String> = (0..3)
        .map(|number| {
            let runs = Arc::clone(&runs);
            let script = move |received: &Received| answer(received, &runs);
            let address = format!("{}.{}:7200", deployment.network, 30 + number);
            let mut entry = deployment.entry(number, "ready");
            entry["Address"] = json!(address);
            deployment.put("servers", &format!("upstream-{number}"), &entry);
            start_upstream(&address, number, script, &requests)
        })
        .collect();
    let links = Links::start(&mut deployment, &ZONES, &upstreams);
    let daemons = deployment.daemons.iter();
    let addresses: Vec<String> = daemons.map(|daemon| daemon.ingress.clone()).collect();
    let ends = Instant::now() + duration;
    let mut rng = StdRng::seed_from_u64(seed);
    let stopped = AtomicBool::new(false);
    let (statuses, cuts) = std::thread::scope(|scope| {
        let (addresses, stopped) = (&addresses, &stopped);
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || call_repeatedly(seed << 8 | caller, addresses, ends, stopped))
            })
            .collect();
        let cuts = disturb(&mut rng, &mut deployment, &links, ends);
        stopped.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        let statuses: HashMap<String, u16> = callers
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        (statuses, cuts)
    });
    // Calls that are still on their way may yet run.
    sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    println!("seed={seed} {} cuts={cuts}", summary(&statuses));
    assert_ran_once(&format!("seed {seed}"), &statuses, &runs);
    assert!(
        count(&statuses, &[200]) > 100,
        "seed {seed}: hardly any call ran"
    );
    assert!(
        count(&statuses, &[503]) > 0,
        "seed {seed}: no call was refused"
    );
    assert!(cuts > 0, "seed {seed}: no daemon was cut off");
}

/// Guards against calls that run twice, or run although they were reported as not run.
#[test]
fn calls_run_once_beside_cuts() {
    let duration = Duration::from_secs(setting("PRIMROSEHOIST_SECONDS", 12));
    for seed in 1..=setting("PRIMROSEHOIST_SEEDS", 1) {
        run_calls(seed, duration);
    }
}
