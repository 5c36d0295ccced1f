//! Tests of daemons beside objects whose names and values someone else wrote.

mod common;

use std::time::Duration;

use common::platform::{
    Deployment, Request, call, configuration, put_text, send, wait_for, wait_until,
};
use serde_json::json;

/// The time in which a daemon is ready that starts while the store answers.
const START_MAX: Duration = Duration::from_secs(5);

/// Names that sort before those of runners and of most other objects.
const NAMES: [&str; 14] = [
    "\"quoted\"",
    "%2e%2e",
    "../servers",
    "a/b",
    "a00%#",
    "a01%#",
    "a02&b=",
    "a03+",
    "a04%C3%A9",
    "a05\u{e9}",
    "a06 b",
    "a07?After=z",
    "a08\r\nX-Injected: 1",
    "a09\u{0}",
];

/// A value nested more deeply than decoders of JSON go.
fn nested(levels: usize) -> String {
    ["[".repeat(levels), "]".repeat(levels)].concat()
}

/// Writes an object whose name is the JSON text `name`.
fn put_named(deployment: &Deployment, kind: &str, name: &str, spec: &str) {
    let object = format!(r#"{{"Metadata":{{"Name":{name}}},"Spec":{spec}}}"#);
    put_text(&deployment.store, kind, "", &object);
}

/// Writes an object with each of the odd names.
fn put_odd(deployment: &Deployment, kind: &str) {
    for name in NAMES {
        put_named(deployment, kind, &json!(name).to_string(), "{}");
    }
}

/// Prepares a store with a configuration and runners, and a daemon that is not started.
fn prepared() -> Deployment {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    let daemon = deployment.prepare_daemon("zone-a", &deployment.store);
    deployment.daemons.push(daemon);
    deployment
}

/// Starts the daemon and waits until it is ready.
fn start(deployment: &mut Deployment) {
    deployment.start_daemon(0);
    let started = std::time::Instant::now();
    let readiness = deployment.daemons[0].readiness.clone();
    wait_until("the daemon is ready", || {
        common::platform::readiness(&readiness) == 200
    });
    let elapsed = started.elapsed();
    assert!(
        elapsed < START_MAX,
        "{elapsed:?}: {}",
        deployment.daemons[0].logged()
    );
}

/// Waits until all of the runners `expected` and no others are used. The daemon uses those in its own zone if
/// there are any: the first two.
fn wait_until_used(deployment: &Deployment, expected: &[usize]) {
    wait_for("the runners are used", || {
        let mut used = [false; 3];
        for number in 0..32 {
            let request = Request {
                body: format!("body {number}").into_bytes(),
                ..Request::new("GET", "/look/1")
            };
            let response = send(&deployment.daemons[0].ingress, &request);
            if response.status != 200 {
                return None;
            }
            used[deployment.runs(&request.id)[0].0] = true;
        }
        let used: Vec<usize> = (0..3).filter(|index| used[*index]).collect();
        (used == expected).then_some(())
    });
}

#[test]
fn names_of_upstreams_do_not_hold_up_a_start() {
    let mut deployment = prepared();
    put_odd(&deployment, "servers");
    start(&mut deployment);
    wait_until_used(&deployment, &[0, 1]);
}

#[test]
fn names_of_configurations_do_not_hold_up_a_start() {
    let mut deployment = prepared();
    put_odd(&deployment, "config");
    start(&mut deployment);
    wait_until_used(&deployment, &[0, 1]);
}

#[test]
fn names_of_hosts_do_not_keep_daemons_apart() {
    let mut deployment = prepared();
    put_odd(&deployment, "daemons");
    start(&mut deployment);
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    wait_until("the daemons discover each other", || {
        let of_other = |index: usize| format!("\"host\":\"frontend-{}\"", 1 - index);
        (0..2).all(|index| {
            deployment.daemons[index]
                .logged()
                .contains(&of_other(index))
        })
    });
    let log = deployment.daemons[0].logged();
    assert!(!log.contains("failed to list the daemons"), "{log}");
}

/// Guards against a cut list of the daemons that is taken for a complete one.
#[test]
fn daemons_behind_a_cut_in_their_list_are_found_later() {
    let mut deployment = prepared();
    // The pages have three objects; the name ends the first one and is too long for a call.
    let names = ["a0", "a1", &"b".repeat(100_000)];
    let objects = names.map(|name| json!({"Kind": "daemons", "Metadata": {"Name": name}}));
    let objects = json!(objects).to_string();
    let control = |deployment: &Deployment, command| {
        let path = format!("/standin/{command}");
        assert_eq!(200, call(&deployment.store, "POST", &path, &objects).status);
    };
    control(&deployment, "keep");
    start(&mut deployment);
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    wait_until("the lists are cut", || {
        let mut daemons = deployment.daemons.iter();
        daemons.all(|daemon| daemon.logged().contains("list of the store is cut"))
    });
    // The lists of the start are over by then.
    std::thread::sleep(Duration::from_secs(4));
    control(&deployment, "remove");
    wait_until("the daemons discover each other", || {
        let of_other = |index: usize| format!("\"host\":\"frontend-{}\"", 1 - index);
        (0..2).all(|index| {
            let log = deployment.daemons[index].logged();
            log.contains(&of_other(index)) && log.contains("list of the store is complete")
        })
    });
}

#[test]
fn names_of_zones_do_not_hide_an_evacuation() {
    let mut deployment = prepared();
    put_odd(&deployment, "evacuations");
    deployment.put("evacuations", "zone-a", &json!({}));
    start(&mut deployment);
    wait_until_used(&deployment, &[2]);
}

#[test]
fn names_written_later_do_not_hide_changes_from_a_living_daemon() {
    let mut deployment = prepared();
    deployment.delete("servers", "i-1");
    start(&mut deployment);
    wait_until_used(&deployment, &[0]);
    put_odd(&deployment, "servers");
    deployment.forget_history();
    deployment.register(1, "ready");
    wait_until_used(&deployment, &[0, 1]);
    deployment.delete("servers", "i-0");
    deployment.forget_history();
    wait_until_used(&deployment, &[1]);
}

/// Guards against a page without a readable name that counts as the last one.
#[test]
fn unreadable_names_do_not_end_a_list() {
    let mut deployment = prepared();
    for name in [
        r#""a\ud800""#,
        r#""a\ud801""#,
        r#""a\udc00b""#,
        r#""a\udfff""#,
    ] {
        put_named(&deployment, "servers", name, "{}");
    }
    start(&mut deployment);
    wait_until_used(&deployment, &[0, 1]);
}

/// Guards against entries that are skipped for a field that nobody reads.
#[test]
fn unreadable_fields_beside_readable_ones_do_not_matter() {
    let mut deployment = prepared();
    let odd = [
        nested(150),
        "1e999".to_owned(),
        r#"{"\ud800":[1]}"#.to_owned(),
    ];
    for (index, odd) in odd.iter().enumerate() {
        let id = deployment.runners[index].id.clone();
        let mut spec = deployment.entry(index, "ready").to_string();
        spec.insert_str(1, &format!(r#""Odd":{odd},"#));
        let object = format!(r#"{{"Metadata":{{"Name":"{id}"}},"Spec":{spec}}}"#);
        put_text(&deployment.store, "servers", &id, &object);
    }
    let mut spec = configuration(2).to_string();
    spec.insert_str(1, &format!(r#""Odd":{},"#, nested(150)));
    let object = format!(r#"{{"Metadata":{{"Name":"main"}},"Spec":{spec}}}"#);
    put_text(&deployment.store, "config", "main", &object);
    start(&mut deployment);
    wait_until_used(&deployment, &[0, 1]);
    let log = deployment.daemons[0].logged();
    assert!(log.contains(r#""version":2"#), "{log}");
}

/// Guards against a name that is too long for a call, behind which nothing is read.
#[test]
fn names_that_are_too_long_for_a_call_hide_nothing_behind_them() {
    let mut deployment = prepared();
    let name = format!("i-0-{}", "\u{e9}".repeat(20_000));
    // The pages have three objects; the name ends the first one.
    for filler in ["i-0-1", &name] {
        put_named(&deployment, "servers", &json!(filler).to_string(), "{}");
    }
    start(&mut deployment);
    wait_until_used(&deployment, &[0, 1]);
    let log = deployment.daemons[0].logged();
    assert!(log.contains("list of the store is cut"), "{log}");
    let metrics = call(&deployment.daemons[0].metrics, "GET", "/metrics", "").body;
    let metrics = String::from_utf8(metrics).expect("metrics are text");
    let line = metrics
        .lines()
        .find(|line| line.starts_with("primrosehoist_cut_lists"));
    let line = line.expect("the metric of cut lists");
    assert!(line.ends_with(" 1"), "{line}");
    deployment.delete("servers", "i-1");
    deployment.forget_history();
    wait_until_used(&deployment, &[0]);
}
