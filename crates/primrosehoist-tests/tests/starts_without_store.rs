//! Tests starts of daemons while the platform's store does not answer, with real daemon processes.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use common::platform::{
    Daemon, Deployment, Request, Response, call, configuration, receive, send, wait_until,
};
use common::process::program;
use primrosehoist::protocol::snapshot::{Compressed, Fleet, Seed, Snapshot};
use primrosehoist::state::versions::{Revision, Versions};
use serde_json::json;
use socket2::{Domain, Socket, Type};

const AWAY: &str = "silent";
const BACK: &str = "none";

/// An outage in which entries may expire.
const OUTAGE: Duration = Duration::from_millis(1500);

/// The time in which a daemon serves that starts beside others.
const START_MAX: Duration = Duration::from_secs(5);

fn set_store(deployment: &Deployment, mode: &str) {
    deployment.set_store_faults(&json!({"mode": mode, "also_only": true}));
}

/// Prepares daemons that know the control addresses of the first three of them.
fn prepared(daemons: usize) -> Deployment {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    let control =
        |deployment: &Deployment, index| format!("{}.{}:8229", deployment.network, 40 + index);
    let own = (0..daemons.min(3)).map(|index| control(&deployment, index));
    let seeds: Vec<String> = own.collect();
    for index in 0..daemons {
        let store = format!("{}.1:7101", deployment.network);
        let daemon = deployment.prepare_daemon("zone-a", &store);
        deployment.daemons.push(daemon);
        let own = control(&deployment, index);
        let listen = format!("SeedNodes = {seeds:?}\n[Listen]\nControl = \"{own}\"\n");
        deployment.change_settings(index, "[Listen]\n", &listen);
    }
    deployment
}

/// Starts daemons that know each other.
fn ready(daemons: usize) -> Deployment {
    let mut deployment = prepared(daemons);
    for index in 0..daemons {
        deployment.start_daemon(index);
    }
    for index in 0..daemons {
        deployment.wait_until_ready(index);
        wait_until("the daemons discover each other", || {
            let log = logged(&deployment, index);
            (0..daemons)
                .all(|other| other == index || log.contains(&format!("\"frontend-{other}\"")))
        });
    }
    deployment
}

fn look(deployment: &Deployment, index: usize) -> Response {
    send(
        &deployment.daemons[index].ingress,
        &Request::new("GET", "/look/1"),
    )
}

/// Returns the runners of 24 different calls to a daemon, all of which must be served.
fn runners_of_calls(deployment: &Deployment, index: usize) -> Vec<usize> {
    let call = |number| {
        let request = Request {
            body: format!("body {number}").into_bytes(),
            ..Request::new("GET", "/look/1")
        };
        let response = send(&deployment.daemons[index].ingress, &request);
        assert_eq!(response.status, 200, "{response:?}");
        deployment.runs(&request.id)[0].0
    };
    (0..24).map(call).collect()
}

/// Restarts a daemon and waits until it serves.
fn serves_after_restart(deployment: &mut Deployment, index: usize) {
    restart(deployment, index);
    let started = Instant::now();
    deployment.wait_until_ready(index);
    let elapsed = started.elapsed();
    assert!(
        elapsed < START_MAX,
        "{elapsed:?}: {}",
        logged(deployment, index)
    );
    assert_eq!(look(deployment, index).status, 200);
}

/// Kills a daemon and starts it again, without waiting until it is ready.
fn restart(deployment: &mut Deployment, index: usize) {
    let process = deployment.daemons[index].process.as_mut();
    process.expect("the process is running").kill();
    deployment.start_daemon(index);
}

/// Returns what a daemon has logged since its last start.
fn logged(deployment: &Deployment, index: usize) -> String {
    let log = deployment.daemons[index].logged();
    let start = log.rfind("\"daemon started\"").unwrap_or_default();
    log[start..].to_owned()
}

