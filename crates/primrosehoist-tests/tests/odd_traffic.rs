//! Tests of traffic whose names, keys and ids someone else wrote.

mod common;

use std::io::Write;
use std::time::Instant;

use common::handover::{SENDING, connect_from};
use common::platform::{
    Deployment, HOST, KEY, Request, configuration, connect, receive, send, wait_for, wait_until,
};
use primrosehoist::state::sampler::{LOGGED_MAX, WINDOW};
use serde_json::{Value, json};

/// Names that a header holds as they are.
const NAMES: [&str; 4] = ["\u{e9}", "\u{65e5}\u{672c} x", "a%20b", "a,b\"/\\"];

/// Names that no header holds, or not as they are. Receivers trim the first ones.
const UNUSABLE: [&str; 10] = [
    " rope",
    "rope ",
    "\trope",
    "rope\t",
    "",
    "a\r\nX-Tenant: rope",
    "rope\n",
    "rope\u{0}",
    "\u{7f}rope",
    "rope\u{1b}[2J",
];

/// The keys of additional workspaces.
const KEYS: [&str; 10] = [
    "key-0", "key-1", "key-2", "key-3", "key-4", "key-5", "key-6", "key-7", "key-8", "key-9",
];

/// Returns a configuration with a workspace for each of `names`, each with one of [`KEYS`].
fn with_workspaces(version: u64, names: &[&str]) -> Value {
    let mut spec = configuration(version);
    let workspaces = spec["Tenants"].as_array_mut().expect("workspaces");
    let added = names.iter().zip(KEYS);
    workspaces.extend(added.map(|(name, key)| json!({"Name": name, "ApiKeys": [key, 7]})));
    spec
}

/// Returns a request with the key `key`.
fn request(key: &'static str) -> Request {
    Request {
        key,
        ..Request::new("GET", "/look/1")
    }
}

/// Starts a daemon with the configuration `spec`.
fn started(spec: &Value) -> Deployment {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(spec);
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    deployment.wait_until_ready(0);
    deployment
}

