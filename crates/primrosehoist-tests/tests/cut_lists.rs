//! Tests of daemons whose lists of the store are cut, beside other daemons and a slow store.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, call, configuration, put_text, send, wait_until};
use serde_json::json;

/// The bounds in the settings of the daemons.
const DRAIN_MAX: Duration = Duration::from_secs(2);
const EVACUATION_MAX: Duration = Duration::from_secs(5);

/// Prepares a store with a configuration and runners, without daemons.
fn prepared() -> Deployment {
    let deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    deployment
}

fn add_daemon(deployment: &mut Deployment, store: &str) -> usize {
    deployment.add_daemon("zone-a", store);
    let index = deployment.daemons.len() - 1;
    deployment.wait_until_ready(index);
    index
}

/// Returns the second address of the store, which faults can be limited to.
fn second_address(deployment: &Deployment) -> String {
    format!("{}.1:7101", deployment.network)
}

/// Writes objects that end the first page with a name that is too long for a call.
fn cut_list(deployment: &Deployment, kind: &str, prefix: &str, count: usize) {
    for index in 1..count {
        put_object(deployment, kind, &format!("{prefix}{index}"));
    }
    let name = format!("{prefix}{count}{}", "\u{e9}".repeat(20_000));
    put_object(deployment, kind, &name);
}

fn put_object(deployment: &Deployment, kind: &str, name: &str) {
    let object = json!({"Metadata": {"Name": name}, "Spec": {}}).to_string();
    put_text(&deployment.store, kind, name, &object);
}

/// Returns which runners a daemon uses, by 32 requests.
fn used(deployment: &Deployment, daemon: usize) -> Vec<usize> {
    let mut used = [false; 3];
    for number in 0..32 {
        let request = Request {
            body: format!("body {number}").into_bytes(),
            ..Request::new("GET", "/look/1")
        };
        let response = send(&deployment.daemons[daemon].ingress, &request);
        if response.status == 200 {
            used[deployment.runs(&request.id)[0].0] = true;
        }
    }
    (0..3).filter(|index| used[*index]).collect()
}

/// Returns how long it takes until a daemon uses the runners `expected` and no others.
fn time_until_used(deployment: &Deployment, daemon: usize, expected: &[usize]) -> Duration {
    let started = Instant::now();
    wait_until("the runners are used", || {
        used(deployment, daemon) == expected
    });
    started.elapsed()
}

fn reject_second_address(deployment: &Deployment) {
    deployment.set_store_faults(&json!({"mode": "unavailable", "also_only": true}));
    std::thread::sleep(Duration::from_millis(500));
}

#[test]
fn evacuation_reaches_daemons_that_the_store_rejects() {
    evacuate_beside_rejected_daemon(false);
}

/// Guards against a daemon with a cut list that tells the others nothing.
#[test]
fn evacuation_reaches_daemons_that_the_store_rejects_while_lists_are_cut() {
    evacuate_beside_rejected_daemon(true);
}

fn evacuate_beside_rejected_daemon(is_cut: bool) {
    let mut deployment = prepared();
    let store = deployment.store.clone();
    let first = add_daemon(&mut deployment, &store);
    let second_store = second_address(&deployment);
    let second = add_daemon(&mut deployment, &second_store);
    std::thread::sleep(Duration::from_millis(600));
    reject_second_address(&deployment);
    if is_cut {
        cut_list(&deployment, "evacuations", "a", 3);
        put_object(&deployment, "evacuations", "b");
    }
    deployment.forget_history();
    std::thread::sleep(Duration::from_secs(1));
    let log = deployment.daemons[first].logged();
    assert_eq!(log.contains("list of the store is cut"), is_cut, "{log}");
    deployment.put("evacuations", "zone-a", &json!({}));
    let at_first = time_until_used(&deployment, first, &[2]);
    let at_second = time_until_used(&deployment, second, &[2]);
    assert!(
        at_first + at_second < EVACUATION_MAX,
        "{at_first:?}, {at_second:?}"
    );
}

