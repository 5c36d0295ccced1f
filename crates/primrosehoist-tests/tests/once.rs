//! Non-idempotent calls run at most once under faults, and never run if reported as `not_run`.
//!
//! `PRIMROSEHOIST_SEEDS` sets the number of seeds; the seeds are printed.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use common::caller::call;
use common::history::{Outcome, Submission, violations};
use common::scripted::{Received, Requests, start_upstream};
use common::{Fleet, Layout, counts, fault};

const CALLERS: usize = 6;
const FAULT_DURATION: Duration = Duration::from_secs(12);

#[test]
fn checker_finds_each_violation() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let submission = |caller, from, to, outcome| Submission {
        key: "k".to_owned(),
        caller,
        called: at(from),
        returned: at(to),
        outcome,
    };
    let cases = [
        ("ran twice", vec![submission(0, 0, 10, Outcome::Ran)], 2),
        (
            "two completions",
            vec![
                submission(0, 0, 10, Outcome::Ran),
                submission(1, 20, 30, Outcome::Ran),
            ],
            1,
        ),
        (
            "ran but reported as not run",
            vec![submission(0, 0, 10, Outcome::NotRun)],
            1,
        ),
        (
            "reported as run but never ran",
            vec![submission(0, 0, 10, Outcome::Ran)],
            0,
        ),
        (
            "duplicate without another submission",
            vec![submission(0, 0, 10, Outcome::Duplicate)],
            0,
        ),
    ];
    for (name, history, ran) in cases {
        let runs = BTreeMap::from([("k".to_owned(), ran)]);
        assert!(!violations(&history, &runs).is_empty(), "{name}");
    }
    let valid = [
        submission(0, 0, 30, Outcome::Ran),
        submission(1, 10, 20, Outcome::Duplicate),
    ];
    assert!(violations(&valid, &BTreeMap::from([("k".to_owned(), 1)])).is_empty());
}

#[test]
fn orders_run_at_most_once_under_faults() {
    let seeds = std::env::var("PRIMROSEHOIST_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(2);
    for seed in 1..=seeds {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut fleet = Fleet::start(Layout {
        engines_per_zone: 0,
        ..Layout::default()
    });
    let history = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let addresses: Vec<String> = fleet.daemons.iter().map(|d| d.caller.clone()).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, history, stop) =
                (addresses.clone(), Arc::clone(&history), Arc::clone(&stop));
            std::thread::spawn(move || submit(seed, caller, &addresses, &history, &stop))
        })
        .collect();
    let faults = inject(seed, &mut fleet);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("the caller thread does not panic");
    }
    std::thread::sleep(Duration::from_secs(3));
    let history = history.lock().expect("the lock is not poisoned");
    let violations = violations(&history, &runs(&fleet));
    let count = |wanted| history.iter().filter(|s| s.outcome == wanted).count();
    println!(
        "seed={seed} submissions={} faults={faults} ran={} duplicate={} not_run={} unknown={} violations={}",
        history.len(),
        count(Outcome::Ran),
        count(Outcome::Duplicate),
        count(Outcome::NotRun),
        count(Outcome::Unknown),
        violations.len(),
    );
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(
        count(Outcome::Ran) > 0,
        "seed {seed}: no call ran, so the check is vacuous"
    );
}

#[test]
fn expired_claims_are_removed() {
    let fleet = Fleet::start(Layout {
        engines_per_zone: 0,
        ..Layout::default()
    });
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is after the Unix epoch")
        .as_millis() as u64;
    let day_ms = 24 * 3600 * 1000;
    // More than one page of claims, 6 of them expired.
    for index in 0..600 {
        let age_ms = if index % 100 == 0 {
            day_ms + 60_000
        } else {
            day_ms - 600_000
        };
        create_claim(&fleet, &format!("{index:064}"), now_ms - age_ms);
    }
    common::wait(
        Duration::from_secs(60),
        "the expired claims are removed",
        || claims(&fleet) == 594,
    );
    std::thread::sleep(Duration::from_secs(15));
    assert_eq!(claims(&fleet), 594);
}

