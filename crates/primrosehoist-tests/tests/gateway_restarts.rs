//! Tests restarts of gateway daemons and outages of the store, with real daemon processes and
//! stand-ins for the store and the runners.

mod common;

use std::cmp::Reverse;
use std::io::Write;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::platform::{
    Deployment, KEY, Request, call, configuration, connect, receive, send, start_request,
    wait_until,
};
use primrosehoist::coordination::gossip::{Change, Datagram, Info, State, Update};
use primrosehoist::coordination::{rendezvous, watchers};
use primrosehoist::protocol::gossip;
use primrosehoist::state::versions::Revision;
use serde_json::{Value, json};

/// All daemons lose their state right after a configuration was accepted. They must recover the
/// newest configuration, the runners and each other from the store.
#[test]
fn simultaneous_restart_serves_the_last_accepted_configuration() {
    let mut deployment = Deployment::ready(2);
    let mut newest = configuration(2);
    newest["Routes"][0]["PathPrefix"] = "/moved/".into();
    deployment.configure(&newest);
    for daemon in &mut deployment.daemons {
        daemon
            .process
            .as_mut()
            .expect("the process is running")
            .kill();
    }
    let started = Instant::now();
    for index in 0..2 {
        deployment.start_daemon(index);
    }
    for index in 0..2 {
        deployment.wait_until_ready(index);
        let address = &deployment.daemons[index].ingress;
        let moved = Request {
            path: String::from("/moved/1"),
            ..Request::stream(5000, 4)
        };
        let response = send(address, &moved);
        assert!(response.complete && response.status == 200, "{response:?}");
        assert_eq!(send(address, &Request::stream(5000, 4)).status, 404);
    }
    // Users tolerate 12 s; a daemon needs about two calls to the store.
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(5), "{elapsed:?}");
    // Divided limits are even again once the daemons have discovered each other.
    for (index, other) in [(0, "frontend-1"), (1, "frontend-0")] {
        wait_until("the daemons discover each other", || {
            let logged = std::fs::read_to_string(&deployment.daemons[index].log);
            let logged = logged.expect("failed to read the log");
            let last = logged.rfind("daemon started").unwrap_or_default();
            logged[last..].contains(other)
        });
    }
}

/// The streams of a killed daemon end without their last chunk, so clients can tell that they are
/// incomplete; another daemon serves the retries.
#[test]
fn stream_of_a_killed_daemon_is_incomplete() {
    let mut deployment = Deployment::ready(2);
    let request = Request::stream(5000, 400);
    let mut connection = start_request(&deployment.daemons[0].ingress, &request);
    wait_until("the stream is running", || {
        !deployment.runs(&request.id).is_empty()
    });
    deployment.daemons[0]
        .process
        .as_mut()
        .expect("the process is running")
        .kill();
    let response = receive(&mut connection);
    assert!(!response.complete, "{response:?}");
    let retried = send(&deployment.daemons[1].ingress, &Request::stream(5000, 4));
    assert!(retried.complete && retried.status == 200, "{retried:?}");
    // The runner cancels the work when its connection closes.
    let running = || {
        (0..3)
            .map(|index| {
                deployment.counts(index)["running"]
                    .as_u64()
                    .expect("invalid count")
            })
            .sum::<u64>()
    };
    wait_until("the work is cancelled", || running() == 0);
}

/// A watch that is sent while the store is silent never gets a response. The daemon must not wait
/// for it after the store has recovered.
#[test]
fn change_after_a_silent_store_outage_takes_effect_in_time() {
    let mut deployment = Deployment::ready(2);
    // Only the last daemon is left, which uses the second address of the store.
    deployment.daemons[0]
        .process
        .as_mut()
        .expect("the process is running")
        .kill();
    deployment.set_store_faults(&json!({"mode": "silent", "also_only": true}));
    let configure = |version, key: &str| {
        let mut next = configuration(version);
        next["Tenants"][0]["ApiKeys"] = json!([key]);
        deployment.configure(&next);
    };
    // The pending watch returns this change, and the next watch is lost.
    configure(2, "second-key");
    std::thread::sleep(Duration::from_secs(3));
    deployment.set_store_faults(&json!({"mode": "none"}));
    // The staleness bounds hold again after this time, so the next change must take effect within
    // the following 2 s.
    std::thread::sleep(Duration::from_secs(3));
    configure(3, "third-key");
    std::thread::sleep(Duration::from_secs(2));
    let request = Request {
        key: "third-key",
        ..Request::new("GET", "/look/1")
    };
    let response = send(&deployment.daemons[1].ingress, &request);
    assert_eq!(response.status, 200, "{response:?}");
}

