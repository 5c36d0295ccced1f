//! Tests that a store which comes back from an older copy of itself neither revives what had ended nor
//! hides what changes after it.

mod common;

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use common::platform::{Deployment, Request, call, configuration, send, wait_until};
use primrosehoist::coordination::gossip::{Datagram, Info, State};
use primrosehoist::protocol::gossip;
use primrosehoist::state::versions::{Revision, Versions};
use serde_json::json;

/// The time within which a change is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Starts a deployment and keeps a copy of its store.
fn start(daemons: u8) -> Deployment {
    let deployment = Deployment::ready(daemons);
    control(&deployment, "copy");
    deployment
}

fn control(deployment: &Deployment, command: &str) {
    let path = format!("/standin/{command}");
    assert_eq!(call(&deployment.store, "POST", &path, "").status, 200);
}

/// Writes the entry of a runner `count` times, so that the revision rises.
fn write_often(deployment: &Deployment, count: usize) {
    for slots in 0..count {
        let mut entry = deployment.entry(2, "ready");
        entry["Slots"] = json!(8 + slots % 2);
        deployment.put("servers", &deployment.runners[2].id, &entry);
    }
    std::thread::sleep(Duration::from_millis(600));
}

/// Goes back to the copy, and waits until the daemons have noticed.
fn restore(deployment: &Deployment) {
    control(deployment, "restore");
    std::thread::sleep(Duration::from_millis(1500));
}

/// Sends calls to all daemons; returns how many of them each runner has run.
fn runs(deployment: &Deployment) -> [usize; 3] {
    let mut runs = [0; 3];
    for number in 0..30 {
        let request = Request {
            body: format!("{number}").into_bytes(),
            ..Request::new("POST", "/look/1")
        };
        let daemon = &deployment.daemons[number % deployment.daemons.len()];
        let response = send(&daemon.ingress, &request);
        assert_eq!(response.status, 200, "{response:?}");
        for (runner, _) in deployment.runs(&request.id) {
            runs[runner] += 1;
        }
    }
    runs
}

#[test]
fn runner_that_drains_after_a_restore_gets_no_requests() {
    let deployment = start(2);
    write_often(&deployment, 40);
    restore(&deployment);
    deployment.register(0, "draining");
    std::thread::sleep(APPLY_TIME);
    assert_eq!(runs(&deployment)[0], 0);
    deployment.delete("servers", &deployment.runners[1].id);
    std::thread::sleep(APPLY_TIME);
    assert_eq!(runs(&deployment)[..2], [0, 0]);
}

#[test]
fn zone_that_is_evacuated_after_a_restore_gets_no_requests() {
    let deployment = start(2);
    write_often(&deployment, 40);
    deployment.put("evacuations", "zone-b", &json!({}));
    deployment.delete("evacuations", "zone-b");
    std::thread::sleep(Duration::from_millis(600));
    restore(&deployment);
    deployment.put("evacuations", "zone-a", &json!({}));
    std::thread::sleep(APPLY_TIME);
    assert_eq!(runs(&deployment)[..2], [0, 0]);
    deployment.delete("evacuations", "zone-a");
    std::thread::sleep(APPLY_TIME);
    let runs = runs(&deployment);
    assert!(runs[0] + runs[1] > 0, "{runs:?}");
}

#[test]
fn zone_whose_evacuation_the_copy_lacks_gets_no_requests_until_it_is_written_again() {
    let deployment = start(2);
    deployment.put("evacuations", "zone-a", &json!({}));
    write_often(&deployment, 2);
    control(&deployment, "restore");
    for _ in 0..3 {
        assert_eq!(runs(&deployment)[..2], [0, 0]);
        std::thread::sleep(Duration::from_millis(400));
    }
    deployment.put("evacuations", "zone-a", &json!({}));
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(runs(&deployment)[..2], [0, 0]);
}

#[test]
fn zone_that_is_not_evacuated_again_after_a_restore_returns_to_service() {
    let deployment = start(2);
    deployment.put("evacuations", "zone-a", &json!({}));
    write_often(&deployment, 2);
    control(&deployment, "restore");
    std::thread::sleep(Duration::from_secs(5));
    let runs = runs(&deployment);
    assert!(runs[0] + runs[1] > 0, "{runs:?}");
}

#[test]
fn runners_that_drain_or_have_left_are_not_revived_by_the_copy() {
    let deployment = start(2);
    deployment.register(0, "draining");
    deployment.delete("servers", &deployment.runners[1].id);
    write_often(&deployment, 2);
    control(&deployment, "restore");
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(runs(&deployment)[..2], [0, 0]);
    }
}