fn create_claim(fleet: &Fleet, name: &str, time_ms: u64) {
    let object = json!({"metadata": {"name": name}, "spec": {
        "nonce": "n", "host": "host-9", "incarnation": 1, "state": "claimed", "body": "b",
        "time_ms": time_ms,
    }});
    let url = format!("http://{}/apis/primrosehoist/v1/claims", fleet.platform);
    let reply = call("POST", &url, &[], &object.to_string());
    assert_eq!(reply.status, 201, "{reply:?}");
}

fn claims(fleet: &Fleet) -> usize {
    let url = format!("http://{}/apis/primrosehoist/v1/claims", fleet.platform);
    let list = call("GET", &url, &[], "").json();
    list["items"].as_array().map_or(0, Vec::len)
}

/// Guards against a refusal that comes twice and is taken for the answer to the next call as well.
#[test]
fn call_behind_the_late_copy_of_a_refusal_is_not_reported_as_not_run() {
    let mut fleet = Fleet::start(Layout {
        engines_per_zone: 0,
        ..Layout::default()
    });
    let requests = Requests::default();
    for (number, service) in fleet.services.iter_mut().enumerate() {
        service.process.take();
        let script = |received: &Received| {
            const BODY: &str = r#"{"error":{"code":"not_run"}}"#;
            let length = BODY.len();
            let refusal = format!("HTTP/1.1 503 Full\r\nContent-Length: {length}\r\n\r\n{BODY}");
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            // A call behind a refusal runs.
            let runs = received.previous.is_some();
            (refusal + if runs { answer } else { "" }, false)
        };
        start_upstream(&service.address, number, script, &requests);
    }
    for number in 0..12 {
        let address = &fleet.daemons[number % fleet.daemons.len()].caller;
        let url = format!("http://{address}/services/north-orders/orders/{number}");
        let key = number.to_string();
        let headers = [
            ("authorization", "Bearer key-north"),
            ("idempotency-key", key.as_str()),
            ("x-timeout-ms", "1000"),
        ];
        let reply = call("POST", &url, &headers, "body");
        assert_ne!(reply.status, 200, "{reply:?}");
    }
    let read = requests.lock().expect("the lock is not poisoned");
    assert!(read.len() >= 12, "{} calls reached a service", read.len());
    let ran = read.iter().filter(|received| received.previous.is_some());
    assert_eq!(ran.count(), 0, "calls ran that were answered by a copy");
}

#[test]
fn each_use_of_a_key_gets_the_right_response() {
    let fleet = Fleet::start(Layout {
        engines_per_zone: 0,
        ..Layout::default()
    });
    let order = |daemon: usize, key: &str, body: &str| {
        let address = &fleet.daemons[daemon].caller;
        let url = format!("http://{address}/services/north-orders/orders/{key}");
        let headers = [
            ("authorization", "Bearer key-north"),
            ("idempotency-key", key),
            ("x-timeout-ms", "6000"),
        ];
        let start = Instant::now();
        let reply = call("POST", &url, &headers, body);
        assert!(start.elapsed() < Duration::from_secs(8), "{reply:?}");
        let error = reply.json()["error"].clone();
        let text = |field: &str| error[field].as_str().unwrap_or_default().to_owned();
        (reply.status, text("code"), text("outcome"))
    };
    let expected =
        |status: u16, code: &str, outcome: &str| (status, code.to_owned(), outcome.to_owned());
    assert_eq!(order(0, "a", "one"), expected(200, "", ""));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(order(3, "a", "one"), expected(409, "duplicate", "unknown"));
    assert_eq!(
        order(5, "a", "two"),
        expected(422, "body_mismatch", "not_run")
    );
    let set_faults = |faults: &serde_json::Value| {
        for service in &fleet.services {
            fault(&service.address, faults);
        }
    };
    set_faults(&json!({"refuse": true}));
    assert_eq!(order(1, "b", "one").2, "not_run");
    set_faults(&json!({"refuse": false}));
    assert_eq!(order(2, "b", "one"), expected(200, "", ""));
    fault(&fleet.platform, &json!({"down": true}));
    assert_eq!(
        order(4, "c", "one"),
        expected(503, "claim_unavailable", "not_run")
    );
    fault(&fleet.platform, &json!({"down": false}));
    assert_eq!(
        runs(&fleet),
        BTreeMap::from([("a".to_owned(), 1), ("b".to_owned(), 1)])
    );
}

