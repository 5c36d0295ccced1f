//! Tests of zones, leaving upstreams, configuration changes, and concurrent operators.

mod common;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use common::caller::{complete, is_correct};
use common::load::{Load, Plan, assert_correct};
use common::{Fleet, Layout, fault, now_ms, received, text};

/// The time within which a change must be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);

/// Returns the number of attempts that an upstream received after `time_ms`, in milliseconds since
/// the Unix epoch.
fn received_after(address: &str, time_ms: u64) -> usize {
    received(address, time_ms, u64::MAX).len()
}

/// Waits beyond the time by which a change must be in force, and returns that time.
fn wait_in_force(accepted_ms: u64) -> u64 {
    let deadline = accepted_ms + IN_FORCE_WITHIN.as_millis() as u64;
    std::thread::sleep(IN_FORCE_WITHIN + Duration::from_secs(3));
    deadline
}

#[test]
fn a_zone_taken_out_gets_no_new_work_and_completes_its_own() {
    let fleet = Fleet::start(Layout::default());
    let load = Load::start(&fleet, &[0, 1, 2, 3, 4, 5], &Plan::default());
    std::thread::sleep(Duration::from_secs(1));
    let out = fleet.tool(&[
        "zone",
        "out",
        "zone-a",
        "--author",
        "tests",
        "--reason",
        "power work",
    ]);
    assert!(out.status.success(), "{}", text(&out));
    let deadline = wait_in_force(now_ms());
    for engine in fleet.engines.iter().filter(|e| e.zone == "zone-a") {
        assert_eq!(
            received_after(&engine.address, deadline),
            0,
            "{} got new work",
            engine.name
        );
    }
    let back = fleet.tool(&[
        "zone",
        "in",
        "zone-a",
        "--author",
        "tests",
        "--reason",
        "work is done",
    ]);
    assert!(back.status.success(), "{}", text(&back));
    let returned = now_ms();
    std::thread::sleep(IN_FORCE_WITHIN);
    assert_correct(&load.stop(), "all", 1, |_| true);
    let zone: Vec<_> = fleet
        .engines
        .iter()
        .filter(|e| e.zone == "zone-a" && e.name.starts_with("north"))
        .collect();
    assert!(
        zone.iter()
            .any(|e| received_after(&e.address, returned) > 0),
        "the zone serves again"
    );
    assert_eq!(fleet.engine_sum("overloads"), 0);
}

#[test]
fn an_upstream_that_leaves_gets_no_new_work() {
    let fleet = Fleet::start(Layout::default());
    let load = Load::start(&fleet, &[0, 1, 2, 3], &Plan::default());
    std::thread::sleep(Duration::from_secs(1));
    let engine = fleet
        .engines
        .iter()
        .find(|e| e.name.starts_with("north"))
        .expect("north has engines");
    let out = fleet.tool(&[
        "upstream",
        "leave",
        &engine.name,
        "--author",
        "tests",
        "--reason",
        "repair",
    ]);
    assert!(out.status.success(), "{}", text(&out));
    let deadline = wait_in_force(now_ms());
    assert_eq!(received_after(&engine.address, deadline), 0);
    assert_correct(&load.stop(), "all", 1, |_| true);
}

#[test]
fn at_least_one_concurrent_operator_succeeds() {
    let fleet = Arc::new(Fleet::start(Layout::default()));
    let operators: Vec<_> = ["ada", "ben", "cleo", "dan"]
        .into_iter()
        .map(|author| {
            let fleet = Arc::clone(&fleet);
            std::thread::spawn(move || {
                let output = fleet.tool(&[
                    "zone", "out", "zone-b", "--author", author, "--reason", "race",
                ]);
                (output.status.code(), text(&output))
            })
        })
        .collect();
    let results: Vec<_> = operators
        .into_iter()
        .map(|o| o.join().expect("the operator ends"))
        .collect();
    let won = results.iter().filter(|(code, _)| *code == Some(0)).count();
    assert!(won >= 1, "{results:?}");
    for (code, output) in &results {
        assert!(matches!(code, Some(0 | 4)), "{output}");
        if *code == Some(4) {
            assert!(
                ["ada", "ben", "cleo", "dan"]
                    .iter()
                    .any(|a| output.contains(a)),
                "the output names the winner: {output}"
            );
        }
    }
    let audit = fleet.tool(&["audit", "--output", "json"]);
    assert!(text(&audit).contains("race"), "{}", text(&audit));
}

#[test]
fn a_new_daemon_gets_the_configuration_while_the_platform_is_down() {
    let mut fleet = Fleet::start(Layout::default());
    fault(&fleet.platform, &json!({"down": true}));
    let mut process = fleet.daemons[2].process.take().expect("the daemon runs");
    process.kill();
    let address = fleet.platform.clone();
    // The control endpoints of the stand-in stay available, so the daemon can be registered.
    fleet.start_daemon(2);
    fleet.wait_version(1, Duration::from_secs(10));
    let completion = fleet.completion(2, "a question after the restart", 8);
    common::wait(Duration::from_secs(20), "the new daemon serves", || {
        is_correct(&completion, &complete(&completion))
    });
    fault(&address, &json!({"down": false}));
}

#[test]
fn a_lost_answer_to_a_publish_is_resolved_by_reading_back() {
    let fleet = Fleet::start(Layout::default());
    fault(&fleet.platform, &json!({"lose_answers_percent": 100}));
    let mut operator = std::thread::scope(|scope| {
        let thread = scope.spawn(|| {
            fleet.tool(&[
                "zone",
                "out",
                "zone-c",
                "--author",
                "tests",
                "--reason",
                "lost answer",
            ])
        });
        std::thread::sleep(Duration::from_secs(2));
        fault(&fleet.platform, &json!({"lose_answers_percent": 0}));
        thread.join().expect("the operator ends")
    });
    operator.stdout.append(&mut operator.stderr);
    let output = String::from_utf8_lossy(&operator.stdout).into_owned();
    assert!(operator.status.success(), "{output}");
    fleet.wait_version(2, IN_FORCE_WITHIN);
    assert!(
        (0..fleet.daemons.len()).all(|i| fleet.status(i)["version"] == 2),
        "exactly one change"
    );
}

#[test]
fn a_fleet_keeps_serving_while_the_platform_is_down() {
    let fleet = Fleet::start(Layout::default());
    fault(&fleet.platform, &json!({"down": true}));
    std::thread::sleep(Duration::from_secs(5));
    let load = Load::start(&fleet, &[0, 1, 2, 3, 4, 5], &Plan::default());
    std::thread::sleep(Duration::from_secs(6));
    let records = load.stop();
    fault(&fleet.platform, &json!({"down": false}));
    assert_correct(&records, "all", 11, |_| true);
}
