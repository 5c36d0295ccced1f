//! Tests of the request path from a caller through any daemon to an upstream and back.

mod common;

use std::time::Duration;

use common::caller::{call, complete, is_correct};
use common::{Fleet, Layout, counts};

#[test]
fn any_daemon_serves_any_model_of_the_half() {
    let fleet = Fleet::start(Layout::default());
    for index in 0..fleet.daemons.len() {
        let completion = fleet.completion(
            index,
            &format!("question {index} {}", "spool ".repeat(800)),
            12,
        );
        let answer = complete(&completion);
        assert!(
            is_correct(&completion, &answer),
            "daemon {index}: {answer:?}"
        );
        let unary = common::caller::Completion {
            stream: false,
            ..completion
        };
        let answer = complete(&unary);
        assert!(
            is_correct(&unary, &answer),
            "daemon {index}, not streamed: {answer:?}"
        );
    }
    assert_eq!(fleet.engine_sum("overloads"), 0);
}

#[test]
fn a_prompt_of_a_million_tokens_is_served() {
    let fleet = Fleet::start(Layout {
        engine_arguments: vec!["--prefill-rate", "2000000", "--decode-ms", "2"],
        ..Layout::default()
    });
    let completion = fleet.completion(0, &"reel ".repeat(800_000), 4);
    let answer = complete(&completion);
    assert!(
        is_correct(&completion, &answer),
        "{:?} {:?}",
        answer.status,
        answer.error
    );
}

#[test]
fn a_key_grants_access_only_to_its_own_half() {
    let fleet = Fleet::start(Layout::default());
    let cases = [
        ("key-north", "lens-7b", 404, "not_found"),
        ("key-south", "braid-7b", 404, "not_found"),
        ("key-other", "braid-7b", 401, "unauthorized"),
    ];
    for (key, model, status, code) in cases {
        let mut completion = fleet.completion(1, "a question", 4);
        key.clone_into(&mut completion.key);
        model.clone_into(&mut completion.model);
        let answer = complete(&completion);
        let error = answer.error.expect("a refusal has an error");
        assert_eq!(
            (answer.status, error["code"].as_str()),
            (status, Some(code)),
            "{key} {model}"
        );
        assert_eq!(error["outcome"], "not_run");
    }
    assert_eq!(fleet.engine_sum("received"), 0);
}

#[test]
fn a_plain_service_is_routed_to() {
    let fleet = Fleet::start(Layout::default());
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let url = format!(
            "http://{}/services/north-orders/orders?n={index}",
            daemon.caller
        );
        let key = format!("order-{index}");
        let headers = [
            ("authorization", "Bearer key-north"),
            ("idempotency-key", key.as_str()),
        ];
        let reply = call("POST", &url, &headers, "{\"reel\":7}");
        assert_eq!(reply.status, 200, "{reply:?}");
        assert_eq!(reply.json()["ok"], true);
    }
    let calls: usize = fleet
        .services
        .iter()
        .map(|s| counts(&s.address)["calls"].as_array().map_or(0, Vec::len))
        .sum();
    assert_eq!(calls, fleet.daemons.len());
}

#[test]
fn a_drained_daemon_finishes_its_streams_and_exits() {
    let mut fleet = Fleet::start(Layout {
        engine_arguments: vec!["--prefill-rate", "200000", "--decode-ms", "10"],
        ..Layout::default()
    });
    let completion = fleet.completion(0, &"slow ".repeat(400), 150);
    let other = common::caller::Completion {
        address: fleet.daemons[3].caller.clone(),
        ..completion.clone()
    };
    let completions = [completion, other];
    let callers: Vec<_> = completions
        .iter()
        .cloned()
        .map(|completion| std::thread::spawn(move || complete(&completion)))
        .collect();
    std::thread::sleep(Duration::from_millis(600));
    for daemon in &fleet.daemons[..4] {
        daemon
            .process
            .as_ref()
            .expect("the daemon runs")
            .terminate();
    }
    for (completion, caller) in completions.iter().zip(callers) {
        let answer = caller.join().expect("the caller ends");
        assert!(is_correct(completion, &answer), "{answer:?}");
    }
    for daemon in &mut fleet.daemons[..4] {
        let process = daemon.process.as_mut().expect("the daemon runs");
        let status = process.wait(Duration::from_secs(15));
        assert!(
            status.is_some_and(|s| s.success()),
            "{}: {status:?}",
            daemon.host
        );
    }
}
