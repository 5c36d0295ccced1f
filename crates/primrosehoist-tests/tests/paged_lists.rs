//! Tests that a daemon misses no change that is made while it reads the pages of a list.

mod common;

use std::time::Duration;

use common::platform::Deployment;
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

/// Runs `change` to the first runner between two pages of the list of runners, and then changes an entry of
/// the second page. Returns whether the first runner still gets requests.
fn is_used_after<C>(change: C) -> bool
where
    C: FnOnce(&Deployment),
{
    let deployment = Deployment::ready(1);
    let write_last = |slots: u64| {
        let mut entry = deployment.entry(2, "draining");
        entry["Slots"] = json!(slots);
        deployment.put("servers", "z-on-the-second-page", &entry);
    };
    write_last(8);
    change_between_pages(&deployment, || {
        change(&deployment);
        write_last(9);
    });
    deployment.uses_first_runners(1)
}

/// Guards against requests to a runner that began to drain between two pages of a list.
#[test]
fn runner_that_drains_between_two_pages_gets_no_requests() {
    assert!(!is_used_after(|deployment| {
        deployment.register(0, "draining");
    }));
}

/// Guards against requests to a runner whose entry was removed between two pages of a list.
#[test]
fn runner_that_is_removed_between_two_pages_gets_no_requests() {
    assert!(!is_used_after(|deployment| {
        deployment.delete("servers", &deployment.runners[0].id);
    }));
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
    assert!(!deployment.uses_first_runners(2));
}
