//! Tests that a host counts as cut off only if it is, and that daemons that take requests over do
//! not end what another one could serve.

mod common;

use std::fs;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::handover::{handover, headers, start};
use common::links::{Links, Mode};
use common::platform::{
    Deployment, Request, configuration, receive, send, start_request, wait_until,
};
use serde_json::json;

fn log(deployment: &Deployment, daemon: usize) -> String {
    fs::read_to_string(&deployment.daemons[daemon].log).unwrap_or_default()
}

/// Guards against hosts that count as cut off because the three upstreams that are probed are down.
#[test]
fn host_that_reaches_some_of_many_upstreams_is_not_cut_off() {
    let deployment = Deployment::start(2);
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        let mut entry = deployment.entry(index, "ready");
        entry["Zone"] = json!("zone-a");
        deployment.put("servers", &deployment.runners[index].id, &entry);
    }
    for number in 0..18 {
        let mut entry = deployment.entry(0, "ready");
        entry["Zone"] = json!("zone-a");
        entry["Address"] = json!(format!("{}.{}:7200", deployment.network, 70 + number));
        deployment.put("servers", &format!("dead-{number}"), &entry);
    }
    for index in 0..deployment.daemons.len() {
        deployment.wait_until_ready(index);
    }
    sleep(Duration::from_millis(600));
    let end = Instant::now() + Duration::from_secs(30);
    let served = std::sync::atomic::AtomicUsize::new(0);
    let failed = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for caller in 0..24 {
            let address = &deployment.daemons[caller % 2].ingress;
            let (served, failed) = (&served, &failed);
            scope.spawn(move || {
                while Instant::now() < end {
                    let request = if caller % 3 == 0 {
                        Request::stream(100, 40)
                    } else {
                        Request::new("GET", "/look/1")
                    };
                    let response = send(address, &request);
                    let is_served = response.status == 200 && response.complete;
                    let counter = if is_served { served } else { failed };
                    counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    sleep(Duration::from_millis(20));
                }
            });
        }
    });
    let statuses = (served.into_inner(), failed.into_inner());
    let count = |message: &str| -> usize {
        let daemons = 0..deployment.daemons.len();
        daemons
            .map(|daemon| log(&deployment, daemon).matches(message).count())
            .sum()
    };
    let cuts = count("host is cut off from all upstreams");
    println!(
        "served and not {statuses:?}, cuts {cuts}, probed {}, taken over {}",
        count("upstreams probed"),
        count("request taken over")
    );
    assert_eq!(cuts, 0);
}

/// Guards against requests that are refused although a third host could serve them.
#[test]
fn daemon_that_takes_over_and_is_cut_off_itself_is_busy_for_what_waits_there() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a", "zone-b"]);
    let address = deployment.daemons[0].ingress.clone();
    let own: Vec<TcpStream> = (0..90)
        .map(|_| start_request(&address, &Request::stream(100, 900)))
        .collect();
    sleep(Duration::from_millis(500));
    let request = Request::stream(100, 4);
    let mut connection = start(&deployment, &request, &headers(&handover()));
    wait_until("it is taken over", || {
        log(&deployment, 0).contains("request taken over")
    });
    sleep(Duration::from_millis(200));
    assert!(deployment.runs(&request.id).is_empty(), "it waits");
    links.set(0, Mode::Hang);
    let began = Instant::now();
    let response = receive(&mut connection);
    println!("{:?} after {:?}", response, began.elapsed());
    assert!(deployment.runs(&request.id).is_empty());
    assert_eq!(
        response.header("primrosehoist-outcome"),
        Some("busy"),
        "{response:?}"
    );
    drop(own);
}

/// Guards against requests that are refused although an open connection to an upstream lives on.
#[test]
fn host_that_no_other_one_helps_uses_its_open_connections() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
    // The other daemon stops, and so takes no requests, but ends what it serves.
    let last = Request::stream(100, 420);
    let _last = start_request(&deployment.daemons[1].ingress, &last);
    wait_until("it runs", || !deployment.runs(&last.id).is_empty());
    let process = deployment.daemons[1].process.as_ref().expect("it runs");
    process.terminate();
    wait_until("it takes no requests", || {
        log(&deployment, 1).contains("new requests are refused")
    });
    let address = deployment.daemons[0].ingress.clone();
    let calls = |count: usize, prompt: u64| -> Vec<u16> {
        let streams: Vec<TcpStream> = (0..count)
            .map(|_| start_request(&address, &Request::stream(prompt, 8)))
            .collect();
        let responses = streams.into_iter().map(|mut stream| receive(&mut stream));
        responses.map(|response| response.status).collect()
    };
    calls(6, 100);
    links.set(0, Mode::Refuse);
    sleep(Duration::from_millis(100));
    let served = calls(2, 100);
    println!("before it is known: {served:?}");
    // More than there are open connections.
    println!("many: {:?}", calls(16, 100));
    let is_known = log(&deployment, 0).contains("host is cut off from all upstreams");
    let statuses: Vec<u16> = (0..6).flat_map(|_| calls(1, 100)).collect();
    println!("known: {is_known}, then {statuses:?}");
    assert!(is_known);
    assert_eq!(statuses, [200; 6]);
}