/// Guards against a cut list that counts as newer than what others know.
#[test]
fn daemon_with_a_cut_list_learns_the_rest_from_others() {
    let mut deployment = prepared();
    let store = deployment.store.clone();
    add_daemon(&mut deployment, &store);
    cut_list(&deployment, "servers", "i-0-", 2);
    let mut entry = deployment.entry(1, "ready");
    entry["Sequence"] = json!(2);
    deployment.put("servers", "i-1", &entry);
    // The changes have been told to others by then.
    std::thread::sleep(Duration::from_secs(2));
    let second = add_daemon(&mut deployment, &store);
    time_until_used(&deployment, second, &[0, 1]);
}

/// Guards against an evacuation that is looked up before the zones are known, and not again.
#[test]
fn evacuation_behind_a_cut_is_known_within_its_bound_after_a_start() {
    let mut deployment = prepared();
    cut_list(&deployment, "evacuations", "a", 3);
    deployment.put("evacuations", "zone-a", &json!({}));
    for index in 0..60 {
        put_object(&deployment, "servers", &format!("a{index:02}"));
    }
    deployment.set_store_faults(&json!({"list_delay_ms": 20}));
    let store = deployment.store.clone();
    let daemon = add_daemon(&mut deployment, &store);
    let elapsed = time_until_used(&deployment, daemon, &[2]);
    assert!(elapsed < EVACUATION_MAX, "{elapsed:?}");
}

/// Guards against a follower that looks up objects one after the other.
#[test]
fn lookups_behind_a_cut_do_not_hold_up_changes() {
    let mut deployment = prepared();
    for index in 0..40 {
        let entry = deployment.entry(2, "draining");
        deployment.put("servers", &format!("k-{index:02}"), &entry);
    }
    let store = deployment.store.clone();
    let daemon = add_daemon(&mut deployment, &store);
    time_until_used(&deployment, daemon, &[0, 1]);
    cut_list(&deployment, "servers", "i-0-", 2);
    deployment.set_store_faults(&json!({"slow_ms": 100}));
    std::thread::sleep(Duration::from_millis(500));
    deployment.forget_history();
    std::thread::sleep(Duration::from_millis(500));
    deployment.register(1, "draining");
    let elapsed = time_until_used(&deployment, daemon, &[0]);
    assert!(elapsed < DRAIN_MAX, "{elapsed:?}");
}

#[test]
fn long_name_of_an_upstream_does_not_keep_changes_from_other_daemons() {
    let mut deployment = prepared();
    let store = deployment.store.clone();
    add_daemon(&mut deployment, &store);
    let second_store = second_address(&deployment);
    let second = add_daemon(&mut deployment, &second_store);
    std::thread::sleep(Duration::from_millis(600));
    reject_second_address(&deployment);
    let entry = deployment.entry(2, "draining");
    let name = "z".repeat(70_000);
    let object = json!({"Metadata": {"Name": name}, "Spec": entry}).to_string();
    put_text(&deployment.store, "servers", &name, &object);
    deployment.register(0, "draining");
    let elapsed = time_until_used(&deployment, second, &[1]);
    assert!(elapsed < DRAIN_MAX, "{elapsed:?}");
}

#[test]
fn large_objects_of_others_do_not_hold_up_a_start() {
    let mut deployment = prepared();
    for index in 0..34 {
        let name = format!("a{index:02}");
        let object = json!({"Metadata": {"Name": name}, "Spec": "x".repeat(1 << 20)}).to_string();
        put_text(&deployment.store, "servers", &name, &object);
    }
    let store = deployment.store.clone();
    add_daemon(&mut deployment, &store);
}

#[test]
fn evacuation_reaches_all_of_a_large_fleet() {
    evacuate_large_fleet(false);
}

#[test]
fn evacuation_reaches_all_of_a_large_fleet_while_lists_are_cut() {
    evacuate_large_fleet(true);
}

