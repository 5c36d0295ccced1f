//! Tests requests that share a part of their prompts that crashes runners, with real processes.

mod common;

use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, call, send};

const DEADLY: &str = "00dead00";

/// Creates a request whose prompt has the parts `shared` and one of its own.
fn request(number: usize, shared: &[&str]) -> Request {
    let own = format!("{number:08x}");
    let parts: Vec<String> = shared
        .iter()
        .chain([&own.as_str()])
        .map(|part| format!("{part}:100"))
        .collect();
    let mut request = Request::stream(5000, 8);
    request.body = own.into_bytes();
    request.headers.push(("X-Prompt-Prefix", parts.join(",")));
    request
}

/// Starts two daemons, and runners that end when they begin to answer a prompt with the deadly part.
fn deployment() -> Deployment {
    let deployment = Deployment::ready(2);
    for index in 0..deployment.runners.len() {
        arm(&deployment, index);
    }
    deployment
}

/// Tells a runner which part is deadly.
fn arm(deployment: &Deployment, index: usize) {
    let address = &deployment.runners[index].address;
    assert_eq!(call(address, "POST", "/standin/deadly", DEADLY).status, 200);
}

/// Starts the runners that have ended again; returns how many there were.
fn restart_ended(deployment: &mut Deployment) -> usize {
    let mut ended = 0;
    for index in 0..deployment.runners.len() {
        let process = deployment.runners[index].process.as_mut();
        let process = process.expect("the process was started");
        if process.wait(Duration::from_millis(1)).is_some() {
            deployment.start_runner(index);
            arm(deployment, index);
            ended += 1;
        }
    }
    ended
}

#[test]
fn requests_that_share_a_deadly_part_stop_crashing_runners_and_sound_ones_are_served() {
    let mut deployment = deployment();
    let (shared, mut number, mut crashes) = ("0000cafe", 0, 0);
    let started = Instant::now();
    while crashes < 5 && started.elapsed() < Duration::from_secs(20) {
        for daemon in 0..2 {
            number += 1;
            let address = &deployment.daemons[daemon].ingress;
            let deadly = send(address, &request(number, &[shared, DEADLY]));
            assert_ne!(deadly.status, 200, "{deadly:?}");
            crashes += restart_ended(&mut deployment);
            number += 1;
            let address = &deployment.daemons[daemon].ingress;
            send(address, &request(number, &[shared]));
        }
    }
    // StableWindowMs of the settings.
    std::thread::sleep(Duration::from_secs(3));
    restart_ended(&mut deployment);
    let mut served = 0;
    crashes = 0;
    for _ in 0..10 {
        for daemon in 0..2 {
            number += 1;
            let address = &deployment.daemons[daemon].ingress;
            let deadly = send(address, &request(number, &[shared, DEADLY]));
            assert!(matches!(deadly.status, 502 | 503), "{deadly:?}");
            crashes += restart_ended(&mut deployment);
            number += 1;
            let address = &deployment.daemons[daemon].ingress;
            let sound = send(address, &request(number, &[shared]));
            served += usize::from(sound.complete && sound.status == 200);
        }
    }
    assert!(
        crashes <= 3,
        "{crashes} runners crashed after the part was known"
    );
    assert!(served >= 10, "{served} of 20 sound requests were served");
}

#[test]
fn daemon_that_starts_while_a_deadly_part_is_known_sends_nothing_with_it() {
    let mut deployment = deployment();
    let mut number = 0;
    let mut quiet = 0;
    while quiet < 6 {
        number += 1;
        assert!(number < 60, "the part never becomes known");
        send(&deployment.daemons[0].ingress, &request(number, &[DEADLY]));
        std::thread::sleep(Duration::from_millis(100));
        quiet = if restart_ended(&mut deployment) == 0 {
            quiet + 1
        } else {
            0
        };
    }
    let process = deployment.daemons[1].process.as_mut();
    process.expect("the process is running").kill();
    // Reports of single crashes have ended by then.
    std::thread::sleep(Duration::from_secs(5));
    deployment.start_daemon(1);
    deployment.wait_until_ready(1);
    std::thread::sleep(Duration::from_secs(1));
    for _ in 0..6 {
        number += 1;
        let response = send(&deployment.daemons[1].ingress, &request(number, &[DEADLY]));
        assert_eq!(response.status, 503, "{response:?}");
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(restart_ended(&mut deployment), 0);
    }
}