/// Returns the log lines of the first daemon with `message`.
fn lines(deployment: &Deployment, message: &str) -> Vec<Value> {
    let log = deployment.daemons[0].logged();
    let lines = log.lines().filter(|line| line.contains(message));
    lines
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

#[test]
fn names_of_workspaces_reach_the_upstream_as_they_are() {
    let deployment = started(&with_workspaces(1, &NAMES));
    for (name, key) in NAMES.iter().zip(KEYS) {
        let request = request(key);
        let response = send(&deployment.daemons[0].ingress, &request);
        assert_eq!(response.status, 200, "{name:?}: {response:?}");
        let runs = deployment.runs(&request.id);
        assert_eq!(runs.len(), 1, "{name:?}");
        assert_eq!(runs[0].1["tenant"], *name);
        assert_eq!(runs[0].1["authorization"], Value::Null);
    }
}

/// Guards against requests that run for nobody, or for another workspace.
#[test]
fn requests_of_workspaces_that_no_header_holds_are_refused_and_do_not_run() {
    let deployment = started(&with_workspaces(1, &UNUSABLE));
    let mut wrong = Vec::new();
    for (name, key) in UNUSABLE.iter().zip(KEYS) {
        let request = request(key);
        let response = send(&deployment.daemons[0].ingress, &request);
        let runs = deployment.runs(&request.id);
        if response.status != 503 || response.header("retry-after").is_none() || !runs.is_empty() {
            let workspaces = runs.into_iter().map(|(_, run)| run["tenant"].clone());
            wrong.push((name, response.status, workspaces.collect::<Vec<_>>()));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
    for (key, expected) in [(KEY, 200), ("unknown", 401), ("", 401)] {
        let response = send(&deployment.daemons[0].ingress, &request(key));
        assert_eq!(response.status, expected, "{key:?}");
    }
    let skipped = lines(&deployment, "malformed config entry skipped");
    assert_eq!(skipped.len(), UNUSABLE.len(), "{skipped:?}");
    let skipped = lines(&deployment, "malformed header skipped");
    assert_eq!(skipped.len(), 0, "{skipped:?}");
}

/// Guards against routes that are open because no workspace is usable.
#[test]
fn routes_are_not_open_if_all_workspaces_are_malformed() {
    let mut spec = configuration(1);
    spec["Tenants"] = json!([{"Name": "rope\n", "ApiKeys": [KEY]}, {"Name": 7}, "rope"]);
    let deployment = started(&spec);
    for (key, expected) in [(KEY, 503), ("unknown", 401)] {
        let request = request(key);
        let response = send(&deployment.daemons[0].ingress, &request);
        assert_eq!(response.status, expected, "{key:?}");
        assert_eq!(deployment.runs(&request.id), [], "{key:?}");
    }
}

/// Guards against requests to a malformed route that the service of a shorter prefix runs.
#[test]
fn requests_to_a_malformed_route_are_refused() {
    let mut spec = configuration(1);
    let mut longer = spec["Routes"][1].clone();
    longer["PathPrefix"] = json!("/look/longer/");
    longer["Service"] = json!({});
    longer["Public"] = json!(true);
    let routes = spec["Routes"].as_array_mut().expect("routes");
    routes.push(longer);
    let deployment = started(&spec);
    for key in [KEY, "unknown", ""] {
        let request = Request {
            path: "/look/longer/1".to_owned(),
            ..request(key)
        };
        let response = send(&deployment.daemons[0].ingress, &request);
        assert_eq!(response.status, 503, "{key:?}");
        assert_eq!(deployment.runs(&request.id), [], "{key:?}");
    }
    let response = send(&deployment.daemons[0].ingress, &request(KEY));
    assert_eq!(response.status, 200, "{response:?}");
}

/// Guards against an upstream at the address of another one that runs its requests.
#[test]
fn upstreams_run_only_what_is_meant_for_them() {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    let own = "i-\u{e9}\u{65e5}".to_owned();
    deployment.runners[0].process = None;
    deployment.runners[0].id = own.clone();
    deployment.start_runner(0);
    let other = deployment.entry(1, "ready");
    for name in ["i-\u{e8}", " i-1", "i-1 ", "i-1\r\nX-Other: 1"] {
        deployment.put("servers", name, &other);
    }
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    deployment.wait_until_ready(0);
    let request = || Request::new("GET", "/look/1");
    let refused = send(&deployment.daemons[0].ingress, &request());
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(deployment.counts(1)["runs"], json!([]));
    deployment.register(0, "ready");
    wait_until("the runner is used", || {
        send(&deployment.daemons[0].ingress, &request()).status == 200
    });
    let runs = deployment.counts(0)["runs"].clone();
    assert_eq!(runs.as_array().map(Vec::len), Some(1), "{runs}");
    assert_eq!(deployment.counts(1)["runs"], json!([]));
}

#[test]
fn keys_and_ids_in_utf_8_are_read() {
    let key = "schl\u{fc}ssel-\u{65e5}";
    let mut spec = configuration(1);
    spec["Tenants"][0]["ApiKeys"] = json!([key, KEY]);
    let deployment = started(&spec);
    let mut request = request(key);
    request.id = "attempt-\u{e9}".to_owned();
    request
        .headers
        .push(("X-Prompt-Prefix", "\u{e9}1:10,b:5".to_owned()));
    let response = send(&deployment.daemons[0].ingress, &request);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(
        response.header("x-attempt-id"),
        Some(request.id.as_str()),
        "{response:?}"
    );
    let runs = deployment.runs(&request.id);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1["tenant"], "rope");
}

/// Sends a request handed over with the header line `workspace`; returns the status and the outcome.
fn hand_over(
    deployment: &Deployment,
    id: &str,
    host: &[u8],
    workspace: &[u8],
) -> (u16, Option<String>) {
    let address = format!("{}.41", deployment.network);
    let address = address.parse().expect("an address");
    let mut connection = connect_from(deployment, Some(address));
    let head = format!(
        "GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Content-Length: 0\r\nprimrosehoist-sending: {SENDING:x}\r\nprimrosehoist-elapsed-ms: 5\r\n\
         primrosehoist-remaining-ms: 7000\r\nprimrosehoist-attempts: 2\r\nprimrosehoist-resumes: 0\r\n\
         primrosehoist-versions: 0,0,0,0,0\r\n"
    );
    let bytes = [head.as_bytes(), host, workspace, b"\r\n"].concat();
    connection.write_all(&bytes).expect("sends the request");
    let response = receive(&mut connection);
    let outcome = response.header("primrosehoist-outcome").map(str::to_owned);
    (response.status, outcome)
}

#[test]
fn requests_handed_over_run_for_the_workspace_that_is_named() {
    let spec = with_workspaces(1, &["\u{e9}", " rope", "rope ", "rope\n"]);
    let mut deployment = started(&spec);
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    deployment.wait_until_ready(1);
    let host = b"primrosehoist-host: frontend-1\r\n";
    wait_for("the daemons know each other", || {
        let (status, _) = hand_over(
            &deployment,
            "probe",
            host,
            b"primrosehoist-workspace: rope\r\n",
        );
        (status == 200).then_some(())
    });
    let named = "primrosehoist-workspace: \u{e9}\r\n".as_bytes();
    let (status, outcome) = hand_over(&deployment, "named", host, named);
    assert_eq!((status, outcome.as_deref()), (200, Some("answered")));
    assert_eq!(deployment.runs("named")[0].1["tenant"], "\u{e9}");
    let lines: [(&[u8], &[u8]); 6] = [
        (host, b"primrosehoist-workspace: \r\n"),
        (host, b"primrosehoist-workspace: \xe9\r\n"),
        (
            host,
            b"primrosehoist-workspace: rope\r\nprimrosehoist-workspace: rope\r\n",
        ),
        (host, b""),
        (b"", b"primrosehoist-workspace: rope\r\n"),
        (
            b"primrosehoist-host: \r\n",
            b"primrosehoist-workspace: rope\r\n",
        ),
    ];
    for (index, (host, workspace)) in lines.into_iter().enumerate() {
        let id = format!("odd-{index}");
        let (status, outcome) = hand_over(&deployment, &id, host, workspace);
        let is_not_run = matches!(outcome.as_deref(), Some("busy" | "not_run"));
        assert!(status >= 400 && is_not_run, "{index}: {status} {outcome:?}");
        assert_eq!(deployment.runs(&id), [], "{index}");
    }
}

#[test]
fn hosts_and_prefixes_in_utf_8_are_routes() {
    let mut spec = configuration(1);
    let mut route = spec["Routes"][1].clone();
    for (name, host, prefix) in [
        ("accent", HOST, "/\u{e9}/"),
        ("escaped", HOST, "/%C3%A8/"),
        ("host", "r\u{f4}pe.example", "/x/"),
        ("port", "rope.example:8080", "/port/"),
        ("dots", HOST, "/../a//b/"),
        ("semicolon", HOST, "/a;b=c&d+/"),
    ] {
        route["Name"] = json!(name);
        route["Host"] = json!(host);
        route["PathPrefix"] = json!(prefix);
        spec["Routes"]
            .as_array_mut()
            .expect("routes")
            .push(route.clone());
    }
    let deployment = started(&spec);
    let ask = |host: &str, path: &str| {
        let request = Request::new("GET", path);
        let bytes = String::from_utf8(request.bytes()).expect("text");
        let bytes = bytes.replacen(HOST, host, 1);
        let mut connection = connect(&deployment.daemons[0].ingress);
        connection
            .write_all(bytes.as_bytes())
            .expect("sends the request");
        let status = receive(&mut connection).status;
        let runs = deployment.runs(&request.id);
        let paths = runs.iter().map(|(_, run)| run["path"].clone());
        (status, paths.collect::<Vec<_>>())
    };
    let mut wrong = Vec::new();
    for (host, path) in [
        (HOST, "/\u{e9}/1?q=\u{e9}"),
        (HOST, "/%C3%A8/1?a=%00"),
        ("R\u{f4}pe.example", "/x/1"),
        ("rope.example:8080", "/port/1"),
        ("rope.example:8080", "/look/1"),
        (HOST, "/../a//b/1"),
        (HOST, "/a;b=c&d+/1"),
    ] {
        let answer = ask(host, path);
        if answer != (200, vec![json!(path)]) {
            wrong.push((host, path, answer));
        }
    }
    for (host, path) in [
        (HOST, "/%C3%A9/1"),
        (HOST, "/\u{e8}/1"),
        (HOST, "/%c3%a8/1"),
        (HOST, "/a/b/1"),
        (HOST, "/a%3Bb=c&d+/1"),
        (HOST, "/x/1"),
        (HOST, "/port/1"),
        ("other.example:8080", "/port/1"),
    ] {
        let answer = ask(host, path);
        if answer != (404, Vec::new()) {
            wrong.push((host, path, answer));
        }
    }
    assert!(wrong.is_empty(), "{wrong:?}");
}

/// Guards against logs that others fill by entries that are malformed.
#[test]
fn malformed_entries_do_not_flood_the_log() {
    const ENTRIES: usize = 100;
    let deployment = started(&configuration(1));
    let started_at = Instant::now();
    let mut spec = configuration(2);
    let routes = spec["Routes"].as_array_mut().expect("routes");
    routes.extend((0..ENTRIES).map(|number| json!({"Name": number})));
    deployment.configure(&spec);
    for index in 0..ENTRIES {
        deployment.put(
            "servers",
            &format!("odd-{index}"),
            &json!({"Address": index}),
        );
    }
    let listed = |count: usize| {
        wait_until("the upstreams are listed", || {
            lines(&deployment, r#""message":"listed""#).len() >= count
        });
    };
    // Each list has all of them again.
    for _ in 0..3 {
        let before = lines(&deployment, r#""message":"listed""#).len();
        deployment.forget_history();
        deployment.put("servers", "odd-0", &json!({"Address": before}));
        listed(before + 3);
    }
    wait_until("the configuration is active", || {
        lines(&deployment, "configuration activated").len() == 2
    });
    let windows = started_at.elapsed().as_millis() / WINDOW.as_millis() + 2;
    let most = windows as usize * LOGGED_MAX as usize;
    let upstreams = lines(&deployment, "invalid upstream entry skipped");
    assert!(upstreams.len() <= most, "{} > {most}", upstreams.len());
    let routes = lines(&deployment, "malformed config entry skipped");
    assert_eq!(routes.len(), LOGGED_MAX as usize);
    let more = lines(&deployment, "more malformed config entries skipped");
    assert_eq!(more.len(), 1, "{more:?}");
    assert_eq!(more[0]["unlogged"], ENTRIES - LOGGED_MAX as usize);
}

/// Guards against a port for operators that ends a daemon.
#[test]
fn odd_queries_of_operators_are_answered() {
    let deployment = started(&with_workspaces(1, &["\u{e9}"]));
    let metrics = &deployment.daemons[0].metrics;
    let ask = |target: &[u8]| {
        let mut connection = connect(metrics);
        let request = [b"GET ", target, b" HTTP/1.1\r\nHost: x\r\n\r\n"].concat();
        connection.write_all(&request).expect("sends the request");
        receive(&mut connection).status
    };
    let explain = |query: &str| ask(format!("/explain?{query}").as_bytes());
    let host = format!("host={HOST}&path=/look/1");
    assert_eq!(explain(&host), 200);
    assert_eq!(explain(&format!("{host}&workspace=%C3%A9")), 200);
    assert_eq!(explain(&format!("{host}&workspace=%C3%A8")), 404);
    for query in [
        "",
        "host",
        "host=&path=",
        "host=%00&path=%00",
        "host=%FF&path=%FF",
        "host=%zz&path=%",
        &format!("host={HOST}&path=/look/%0D%0AX: 1"),
        &format!("host={HOST}&path=/look/%00"),
        &format!("host={HOST}&path=/look/%20"),
        &format!("{host}&prompt_tokens=-1"),
        &format!("{host}&prompt_tokens=99999999999999999999"),
        &format!("{host}&workspace=%00"),
        &format!("{host}&{host}"),
    ] {
        let status = explain(query);
        assert!((400..500).contains(&status), "{query}: {status}");
    }
    for huge in ["prompt_tokens", "answer_tokens"] {
        assert_eq!(
            explain(&format!("{host}&{huge}={}", u64::MAX)),
            200,
            "{huge}"
        );
    }
    assert!(explain(&format!("host={HOST}&path=/look/%C3%A9")) < 500);
    for target in [
        &b"/explain?\xff"[..],
        b"/explain?host=\xc3\xa9",
        b"/metrics?\xff",
        b"/\xff",
        b"*",
    ] {
        let status = ask(target);
        assert!((200..500).contains(&status), "{target:?}: {status}");
    }
    assert_eq!(ask(b"/metrics"), 200);
    assert_eq!(lines(&deployment, "panic"), Vec::<Value>::new());
    let response = send(&deployment.daemons[0].ingress, &request(KEY));
    assert_eq!(response.status, 200);
}

/// Guards against entries that make messages between daemons too large to be sent.
#[test]
fn long_names_do_not_keep_daemons_from_telling_each_other() {
    let mut deployment = started(&configuration(1));
    let store = deployment.store.clone();
    deployment.add_daemon("zone-a", &store);
    deployment.wait_until_ready(1);
    let name = "z".repeat(70_000);
    for sequence in 0..5 {
        for (index, field) in ["Zone", "Service"].into_iter().enumerate() {
            let mut entry = deployment.entry(2, "ready");
            entry["Sequence"] = json!(sequence);
            entry[field] = json!(name);
            deployment.put("servers", &format!("odd-{index}"), &entry);
        }
        deployment.put("servers", &format!("{name}-{sequence}"), &json!({}));
        deployment.put(
            "daemons",
            &format!("{name}-{sequence}"),
            &json!({"Address": format!("10.255.0.{sequence}"), "Zone": "zone-a"}),
        );
    }
    deployment.delete("servers", "i-0");
    deployment.forget_history();
    wait_until("both daemons use the other runner only", || {
        deployment.daemons.iter().all(|daemon| {
            (0..16).all(|number| {
                let request = Request {
                    body: format!("body {number}").into_bytes(),
                    ..Request::new("GET", "/look/1")
                };
                let response = send(&daemon.ingress, &request);
                response.status == 200 && deployment.runs(&request.id)[0].0 == 1
            })
        })
    });
    for daemon in &deployment.daemons {
        let log = daemon.logged();
        let failed = log.matches("failed to encode").count();
        assert_eq!(failed, 0, "{}", daemon.ingress);
        assert!(log.contains("invalid upstream entry skipped"));
    }
}