/// The entry of a runner is removed while the daemons that follow the store cannot reach it. They use
/// the runner a little longer, since the entry may only have expired. The daemons that get the list
/// from them must stop when they do.
#[test]
fn runner_that_left_during_a_store_outage_gets_no_requests_from_any_daemon() {
    const DAEMONS: u8 = 18;
    let mut ranked: Vec<u8> = (0..DAEMONS).collect();
    ranked.sort_by_key(|index| Reverse(rendezvous::weight("store", &format!("frontend-{index}"))));
    let followers = &ranked[..watchers::FOLLOWERS_PER_ZONE];
    let deployment = Deployment::ready_with(DAEMONS, |index| followers.contains(&index));
    deployment.set_store_faults(&json!({"mode": "busy", "also_only": true}));
    deployment.forget_history();
    std::thread::sleep(Duration::from_millis(1500));
    deployment.delete("servers", &deployment.runners[0].id);
    deployment.set_store_faults(&json!({"mode": "none"}));
    // The followers are back, and still use the runner when the next change makes the others ask
    // them for the list.
    std::thread::sleep(Duration::from_millis(1400));
    deployment.put("servers", &deployment.runners[2].id, &{
        let mut entry = deployment.entry(2, "ready");
        entry["Slots"] = json!(15);
        entry
    });
    // The drain time, counted from when the followers learned that the entry was removed.
    std::thread::sleep(Duration::from_millis(2200));
    assert!(!deployment.uses_first_runners(1));
}

/// A runner that leaves after the store is back is not one whose entry expired: it gets no more
/// requests, although the followers of the store still wait for expired entries.
#[test]
fn runner_that_leaves_right_after_a_store_outage_gets_no_requests() {
    let deployment = Deployment::ready_with(2, |_| true);
    deployment.set_store_faults(&json!({"mode": "busy", "also_only": true}));
    deployment.forget_history();
    std::thread::sleep(Duration::from_millis(1500));
    deployment.set_store_faults(&json!({"mode": "none"}));
    // Both daemons have listed again by then.
    std::thread::sleep(Duration::from_millis(1300));
    deployment.delete("servers", &deployment.runners[0].id);
    std::thread::sleep(Duration::from_millis(200));
    assert!(!deployment.uses_first_runners(1));
}

/// Tells a daemon, as another one that was cut off from the store, that an upstream is missing with the
/// next change in the store.
fn report_missing(deployment: &Deployment, daemon: usize, id: &str) {
    const LINK_PORT: u16 = 7340;
    let ingress = &deployment.daemons[daemon].ingress;
    let ip = ingress.split(':').next().expect("an address");
    let (network, _host) = ip.rsplit_once('.').expect("an address");
    let own = format!("{network}.120");
    deployment.put(
        "daemons",
        "other",
        &json!({"Address": own, "Zone": "zone-a"}),
    );
    let socket = UdpSocket::bind((own.as_str(), LINK_PORT)).expect("failed to bind");
    let send = |datagram| {
        let bytes = gossip::encode(&datagram).expect("failed to encode");
        let sent = socket.send_to(&bytes, (ip, LINK_PORT));
        sent.expect("failed to send");
    };
    wait_until("the daemon is discovered", || {
        send(Datagram::State(State {
            host: Arc::from("other"),
            zone: Arc::from("zone-a"),
            sequence: (1, 1),
            info: Info::default(),
            load: Vec::new(),
        }));
        std::thread::sleep(Duration::from_millis(100));
        let log = std::fs::read_to_string(&deployment.daemons[daemon].log);
        log.expect("failed to read the log").contains("\"other\"")
    });
    let listed = call(
        &deployment.store,
        "GET",
        "/primrosehoist/objects/servers",
        "",
    );
    let listed: Value = serde_json::from_slice(&listed.body).expect("a list");
    let revision = Revision {
        era: 0,
        number: listed["StoreRevision"].as_u64().expect("a revision") + 1,
    };
    send(Datagram::Update(Update {
        since: Revision::default(),
        revision,
        changes: vec![Change::Remove {
            id: Arc::from(id),
            left: Duration::from_secs(2),
        }],
    }));
}

/// The store's own word that a runner has left must count, although a daemon that knows less told of it
/// first.
#[test]
fn runner_that_left_gets_no_requests_although_another_daemon_takes_it_for_missing() {
    let deployment = Deployment::ready(1);
    let id = deployment.runners[0].id.clone();
    report_missing(&deployment, 0, &id);
    std::thread::sleep(Duration::from_millis(50));
    deployment.delete("servers", &id);
    std::thread::sleep(Duration::from_millis(400));
    assert!(!deployment.uses_first_runners(1));
}