#[test]
fn runner_that_the_copy_lacks_stays_in_use_until_it_registers_again() {
    let deployment = Deployment::ready(2);
    for index in [0, 1] {
        deployment.delete("servers", &deployment.runners[index].id);
    }
    control(&deployment, "copy");
    deployment.register(0, "ready");
    write_often(&deployment, 2);
    control(&deployment, "restore");
    deployment.register(2, "draining");
    for _ in 0..3 {
        std::thread::sleep(Duration::from_millis(300));
        assert!(runs(&deployment)[0] > 0);
    }
    deployment.register(0, "ready");
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(runs(&deployment), [30, 0, 0]);
}

#[test]
fn newest_configuration_outlives_a_restore_and_the_next_one_is_in_force_in_time() {
    let deployment = start(2);
    let with_route = |version: u64, path: &str| {
        let mut spec = configuration(version);
        let routes = spec["Routes"].as_array_mut().expect("routes");
        let mut route = routes[1].clone();
        route["Name"] = json!("added");
        route["PathPrefix"] = json!(path);
        routes.push(route);
        spec
    };
    let status = |path: &str| {
        let statuses = deployment.daemons.iter().map(|daemon| {
            let request = Request::new("POST", path);
            send(&daemon.ingress, &request).status
        });
        statuses.collect::<Vec<_>>()
    };
    deployment.configure(&with_route(5, "/added/"));
    write_often(&deployment, 40);
    assert_eq!(status("/added/1"), [200, 200]);
    control(&deployment, "restore");
    for _ in 0..4 {
        assert_eq!(status("/added/1"), [200, 200]);
        std::thread::sleep(Duration::from_millis(400));
    }
    deployment.configure(&with_route(6, "/next/"));
    std::thread::sleep(APPLY_TIME);
    assert_eq!(status("/next/1"), [200, 200]);
    assert_eq!(status("/added/1"), [404, 404]);
}

#[test]
fn daemons_that_the_copy_lacks_register_again() {
    let deployment = Deployment::ready(1);
    let is_registered = || {
        let path = "/primrosehoist/objects/daemons/frontend-0";
        call(&deployment.store, "GET", path, "").status == 200
    };
    assert!(is_registered());
    deployment.delete("daemons", "frontend-0");
    control(&deployment, "copy");
    control(&deployment, "restore");
    wait_until("the daemon is registered again", is_registered);
}

/// Guards against writes as long as the answers of the store are lost.
#[test]
fn daemon_whose_registration_gets_no_answer_registers_once() {
    let mut deployment = Deployment::without_daemons();
    deployment.set_store_faults(&json!({"lose_writes": true}));
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    std::thread::sleep(Duration::from_secs(3));
    let path = "/primrosehoist/objects/daemons/frontend-0";
    assert_eq!(call(&store, "GET", path, "").status, 200);
    let writes = deployment.daemons[0]
        .logged()
        .matches("registration failed")
        .count();
    assert_eq!(writes, 1);
}

/// Guards against a daemon that registers without end since another one knows of a later era.
#[test]
fn daemon_registers_once_for_an_era_that_its_store_does_not_tell() {
    let deployment = Deployment::ready(1);
    let address = format!("{}.60:7340", deployment.network);
    let other = json!({"Address": format!("{}.60", deployment.network), "Zone": "zone-a"});
    deployment.put("daemons", "other", &other);
    let socket = UdpSocket::bind(address).expect("the port is free");
    let era = Revision { era: 9, number: 1 };
    let tell = |number| {
        let datagram = Datagram::State(State {
            host: Arc::from("other"),
            zone: Arc::from("zone-a"),
            sequence: (1, number),
            info: Info {
                versions: Versions {
                    upstreams: era,
                    ..Versions::default()
                },
                ..Info::default()
            },
            load: Vec::new(),
        });
        let bytes = gossip::encode(&datagram).expect("it is encoded");
        let daemon = format!("{}.40:7340", deployment.network);
        socket.send_to(&bytes, daemon).expect("it is sent");
    };
    let count = || {
        let log = deployment.daemons[0].logged();
        log.matches("registering again").count()
    };
    let mut number = 0;
    while count() == 0 {
        number += 1;
        assert!(number < 100, "the daemon does not register again");
        tell(number);
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(count(), 1);
}
