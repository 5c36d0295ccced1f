//! The status of daemons, and the effect of the platform's list of hosts on upstreams.

mod common;

use std::thread;
use std::time::Duration;

use serde_json::json;

use common::caller::{Completion, call, complete};
use common::{Fleet, Layout, counts, wait};

/// Spans several bookmarks of the platform stand-in.
const IDLE: Duration = Duration::from_secs(6);

#[test]
fn bookmarks_do_not_reopen_watches() {
    let fleet = Fleet::start(Layout {
        daemons_per_zone: 1,
        ..Layout::default()
    });
    let calls = |key: &str| {
        let counts = counts(&fleet.platform);
        counts[key].as_u64().expect("the platform counts its calls")
    };
    // The first watches may have started before the fleet was complete.
    thread::sleep(Duration::from_secs(2));
    let before = calls("watches");
    thread::sleep(IDLE);
    let opened = calls("watches") - before;
    let daemons = fleet.daemons.len() as u64;
    assert!(
        opened < daemons,
        "{daemons} idle daemons reopened {opened} watches"
    );
}

#[test]
fn the_status_reports_the_age_of_every_other_member() {
    let mut fleet = Fleet::start(Layout {
        zones: vec!["zone-a"],
        daemons_per_zone: 3,
        ..Layout::default()
    });
    let limit = Duration::from_secs(10);
    wait(limit, "all other daemons are members", || {
        members(&fleet) == ["host-1", "host-2"]
    });
    fleet.daemons[2].process = None;
    wait(limit, "the age of the silent daemon grows", || {
        let status = fleet.status(0);
        let mut members = status["members"].as_array().into_iter().flatten();
        members.any(|member| member["host"] == "host-2" && member["age_ms"].as_u64() > Some(1_000))
    });
    wait(limit, "the silent daemon is removed", || {
        members(&fleet) == ["host-1"]
    });
}

/// Returns the hosts of the members that the first daemon reports, in the reported order.
fn members(fleet: &Fleet) -> Vec<String> {
    let status = fleet.status(0);
    let members = status["members"].as_array().into_iter().flatten();
    let hosts = members.filter_map(|member| member["host"].as_str());
    hosts.map(str::to_owned).collect()
}

#[test]
fn an_upstream_on_a_leaving_host_gets_no_requests_until_the_host_is_live() {
    let fleet = Fleet::start(Layout {
        zones: vec!["zone-a"],
        daemons_per_zone: 1,
        ..Layout::default()
    });
    let completion = Completion {
        timeout_ms: Some(2_000),
        ..fleet.completion(0, "a question", 2)
    };
    let outcome = || complete(&completion).outcome();
    let engine = &fleet.engines[0];
    let url = format!("http://{}/standin/hosts/engine-host", fleet.platform);
    let set = |state: &str| {
        let host = json!({
            "zone": "zone-a", "role": "upstream", "address": engine.address, "state": state,
        });
        let reply = call("PUT", &url, &[], &host.to_string());
        assert!(reply.status < 300, "{state}: {reply:?}");
    };
    let received = || {
        let counts = counts(&engine.address);
        counts["received"].as_u64().expect("the engine counts")
    };
    wait(Duration::from_secs(20), "the engine is ready", || {
        outcome() == "complete"
    });
    for round in 0..2 {
        set("leaving");
        wait(Duration::from_secs(4), "the host gets no requests", || {
            outcome() == "not_run"
        });
        let before = received();
        assert_eq!(outcome(), "not_run", "round {round}");
        assert_eq!(received(), before, "round {round}");
        if round == 0 {
            set("live");
        } else {
            let reply = call("DELETE", &url, &[], "");
            assert!(reply.status < 300, "delete: {reply:?}");
        }
        wait(
            Duration::from_secs(4),
            "the live host gets requests",
            || outcome() == "complete",
        );
    }
}