/// Guards against requests that are held at a host that is cut off, although a third one could serve
/// them.
#[test]
fn daemon_that_takes_over_and_is_cut_off_itself_is_busy_for_what_did_not_run() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a", "zone-b"]);
    let address = deployment.daemons[0].ingress.clone();
    // They make the daemon notice.
    let own: Vec<TcpStream> = (0..24)
        .map(|_| start_request(&address, &Request::stream(100, 900)))
        .collect();
    sleep(Duration::from_millis(500));
    links.set(0, Mode::Hang);
    let request = Request::new("POST", "/order/1");
    let began = Instant::now();
    let mut connection = start(&deployment, &request, &headers(&handover()));
    wait_until("it is noticed", || {
        log(&deployment, 0).contains("host is cut off from all upstreams")
    });
    let noticed = began.elapsed();
    let response = receive(&mut connection);
    println!(
        "noticed after {noticed:?}, {response:?} after {:?}",
        began.elapsed()
    );
    assert!(deployment.runs(&request.id).is_empty());
    assert_eq!(
        response.header("primrosehoist-outcome"),
        Some("busy"),
        "{response:?}"
    );
    drop(own);
}

/// `StableWindowMs` of the deployment.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Cuts off the daemons in `cut`, sends a request to the first one every `interval`, and asserts that two
/// thirds of those that are sent `STABLE_WINDOW` after the cut or later are served.
fn quiet_host_serves<R>(zones: &[&str], cut: &[usize], mode: Mode, interval: Duration, request: R)
where
    R: Fn(usize) -> Request + Sync,
{
    let (deployment, links) = Links::deployment(zones);
    let address = &deployment.daemons[0].ingress;
    let exchange = |number: usize| {
        let mut request = request(number);
        "2500".clone_into(&mut request.headers[0].1);
        let sent = Instant::now();
        let response = send(address, &request);
        (sent, response.status, response.complete, sent.elapsed())
    };
    let cut_at = usize::try_from(2000 / interval.as_millis()).expect("small");
    let mut began = Instant::now();
    let exchanges: Vec<_> = std::thread::scope(|scope| {
        let exchange = &exchange;
        let mut sent = Vec::new();
        for number in 0..usize::try_from(12_000 / interval.as_millis()).expect("small") {
            if number == cut_at {
                began = Instant::now();
                for daemon in cut {
                    links.set(*daemon, mode);
                }
            }
            sent.push(scope.spawn(move || exchange(number)));
            sleep(interval);
        }
        sent.into_iter()
            .map(|one| one.join().expect("no panic"))
            .collect()
    });
    for (sent, status, complete, took) in &exchanges {
        let at = sent.saturating_duration_since(began);
        println!("{at:?} {status} {complete} {took:?}");
    }
    let late = exchanges
        .iter()
        .filter(|one| one.0 >= began + STABLE_WINDOW);
    let served = late.clone().filter(|one| one.1 == 200 && one.2).count();
    let all = late.count();
    assert!(served * 3 >= all * 2, "{served} of {all} served");
}

#[test]
fn quiet_host_with_calls_that_run_once_serves() {
    let once = |_| Request::new("POST", "/order/1");
    let interval = Duration::from_secs(1);
    quiet_host_serves(&["zone-a", "zone-a"], &[0], Mode::Hang, interval, once);
}

#[test]
fn host_whose_idle_neighbours_are_cut_off_too_serves() {
    let mut zones = ["zone-a"; 9];
    zones[8] = "zone-b";
    let calls = |number: usize| match number % 3 {
        0 => Request::new("GET", "/look/1"),
        1 => Request::new("POST", "/order/1"),
        _ => Request::stream(100, 4),
    };
    let interval = Duration::from_millis(400);
    let cut = [0, 1, 2, 3, 4, 5, 6, 7];
    quiet_host_serves(&zones, &cut, Mode::Hang, interval, calls);
}

