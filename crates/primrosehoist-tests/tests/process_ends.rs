//! Tests how daemons start and end, with real daemon processes: what a start waits for, which signals it
//! survives, and whether the log has the reason of an end.

mod common;

use std::fs::{self, File};
use std::io::Write;
use std::net::{TcpListener, UdpSocket};
use std::os::unix::process::ExitStatusExt;
use std::process::Command;
use std::time::Duration;

use common::platform::{Deployment, Request, call, configuration, readiness, send, wait_until};

/// How long a port is held, or a settings file incomplete, in these tests.
const OBSTACLE_TIME: Duration = Duration::from_millis(700);

/// The longest time in which a daemon without requests ends after SIGTERM.
const SHUTDOWN_MAX: Duration = Duration::from_secs(10);

/// Starts a deployment with a configuration and `daemons` daemons that do not run yet.
fn prepared(daemons: usize) -> Deployment {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    for _ in 0..daemons {
        let daemon = deployment.prepare_daemon("zone-a", &deployment.store);
        deployment.daemons.push(daemon);
    }
    deployment
}

fn serves(deployment: &Deployment, index: usize) {
    deployment.wait_until_ready(index);
    let response = send(
        &deployment.daemons[index].ingress,
        &Request::new("GET", "/look/1"),
    );
    assert_eq!(response.status, 200, "{response:?}");
}

/// Sends SIGTERM to a daemon and returns its exit code, or minus the number of the signal that ended it.
fn terminate(deployment: &mut Deployment, index: usize) -> i32 {
    let process = deployment.daemons[index].process.as_mut();
    let process = process.expect("the process was started");
    process.terminate();
    let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
    status
        .code()
        .unwrap_or_else(|| -status.signal().unwrap_or_default())
}

fn lives(deployment: &mut Deployment, index: usize) -> bool {
    let process = deployment.daemons[index].process.as_mut();
    let process = process.expect("the process was started");
    process.wait(OBSTACLE_TIME).is_none()
}

#[test]
fn last_lines_of_a_shutdown_are_in_the_log() {
    let mut deployment = prepared(8);
    for index in 0..8 {
        deployment.start_daemon(index);
    }
    for daemon in &deployment.daemons {
        daemon.process.as_ref().expect("it runs").terminate();
    }
    for daemon in &mut deployment.daemons {
        let process = daemon.process.as_mut().expect("it was started");
        let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
        assert!(status.success(), "{status}");
        let log = daemon.logged();
        assert!(log.contains("\"shutdown finished\""), "{log}");
    }
}