fn evacuate_large_fleet(is_cut: bool) {
    let mut deployment = prepared();
    if is_cut {
        cut_list(&deployment, "evacuations", "a", 3);
    }
    put_object(&deployment, "evacuations", "b");
    let store = deployment.store.clone();
    for _ in 0..20 {
        deployment.add_daemon("zone-a", &store);
    }
    for index in 0..20 {
        deployment.wait_until_ready(index);
    }
    std::thread::sleep(Duration::from_secs(4));
    deployment.put("evacuations", "zone-a", &json!({}));
    std::thread::sleep(EVACUATION_MAX);
    let unaware: Vec<_> = (0..20)
        .filter(|index| used(&deployment, *index) != [2])
        .collect();
    assert_eq!(unaware, Vec::<usize>::new());
}

/// Guards against a daemon that is ready before it knows the evacuated zones.
#[test]
fn evacuation_is_known_within_its_bound_after_a_slow_start() {
    let mut deployment = prepared();
    for index in 0..300 {
        put_object(&deployment, "evacuations", &format!("a{index:03}"));
    }
    deployment.put("evacuations", "zone-a", &json!({}));
    deployment.set_store_faults(&json!({"list_delay_ms": 80}));
    let store = deployment.store.clone();
    let daemon = add_daemon(&mut deployment, &store);
    let elapsed = time_until_used(&deployment, daemon, &[2]);
    assert!(elapsed < EVACUATION_MAX, "{elapsed:?}");
}

