//! Tests the detection that a host is cut off from all upstreams, with real processes.

mod common;

use std::fs;
use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, call, receive, send, start_request, wait_until};

/// The deployment's `StableWindowMs`, after which a host that is cut off must serve clients again. By
/// then it must have noticed.
const NOTICED_WITHIN: Duration = Duration::from_secs(3);

/// Returns the value of the gauge on the metrics page of daemon `index`.
fn is_cut_off(deployment: &Deployment, index: usize) -> bool {
    let page = call(&deployment.daemons[index].metrics, "GET", "/metrics", "");
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let line = page
        .lines()
        .find(|line| line.starts_with("primrosehoist_cut_off{"));
    match line.and_then(|line| line.rsplit(' ').next()) {
        Some("0") => false,
        Some("1") => true,
        other => panic!("{other:?} on the metrics page: {page}"),
    }
}

/// Returns the number of lines with `message` in the log of daemon `index`.
fn count_logged(deployment: &Deployment, index: usize, message: &str) -> usize {
    let text = fs::read_to_string(&deployment.daemons[index].log).unwrap_or_default();
    let wanted = format!("\"message\":\"{message}\"");
    text.lines().filter(|line| line.contains(&wanted)).count()
}

fn kill_runner(deployment: &mut Deployment, index: usize) {
    let runner = &mut deployment.runners[index];
    runner.process.as_mut().expect("it runs").kill();
}

#[test]
fn daemon_is_cut_off_while_it_reaches_no_upstream() {
    let mut deployment = Deployment::ready(1);
    let address = deployment.daemons[0].ingress.clone();
    assert_eq!(send(&address, &Request::new("GET", "/look/1")).status, 200);
    for index in 0..3 {
        kill_runner(&mut deployment, index);
    }
    let started = Instant::now();
    let request = Request::new("GET", "/look/2");
    let mut connection = start_request(&address, &request);
    wait_until("it is cut off", || is_cut_off(&deployment, 0));
    assert!(started.elapsed() < NOTICED_WITHIN);
    assert_ne!(receive(&mut connection).status, 200);
    let message = "host is cut off from all upstreams";
    assert_eq!(count_logged(&deployment, 0, message), 1);
    // It is still cut off after several more probes.
    std::thread::sleep(Duration::from_secs(2));
    assert!(is_cut_off(&deployment, 0));
    let started = Instant::now();
    deployment.start_runner(1);
    wait_until("it is not cut off", || !is_cut_off(&deployment, 0));
    assert!(started.elapsed() < NOTICED_WITHIN);
    assert_eq!(send(&address, &Request::new("GET", "/look/3")).status, 200);
    let message = "upstreams are reachable again";
    assert_eq!(count_logged(&deployment, 0, message), 1);
}

#[test]
fn daemon_is_not_cut_off_if_it_reaches_one_upstream() {
    let mut deployment = Deployment::ready(1);
    let address = deployment.daemons[0].ingress.clone();
    kill_runner(&mut deployment, 0);
    kill_runner(&mut deployment, 2);
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        send(&address, &Request::new("GET", "/look/1"));
        assert!(!is_cut_off(&deployment, 0));
    }
}

#[test]
fn daemon_is_not_cut_off_if_upstreams_are_silent_but_accept_connections() {
    let deployment = Deployment::ready(1);
    let address = &deployment.daemons[0].ingress;
    for runner in &deployment.runners {
        runner.process.as_ref().expect("it runs").pause();
    }
    // One upstream has fewer slots than that.
    let connections: Vec<_> = (0..40)
        .map(|_| start_request(address, &Request::new("GET", "/look/1")))
        .collect();
    wait_until("upstreams were probed", || {
        count_logged(&deployment, 0, "upstreams probed") > 0
    });
    std::thread::sleep(Duration::from_secs(2));
    assert!(!is_cut_off(&deployment, 0));
    let probes = count_logged(&deployment, 0, "upstreams probed");
    assert!(probes <= 4, "{probes} probes");
    for runner in &deployment.runners {
        runner.process.as_ref().expect("it runs").resume();
    }
    drop(connections);
}
