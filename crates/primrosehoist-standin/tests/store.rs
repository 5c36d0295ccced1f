//! Tests of the stand-ins for the object store and its runners: rates, outages, entries that expire, slots
//! and runners that leave.

mod support;

use serde_json::json;
use support::{Standin, free_address, wait_for};

const SERVERS: &str = "/primrosehoist/objects/servers";

fn start(options: &[&str]) -> Standin {
    let also = free_address();
    Standin::start("store", &[&["--also", &also], options].concat())
}

fn register(store: &Standin, name: &str) -> u16 {
    let object = json!({"Metadata": {"Name": name}, "Spec": {}}).to_string();
    store.post(SERVERS, &[], &object)
}

#[test]
fn calls_over_the_rates_are_refused() {
    let store = start(&["--writes-per-s", "2", "--reads-per-s", "2"]);
    for (method, path) in [("POST", SERVERS), ("GET", SERVERS)] {
        let statuses = [0; 4].map(|_| store.call(method, path, &[], "{}").status);
        assert!(
            statuses.contains(&429) && statuses[0] != 429,
            "{statuses:?}"
        );
    }
    let stale = format!("{SERVERS}?AllowStale=1");
    assert_eq!(
        [200; 4],
        [0; 4].map(|_| store.call("GET", &stale, &[], "").status)
    );
    assert!(store.counts()["rate_refused"].as_u64() >= Some(2));
}

#[test]
fn outages_are_played_one_after_the_other() {
    let store = start(&[]);
    let outage = |mode| json!({"after_ms": 0, "for_ms": 300, "faults": {"mode": mode}});
    let outages = ["unavailable", "busy", "reset", "closed"].map(outage);
    assert_eq!(
        200,
        store.post("/standin/outages", &[], &json!(outages).to_string())
    );
    let mut seen: Vec<Option<u16>> = Vec::new();
    wait_for("the end of the outages", || {
        let status = store
            .try_call("GET", SERVERS, &[], "")
            .map(|reply| reply.status);
        if seen.last() != Some(&status) {
            seen.push(status);
        }
        (seen.len() > 1 && status == Some(200)).then_some(())
    });
    seen.retain(|status| *status != Some(200));
    // A call that is reset and one that is refused look the same here.
    assert_eq!(vec![Some(503), Some(429), None], seen);
}

#[test]
fn entries_without_writes_expire() {
    let store = start(&["--expire-ms", "400"]);
    assert_eq!(200, register(&store, "a"));
    let list = store.call("GET", SERVERS, &[], "").json();
    assert_eq!("a", list["Items"][0]["Metadata"]["Name"]);
    let watch = format!("{SERVERS}?Watch={}&WaitMs=5000", list["StoreRevision"]);
    let events = store.call("GET", &watch, &[], "").json()["events"].clone();
    assert_eq!(true, events[0]["Deleted"]);
    assert_eq!(
        json!([]),
        store.call("GET", SERVERS, &[], "").json()["Items"]
    );
}

/// Guards against clients that take a deleted object for gone, or for one that is still there.
#[test]
fn objects_with_finalizers_are_kept_until_they_are_gone() {
    let store = start(&[]);
    let zones = "/primrosehoist/objects/evacuations";
    let zone = format!("{zones}/z");
    let object = |finalizers: &[&str], spec: u32| {
        let metadata = json!({"Name": "z", "Finalizers": finalizers});
        json!({"Metadata": metadata, "Spec": spec}).to_string()
    };
    assert_eq!(200, store.post(zones, &[], &object(&["f"], 1)));
    let call = |method, body: &str| store.call(method, &zone, &[], body);
    let revision = call("GET", "").json()["Metadata"]["Rev"].clone();
    assert_eq!(
        revision,
        call("PUT", &object(&["f"], 1)).json()["Metadata"]["Rev"]
    );
    let marked = call("DELETE", "").json();
    assert_eq!(
        (true, json!(1)),
        (
            marked["Metadata"]["Deleting"] == true,
            marked["Spec"].clone()
        )
    );
    assert_eq!(marked, call("DELETE", "").json());
    assert_eq!(marked, call("GET", "").json());
    assert_eq!(200, call("PUT", &object(&[], 1)).status);
    assert_eq!(404, call("GET", "").status);
    let watch = format!("{zones}?Watch={revision}&WaitMs=0");
    let events = store.call("GET", &watch, &[], "").json()["events"].clone();
    let seen = |index: usize| {
        (
            events[index]["Deleted"].clone(),
            events[index]["Object"]["Metadata"]["Deleting"].clone(),
        )
    };
    assert_eq!(
        [seen(0), seen(1)],
        [(json!(false), json!(true)), (json!(true), json!(true))]
    );
    let server = json!({"Metadata": {"Name": "a", "Finalizers": ["f"]}, "Spec": {}}).to_string();
    assert_eq!(200, store.post(SERVERS, &[], &server));
    let server = format!("{SERVERS}/a");
    assert_eq!(200, store.call("DELETE", &server, &[], "").status);
    assert_eq!(404, store.call("GET", &server, &[], "").status);
}

#[test]
fn writes_of_missing_or_other_objects_are_refused() {
    let store = start(&[]);
    assert_eq!(200, register(&store, "a"));
    let entry = |name: &str| format!("{SERVERS}/{name}");
    let object = |name: &str, revision: u64| {
        json!({"Metadata": {"Name": name, "Rev": revision}, "Spec": 1}).to_string()
    };
    let revision = store.call("GET", &entry("a"), &[], "").json()["Metadata"]["Rev"].clone();
    let revision = revision.as_u64().expect("a revision");
    let put = |path: &str, body: &str| store.call("PUT", path, &[], body);
    let conflict = put(&entry("a"), &object("a", revision + 1));
    assert_eq!(
        (409, json!("a")),
        (conflict.status, conflict.json()["Metadata"]["Name"].clone())
    );
    let in_query = format!("{}?Rev={}", entry("a"), revision + 1);
    assert_eq!(409, store.call("DELETE", &in_query, &[], "").status);
    assert_eq!(404, put(&entry("b"), &object("b", revision)).status);
    assert_eq!(400, put(&entry("a"), &object("b", revision)).status);
    assert_eq!(200, put(&entry("a"), &object("a", revision)).status);
}

