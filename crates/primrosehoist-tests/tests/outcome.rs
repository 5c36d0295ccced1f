//! Tests that a request is answered completely or fails with a true outcome, within its time
//! limit, and that its memory is released.

mod common;

use std::time::{Duration, Instant};

use serde_json::json;

use common::caller::{Answer, Completion, complete, is_correct, is_prefix};
use common::{Fleet, Layout, counts, fault};

/// The tolerance for an answer to arrive after its time limit.
const SLACK: Duration = Duration::from_secs(2);

fn slow() -> Layout {
    Layout {
        engine_arguments: vec!["--prefill-rate", "100000", "--decode-ms", "15"],
        ..Layout::default()
    }
}

fn send_all(completions: &[Completion]) -> Vec<std::thread::JoinHandle<(Completion, Answer)>> {
    let spawn = |completion: Completion| {
        std::thread::spawn(move || {
            let answer = complete(&completion);
            (completion, answer)
        })
    };
    completions.iter().cloned().map(spawn).collect()
}

fn completions(fleet: &Fleet, tokens: usize) -> Vec<Completion> {
    (0..fleet.daemons.len())
        .map(|i| fleet.completion(i, &format!("ask {i} {}", "w ".repeat(300)), tokens))
        .collect()
}

/// Waits until no engine runs a request or owns memory.
fn wait_idle(fleet: &Fleet) {
    common::wait(
        Duration::from_secs(30),
        "no engine has work or owned memory",
        || {
            fleet.engines.iter().all(|engine| {
                let counts = counts(&engine.address);
                counts["running"] == 0
                    && counts["kv_owned_tokens"] == 0
                    && counts["kv_orphan_tokens"] == 0
            })
        },
    );
}

#[test]
fn an_engine_crash_leaves_complete_or_incomplete_answers() {
    let fleet = Fleet::start(slow());
    let callers = send_all(&completions(&fleet, 80));
    std::thread::sleep(Duration::from_millis(500));
    for engine in fleet
        .engines
        .iter()
        .filter(|e| e.name.starts_with("north"))
        .take(2)
    {
        fault(&engine.address, &json!({"crash": true}));
    }
    for caller in callers {
        let (completion, answer) = caller.join().expect("the caller ends");
        match answer.outcome().as_str() {
            "complete" => assert!(is_correct(&completion, &answer), "{answer:?}"),
            "incomplete" => assert!(
                is_prefix(&completion, &answer) && !answer.tokens.is_empty(),
                "{answer:?}"
            ),
            other => panic!("{other}: {answer:?}"),
        }
    }
    wait_idle(&fleet);
}

#[test]
fn requests_avoid_an_engine_that_refuses() {
    let fleet = Fleet::start(slow());
    let engine = fleet
        .engines
        .iter()
        .find(|e| e.name.starts_with("north"))
        .expect("north has engines");
    fault(&engine.address, &json!({"refuse": true}));
    for caller in send_all(&completions(&fleet, 5)) {
        let (completion, answer) = caller.join().expect("the caller ends");
        assert!(is_correct(&completion, &answer), "{answer:?}");
    }
}

#[test]
fn an_engine_that_stays_down_fails_no_request() {
    let fleet = Fleet::start(Layout {
        engine_arguments: vec![
            "--prefill-rate",
            "100000",
            "--decode-ms",
            "5",
            "--crash-downtime-ms",
            "20000",
        ],
        ..Layout::default()
    });
    let engine = fleet.engines.iter().find(|e| e.name.starts_with("north"));
    let engine = engine.expect("north has engines");
    fault(&engine.address, &json!({"crash": true}));
    common::wait(Duration::from_secs(5), "the engine is down", || {
        std::net::TcpStream::connect(&engine.address).is_err()
    });
    for round in 0..8 {
        for caller in send_all(&completions(&fleet, 4)) {
            let (completion, answer) = caller.join().expect("the caller ends");
            assert!(
                is_correct(&completion, &answer),
                "round {round}: {answer:?}"
            );
        }
    }
}

