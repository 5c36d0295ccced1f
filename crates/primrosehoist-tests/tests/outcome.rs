//! One request: whole, or refused honestly, within its time limit, and its memory given back.

mod common;

use std::time::{Duration, Instant};

use serde_json::json;

use common::caller::{Answer, Ask, complete, prefix, whole};
use common::{Fleet, Layout, counts, fault};

/// Time for an answer to pass all processes after its limit.
const SLACK: Duration = Duration::from_secs(2);

fn slow() -> Layout {
    Layout {
        engine_arguments: vec!["--prefill-rate", "100000", "--decode-ms", "15"],
        ..Layout::default()
    }
}

fn started(asks: &[Ask]) -> Vec<std::thread::JoinHandle<(Ask, Answer)>> {
    let spawn = |ask: Ask| {
        std::thread::spawn(move || {
            let answer = complete(&ask);
            (ask, answer)
        })
    };
    asks.iter().cloned().map(spawn).collect()
}

fn asks(fleet: &Fleet, tokens: usize) -> Vec<Ask> {
    (0..fleet.daemons.len())
        .map(|i| fleet.ask(i, &format!("ask {i} {}", "w ".repeat(300)), tokens))
        .collect()
}

/// Waits until no engine runs anything or owns memory without a request.
fn wait_idle(fleet: &Fleet) {
    common::wait(
        Duration::from_secs(30),
        "no engine keeps work or memory",
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
fn an_engine_that_dies_leaves_whole_or_incomplete_answers() {
    let fleet = Fleet::start(slow());
    let callers = started(&asks(&fleet, 80));
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
        let (ask, answer) = caller.join().expect("the caller ends");
        match answer.outcome().as_str() {
            "complete" => assert!(whole(&ask, &answer), "{answer:?}"),
            "incomplete" => assert!(
                prefix(&ask, &answer) && !answer.tokens.is_empty(),
                "{answer:?}"
            ),
            other => panic!("{other}: {answer:?}"),
        }
    }
    wait_idle(&fleet);
}

#[test]
fn an_engine_that_refuses_is_gone_round() {
    let fleet = Fleet::start(slow());
    let engine = fleet
        .engines
        .iter()
        .find(|e| e.name.starts_with("north"))
        .expect("north has engines");
    fault(&engine.address, &json!({"refuse": true}));
    for caller in started(&asks(&fleet, 5)) {
        let (ask, answer) = caller.join().expect("the caller ends");
        assert!(whole(&ask, &answer), "{answer:?}");
    }
}

#[test]
fn an_engine_that_stays_down_costs_no_request() {
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
        for caller in started(&asks(&fleet, 4)) {
            let (ask, answer) = caller.join().expect("the caller ends");
            assert!(whole(&ask, &answer), "round {round}: {answer:?}");
        }
    }
}

#[test]
fn a_stream_survives_the_death_of_its_holder() {
    let mut fleet = Fleet::start(slow());
    // Two callers through each zone's first daemon; the second daemons are killed as holders.
    let asks: Vec<Ask> = [0, 2, 4]
        .into_iter()
        .map(|i| fleet.ask(i, &format!("long {i} {}", "w ".repeat(300)), 600))
        .collect();
    let callers = started(&asks);
    std::thread::sleep(Duration::from_millis(700));
    for index in [1, 3, 5] {
        fleet.daemons[index]
            .process
            .take()
            .expect("the daemon runs")
            .kill();
    }
    for caller in callers {
        let (ask, answer) = caller.join().expect("the caller ends");
        assert!(
            whole(&ask, &answer),
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
    let limited: Vec<Ask> = asks(&fleet, 5)
        .into_iter()
        .map(|ask| Ask {
            timeout_ms: Some(1500),
            ..ask
        })
        .collect();
    let start = Instant::now();
    for caller in started(&limited) {
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
fn a_caller_that_goes_away_frees_the_engine() {
    let fleet = Fleet::start(slow());
    let ask = fleet.ask(0, "a caller that leaves", 4000);
    let body =
        json!({"model": ask.model, "prompt": ask.prompt, "max_tokens": 4000, "stream": true})
            .to_string();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        ask.key,
        body.len(),
    );
    let mut stream = std::net::TcpStream::connect(&ask.address).expect("the daemon listens");
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
fn garbage_from_an_engine_never_reaches_a_caller() {
    for mode in ["malformed", "half", "double"] {
        let fleet = Fleet::start(slow());
        for engine in fleet.engines.iter().filter(|e| e.name.starts_with("north")) {
            fault(&engine.address, &json!({"garbage": mode}));
        }
        for caller in started(&asks(&fleet, 8)) {
            let (ask, answer) = caller.join().expect("the caller ends");
            assert!(prefix(&ask, &answer), "{mode}: {answer:?}");
            assert!(!answer.done || whole(&ask, &answer), "{mode}: {answer:?}");
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
    let poison = Ask {
        timeout_ms: Some(8000),
        ..fleet.ask(0, "CRASH-MARK in a prompt", 5)
    };
    for round in 0..6 {
        let ask = Ask {
            address: fleet.daemons[round].caller.clone(),
            ..poison.clone()
        };
        let answer = complete(&ask);
        assert!(!answer.done, "{answer:?}");
        std::thread::sleep(Duration::from_millis(300));
    }
    let crashes = fleet.engine_sum("crashes");
    assert!(crashes <= 2, "{crashes} upstreams lost to one request");
    std::thread::sleep(Duration::from_secs(4));
    let last = complete(&Ask {
        address: fleet.daemons[5].caller.clone(),
        ..poison
    });
    assert_eq!(last.error.expect("a refusal")["code"], "quarantined");
    let good = fleet.ask(3, "an innocent question", 5);
    assert!(whole(&good, &complete(&good)));
}
