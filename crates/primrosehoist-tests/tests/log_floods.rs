//! Tests that others cannot decide how much a daemon logs, with real daemon processes.

mod common;

use std::fs;
use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};

use common::platform::{Deployment, call, configuration, wait_until};
use common::process::Process;
use primrosehoist::state::sampler::{LOGGED_MAX, WINDOW};
use serde_json::Value;

/// The datagrams of a flood, spread over some time so that the kernel drops few.
const DATAGRAMS: usize = 3000;
const DATAGRAM_INTERVAL: Duration = Duration::from_micros(500);

/// The connections of a flood.
const CONNECTIONS: usize = 400;

fn lines(log: &Path, message: &str) -> Vec<Value> {
    let text = fs::read_to_string(log).expect("the log is readable");
    let lines = text.lines().filter(|line| line.contains(message));
    lines
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

/// Returns the most lines of one kind that may be logged in `time`.
fn most_lines(time: Duration) -> usize {
    let windows = time.as_millis() / WINDOW.as_millis() + 2;
    windows as usize * LOGGED_MAX as usize
}

/// Returns the events that the lines tell of, logged or not.
fn events(lines: &[Value]) -> u64 {
    let unlogged = lines
        .iter()
        .map(|line| line["unlogged"].as_u64().expect("a number"));
    unlogged.sum::<u64>() + lines.len() as u64
}

#[test]
fn flood_of_invalid_gossip_does_not_flood_the_log() {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    deployment.add_daemon("zone-a", &deployment.store.clone());
    deployment.wait_until_ready(0);
    let daemon = &deployment.daemons[0];
    let target = daemon.ingress.replace(":8227", ":7340");
    let socket = UdpSocket::bind(format!("{}.90:0", deployment.network)).expect("a socket");
    let flood = |count: usize| {
        for _ in 0..count {
            socket.send_to(b"garbage", &target).expect("it is sent");
            std::thread::sleep(DATAGRAM_INTERVAL);
        }
    };
    let started = Instant::now();
    flood(DATAGRAMS);
    std::thread::sleep(WINDOW);
    flood(1);
    let logged = || lines(&daemon.log, "invalid gossip dropped");
    let counted = || -> Option<u64> {
        let metrics = call(&daemon.metrics, "GET", "/metrics", "").body;
        let metrics = String::from_utf8_lossy(&metrics);
        let mut lines = metrics.lines();
        let line = lines.find(|line| {
            line.starts_with("primrosehoist_rejected_total") && line.contains("\"gossip\"")
        });
        line?.rsplit(' ').next()?.parse().ok()
    };
    wait_until("each datagram is logged or counted by a line", || {
        counted().is_some_and(|count| count == events(&logged()))
    });
    let number = logged().len();
    assert!(number <= most_lines(started.elapsed()), "{number}");
    assert!(counted() > Some(DATAGRAMS as u64 / 2), "{:?}", counted());
}

/// The daemon with its own settings, without its platform.
#[test]
fn flood_of_strangers_at_the_peer_port_does_not_flood_the_log() {
    let deployment = Deployment::without_daemons();
    let (settings, callers) = deployment.other_daemon(90);
    let log = deployment.directory.join("other.log");
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    let _process = Process::start("primrosehoistd", &arguments, &log);
    let peers = callers.replace(":7100", ":7200");
    wait_until("the daemon listens", || TcpStream::connect(&peers).is_ok());
    let started = Instant::now();
    for _ in 0..CONNECTIONS {
        let mut connection = TcpStream::connect(&peers).expect("the daemon listens");
        connection
            .write_all(&[0; 1024])
            .expect("the kernel takes it");
    }
    std::thread::sleep(2 * WINDOW);
    let _last = TcpStream::connect(&peers).expect("the daemon listens");
    let logged = || lines(&log, "rejected peer connection");
    wait_until("each connection is logged or counted by a line", || {
        events(&logged()) >= CONNECTIONS as u64
    });
    let number = logged().len();
    assert!(number <= most_lines(started.elapsed()), "{number}");
}
