//! Tests that a daemon notices when the store never answers a watch, although it answers all other calls.

mod common;

use std::time::Duration;

use common::platform::{Deployment, Request, configuration, send};
use serde_json::{Value, json};

/// The time within which a change is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Starts a deployment whose daemons have all lost their watches of one kind of object a while ago. `change`
/// writes an object of that kind, which answers the watches that were sent before.
fn start_with_lost_watches<C>(change: C) -> Deployment
where
    C: FnOnce(&Deployment),
{
    let deployment = Deployment::ready(2);
    deployment.set_store_faults(&json!({"lose_watches": true}));
    change(&deployment);
    // All daemons have sent the next watch, which the store loses.
    std::thread::sleep(Duration::from_millis(600));
    deployment.set_store_faults(&json!({}));
    // The staleness bounds hold again after this time.
    std::thread::sleep(Duration::from_secs(3));
    deployment
}

/// Returns a configuration whose only workspace has `key`.
fn configuration_with_key(version: u64, key: &str) -> Value {
    let mut spec = configuration(version);
    spec["Tenants"][0]["ApiKeys"] = json!([key]);
    spec
}

/// Asserts that all daemons accept requests with the key `current`, and none with `former`.
fn assert_only_key(deployment: &Deployment, current: &'static str, former: &'static str) {
    for daemon in &deployment.daemons {
        let status = |key| {
            let request = Request {
                key,
                ..Request::new("GET", "/look/1")
            };
            send(&daemon.ingress, &request).status
        };
        assert_eq!((status(former), status(current)), (401, 200));
    }
}

/// Guards against a configuration that is late on all daemons after a short silence of the store.
#[test]
fn configuration_takes_effect_in_time_after_a_watch_was_lost() {
    let deployment = start_with_lost_watches(|deployment| {
        deployment.configure(&configuration_with_key(2, "second-key"));
    });
    deployment.configure(&configuration_with_key(3, "third-key"));
    std::thread::sleep(APPLY_TIME);
    assert_only_key(&deployment, "third-key", "second-key");
}

/// Guards against a configuration that is late if the store discards its history while the watches are lost.
#[test]
fn configuration_takes_effect_in_time_if_history_is_discarded_after_a_watch_was_lost() {
    let deployment = start_with_lost_watches(|deployment| {
        deployment.configure(&configuration_with_key(2, "second-key"));
    });
    // Lost watches are not answered, although the store ends all others.
    deployment.configure(&configuration_with_key(3, "third-key"));
    deployment.forget_history();
    std::thread::sleep(APPLY_TIME);
    assert_only_key(&deployment, "third-key", "second-key");
}

/// Guards against requests to a runner that drains after a short silence of the store.
#[test]
fn draining_runner_gets_no_requests_after_a_watch_was_lost() {
    let deployment = start_with_lost_watches(|deployment| {
        let mut entry = deployment.entry(2, "ready");
        entry["Slots"] = json!(8);
        deployment.put("servers", &deployment.runners[2].id, &entry);
    });
    deployment.register(0, "draining");
    std::thread::sleep(APPLY_TIME);
    assert!(!deployment.uses_first_runners(1));
}

/// Guards against requests to a zone that is evacuated after a short silence of the store.
#[test]
fn evacuated_zone_gets_no_requests_after_a_watch_was_lost() {
    let deployment = start_with_lost_watches(|deployment| {
        deployment.put("evacuations", "zone-c", &json!({}));
    });
    deployment.put("evacuations", "zone-a", &json!({}));
    std::thread::sleep(APPLY_TIME);
    assert!(!deployment.uses_first_runners(2));
}
