//! A request that ends each upstream that runs it is stopped, and others suffer little by it.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use common::caller::{Answer, Completion, complete, is_correct, is_prefix};
use common::{Fleet, Layout, fault, text, wait};

/// How often the caller of a poison request sends it.
const SENDS: usize = 12;

/// Upstreams that one poison request may end.
const LOST_MAX: u64 = 2;

fn layout() -> Layout {
    Layout {
        engines_per_zone: 2,
        engine_arguments: vec!["--prefill-rate", "100000", "--decode-ms", "5"],
        ..Layout::default()
    }
}

fn poison(fleet: &Fleet, index: usize) -> Completion {
    Completion {
        timeout_ms: Some(8000),
        ..fleet.completion(index, "CRASH-MARK in a prompt", 5)
    }
}

/// Sends the poison request through one daemon after the other; returns the last answer.
fn send_poison(fleet: &Fleet) -> Answer {
    let answers: Vec<Answer> = (0..SENDS)
        .map(|round| {
            let answer = complete(&poison(fleet, round % fleet.daemons.len()));
            assert!(!answer.done, "{answer:?}");
            std::thread::sleep(Duration::from_millis(200));
            answer
        })
        .collect();
    answers.into_iter().next_back().expect("there were answers")
}

fn code(answer: &Answer) -> String {
    let code = answer.error.as_ref().and_then(|e| e["code"].as_str());
    code.unwrap_or_default().to_owned()
}

fn wait_listed(fleet: &Fleet, listed: &str) {
    wait(Duration::from_secs(20), listed, || {
        text(&fleet.tool(&["quarantine", "list"])).contains(listed)
    });
}

/// Starts a caller of harmless requests through daemon `index`, until `stop`.
fn innocent(
    fleet: &Fleet,
    index: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<(Completion, Answer)>> {
    let stop = Arc::clone(stop);
    let ask = fleet.completion(index, &format!("innocent {index}"), 40);
    std::thread::spawn(move || {
        let mut answers = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let ask = Completion {
                prompt: format!("{} {}", ask.prompt, answers.len()),
                ..ask.clone()
            };
            let answer = complete(&ask);
            answers.push((ask, answer));
        }
        answers
    })
}

#[test]
fn innocent_requests_are_answered_beside_a_poison_request() {
    let fleet = Fleet::start(layout());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..fleet.daemons.len())
        .map(|index| innocent(&fleet, index, &stop))
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    send_poison(&fleet);
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    let answers: Vec<(Completion, Answer)> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller ends"))
        .collect();
    let suffered: Vec<&Answer> = answers
        .iter()
        .map(|(_, answer)| answer)
        .filter(|answer| !answer.done)
        .collect();
    let crashes = fleet.engine_sum("crashes");
    println!(
        "poison sends={SENDS} upstreams_lost={crashes} innocent={} suffered={}",
        answers.len(),
        suffered.len(),
    );
    for (ask, answer) in &answers {
        assert!(is_prefix(ask, answer), "{answer:?}");
        assert!(!answer.done || is_correct(ask, answer), "{answer:?}");
        assert_ne!(answer.outcome(), "lost", "{answer:?}");
        assert_ne!(code(answer), "quarantined", "{answer:?}");
    }
    assert!(
        crashes <= LOST_MAX,
        "{crashes} upstreams lost to one request"
    );
}

#[test]
fn an_operator_sees_and_lifts_a_quarantine() {
    let fleet = Fleet::start(layout());
    assert_eq!(code(&send_poison(&fleet)), "quarantined");
    wait_listed(&fleet, "1 quarantined");
    let listed = text(&fleet.tool(&["quarantine", "list"]));
    let fingerprint = listed.split_whitespace().next().expect("a fingerprint");
    let change = fleet.tool(&[
        "quarantine",
        "lift",
        fingerprint,
        "--author",
        "tests",
        "--reason",
        "mended",
    ]);
    assert!(change.status.success(), "{}", text(&change));
    wait_listed(&fleet, "0 quarantined");
    let before = fleet.engine_sum("crashes");
    assert!(before <= LOST_MAX, "{before} upstreams lost to one request");
    complete(&poison(&fleet, 0));
    assert!(fleet.engine_sum("crashes") > before, "the lift is in force");
}

#[test]
fn a_quarantine_holds_while_the_platform_is_down() {
    let fleet = Fleet::start(layout());
    fault(&fleet.platform, &json!({"down": true}));
    assert_eq!(code(&send_poison(&fleet)), "quarantined");
    for index in 0..fleet.daemons.len() {
        assert_eq!(code(&complete(&poison(&fleet, index))), "quarantined");
    }
    let crashes = fleet.engine_sum("crashes");
    assert!(
        crashes <= LOST_MAX,
        "{crashes} upstreams lost to one request"
    );
    fault(&fleet.platform, &json!({"down": false}));
    wait_listed(&fleet, "1 quarantined");
}
