//! Tests that an operator can ask where a request would go, without sending it.

mod common;

use std::process::{Command, Output};
use std::time::Duration;

use common::platform::{Deployment, HOST, Request, send, start_request, wait_until};
use common::process::program;
use serde_json::Value;

fn explain(deployment: &Deployment, more: &[&str]) -> Output {
    let mut command = Command::new(program("primrosehoist"));
    let daemon = &deployment.daemons[0].metrics;
    command.args(["explain", "--daemon", daemon, "--host", HOST]);
    command.args(more).output().expect("the tool runs")
}

fn explained(deployment: &Deployment, path: &str) -> Value {
    let more = [
        "--path",
        path,
        "--workspace",
        "rope",
        "--prompt-tokens",
        "2000",
        "--answer-tokens",
        "40",
        "--output",
        "json",
    ];
    let output = explain(deployment, &more);
    serde_json::from_slice(&output.stdout).unwrap_or_else(|error| panic!("{error}: {output:?}"))
}

/// Returns the upstreams of a part of an explanation.
fn upstreams(part: &Value) -> Vec<&str> {
    let entries = part.as_array().expect("a list").iter();
    let names = entries.map(|entry| entry["upstream"].as_str().expect("a name"));
    names.collect()
}

#[test]
fn a_request_goes_where_the_explanation_says_and_the_explanation_sends_nothing() {
    let deployment = Deployment::ready(1);
    // One upstream is busy, so the choice does not hang on a tie.
    let _busy = start_request(&deployment.daemons[0].ingress, &Request::stream(2000, 400));
    wait_until("it runs", || {
        let shown = explained(&deployment, "/ask/1");
        let candidates = shown["candidates"].as_array().expect("a list");
        candidates.iter().any(|one| one["running"] == 1)
    });
    let total = || -> usize {
        {
            let counts = (0..deployment.runners.len()).map(|index| deployment.counts(index));
            counts
                .map(|counts| counts["runs"].as_array().expect("runs").len())
                .sum()
        }
    };
    // The daemon counts it before it has reached the upstream.
    wait_until("it has begun", || total() == 1);
    let shown = explained(&deployment, "/ask/1");
    println!("{shown:#}");
    assert_eq!(total(), 1, "nothing is sent");
    assert_eq!(shown["route"], "ask");
    assert_eq!(shown["service"], "model");
    assert_eq!(shown["refused_on_arrival"], 0.0);
    assert_eq!(shown["decision"]["action"], "send");
    assert_eq!(
        upstreams(&shown["candidates"]).len(),
        deployment.runners.len()
    );
    let request = Request::stream(2000, 4);
    assert_eq!(send(&deployment.daemons[0].ingress, &request).status, 200);
    let runs = deployment.runs(&request.id);
    let ran = &deployment.runners[runs[0].0].id;
    assert_eq!(shown["decision"]["upstream"], ran.as_str());
}

#[test]
fn upstreams_that_are_left_out_are_named_with_the_reason() {
    let deployment = Deployment::ready(1);
    deployment.register(0, "draining");
    wait_until("it is left out", || {
        let shown = explained(&deployment, "/ask/1");
        upstreams(&shown["left_out"]) == [deployment.runners[0].id.as_str()]
    });
    std::thread::sleep(Duration::from_millis(50));
    let text = explain(&deployment, &["--path", "/look/1"]);
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    println!("{text}");
    assert!(text.contains("goes to "), "{text}");
    assert!(text.contains("left out, not_in_service"), "{text}");
}

#[test]
fn a_path_without_a_route_is_an_error() {
    let deployment = Deployment::ready(1);
    let output = explain(&deployment, &["--path", "/none"]);
    println!("{output:?}");
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
}
