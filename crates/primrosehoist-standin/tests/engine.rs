//! Tests of the engine stand-in: responses, limits, memory and faults.

mod support;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use support::{Reply, Standin, receive, wait_for};

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";
/// Options of an engine that is warm from the start and lists all cache events.
const WARM: [&str; 4] = ["--warm-after", "0", "--cache-gap-percent", "0"];

fn prompt(text: &str, tokens: u32) -> String {
    json!({"prompt": text, "max_tokens": tokens, "stream": true}).to_string()
}

fn token(text: &str, index: u32) -> String {
    let digest = Sha256::digest(format!("{text}{index}").as_bytes());
    let mut token = String::new();
    for byte in &digest[..4] {
        write!(token, "{byte:02x}").expect("strings can be written");
    }
    token + " "
}

fn answer(text: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(text, index)).collect()
}

/// Checks that a streamed response is complete and well-formed, and returns its text.
fn text_of(reply: &Reply, id: &str, first: usize) -> String {
    assert!(
        reply.whole && reply.body.ends_with("data: [DONE]\n\n"),
        "{reply:?}"
    );
    let events = reply
        .body
        .split("\n\n")
        .filter(|event| event.starts_with("id: "));
    let text = events.enumerate().map(|(index, event)| {
        let (number, data) = event.split_once('\n').expect("an event has two lines");
        assert_eq!(format!("id: {}", first + index), number);
        let data = data
            .strip_prefix("data: ")
            .expect("the second line is data");
        let chunk: Value = serde_json::from_str(data).expect("data is JSON");
        assert_eq!(id, chunk["id"]);
        let choice = &chunk["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["delta"]["content"].as_str());
        text.expect("a chunk has text").to_owned()
    });
    text.collect()
}

#[test]
fn prompts_determine_responses() {
    let engine = Standin::start("engine", &WARM);
    let chat = json!([{"role": "user", "content": "he"}, {"role": "user", "content": "llo"}]);
    let cases = [
        (COMPLETIONS, json!({"prompt": "hello", "max_tokens": 3})),
        (CHAT, json!({"messages": chat, "max_tokens": 3})),
    ];
    for (number, (path, mut body)) in cases.into_iter().enumerate() {
        let whole = engine.call("POST", path, &["X-Request-Id: w"], &body.to_string());
        assert!(whole.head.contains("x-request-id: w"));
        let choice = &whole.json()["choices"][0];
        let text = choice["text"]
            .as_str()
            .or(choice["message"]["content"].as_str());
        assert_eq!(Some(answer("hello", 3).as_str()), text);
        engine.post("/admin/cancel", &[], r#"{"id":"w"}"#);
        body["stream"] = json!(true);
        let id = format!("s{number}");
        let header = format!("X-Request-Id: {id}");
        let streamed = engine.call("POST", path, &[&header], &body.to_string());
        assert_eq!(answer("hello", 3), text_of(&streamed, &id, 0));
        assert!(streamed.body.contains(r#""finish_reason":"length""#));
    }
    assert_eq!(4, engine.counts()["completed"]);
}

#[test]
fn invalid_requests_are_refused() {
    let options = [&WARM[..], &["--memory-tokens", "100", "--model", "m"]].concat();
    let engine = Standin::start("engine", &options);
    let long = "x".repeat(400);
    let cases = [
        (prompt("p", 2), vec!["X-Fencing-Epoch: 5"], 200, None),
        (
            prompt("p", 2),
            vec!["X-Fencing-Epoch: 4"],
            409,
            Some("stale_epoch"),
        ),
        (
            prompt(&long, 2),
            vec!["X-Fencing-Epoch: 5"],
            413,
            Some("too_long"),
        ),
        (
            prompt(&long, 2),
            vec!["X-Fencing-Epoch: 5", "X-Shard: 1/2"],
            200,
            None,
        ),
        ("{".to_owned(), vec![], 400, Some("bad_request")),
        (
            r#"{"prompt":"p","model":"n"}"#.to_owned(),
            vec![],
            400,
            Some("bad_request"),
        ),
    ];
    for (body, headers, status, code) in cases {
        let reply = engine.call("POST", COMPLETIONS, &headers, &body);
        assert_eq!(status, reply.status, "{body}");
        if let Some(code) = code {
            assert_eq!(code, reply.json()["error"]["code"], "{body}");
        }
    }
    engine.fault(r#"{"refuse":true}"#);
    let refused = engine.call("POST", COMPLETIONS, &[], &prompt("p", 2));
    assert_eq!(503, refused.status);
    assert_eq!("not_run", refused.json()["error"]["code"]);
    let counts = engine.counts();
    assert_eq!(
        (json!(2), json!(1)),
        (counts["received"].clone(), counts["stale_refused"].clone())
    );
}

#[test]
fn stale_epochs_are_accepted_if_configured() {
    let engine = Standin::start("engine", &[&WARM[..], &["--fencing", "ignore"]].concat());
    let order = r#"{"kind":"set_role","argument":"prefill"}"#;
    for epoch in ["X-Fencing-Epoch: 2", "X-Fencing-Epoch: 1"] {
        assert_eq!(200, engine.post("/admin/orders", &[epoch], order));
    }
    assert_eq!(
        400,
        engine.post("/admin/orders", &[], r#"{"kind":"frob","argument":""}"#)
    );
    assert_eq!(1, engine.counts()["orders"][1]["epoch"]);
}

#[test]
fn overload_crashes_a_cold_engine() {
    let options = [
        "--cold-requests",
        "1",
        "--warm-requests",
        "3",
        "--warm-after",
        "2",
    ];
    let engine = Standin::start("engine", &options);
    assert_eq!(1, engine.counts()["borne"]);
    assert_eq!(200, engine.post(COMPLETIONS, &[], &prompt("p", 1)));
    assert_eq!(2, engine.counts()["borne"]);
    engine.fault(r#"{"cold":true}"#);
    let mut running = engine.send("POST", COMPLETIONS, &[], &prompt("p", 100_000));
    wait_for("the first request", || {
        (engine.counts()["running"] == 1).then_some(())
    });
    assert!(
        engine
            .try_call("POST", COMPLETIONS, &[], &prompt("p", 1))
            .is_none()
    );
    assert!(receive(&mut running).is_none_or(|reply| !reply.whole));
    engine.wait_up();
    let counts = engine.counts();
    let expected = [
        ("overloads", 1),
        ("max_over_limit", 1),
        ("crashes", 1),
        ("running", 0),
    ];
    for (name, count) in expected {
        assert_eq!(count, counts[name], "{name}");
    }
    let states: Vec<&Value> = (0..3)
        .map(|index| &counts["attempts"][index]["state"])
        .collect();
    assert_eq!(["completed", "crashed", "overload"], states[..]);
}

#[test]
fn prompts_and_faults_crash_the_engine() {
    let engine = Standin::start("engine", &WARM);
    let reply = engine.try_call("POST", COMPLETIONS, &[], &prompt("a CRASH-MARK b", 1));
    assert!(reply.is_none_or(|reply| !reply.whole && reply.body.is_empty()));
    engine.wait_up();
    engine.fault(r#"{"crash":true}"#);
    wait_for("the second crash", || {
        let reply = engine.try_call("GET", "/standin/counts", &[], "")?;
        (reply.json()["crashes"] == 2).then_some(())
    });
}

#[test]
fn disconnected_streams_are_resumed_or_dropped() {
    let cases = [("600000", true), ("50", false)];
    for (grace_ms, kept) in cases {
        let options = [
            &WARM[..],
            &["--resume-grace-ms", grace_ms, "--decode-ms", "20"],
        ]
        .concat();
        let engine = Standin::start("engine", &options);
        let broken = engine.send("POST", COMPLETIONS, &["X-Request-Id: r"], &prompt("p", 30));
        wait_for("the stream", || {
            (engine.counts()["running"] == 1).then_some(())
        });
        drop(broken);
        if !kept {
            wait_for("the drop", || {
                (engine.counts()["cancelled"] == 1).then_some(())
            });
        }
        let resumed = engine.call("POST", "/admin/resume", &[], r#"{"id":"r","from":2}"#);
        assert_eq!(if kept { 200 } else { 404 }, resumed.status);
        if kept {
            assert_eq!(answer("p", 30)[18..], text_of(&resumed, "r", 2));
        }
    }
}

#[test]
fn cancel_frees_memory() {
    let engine = Standin::start("engine", &WARM);
    let headers = ["X-Request-Id: r", "X-Holder: h", "X-Fencing-Epoch: 3"];
    let mut stream = engine.send("POST", COMPLETIONS, &headers, &prompt("p", 100_000));
    let listed = || {
        let running = engine.call("GET", "/admin/running", &[], "").json();
        (running["streams"] != json!([])).then_some(running)
    };
    let running = wait_for("the stream", listed);
    let listed = &running["streams"][0];
    assert_eq!(
        ("h", 3),
        (
            listed["holder"].as_str().unwrap_or(""),
            listed["epoch"].as_i64().unwrap_or(0)
        )
    );
    for _ in 0..2 {
        assert_eq!(200, engine.post("/admin/cancel", &[], r#"{"id":"r"}"#));
    }
    assert!(!receive(&mut stream).expect("the stream began").whole);
    let counts = engine.counts();
    assert_eq!(
        (json!(0), json!(1)),
        (
            counts["kv_owned_tokens"].clone(),
            counts["cancelled"].clone()
        )
    );
}

#[test]
fn memory_is_accounted_to_owners() {
    let engine = Standin::start(
        "engine",
        &[&WARM[..], &["--memory-tokens", "1000"]].concat(),
    );
    let first = ["X-Holder: a", "X-Fencing-Epoch: 1"];
    let second = ["X-Holder: b", "X-Fencing-Epoch: 2"];
    assert_eq!(
        200,
        engine.post(COMPLETIONS, &["X-Request-Id: done"], &prompt("p", 1))
    );
    let done = prompt("p", 1).len().div_ceil(4);
    let cases = [
        (
            "kv/reserve",
            first,
            r#"{"id":"r","tokens":600}"#,
            200,
            600,
            0,
        ),
        (
            "kv/reserve",
            first,
            r#"{"id":"s","tokens":600}"#,
            507,
            600,
            0,
        ),
        (
            "kv/import",
            second,
            r#"{"id":"i","handle":"x","tokens":100}"#,
            200,
            700,
            600,
        ),
        (
            "kv/reserve",
            first,
            r#"{"id":"s","tokens":1}"#,
            409,
            700,
            600,
        ),
        ("kv/export", second, r#"{"id":"unknown"}"#, 404, 700, 600),
        (
            "kv/export",
            second,
            r#"{"id":"done"}"#,
            200,
            700 + done,
            600,
        ),
        (
            "kv/release",
            second,
            r#"{"handle":"engine-done"}"#,
            200,
            700,
            600,
        ),
        ("kv/release", second, r#"{"id":"r"}"#, 200, 100, 0),
        ("kv/release", second, r#"{"id":"i"}"#, 200, 0, 0),
    ];
    for (endpoint, headers, body, status, owned, orphan) in cases {
        let found = engine.post(&format!("/admin/{endpoint}"), &headers, body);
        assert_eq!(status, found, "{endpoint} {body}");
        let counts = engine.counts();
        assert_eq!(owned, counts["kv_owned_tokens"], "{endpoint} {body}");
        assert_eq!(orphan, counts["kv_orphan_tokens"], "{endpoint} {body}");
    }
}

#[test]
fn cache_events_are_listed_with_gaps() {
    let body = prompt(&"x".repeat(10 * 1024), 1);
    for (gap, listed) in [("0", 10), ("100", 0)] {
        let options = ["--warm-after", "0", "--cache-event-lag-ms", "0"];
        let engine = Standin::start(
            "engine",
            &[&options[..], &["--cache-gap-percent", gap]].concat(),
        );
        assert_eq!(200, engine.post(COMPLETIONS, &[], &body));
        let page = engine
            .call("GET", "/admin/cache/events?since=0", &[], "")
            .json();
        let events = page["events"].as_array().expect("events are a list");
        assert_eq!(listed, events.len());
        assert_eq!(listed, page["next"]);
    }
}

/// Returns the identifiers of the prefixes of a body, longest first.
fn prefixes(body: &str) -> Vec<String> {
    let mut names = Vec::new();
    let mut hash = Vec::new();
    for block in body.as_bytes().chunks_exact(1024) {
        hash = Sha256::digest([&hash, block].concat()).to_vec();
        let mut name = String::new();
        for byte in &hash[..8] {
            write!(name, "{byte:02x}").expect("strings can be written");
        }
        names.push(name);
    }
    names.reverse();
    names
}

#[test]
fn the_cache_evicts_least_recently_used_prefixes() {
    let options = ["--memory-tokens", "4000", "--cache-event-lag-ms", "0"];
    let engine = Standin::start("engine", &[&WARM[..], &options].concat());
    let bodies = ["x", "y"].map(|text| prompt(&text.repeat(10 * 1024), 1));
    for body in &bodies {
        assert_eq!(200, engine.post(COMPLETIONS, &[], body));
    }
    let page = engine
        .call("GET", "/admin/cache/events?since=0", &[], "")
        .json();
    let events = page["events"].as_array().expect("events are a list");
    let of_kind = |kind: &str| -> Vec<String> {
        let found = events.iter().filter(|event| event["kind"] == kind);
        found
            .map(|event| event["prefix"].as_str().unwrap_or("").to_owned())
            .collect()
    };
    let first = prefixes(&bodies[0]);
    let mut expected = [first.clone(), prefixes(&bodies[1])].concat();
    let mut stored = of_kind("stored");
    expected.sort();
    stored.sort();
    assert_eq!(expected, stored);
    assert_eq!(first[..of_kind("evicted").len()], of_kind("evicted"));
    let load = || engine.call("GET", "/admin/load", &[], "").json()["memory_tokens_used"].clone();
    let resident = (stored.len() - of_kind("evicted").len()) * 256;
    assert!(resident <= 4000);
    wait_for("the report", || (load() == resident).then_some(()));
}

#[test]
fn garbage_corrupts_streams() {
    let engine = Standin::start("engine", &WARM);
    let cases = [
        (r#"{"garbage":"half"}"#, "half", false),
        (r#"{"garbage":true}"#, "malformed", true),
        (r#"{"garbage":"double"}"#, "-other", true),
    ];
    for (fault, id, whole) in cases {
        engine.fault(fault);
        let header = format!("X-Request-Id: {id}");
        let reply = engine.call("POST", COMPLETIONS, &[&header], &prompt("p", 2));
        assert_eq!(whole, reply.whole, "{fault}");
        assert_eq!(id == "malformed", reply.body.contains(",,"), "{fault}");
        assert_eq!(
            id == "-other",
            reply.body.contains("-other-other"),
            "{fault}"
        );
    }
    assert_eq!(
        400,
        engine.post("/standin/faults", &[], r#"{"garbage":"frob"}"#)
    );
    engine.fault(r#"{"garbage":false}"#);
    let reply = engine.call(
        "POST",
        COMPLETIONS,
        &["X-Request-Id: good"],
        &prompt("p", 2),
    );
    assert_eq!(answer("p", 2), text_of(&reply, "good", 0));
}

#[test]
fn urgent_requests_run_first() {
    // The long prompt runs for far longer than the test waits, so the short one completes only if
    // it is scheduled first.
    let options = [
        &WARM[..],
        &["--prefill-rate", "2000", "--chunk-tokens", "20"],
    ]
    .concat();
    let engine = Standin::start("engine", &options);
    let long = prompt(&"x".repeat(1_000_000), 1);
    let _long = engine.send(
        "POST",
        COMPLETIONS,
        &["X-Request-Id: long", "X-Priority: 5"],
        &long,
    );
    wait_for("the long request", || {
        (engine.counts()["running"] == 1).then_some(())
    });
    assert_eq!(
        200,
        engine.post(COMPLETIONS, &["X-Priority: 0"], &prompt("p", 2))
    );
    let counts = engine.counts();
    assert_eq!(
        (json!(1), json!(1)),
        (counts["completed"].clone(), counts["running"].clone())
    );
}

#[test]
fn reported_load_lags() {
    for (lag_ms, running) in [("600000", 0), ("0", 1)] {
        let engine = Standin::start("engine", &[&WARM[..], &["--load-lag-ms", lag_ms]].concat());
        let _stream = engine.send("POST", COMPLETIONS, &[], &prompt("p", 100_000));
        wait_for("the stream", || {
            (engine.counts()["running"] == 1).then_some(())
        });
        let reported = || engine.call("GET", "/admin/load", &[], "").json()["running"].clone();
        if running == 1 {
            wait_for("the report", || (reported() == 1).then_some(()));
        }
        assert_eq!(running, reported(), "lag {lag_ms}");
    }
}

#[test]
fn a_frozen_engine_accepts_no_requests() {
    let engine = Standin::start("engine", &WARM);
    engine.fault(r#"{"freeze_ms":600000}"#);
    let mut late = engine.send("POST", COMPLETIONS, &["X-Request-Id: r"], &prompt("p", 2));
    assert_eq!(0, engine.counts()["received"]);
    engine.fault(r#"{"freeze_ms":0}"#);
    let reply = receive(&mut late).expect("the request is answered after the freeze");
    assert_eq!(answer("p", 2), text_of(&reply, "r", 0));
}