/// Returns a stream whose prompt needs memory of two upstreams.
fn split_prompt() -> Request {
    let mut request = Request::stream(600_000, 4);
    "2500".clone_into(&mut request.headers[0].1);
    request
}

/// Returns the statuses of the prompts that a host serves which needs memory of two upstreams for each,
/// sent from 3 s after `cut` on.
fn split_prompts_after<C>(deployment: &Deployment, cut: C) -> Vec<u16>
where
    C: FnOnce(),
{
    let address = &deployment.daemons[0].ingress;
    for _ in 0..5 {
        assert_eq!(send(address, &split_prompt()).status, 200);
    }
    cut();
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < Duration::from_secs(7) {
        sent.push((began.elapsed(), start_request(address, &split_prompt())));
        sleep(Duration::from_millis(500));
    }
    let statuses = sent.into_iter().map(|(at, mut connection)| {
        let status = receive(&mut connection).status;
        println!("{at:?} {status}");
        (at, status)
    });
    let statuses: Vec<_> = statuses.collect();
    let late = statuses.iter().filter(|(at, _)| *at >= STABLE_WINDOW);
    late.map(|(_, status)| *status).collect()
}

/// Guards against a host that never notices, since no attempt is made before memory is reserved.
#[test]
fn host_that_only_serves_split_prompts_notices_that_it_is_cut_off() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
    let statuses = split_prompts_after(&deployment, || links.set(0, Mode::Hang));
    assert!(log(&deployment, 0).contains("host is cut off from all upstreams"));
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!(served * 3 >= statuses.len() * 2, "{statuses:?}");
}

/// Guards against prompts that need memory of the same silent upstream again and again.
#[test]
fn split_prompts_are_served_while_one_upstream_cannot_be_reached() {
    for upstream in 0..2 {
        let (deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
        let cut = || links.set_upstream(upstream, Mode::Hang);
        let statuses = split_prompts_after(&deployment, cut);
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert!(served * 3 >= statuses.len() * 2, "{statuses:?}");
        assert!(!log(&deployment, 0).contains("host is cut off from all upstreams"));
    }
}

/// Guards against streams that are broken off, and upstreams that are blamed, although only this process
/// did not read what they sent.
#[test]
fn paused_daemon_blames_no_upstream_and_is_not_cut_off() {
    let deployment = Deployment::ready(2);
    let address = deployment.daemons[0].ingress.clone();
    for pause_ms in [2000, 3500] {
        let start = |count: usize, request: &dyn Fn() -> Request| -> Vec<TcpStream> {
            let requests = (0..count).map(|_| request());
            requests.map(|one| start_request(&address, &one)).collect()
        };
        let streams = start(20, &|| Request::stream(5000, 500));
        sleep(Duration::from_millis(300));
        let calls = start(20, &|| Request::new("GET", "/look/1"));
        let process = deployment.daemons[0].process.as_ref().expect("it runs");
        process.pause();
        sleep(Duration::from_millis(pause_ms));
        process.resume();
        let all = streams.into_iter().chain(calls);
        let responses: Vec<_> = all.map(|mut one| receive(&mut one)).collect();
        let served = responses
            .iter()
            .filter(|one| one.status == 200 && one.complete);
        println!("{pause_ms} ms: {} served", served.clone().count());
        assert_eq!(served.count(), responses.len());
    }
    for message in [
        "host is cut off from all upstreams",
        "no response from upstream in time",
        "stream timed out",
    ] {
        let found = log(&deployment, 0).matches(message).count();
        assert_eq!(found, 0, "{message}");
    }
}

/// Returns the number of established connections to the port of the second daemon for requests of
/// others.
fn connections_to_helper(deployment: &Deployment) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").expect("is readable");
    let network = deployment.network.split('.');
    let parts: Vec<u8> = network
        .map(|part| part.parse().expect("a number"))
        .collect();
    let [first, second, third] = parts[..] else {
        panic!("{parts:?}");
    };
    let remote = format!(
        "{:02X}{third:02X}{second:02X}{first:02X}:{:04X} 01",
        41, 7341
    );
    table.matches(&remote).count()
}

