//! Tests starts of daemons while the platform's store does not answer, with real daemon processes.

mod common;

use common::platform::{Deployment, call, wait_until};
use serde_json::json;

const AWAY: &str = "busy";

fn set_store(deployment: &Deployment, mode: &str) {
    deployment.set_store_faults(&json!({"mode": mode}));
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
    let mut deployment = Deployment::ready(1);
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
    set_store(&deployment, "none");
    wait_until("the start is complete", || {
        logged(&deployment, 0).contains("start is complete")
    });
    for need in NEEDS {
        assert_eq!(waits_for(&deployment, 0, need), Some(false), "{need}");
    }
}