#[test]
fn metric_of_a_cut_list_escapes_names() {
    let mut deployment = prepared();
    cut_list(&deployment, "servers", "i-0-\"\n\\", 2);
    let store = deployment.store.clone();
    let daemon = add_daemon(&mut deployment, &store);
    let body = call(&deployment.daemons[daemon].metrics, "GET", "/metrics", "").body;
    let text = String::from_utf8(body).expect("metrics are text");
    let line = text
        .lines()
        .find(|line| line.starts_with("primrosehoist_cut_lists"));
    let line = line.expect("the metric of cut lists");
    assert!(
        line.contains(r#"i-0-\"\n\\2"#) && line.ends_with(" 1"),
        "{line}"
    );
}

#[test]
fn daemons_behind_a_cut_discover_each_other() {
    let mut deployment = prepared();
    cut_list(&deployment, "daemons", "a", 3);
    let store = deployment.store.clone();
    for _ in 0..2 {
        add_daemon(&mut deployment, &store);
    }
    wait_until("the daemons discover each other", || {
        (0..2).all(|index| {
            let host = format!("\"host\":\"frontend-{}\"", 1 - index);
            deployment.daemons[index].logged().contains(&host)
        })
    });
}

#[test]
fn metric_of_a_cut_list_of_daemons_ends_with_the_cut() {
    let mut deployment = prepared();
    cut_list(&deployment, "daemons", "a", 3);
    let store = deployment.store.clone();
    let daemon = add_daemon(&mut deployment, &store);
    let metric = || {
        let body = call(&deployment.daemons[daemon].metrics, "GET", "/metrics", "").body;
        let text = String::from_utf8(body).expect("metrics are text");
        let line = text
            .lines()
            .find(|line| line.starts_with("primrosehoist_cut_lists"));
        line.map(|line| line.ends_with(" 1"))
    };
    wait_until("the cut is reported", || metric() == Some(true));
    deployment.delete("daemons", "a1");
    wait_until("the end of the cut is reported", || metric() == Some(false));
}

/// Guards against state that is kept back although all of it was read.
#[test]
fn evacuation_reaches_rejected_daemons_beside_a_page_without_a_readable_name() {
    let mut deployment = prepared();
    let store = deployment.store.clone();
    add_daemon(&mut deployment, &store);
    let second_store = second_address(&deployment);
    let second = add_daemon(&mut deployment, &second_store);
    std::thread::sleep(Duration::from_millis(600));
    reject_second_address(&deployment);
    for name in [r#""a\ud800""#, r#""a\ud801""#, r#""a\ud802""#, r#""b""#] {
        let object = format!(r#"{{"Metadata":{{"Name":{name}}},"Spec":{{}}}}"#);
        put_text(&deployment.store, "evacuations", "", &object);
    }
    deployment.forget_history();
    std::thread::sleep(Duration::from_secs(1));
    deployment.put("evacuations", "zone-a", &json!({}));
    time_until_used(&deployment, second, &[2]);
}

/// Serves a store whose first pages have one object without a use, and which refuses all others; returns
/// its address and the number of calls for lists of upstreams.
fn serve_refusing_store(network: &str) -> (String, Arc<AtomicUsize>) {
    let address = format!("{network}.2:7100");
    let listener = TcpListener::bind(&address).expect("failed to bind");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().expect("failed to clone");
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut line, mut length, mut first) = (String::new(), 0, String::new());
                    loop {
                        line.clear();
                        if reader.read_line(&mut line).unwrap_or(0) == 0 {
                            return;
                        }
                        if first.is_empty() {
                            first.clone_from(&line);
                        }
                        let lower = line.to_ascii_lowercase();
                        if let Some(value) = lower.strip_prefix("content-length:") {
                            length = value.trim().parse().unwrap_or(0);
                        }
                        if line == "\r\n" {
                            break;
                        }
                    }
                    let mut body = vec![0; length];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    if first.contains("/servers") {
                        counted.fetch_add(1, Ordering::Relaxed);
                    }
                    let is_first_page = first.starts_with("GET")
                        && !first.contains("After")
                        && !first.contains("Watch");
                    let (status, body) = if is_first_page {
                        let body = r#"{"Items":[{"Metadata":{"Name":"a","Rev":1},"Spec":{}}],"HasMore":true,"StoreRevision":5}"#;
                        ("200 OK", body)
                    } else {
                        ("503 Service Unavailable", "{}")
                    };
                    let response = format!(
                        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, calls)
}

/// Guards against a first page that resets the backoff of the others.
#[test]
fn list_that_breaks_off_at_a_start_is_repeated_with_backoff() {
    let mut deployment = Deployment::without_daemons();
    let (store, calls) = serve_refusing_store(&deployment.network);
    deployment.add_daemon("zone-a", &store);
    std::thread::sleep(Duration::from_secs(3));
    let before = calls.load(Ordering::Relaxed);
    std::thread::sleep(Duration::from_secs(10));
    let lists = (calls.load(Ordering::Relaxed) - before) / 2;
    let log = deployment.daemons[0].logged();
    // The longest backoff is 1.2 s, of which jitter takes a half at most.
    assert!(
        lists <= 17,
        "{lists} lists in 10 s, {} log lines",
        log.lines().count()
    );
}

/// Guards against objects that hold up a start after all daemons were killed, while the store refuses calls.
#[test]
fn all_daemons_start_again_beside_odd_objects_and_a_store_that_refuses() {
    let mut deployment = prepared();
    let store = deployment.store.clone();
    for _ in 0..3 {
        add_daemon(&mut deployment, &store);
    }
    for daemon in &mut deployment.daemons {
        daemon.process = None;
    }
    for kind in ["servers", "config", "daemons", "evacuations"] {
        for name in [
            "a00%#",
            "a01%#",
            "a02&b=",
            "a03+",
            "a04%C3%A9",
            "a06 b",
            "a\r\n\"x",
        ] {
            put_object(&deployment, kind, name);
        }
        for name in [r#""a\ud800""#, r#""a\ud801""#, r#""a\ud802""#] {
            let object = format!(r#"{{"Metadata":{{"Name":{name}}},"Spec":{{}}}}"#);
            put_text(&deployment.store, kind, "", &object);
        }
    }
    deployment.set_store_faults(&json!({"mode": "unavailable"}));
    for index in 0..3 {
        deployment.start_daemon(index);
    }
    std::thread::sleep(Duration::from_secs(4));
    deployment.set_store_faults(&json!({"slow_ms": 100}));
    for index in 0..3 {
        deployment.wait_until_ready(index);
    }
    deployment.put("evacuations", "zone-a", &json!({}));
    for index in 0..3 {
        time_until_used(&deployment, index, &[2]);
    }
}