/// Guards against cut-off hosts that use up the connections of the few that help them.
#[test]
fn cut_off_host_keeps_no_connections_that_it_does_not_use_again() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
    let address = deployment.daemons[0].ingress.clone();
    links.set(0, Mode::Reset);
    let calls = |count: usize| -> Vec<u16> {
        let streams: Vec<TcpStream> = (0..count)
            .map(|_| start_request(&address, &Request::stream(100, 20)))
            .collect();
        let responses = streams.into_iter().map(|mut stream| receive(&mut stream));
        responses.map(|response| response.status).collect()
    };
    calls(4);
    wait_until("it is noticed", || {
        log(&deployment, 0).contains("host is cut off from all upstreams")
    });
    assert_eq!(calls(40), [200; 40]);
    sleep(Duration::from_secs(1));
    let before = connections_to_helper(&deployment);
    assert_eq!(calls(1), [200]);
    let after = connections_to_helper(&deployment);
    println!("connections: {before}, after one more call {after}");
    assert!(after <= 2, "{after} connections after one call");
}

/// Guards against requests that use up all upstreams while none of them can be reached, and are refused
/// although they are back.
#[test]
fn calls_that_wait_while_no_host_reaches_an_upstream_are_served_afterwards() {
    let (deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
    let address = deployment.daemons[0].ingress.clone();
    let start = |number: usize| {
        let request = Request {
            body: format!("body {number}").into_bytes(),
            ..Request::new("GET", "/look/1")
        };
        start_request(&address, &request)
    };
    for daemon in 0..2 {
        links.set(daemon, Mode::Reset);
    }
    let first: Vec<TcpStream> = (0..4).map(start).collect();
    wait_until("both are cut off", || {
        let is_known =
            |daemon| log(&deployment, daemon).contains("host is cut off from all upstreams");
        is_known(0) && is_known(1)
    });
    // No upstream is avoided any more for what failed before.
    sleep(Duration::from_secs(8));
    let waiting: Vec<TcpStream> = (4..12)
        .map(|number| {
            sleep(Duration::from_millis(50));
            start(number)
        })
        .collect();
    for daemon in 0..2 {
        links.set(daemon, Mode::Pass);
    }
    let healed = Instant::now();
    let statuses: Vec<u16> = waiting
        .into_iter()
        .map(|mut one| receive(&mut one).status)
        .collect();
    println!("{statuses:?} {:?} after the cut", healed.elapsed());
    drop(first);
    assert_eq!(statuses, [200; 8]);
}

/// Returns a prompt with the parts `shared` and one of its own.
fn prompt(number: usize, shared: &str) -> Request {
    let mut request = Request::stream(5000, 8);
    request.body = format!("prompt {number}").into_bytes();
    let parts = format!("{shared}:100,{number:08x}:100");
    request.headers.push(("X-Prompt-Prefix", parts));
    "2500".clone_into(&mut request.headers[0].1);
    request
}

/// Guards against prompts that are refused as if they crashed upstreams, although only the links of
/// hosts broke, one host after the other.
#[test]
fn part_of_prompts_that_run_during_cuts_is_not_quarantined() {
    let zones = ["zone-a", "zone-a", "zone-a", "zone-a", "zone-b"];
    let (deployment, links) = Links::deployment(&zones);
    deployment.set_fault_on_all("hang", 24);
    let cut = 0..4;
    let sent: Vec<TcpStream> = (0..48)
        .map(|number| {
            let address = &deployment.daemons[number % cut.len()].ingress;
            start_request(address, &prompt(number, "0000cafe"))
        })
        .collect();
    sleep(Duration::from_millis(300));
    for daemon in cut {
        // The links of a host break at one moment, so that no new connection is made after a reset.
        links.set(daemon, Mode::Refuse);
        links.set(daemon, Mode::Reset);
        // Longer than the time within which crashes count as one.
        sleep(Duration::from_millis(150));
    }
    for number in 48..58 {
        let address = &deployment.daemons[number % zones.len()].ingress;
        send(address, &prompt(number, "0000cafe"));
    }
    drop(sent);
    let count = |message: &str| -> Vec<usize> {
        let daemons = 0..zones.len();
        let counts = daemons.map(|daemon| log(&deployment, daemon).matches(message).count());
        counts.collect()
    };
    let refused = count("crashes_upstreams");
    // Each counts as a crash of the prompts that ran there.
    let crashes = count("upstream refuses connections");
    println!("refused {refused:?}, crashes {crashes:?}");
    assert_eq!((refused, crashes), (vec![0; 5], vec![0; 5]));
}