/// A daemon that was stopped for some seconds must not accept a key that was withdrawn meanwhile, nor
/// send to a runner that has left, even for requests that wait when it wakes.
#[test]
fn paused_daemon_acts_on_nothing_that_ended_meanwhile() {
    const KEYS: [&str; 4] = [KEY, "key-2", "key-3", "key-4"];
    let deployment = Deployment::ready(2);
    for round in 0..KEYS.len() - 1 {
        let (withdrawn, valid) = (KEYS[round], KEYS[round + 1]);
        // One of the first two runners leaves and the other one returns.
        let (left, back) = (round % 2, 1 - round % 2);
        let process = deployment.daemons[1].process.as_ref();
        let process = process.expect("the daemon runs");
        process.pause();
        // The store answers the pending watches with these changes, and this daemon no more.
        deployment.set_store_faults(&json!({"mode": "silent", "also_only": true}));
        let version = 2 + 2 * round as u64;
        let mut next = configuration(version);
        next["Tenants"][0]["ApiKeys"] = json!([withdrawn]);
        deployment.configure(&next);
        deployment.register(2, "ready");
        std::thread::sleep(Duration::from_millis(100));
        next["Version"] = json!(version + 1);
        next["Tenants"][0]["ApiKeys"] = json!([valid]);
        deployment.configure(&next);
        deployment.register(left, "draining");
        deployment.register(back, "ready");
        std::thread::sleep(Duration::from_millis(1500 + 700 * round as u64));
        let requests: Vec<Request> = (0..24)
            .map(|number| Request {
                key: if number % 2 == 0 { withdrawn } else { valid },
                body: format!("{round} {number}").into_bytes(),
                ..Request::new("GET", "/look/1")
            })
            .collect();
        let mut connections: Vec<_> = requests
            .iter()
            .map(|request| start_request(&deployment.daemons[1].ingress, request))
            .collect();
        process.resume();
        for (number, connection) in connections.iter_mut().enumerate() {
            let response = receive(connection);
            let expected = if number % 2 == 0 { 401 } else { 200 };
            assert_eq!(response.status, expected, "round {round}: {response:?}");
            for (runner, _) in deployment.runs(&requests[number].id) {
                assert_ne!(runner, left, "round {round}: the runner is draining");
            }
        }
        deployment.set_store_faults(&json!({"mode": "none"}));
        std::thread::sleep(Duration::from_millis(2500));
    }
}

#[test]
fn request_whose_answer_has_not_begun_when_a_shutdown_ends_is_told_so() {
    let mut deployment = Deployment::ready(1);
    let address = deployment.daemons[0].ingress.clone();
    for index in 0..deployment.runners.len() {
        deployment.set_fault(index, "hang", 2);
    }
    let process = deployment.daemons[0].process.as_mut();
    process.expect("the process is running").terminate();
    // The route's time limit of 6 s ends after the daemon, which has 8 s.
    std::thread::sleep(Duration::from_millis(2300));
    let mut connections = ["/order/1", "/ask/1"].map(|path| {
        let request = Request {
            path: path.to_owned(),
            ..Request::new("POST", path)
        };
        start_request(&address, &request)
    });
    for connection in &mut connections {
        let response = receive(connection);
        assert!(response.complete, "{response:?}");
        assert!(matches!(response.status, 502 | 504), "{response:?}");
    }
}

/// Guards against an idle daemon that ends without an answer to requests whose bodies arrive meanwhile.
#[test]
fn request_whose_body_arrives_during_a_shutdown_is_answered() {
    let mut deployment = Deployment::ready(1);
    let address = deployment.daemons[0].ingress.clone();
    for index in 0..deployment.runners.len() {
        deployment.set_fault(index, "hang", 2);
    }
    let process = deployment.daemons[0].process.as_mut();
    process.expect("the process is running").terminate();
    // The route's time limit of 6 s ends after the daemon, which has 8 s.
    std::thread::sleep(Duration::from_millis(2300));
    let mut connections = ["/order/1", "/ask/1"].map(|path| {
        let bytes = Request::new("POST", path).bytes();
        let mut connection = connect(&address);
        let sent = connection.write_all(&bytes[..bytes.len() - 1]);
        sent.expect("failed to send the request");
        (connection, bytes)
    });
    std::thread::sleep(Duration::from_secs(1));
    for (connection, bytes) in &mut connections {
        let sent = connection.write_all(&bytes[bytes.len() - 1..]);
        sent.expect("failed to send the rest of the request");
    }
    for (connection, _) in &mut connections {
        let response = receive(connection);
        assert!(response.complete, "{response:?}");
        assert!(matches!(response.status, 502..=504), "{response:?}");
    }
}
