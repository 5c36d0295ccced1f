//! Tests that a daemon misses no change that is made while it reads the pages of a list.

mod common;

use std::time::Duration;

use common::platform::{Deployment, Request, send};
use serde_json::json;

/// The time within which a change is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// How long the store holds back each page.
const PAGE_DELAY: Duration = Duration::from_millis(600);

/// Makes the daemon list again, and runs `change` after the first page was read and before the next one.
fn change_between_pages<C>(deployment: &Deployment, change: C)
where
    C: FnOnce(),
{
    let delay_ms = PAGE_DELAY.as_millis() as u64;
    deployment.set_store_faults(&json!({"list_delay_ms": delay_ms}));
    deployment.forget_history();
    std::thread::sleep(PAGE_DELAY / 2);
    change();
    std::thread::sleep(APPLY_TIME);
    deployment.set_store_faults(&json!({}));
}

/// Returns whether the daemon sends requests to one of the first `count` runners.
fn uses_first_runners(deployment: &Deployment, count: usize) -> bool {
    let mut requests = (0..16).map(|number| {
        // Requests with different bodies are spread over the runners.
        let request = Request {
            body: format!("body {number}").into_bytes(),
            ..Request::new("GET", "/look/1")
        };
        assert_eq!(send(&deployment.daemons[0].ingress, &request).status, 200);
        deployment.runs(&request.id)[0].0 < count
    });
    requests.any(|uses| uses)
}

/// Guards against requests to a runner that began to drain between two pages of a list.
#[test]
fn runner_that_drains_between_two_pages_gets_no_requests() {
    let deployment = Deployment::ready(1);
    let last = |slots: u64| {
        let mut entry = deployment.entry(2, "draining");
        entry["Slots"] = json!(slots);
        deployment.put("servers", "z-on-the-second-page", &entry);
    };
    last(8);
    change_between_pages(&deployment, || {
        deployment.register(0, "draining");
        last(9);
    });
    assert!(!uses_first_runners(&deployment, 1));
}

/// Guards against requests to a runner whose entry was removed between two pages of a list.
#[test]
fn runner_that_is_removed_between_two_pages_gets_no_requests() {
    let deployment = Deployment::ready(1);
    let last = |slots: u64| {
        let mut entry = deployment.entry(2, "draining");
        entry["Slots"] = json!(slots);
        deployment.put("servers", "z-on-the-second-page", &entry);
    };
    last(8);
    change_between_pages(&deployment, || {
        deployment.delete("servers", &deployment.runners[0].id);
        last(9);
    });
    assert!(!uses_first_runners(&deployment, 1));
}

/// Guards against requests to a zone that was evacuated between two pages of a list.
#[test]
fn zone_that_is_evacuated_between_two_pages_gets_no_requests() {
    let deployment = Deployment::ready(1);
    for zone in ["zone-m", "zone-n", "zone-o", "zone-p"] {
        deployment.put("evacuations", zone, &json!({}));
    }
    change_between_pages(&deployment, || {
        deployment.put("evacuations", "zone-a", &json!({}));
        deployment.put("evacuations", "zone-p", &json!({}));
    });
    assert!(!uses_first_runners(&deployment, 2));
}