#[test]
fn reads_that_may_be_stale_show_former_data() {
    let store = start(&["--stale-ms", "700"]);
    let stale = format!("{SERVERS}?AllowStale=1");
    let list = |path: &str| store.call("GET", path, &[], "").json();
    // The data is a moment old only if the store catches up between the calls.
    wait_for("a read that is stale", || {
        store.call("DELETE", &format!("{SERVERS}/a"), &[], "");
        let former = list(&stale)["StoreRevision"].as_u64();
        assert_eq!(200, register(&store, "a"));
        let (latest, shown) = (list(SERVERS), list(&stale));
        assert_eq!("a", latest["Items"][0]["Metadata"]["Name"]);
        assert!(latest["StoreRevision"].as_u64() > former);
        (shown["StoreRevision"].as_u64() == former && shown["Items"] == json!([])).then_some(())
    });
    let latest = list(SERVERS);
    wait_for("the data", || (list(&stale) == latest).then_some(()));
}

#[test]
fn pages_of_large_objects_are_shorter() {
    let store = start(&["--page", "500"]);
    for name in ["a", "b", "c"] {
        let object = json!({"Metadata": {"Name": name}, "Spec": "x".repeat(600 << 10)});
        assert_eq!(200, store.post(SERVERS, &[], &object.to_string()));
    }
    let page = store.call("GET", SERVERS, &[], "").json();
    assert_eq!(
        (Some(1), &json!(true)),
        (page["Items"].as_array().map(Vec::len), &page["HasMore"])
    );
}

#[test]
fn kept_objects_stay_until_they_are_removed() {
    let store = start(&["--expire-ms", "400"]);
    let deep = ["[".repeat(150), "]".repeat(150)].concat();
    let object = |kind: &str, name: &str| {
        format!(r#"{{"Kind":"{kind}","Metadata":{{"Name":{name}}},"Spec":{deep}}}"#)
    };
    let objects = [
        object("servers", r#""a\ud800""#),
        object("servers", r#""a/%#""#),
        object("config", r#""main ""#),
    ];
    let objects = format!("[{}]", objects.join(","));
    assert_eq!(200, store.post("/standin/keep", &[], &objects));
    assert_eq!(200, register(&store, "r1"));
    // Replies are not read as JSON here, since its decoder does not go so deep.
    let has = |kind: &str, name: &str| {
        let path = format!("/primrosehoist/objects/{kind}");
        store.call("GET", &path, &[], "").body.contains(name)
    };
    wait_for("the expiry of the other entry", || {
        (!has("servers", "r1")).then_some(())
    });
    assert!(has("servers", r"a\ud800") && has("servers", "a/%#") && has("config", "main "));
    assert_eq!(200, store.post("/standin/remove", &[], &objects));
    assert!(!has("servers", "Name") && !has("config", "Name"));
    assert_eq!(400, store.post("/standin/keep", &[], "[{}]"));
}

#[test]
fn runner_registers_beats_and_leaves() {
    let store = start(&["--expire-ms", "400"]);
    let options = [
        "--id",
        "r1",
        "--store",
        &store.address,
        "--heartbeat-ms",
        "100",
        "--drain-ms",
        "300",
    ];
    let mut runner = Standin::start("runner", &options);
    let entry = format!("{SERVERS}/r1");
    let state = || store.call("GET", &entry, &[], "").json()["Spec"]["State"].clone();
    wait_for("several heartbeats", || {
        let spec = store.call("GET", &entry, &[], "").json()["Spec"].clone();
        (spec["Sequence"].as_u64() > Some(6)).then_some(())
    });
    assert_eq!("ready", state());
    assert_eq!(200, runner.post("/standin/leave", &[], ""));
    wait_for("the announcement", || (state() == "draining").then_some(()));
    let reply = runner.call("GET", "/a", &["X-Attempt-Id: a1"], "");
    assert!(
        reply.status == 200 && reply.head.contains("connection: close"),
        "{}",
        reply.head
    );
    assert_eq!(Some(0), runner.wait().code());
    assert_eq!(404, store.call("GET", &entry, &[], "").status);
}

#[test]
fn runner_refuses_what_exceeds_its_slots_and_queue() {
    let runner = Standin::start("runner", &["--id", "r1", "--slots", "1", "--queue", "1"]);
    let mut streams = ["a1", "a2", "a3"].map(|id| {
        let id = format!("X-Attempt-Id: {id}");
        runner.send("POST", "/ask", &[&id, "X-Token-Usage: 1,400"], "")
    });
    let replies = streams
        .each_mut()
        .map(|stream| support::receive(stream).expect("it is answered"));
    // Which one finds the queue full depends on their arrival.
    let (served, refused): (Vec<_>, Vec<_>) = replies.iter().partition(|reply| reply.status == 200);
    assert_eq!((served.len(), refused.len()), (2, 1));
    assert!(served.iter().all(|reply| reply.whole));
    assert_eq!(refused[0].status, 503);
    assert!(refused[0].head.contains("x-not-executed"));
    // The last one runs alone.
    let alone = |reply: &&support::Reply| reply.head.contains("x-server-load: 1,0,1");
    assert!(served.iter().any(alone));
}