#[test]
fn a_stream_survives_a_crash_of_its_holder() {
    let mut fleet = Fleet::start(slow());
    // One caller at the first daemon of each zone; the second daemons are killed as holders.
    let completions: Vec<Completion> = [0, 2, 4]
        .into_iter()
        .map(|i| fleet.completion(i, &format!("long {i} {}", "w ".repeat(300)), 600))
        .collect();
    let callers = send_all(&completions);
    std::thread::sleep(Duration::from_millis(700));
    for index in [1, 3, 5] {
        fleet.daemons[index]
            .process
            .take()
            .expect("the daemon runs")
            .kill();
    }
    for caller in callers {
        let (completion, answer) = caller.join().expect("the caller ends");
        assert!(
            is_correct(&completion, &answer),
            "{} tokens, {:?}",
            answer.tokens.len(),
            answer.error
        );
    }
    wait_idle(&fleet);
}

#[test]
fn a_frozen_engine_ends_the_request_at_its_limit() {
    let fleet = Fleet::start(slow());
    for engine in fleet.engines.iter().filter(|e| e.name.starts_with("north")) {
        fault(&engine.address, &json!({"freeze_ms": 8000}));
    }
    let limited: Vec<Completion> = completions(&fleet, 5)
        .into_iter()
        .map(|completion| Completion {
            timeout_ms: Some(1500),
            ..completion
        })
        .collect();
    let start = Instant::now();
    for caller in send_all(&limited) {
        let (_, answer) = caller.join().expect("the caller ends");
        assert_ne!(answer.outcome(), "lost", "{answer:?}");
        assert!(
            answer.total < Duration::from_millis(1500) + SLACK,
            "{answer:?}"
        );
    }
    assert!(start.elapsed() < Duration::from_secs(8));
}

#[test]
fn a_disconnected_caller_frees_the_engine() {
    let fleet = Fleet::start(slow());
    let completion = fleet.completion(0, "a caller that leaves", 4000);
    let body =
        json!({"model": completion.model, "prompt": completion.prompt, "max_tokens": 4000, "stream": true})
            .to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        completion.key,
        body.len(),
    );
    let mut stream = std::net::TcpStream::connect(&completion.address).expect("the daemon listens");
    std::io::Write::write_all(&mut stream, request.as_bytes()).expect("the request is sent");
    common::wait(
        Duration::from_secs(10),
        "the engine runs the request",
        || fleet.engine_sum("running") > 0,
    );
    drop(stream);
    wait_idle(&fleet);
    assert_eq!(fleet.engine_sum("completed"), 0);
}

#[test]
fn invalid_output_of_an_engine_never_reaches_a_caller() {
    for mode in ["malformed", "half", "double"] {
        let fleet = Fleet::start(slow());
        for engine in fleet.engines.iter().filter(|e| e.name.starts_with("north")) {
            fault(&engine.address, &json!({"garbage": mode}));
        }
        for caller in send_all(&completions(&fleet, 8)) {
            let (completion, answer) = caller.join().expect("the caller ends");
            assert!(is_prefix(&completion, &answer), "{mode}: {answer:?}");
            assert!(
                !answer.done || is_correct(&completion, &answer),
                "{mode}: {answer:?}"
            );
            assert_ne!(answer.outcome(), "lost", "{mode}: {answer:?}");
        }
    }
}

#[test]
fn a_poison_request_is_stopped_from_spreading() {
    let fleet = Fleet::start(Layout {
        engines_per_zone: 2,
        ..slow()
    });
    let poison = Completion {
        timeout_ms: Some(8000),
        ..fleet.completion(0, "CRASH-MARK in a prompt", 5)
    };
    for round in 0..6 {
        let completion = Completion {
            address: fleet.daemons[round].caller.clone(),
            ..poison.clone()
        };
        let answer = complete(&completion);
        assert!(!answer.done, "{answer:?}");
        std::thread::sleep(Duration::from_millis(300));
    }
    let crashes = fleet.engine_sum("crashes");
    assert!(crashes <= 2, "{crashes} upstreams crashed by one request");
    std::thread::sleep(Duration::from_secs(4));
    let last = complete(&Completion {
        address: fleet.daemons[5].caller.clone(),
        ..poison
    });
    assert_eq!(last.error.expect("a refusal")["code"], "quarantined");
    let good = fleet.completion(3, "an innocent question", 5);
    assert!(is_correct(&good, &complete(&good)));
}
