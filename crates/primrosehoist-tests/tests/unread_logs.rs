//! Tests that daemons serve and end in time although nobody reads their log, with real daemon processes whose
//! output is a pipe.

mod common;

use std::io::{BufRead, BufReader, PipeReader};
use std::thread;
use std::time::Duration;

use common::platform::{Deployment, Request, configuration, send, wait_until};
use common::process::Process;
use serde_json::Value;

/// Each request is logged in some hundred bytes. These are more lines than the pipe and the queue hold.
const REQUESTS: usize = 6000;

/// The requests that are sent at the same time.
const CALLERS: usize = 4;

/// The time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(5);

/// The longest time in which a daemon without requests and without a grace of the platform ends.
const SHUTDOWN_MAX: Duration = Duration::from_secs(10);

fn send_many(address: &str, status: u16) {
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                for _ in 0..REQUESTS / CALLERS {
                    let response = send(address, &Request::new("GET", "/look/1"));
                    assert_eq!(response.status, status, "{response:?}");
                }
            });
        }
    });
}

/// Reads the log until lines were dropped; returns how many. The rest is read in the background.
fn dropped_lines(pipe: PipeReader) -> u64 {
    let mut lines = BufReader::new(pipe).lines().map_while(Result::ok);
    let report = lines.find(|line| line.contains("log lines dropped"));
    let report: Value =
        serde_json::from_str(&report.expect("dropped lines are reported")).expect("JSON");
    thread::spawn(move || lines.for_each(drop));
    report["lines"].as_u64().expect("a number")
}

/// Starts a daemon that serves; its log is the pipe that is returned.
fn start(deployment: &mut Deployment) -> (Process, PipeReader) {
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    let daemon = deployment.prepare_daemon("zone-a", &deployment.store);
    let settings = daemon.settings.clone();
    deployment.daemons.push(daemon);
    deployment.change_settings(0, "GraceS = 8", &format!("GraceS = {}", GRACE.as_secs()));
    let variables = [("PRIMROSEHOIST_NODE_FILE", settings.as_path())];
    let started = Process::start_piped("primrosehoistd", &["platform".to_owned()], &variables);
    deployment.wait_until_ready(0);
    started
}

#[test]
fn unread_log_does_not_stop_the_service() {
    let mut deployment = Deployment::without_daemons();
    let (_process, log) = start(&mut deployment);
    send_many(&deployment.daemons[0].ingress, 200);
    assert!(dropped_lines(log) > 0);
}

#[test]
fn unread_log_does_not_delay_the_end_beyond_the_grace() {
    let mut deployment = Deployment::without_daemons();
    let (mut process, _log) = start(&mut deployment);
    send_many(&deployment.daemons[0].ingress, 200);
    process.terminate();
    let status = process.wait(GRACE).expect("the daemon ends in time");
    assert!(status.success(), "{status}");
}

/// The daemon with its own settings, without its platform.
#[test]
fn unread_log_does_not_stop_the_other_daemon() {
    let deployment = Deployment::without_daemons();
    let (settings, callers) = deployment.other_daemon(90);
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    let (mut process, log) = Process::start_piped("primrosehoistd", &arguments, &[]);
    wait_until("callers are accepted", || {
        std::net::TcpStream::connect(&callers).is_ok()
    });
    send_many(&callers, 503);
    assert!(dropped_lines(log) > 0);
    send_many(&callers, 503);
    process.terminate();
    let status = process.wait(SHUTDOWN_MAX).expect("the daemon ends");
    assert!(status.success(), "{status}");
}
