//! Tests of the platform stand-in: API, watches and faults.

mod support;

use serde_json::{Value, json};
use support::{Standin, receive};

const CHANGES: &str = "/apis/primrosehoist/v1/changes";

fn object(name: &str, version: &str, spec: u32) -> String {
    json!({"metadata": {"name": name, "resourceVersion": version}, "spec": spec}).to_string()
}

#[test]
fn objects_are_versioned() {
    let platform = Standin::start("platform", &[]);
    let (a, missing) = (format!("{CHANGES}/a"), format!("{CHANGES}/b"));
    let stale = format!("{CHANGES}/a?resourceVersion=1");
    let large = json!({"metadata": {"name": "l"}, "spec": "x".repeat(1 << 20)}).to_string();
    let cases = [
        ("POST", CHANGES, object("a", "", 1), 201, "1"),
        ("POST", CHANGES, object("a", "", 2), 409, "AlreadyExists"),
        ("GET", &a, String::new(), 200, "1"),
        ("GET", &missing, String::new(), 404, "NotFound"),
        ("PUT", &a, object("a", "1", 3), 200, "2"),
        ("PUT", &a, object("a", "1", 4), 409, "Conflict"),
        ("PUT", &a, object("a", "", 4), 409, "Conflict"),
        ("PUT", &missing, object("b", "1", 4), 404, "NotFound"),
        ("POST", CHANGES, large, 413, "RequestEntityTooLarge"),
        ("POST", CHANGES, "{".to_owned(), 400, "BadRequest"),
        ("DELETE", &stale, String::new(), 409, "Conflict"),
        ("DELETE", &a, String::new(), 200, "3"),
        ("GET", &a, String::new(), 404, "NotFound"),
    ];
    for (method, path, body, status, expected) in cases {
        let reply = platform.call(method, path, &[], &body);
        assert_eq!(status, reply.status, "{method} {path}");
        let content = reply.json();
        let version = &content["metadata"]["resourceVersion"];
        let found = if status < 300 {
            version
        } else {
            &content["reason"]
        };
        assert_eq!(expected, found, "{method} {path}");
    }
    assert_eq!(4, platform.counts()["conflicts"]);
}

/// Guards against a stand-in that takes unescaped names, with which no test shows that a client escapes them.
#[test]
fn names_and_options_are_decoded() {
    let platform = Standin::start("platform", &[]);
    let names = ["%2e", "a b", "a#", "a%#", "a&b=", "a+", "a/b", "a\u{e9}"];
    for name in names {
        assert_eq!(201, platform.post(CHANGES, &[], &object(name, "", 1)));
    }
    let encoded = "%252e a%20b a%23 a%25%23 a%26b%3D a%2B a%2Fb a%C3%A9";
    for (encoded, name) in encoded.split(' ').zip(names) {
        let found = platform.call("GET", &format!("{CHANGES}/{encoded}"), &[], "");
        assert_eq!(
            (200, name),
            (
                found.status,
                found.json()["metadata"]["name"].as_str().unwrap_or("")
            )
        );
        let list = format!("{CHANGES}?limit=1&continue={encoded}");
        let next = platform.call("GET", &list, &[], "").json();
        let after = names.iter().find(|other| **other > name);
        assert_eq!(
            after.copied(),
            next["items"][0]["metadata"]["name"].as_str()
        );
    }
    // A plus sign in a query is a space.
    let next = platform.call("GET", &format!("{CHANGES}?limit=1&continue=a+b"), &[], "");
    assert_eq!("a#", next.json()["items"][0]["metadata"]["name"]);
    let host = json!({"zone": "z", "role": "entry", "address": "a", "state": "live"}).to_string();
    assert_eq!(
        200,
        platform
            .call("PUT", "/standin/hosts/h%201", &[], &host)
            .status
    );
    let hosts = "/apis/primrosehoist/v1/hosts";
    let found = platform.call("GET", hosts, &[], "").json();
    assert_eq!("h 1", found["items"][0]["metadata"]["name"]);
    for malformed in [
        format!("{CHANGES}/a%"),
        format!("{CHANGES}/a%4"),
        format!("{CHANGES}/%zz"),
        format!("{CHANGES}/%ff"),
        format!("{CHANGES}?continue=a%"),
        format!("{CHANGES}?continue=%ff"),
        format!("{CHANGES}?limit=many"),
    ] {
        assert_eq!(
            400,
            platform.call("GET", &malformed, &[], "").status,
            "{malformed}"
        );
    }
    assert_eq!(
        400,
        platform.call("PUT", "/standin/hosts/h%", &[], &host).status
    );
}