fn waits_for(deployment: &Deployment, index: usize, need: &str) -> Option<bool> {
    let page = call(&deployment.daemons[index].metrics, "GET", "/metrics", "");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let mut lines = page.lines().filter(|line| {
        line.starts_with("primrosehoist_start_waits{") && line.contains(&format!("\"{need}\""))
    });
    Some(lines.next()?.ends_with(" 1"))
}

#[test]
fn log_and_metrics_tell_for_what_a_start_waits() {
    const NEEDS: [&str; 4] = ["store", "hosts", "configuration", "upstreams"];
    let mut deployment = ready(1);
    set_store(&deployment, AWAY);
    restart(&mut deployment, 0);
    wait_until("it is logged", || {
        let log = logged(&deployment, 0);
        let mut lines = log.lines().filter(|line| line.contains("start is waiting"));
        lines.any(|line| line.contains("store hosts configuration upstreams"))
    });
    for need in NEEDS {
        assert_eq!(waits_for(&deployment, 0, need), Some(true), "{need}");
    }
    set_store(&deployment, BACK);
    wait_until("the start is complete", || {
        logged(&deployment, 0).contains("start is complete")
    });
    for need in NEEDS {
        assert_eq!(waits_for(&deployment, 0, need), Some(false), "{need}");
    }
}

#[test]
fn daemon_that_restarts_while_the_store_is_away_serves() {
    let mut deployment = ready(3);
    set_store(&deployment, AWAY);
    serves_after_restart(&mut deployment, 2);
    let stream = send(&deployment.daemons[2].ingress, &Request::stream(5000, 4));
    assert!(stream.complete && stream.status == 200, "{stream:?}");
    // What the store says replaces what the others told.
    set_store(&deployment, BACK);
    let mut moved = configuration(2);
    moved["Routes"][1]["PathPrefix"] = "/moved/".into();
    deployment.configure(&moved);
    wait_until("the new configuration is in force", || {
        look(&deployment, 2).status == 404
    });
}

#[test]
fn daemons_that_restart_one_after_the_other_while_the_store_is_away_serve() {
    let mut deployment = ready(4);
    set_store(&deployment, AWAY);
    for index in 0..4 {
        serves_after_restart(&mut deployment, index);
        for other in 0..4 {
            assert_eq!(look(&deployment, other).status, 200, "{index} {other}");
        }
    }
}

/// Returns whether a daemon is ready, and false soon if it does not answer.
fn is_ready(daemon: &Daemon) -> bool {
    const TIMEOUT: Duration = Duration::from_millis(100);
    let address: SocketAddr = daemon.readiness.parse().expect("an address");
    let Ok(mut connection) = TcpStream::connect_timeout(&address, TIMEOUT) else {
        return false;
    };
    let timeout = connection.set_read_timeout(Some(TIMEOUT));
    timeout.expect("the timeout is set");
    let request = b"GET /primrosehoist/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    let mut status = [0; 12];
    connection.write_all(request).is_ok()
        && connection.read_exact(&mut status).is_ok()
        && status.ends_with(b"200")
}

