//! Tests that a start waits for what the operating system refuses for a moment, with real daemon processes
//! and limits that are raised while they wait. Limits on the number of processes do not bind root, under
//! whom these tests may run, so a lack of threads is a lack of addresses for their stacks.

mod common;

use std::fs;
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;

use common::platform::{Deployment, Request, configuration, send, wait_for, wait_until};
use common::process::Process;
use serde_json::Value;

/// How long a resource is refused in these tests.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// The limits of the address space that are tried, in MiB: from too little for the loader to more than a start
/// takes without the stack of a thread, which is 2 MiB.
const ADDRESS_SPACES_MIB: std::ops::Range<u32> = 4..100;

fn log_of(log: &Path) -> String {
    fs::read_to_string(log).unwrap_or_default()
}

/// Starts a daemon with the least address space with which it logs something, which is that it waits for a
/// thread.
fn start_without_threads(arguments: &[String], log: &Path, variables: &[(&str, &Path)]) -> Process {
    for mib in ADDRESS_SPACES_MIB {
        let limits = [&*format!("--as={}:unlimited", mib << 20)];
        fs::write(log, "").expect("the log is emptied");
        let mut process =
            Process::start_limited(&limits, "primrosehoistd", arguments, log, variables);
        let is_waiting = wait_for("the start waits or ends", || {
            let is_waiting = log_of(log).contains("Resource temporarily unavailable");
            let has_ended = process.ended().is_some();
            (is_waiting || has_ended).then_some(is_waiting && !has_ended)
        });
        if is_waiting {
            return process;
        }
    }
    panic!("no start waits: {}", log_of(log));
}

/// Demands that a start waits for a thread, then for descriptors, and logs both in the log's own format, at
/// a bounded rate; lets it go on.
fn waits_for_threads_and_descriptors(process: &mut Process, log: &Path) {
    let ended = process.wait(REFUSAL_TIME);
    assert!(ended.is_none(), "{ended:?}");
    process.limit("--nofile=4:4096");
    process.limit("--as=unlimited:unlimited");
    wait_until("the lack of descriptors is logged", || {
        log_of(log).contains("Too many open files")
    });
    let ended = process.wait(REFUSAL_TIME);
    assert!(ended.is_none(), "{ended:?}");
    let text = log_of(log);
    for line in text.lines() {
        let line: Value = serde_json::from_str(line).unwrap_or_else(|_| panic!("{text}"));
        assert!(line["time"].is_string(), "{text}");
    }
    let waits = text.matches("startup is waiting").count();
    assert_eq!(waits, 2, "{text}");
    process.limit("--nofile=4096:4096");
}

#[test]
fn start_does_not_end_for_want_of_threads_or_descriptors() {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    let mut daemon = deployment.prepare_daemon("zone-a", &deployment.store);
    let variables = [("PRIMROSEHOIST_NODE_FILE", daemon.settings.as_path())];
    let arguments = ["platform".to_owned()];
    let mut process = start_without_threads(&arguments, &daemon.log, &variables);
    waits_for_threads_and_descriptors(&mut process, &daemon.log);
    daemon.process = Some(process);
    deployment.daemons.push(daemon);
    deployment.wait_until_ready(0);
    let response = send(
        &deployment.daemons[0].ingress,
        &Request::new("GET", "/look/1"),
    );
    assert_eq!(response.status, 200, "{response:?}");
}

/// The daemon with its own settings, without its platform.
#[test]
fn other_daemon_does_not_end_for_want_of_threads_or_descriptors() {
    let deployment = Deployment::without_daemons();
    let (settings, callers) = deployment.other_daemon(90);
    let log = deployment.directory.join("other.log");
    let arguments = ["--settings".to_owned(), settings.display().to_string()];
    let mut process = start_without_threads(&arguments, &log, &[]);
    waits_for_threads_and_descriptors(&mut process, &log);
    wait_until("callers are accepted", || {
        TcpStream::connect(&callers).is_ok()
    });
}