#[test]
fn watches_end_with_an_outage() {
    let platform = Standin::start("platform", &["--history", "2"]);
    for name in ["a", "b", "c"] {
        assert_eq!(201, platform.post(CHANGES, &[], &object(name, "", 1)));
    }
    let watch = |since| format!("{CHANGES}?watch=true&resourceVersion={since}");
    assert_eq!(410, platform.call("GET", &watch(0), &[], "").status);
    let mut zone = platform.send("GET", &watch(1), &["X-Client-Zone: z"], "");
    let mut other = platform.send("GET", &watch(2), &["X-Client-Zone: y"], "");
    support::wait_for("the watches", || {
        (platform.counts()["watches"] == 3).then_some(())
    });
    platform.fault(r#"{"down_for":["z"]}"#);
    let names = |text: &str| -> Vec<Value> {
        let events = text
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON lines"));
        let events = events.filter(|event: &Value| event["type"] != "BOOKMARK");
        events
            .map(|event| event["object"]["metadata"]["name"].clone())
            .collect()
    };
    let cut = receive(&mut zone).expect("the watch was answered");
    assert!(!cut.whole);
    assert_eq!(vec![json!("b"), json!("c")], names(&cut.body));
    assert_eq!(
        201,
        platform.post(CHANGES, &["X-Client-Zone: y"], &object("d", "", 1))
    );
    let refused = platform.post(CHANGES, &["X-Client-Zone: z"], &object("e", "", 1));
    assert_eq!(503, refused);
    platform.fault(r#"{"down":true}"#);
    let cut = receive(&mut other).expect("the watch was answered");
    assert_eq!(vec![json!("c"), json!("d")], names(&cut.body));
}

#[test]
fn writes_with_lost_responses_take_effect() {
    let platform = Standin::start("platform", &[]);
    platform.fault(r#"{"lose_answers_percent":100}"#);
    let lost = platform.try_call("POST", CHANGES, &["X-Client: h"], &object("a", "", 1));
    assert!(lost.is_none());
    assert_eq!(
        200,
        platform
            .call("GET", &format!("{CHANGES}/a"), &[], "")
            .status
    );
    assert_eq!(1, platform.counts()["clients"]["h"]["lost_answers"]);
}

#[test]
fn calls_are_rate_limited() {
    let platform = Standin::start("platform", &[]);
    platform.fault(r#"{"writes_per_s":1}"#);
    let refused = support::wait_for("a refusal", || {
        let reply = platform.call("POST", CHANGES, &[], &object("a", "", 1));
        (reply.status == 429).then_some(reply)
    });
    assert!(refused.head.contains("retry-after: 1"));
    assert_eq!(200, platform.call("GET", CHANGES, &[], "").status);
}

#[test]
fn host_changes_are_delayed() {
    let platform = Standin::start("platform", &[]);
    let host = "/standin/hosts/h1";
    let list = || {
        platform
            .call("GET", "/apis/primrosehoist/v1/hosts", &[], "")
            .json()
    };
    platform.fault(r#"{"hosts_lag_ms":600000}"#);
    assert_eq!(
        200,
        platform.call("PUT", host, &[], r#"{"zone":"z"}"#).status
    );
    assert_eq!(json!([]), list()["items"]);
    platform.fault(r#"{"hosts_lag_ms":0}"#);
    assert_eq!(
        200,
        platform.call("PUT", host, &[], r#"{"zone":"y"}"#).status
    );
    assert_eq!("y", list()["items"][0]["spec"]["zone"]);
}