#[test]
fn daemons_that_shut_down_in_series_while_the_store_is_away_leave_a_served_fleet() {
    const DAEMONS: usize = 6;
    let mut deployment = ready(DAEMONS);
    set_store(&deployment, AWAY);
    let started = Instant::now();
    let mut told = 0;
    let mut restarted = 0;
    let mut unserved = Vec::new();
    while restarted < DAEMONS {
        if told < DAEMONS && started.elapsed() >= Duration::from_secs(told as u64) {
            let process = deployment.daemons[told].process.as_ref();
            process.expect("the process is running").terminate();
            told += 1;
        }
        for daemon in &mut deployment.daemons[..told] {
            let process = daemon.process.as_mut().expect("it was started");
            if process.ended().is_some() {
                daemon.spawn();
                restarted += 1;
            }
        }
        if !deployment.daemons.iter().any(is_ready) {
            unserved.push(started.elapsed());
        }
        assert!(
            started.elapsed() < Duration::from_secs(60),
            "{restarted} ended"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(unserved.is_empty(), "no daemon is ready at {unserved:?}");
    for index in 0..DAEMONS {
        deployment.wait_until_ready(index);
        assert_eq!(look(&deployment, index).status, 200);
    }
}

/// A daemon that starts by a copy must not take a list of a restored store for a complete one.
#[test]
fn evacuation_that_a_restored_store_forgot_holds_after_a_start_by_a_copy() {
    let mut deployment = ready(2);
    let control = |path: &str| {
        let response = call(&deployment.store, "POST", path, "");
        assert_eq!(response.status, 200);
    };
    control("/standin/copy");
    deployment.put("evacuations", "zone-b", &json!({}));
    wait_until("it is known", || {
        (0..2).all(|index| logged(&deployment, index).contains("zone-b"))
    });
    set_store(&deployment, AWAY);
    serves_after_restart(&mut deployment, 1);
    let mut other = deployment.daemons[0].process.take();
    other.as_mut().expect("it runs").kill();
    let response = call(&deployment.store, "POST", "/standin/restore", "");
    assert_eq!(response.status, 200);
    set_store(&deployment, BACK);
    wait_until("it has listed", || {
        logged(&deployment, 1).contains("store was restored from a copy")
    });
    for runner in runners_of_calls(&deployment, 1) {
        assert_ne!(runner, 2, "its zone is evacuated");
    }
}

#[test]
fn upstreams_that_expired_in_the_store_are_kept_after_a_start_by_a_copy() {
    let mut deployment = ready(2);
    set_store(&deployment, "busy");
    // It ends the watches, so that the outage is noticed at once.
    deployment.forget_history();
    wait_until("the outage is noticed", || {
        let log = logged(&deployment, 0);
        let mut lines = log.lines().filter(|line| line.contains("\"servers\""));
        lines.any(|line| line.contains("store connection lost"))
    });
    for runner in &deployment.runners {
        deployment.delete("servers", &runner.id);
    }
    std::thread::sleep(OUTAGE);
    serves_after_restart(&mut deployment, 1);
    set_store(&deployment, BACK);
    wait_until("it has listed", || {
        logged(&deployment, 1).contains("start is complete")
    });
    let listed = Instant::now();
    while listed.elapsed() < Duration::from_secs(1) {
        for index in 0..2 {
            assert_eq!(look(&deployment, index).status, 200, "{index}");
        }
    }
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    std::thread::sleep(Duration::from_secs(3));
    for index in 0..2 {
        assert_eq!(look(&deployment, index).status, 200, "{index}");
    }
}

#[test]
fn first_start_waits_for_the_store() {
    let mut deployment = prepared(3);
    set_store(&deployment, AWAY);
    for index in 0..3 {
        deployment.start_daemon(index);
    }
    std::thread::sleep(Duration::from_secs(3));
    for index in 0..3 {
        assert_eq!(look(&deployment, index).status, 503);
        assert!(logged(&deployment, index).contains("start is waiting"));
    }
    set_store(&deployment, BACK);
    for index in 0..3 {
        deployment.wait_until_ready(index);
    }
}

#[test]
fn daemon_that_starts_by_a_copy_uses_no_upstream_that_is_out_of_service() {
    let mut deployment = ready(2);
    deployment.put("evacuations", "zone-b", &json!({}));
    deployment.register(0, "draining");
    wait_until("it is known", || {
        let logs = (0..2).map(|index| logged(&deployment, index));
        logs.into_iter()
            .all(|log| log.contains("zone-b") && log.contains("Draining"))
    });
    set_store(&deployment, AWAY);
    serves_after_restart(&mut deployment, 1);
    for runner in runners_of_calls(&deployment, 1) {
        assert_eq!(runner, 1, "not a runner in service");
    }
}

/// Requests the state that `control` tells starting daemons, from the local address `source`.
fn ask(source: &str, control: &str) -> Response {
    let [source, control] = [&format!("{source}:0"), control]
        .map(|text| text.parse::<SocketAddr>().expect("an address"));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&source.into()).expect("the address is local");
    socket.connect(&control.into()).expect("the daemon listens");
    let mut connection = TcpStream::from(socket);
    let request = b"GET /seed HTTP/1.1\r\nHost: x\r\n\r\n";
    connection.write_all(request).expect("it is sent");
    receive(&mut connection)
}

#[test]
fn address_without_a_host_is_told_nothing() {
    let deployment = ready(2);
    let address = |last: u8| format!("{}.{last}", deployment.network);
    let control = format!("{}:8229", address(40));
    let known = ask(&address(41), &control);
    assert_eq!(known.status, 200);
    let seed = Seed::try_from(known.body.as_slice()).expect("the state is valid");
    assert_eq!(seed.fleet.members.len(), 2);
    let stranger = ask(&address(99), &control);
    assert_eq!(stranger.status, 403);
    assert!(stranger.body.len() < 100, "{stranger:?}");
}

/// A seed that is of no use.
enum Bad {
    Down,
    Silent,
    Responds(Vec<u8>),
}

fn serve(address: &str, bad: Bad) {
    let response = match bad {
        Bad::Down => return,
        Bad::Silent => None,
        Bad::Responds(body) => Some(body),
    };
    let listener = TcpListener::bind(address).expect("the address is free");
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for mut connection in listener.incoming().map_while(Result::ok) {
            let _read = connection.read(&mut [0; 1024]);
            if let Some(body) = &response {
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                let _sent = connection.write_all(head.as_bytes());
                let _sent = connection.write_all(body);
            }
            kept.push(connection);
        }
    });
}

