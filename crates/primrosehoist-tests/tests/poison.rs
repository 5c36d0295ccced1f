//! A request that crashes each upstream that runs it is quarantined, and other requests are rarely
//! affected.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;

use common::caller::{Answer, Completion, complete, is_correct, is_prefix};
use common::{Fleet, Layout, fault, text, wait};

/// How often the caller sends the poison request.
const SENDS: usize = 12;

/// The largest number of upstreams that one poison request may crash.
const CRASHES_MAX: u64 = 2;

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

/// Sends the poison request through the daemons in turn and returns the last answer.
fn send_poison(fleet: &Fleet) -> Answer {
    let answers: Vec<Answer> = (0..SENDS)
        .map(|round| {
            let answer = complete(&poison(fleet, round % fleet.daemons.len()));
            assert!(!answer.done, "{answer:?}");
            std::thread::sleep(Duration::from_millis(200));
            answer
        })
        .collect();
    answers
        .into_iter()
        .next_back()
        .expect("at least one answer")
}

fn error_code(answer: &Answer) -> String {
    let code = answer.error.as_ref().and_then(|e| e["code"].as_str());
    code.unwrap_or_default().to_owned()
}

fn wait_listed(fleet: &Fleet, listed: &str) {
    wait(Duration::from_secs(20), listed, || {
        text(&fleet.tool(&["quarantine", "list"])).contains(listed)
    });
}

/// Starts a caller that sends harmless requests through daemon `index` until `stop` is set.
fn send_harmless(
    fleet: &Fleet,
    index: usize,
    stop: &Arc<AtomicBool>,
) -> JoinHandle<Vec<(Completion, Answer)>> {
    let stop = Arc::clone(stop);
    let completion = fleet.completion(index, &format!("harmless {index}"), 40);
    std::thread::spawn(move || {
        let mut answers = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let completion = Completion {
                prompt: format!("{} {}", completion.prompt, answers.len()),
                ..completion.clone()
            };
            let answer = complete(&completion);
            answers.push((completion, answer));
        }
        answers
    })
}

#[test]
fn harmless_requests_are_answered_despite_a_poison_request() {
    let fleet = Fleet::start(layout());
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..fleet.daemons.len())
        .map(|index| send_harmless(&fleet, index, &stop))
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    send_poison(&fleet);
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    let answers: Vec<(Completion, Answer)> = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("the caller thread does not panic"))
        .collect();
    let failed: Vec<&Answer> = answers
        .iter()
        .map(|(_, answer)| answer)
        .filter(|answer| !answer.done)
        .collect();
    let crashes = fleet.engine_sum("crashes");
    println!(
        "poison sends={SENDS} upstream_crashes={crashes} harmless={} failed={}",
        answers.len(),
        failed.len(),
    );
    for (completion, answer) in &answers {
        assert!(is_prefix(completion, answer), "{answer:?}");
        assert!(!answer.done || is_correct(completion, answer), "{answer:?}");
        assert_ne!(answer.outcome(), "lost", "{answer:?}");
        assert_ne!(error_code(answer), "quarantined", "{answer:?}");
    }
    assert!(
        crashes <= CRASHES_MAX,
        "{crashes} upstreams crashed by one request"
    );
}

#[test]
fn operator_lists_and_lifts_a_quarantine() {
    let fleet = Fleet::start(layout());
    assert_eq!(error_code(&send_poison(&fleet)), "quarantined");
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
    assert!(
        before <= CRASHES_MAX,
        "{before} upstreams crashed by one request"
    );
    complete(&poison(&fleet, 0));
    assert!(
        fleet.engine_sum("crashes") > before,
        "a lifted request runs again"
    );
}

#[test]
fn quarantine_is_enforced_while_the_platform_is_down() {
    let fleet = Fleet::start(layout());
    fault(&fleet.platform, &json!({"down": true}));
    assert_eq!(error_code(&send_poison(&fleet)), "quarantined");
    for index in 0..fleet.daemons.len() {
        assert_eq!(error_code(&complete(&poison(&fleet, index))), "quarantined");
    }
    let crashes = fleet.engine_sum("crashes");
    assert!(
        crashes <= CRASHES_MAX,
        "{crashes} upstreams crashed by one request"
    );
    fault(&fleet.platform, &json!({"down": false}));
    wait_listed(&fleet, "1 quarantined");
}