fn runs(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for service in &fleet.services {
        let counts = counts(&service.address);
        for call in counts["calls"]
            .as_array()
            .expect("the service counts its calls")
        {
            let key = call["path"]
                .as_str()
                .and_then(|path| path.rsplit('/').next());
            *runs
                .entry(key.expect("the path ends with the key").to_owned())
                .or_default() += 1;
        }
    }
    runs
}

/// Submits each key several times, from several callers and through random daemons.
fn submit(
    seed: u64,
    caller: usize,
    addresses: &[String],
    history: &Mutex<Vec<Submission>>,
    stop: &AtomicBool,
) {
    let mut rng = StdRng::seed_from_u64(seed * 1000 + caller as u64);
    let mut round = 0;
    while !stop.load(Ordering::Relaxed) {
        let key = format!("key-{seed}-{}", round / 2 * CALLERS / 3 + caller % 2);
        round += 1;
        let address = &addresses[rng.random_range(0..addresses.len())];
        let url = format!("http://{address}/services/north-orders/orders/{key}");
        let headers = [
            ("authorization", "Bearer key-north"),
            ("idempotency-key", key.as_str()),
            ("x-timeout-ms", "3000"),
        ];
        let start = Instant::now();
        let reply = call("POST", &url, &headers, &json!({ "order": key }).to_string());
        let error = &reply.json()["error"];
        let outcome = match (
            reply.status,
            error["code"].as_str(),
            error["outcome"].as_str(),
        ) {
            (200, _, _) => Outcome::Ran,
            (_, Some("duplicate"), _) => Outcome::Duplicate,
            (_, _, Some("not_run")) => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let returned = Instant::now();
        let submission = Submission {
            key,
            caller,
            called: start,
            returned,
            outcome,
        };
        history
            .lock()
            .expect("the lock is not poisoned")
            .push(submission);
        std::thread::sleep(Duration::from_millis(rng.random_range(5..40)));
    }
}

/// Injects faults for [`FAULT_DURATION`], each of them removed again, and returns their number.
fn inject(seed: u64, fleet: &mut Fleet) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = Instant::now() + FAULT_DURATION;
    let mut faults = 0;
    while Instant::now() < end {
        faults += 1;
        let index = rng.random_range(0..fleet.daemons.len());
        let pause = Duration::from_millis(rng.random_range(200..4000));
        match rng.random_range(0..6) {
            0 => {
                fleet.daemons[index]
                    .process
                    .take()
                    .expect("the daemon runs")
                    .kill();
                std::thread::sleep(pause / 4);
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
            2 => fault_for(
                fleet,
                &json!({"lose_answers_percent": 30}),
                &json!({"lose_answers_percent": 0}),
                pause,
            ),
            3 => fault_for(
                fleet,
                &json!({"down": true}),
                &json!({"down": false}),
                pause,
            ),
            4 => fault_for(
                fleet,
                &json!({"slow_ms": 400}),
                &json!({"slow_ms": 0}),
                pause,
            ),
            _ => {
                let address = fleet.services[0].address.clone();
                fault(&address, &json!({"crash_after_run": true}));
                std::thread::sleep(pause / 2);
                fault(&address, &json!({"crash_after_run": false}));
            }
        }
    }
    faults
}

fn fault_for(fleet: &Fleet, start: &serde_json::Value, end: &serde_json::Value, pause: Duration) {
    fault(&fleet.platform, start);
    std::thread::sleep(pause);
    fault(&fleet.platform, end);
}