/// Restarts a daemon whose seeds are two bad ones, made by `serve`, and a good one.
fn serves_beside_bad_seeds(seeds: [Bad; 2]) -> Deployment {
    let mut deployment = ready(2);
    let address = |last: usize| format!("{}.{last}:8229", deployment.network);
    let bad = [address(60), address(61)];
    for (address, seed) in bad.iter().zip(seeds) {
        serve(address, seed);
    }
    let before = format!("[\"{}\", \"{}\"]", address(40), address(41));
    let after = format!("{:?}", [&bad[0], &bad[1], &address(40)]);
    deployment.change_settings(1, &before, &after);
    set_store(&deployment, AWAY);
    serves_after_restart(&mut deployment, 1);
    deployment
}

#[test]
fn daemon_starts_beside_seeds_that_send_garbage_or_nothing() {
    serves_beside_bad_seeds([Bad::Responds(vec![0xff; 4000]), Bad::Silent]);
}

#[test]
fn daemon_starts_beside_seeds_that_are_down_or_send_too_much() {
    serves_beside_bad_seeds([Bad::Down, Bad::Responds(vec![0; 9 << 20])]);
}

#[test]
fn newest_state_of_the_seeds_counts() {
    let old = Seed {
        snapshot: Snapshot {
            versions: Versions {
                configuration: 1,
                upstreams: Revision { era: 0, number: 1 },
                evacuations: Revision::default(),
            },
            configuration: Some(Compressed::new(&{
                let mut old = configuration(0);
                old["Tenants"] = json!([]);
                old.to_string()
            })),
            upstreams: Some(Vec::new()),
            missing: Vec::new(),
            evacuated: None,
        },
        fleet: Fleet::default(),
    };
    let old = old.encode().expect("it can be encoded");
    serves_beside_bad_seeds([Bad::Responds(old.clone()), Bad::Responds(old)]);
}

#[test]
fn daemon_serves_while_its_control_port_is_held() {
    let mut deployment = prepared(1);
    let control = format!("{}.40:8229", deployment.network);
    let _held = TcpListener::bind(control).expect("the port is free");
    deployment.start_daemon(0);
    deployment.wait_until_ready(0);
    assert_eq!(look(&deployment, 0).status, 200);
}

#[test]
fn check_of_settings_names_the_mistakes_that_are_ignored() {
    let deployment = prepared(1);
    deployment.change_settings(0, "SeedNodes = [", "SeedNodes = [\"nowhere\", ");
    let output = Command::new(program("primrosehoistd"))
        .arg("check")
        .arg(&deployment.daemons[0].settings)
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(
        text.contains("ignored: SeedNodes holds \"nowhere\""),
        "{text}"
    );
}
