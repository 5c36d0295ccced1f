//! Tests upstreams that break off answers, mix them up, or answer with an error after a stream began.

mod common;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;

use common::platform::{Deployment, Request, delete, put, send};
use common::scripted::{
    Received, Requests, Script, count, event, misdirected, refusal, send_to, start, start_upstream,
    start_with, success,
};

#[test]
fn refusal_of_an_earlier_request_is_not_taken_for_an_answer() {
    let (deployment, requests) = start(1, |received| match &received.previous {
        None => {
            let body = "Content-Length: 4\r\n\r\ndone";
            (success(&received.id) + body, false)
        }
        Some(previous) => (refusal(previous), false),
    });
    let mut refused = 0;
    for _ in 0..6 {
        let (request, response) = send_to(&deployment, "/bad-order/1");
        let runs = count(&requests, &request.id);
        assert_eq!(runs, 1, "the request ran {runs} times: {response:?}");
        assert_ne!(response.status, 503, "the request has run");
        refused += usize::from(response.status != 200);
    }
    assert!(refused > 0, "no connection was used again");
}

/// Guards against a request that runs again because the refusal of its first attempt came twice.
#[test]
fn late_copy_of_a_refusal_that_blames_a_helper_is_not_taken_for_the_next_answer() {
    let script: Script = |received| {
        if let Some(helper) = &received.helpers {
            let refusal = refusal(&received.id);
            let blame = format!("\r\nAt-Server: {helper}\r\nX-Not-Executed");
            return (refusal.replace("\r\nX-Not-Executed", &blame), false);
        }
        // The request runs now, behind the late copy.
        let repeats = received.previous.as_ref() == Some(&received.id);
        let late = if repeats {
            refusal(&received.id)
        } else {
            String::new()
        };
        let events = event(1);
        let answer = format!(
            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
            events.len()
        );
        (late + &success(&received.id) + &answer, false)
    };
    // Slow enough that two engines share the prompt to meet the objective.
    let (deployment, requests) = start_with(1, script, |spec| {
        spec["Services"][1]["Engine"]["read_per_s"] = json!(256_000.0);
    });
    let request = Request {
        path: "/bad-ask/1".to_owned(),
        ..Request::stream(120_000, 4)
    };
    let response = send(&deployment.daemons[0].ingress, &request);
    let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let split = read.iter().filter(|received| received.helpers.is_some());
    assert!(split.count() > 0, "the prompt was not shared: {read:?}");
    let runs = read.iter().filter(|received| received.helpers.is_none());
    assert_eq!(runs.count(), 1, "{read:?}");
    assert_eq!(response.status, 200, "the request has run: {response:?}");
    assert_eq!(response.events(), [1]);
}

/// Guards against calls that run although they are reported as not run, or run twice, because the
/// refusal of an upstream that was replaced at its address came twice.
#[test]
fn late_copy_of_a_refusal_by_a_replaced_upstream_is_not_taken_for_the_next_answer() {
    const CALLS: usize = 30;
    let deployment = Deployment::ready(1);
    let mut entry = deployment.entry(0, "ready");
    for runner in &deployment.runners {
        deployment.delete("servers", &runner.id);
    }
    let requests = Requests::default();
    let (store, first) = (deployment.store.clone(), entry.clone());
    let replaced = Arc::new(Mutex::new(Vec::new()));
    let script = move |received: &Received| {
        let mut replaced = replaced.lock().unwrap_or_else(PoisonError::into_inner);
        if !replaced.contains(&received.id) {
            replaced.push(received.id.clone());
            let mut entry = first.clone();
            entry["Address"] = json!(received.address);
            delete(&store, "servers", &received.expected);
            let successor = format!("upstream-{}", replaced.len());
            put(&store, "servers", &successor, &entry);
            // The daemon learns of the successor first.
            std::thread::sleep(Duration::from_millis(100));
            return (misdirected(&received.id), false);
        }
        let previous = received.previous.as_deref();
        let refusal = previous.map(misdirected);
        let late = refusal.filter(|refusal| received.previous_answer == *refusal);
        let answer = success(&received.id) + "Content-Length: 4\r\n\r\ndone";
        (late.unwrap_or_default() + &answer, false)
    };
    entry["Address"] = json!(start_upstream("127.0.0.1:0", 0, script, &requests));
    deployment.put("servers", "upstream-0", &entry);
    std::thread::sleep(Duration::from_millis(900));
    let mut failed = Vec::new();
    for _ in 0..CALLS {
        let request = Request::new("POST", "/order/1");
        let response = send(&deployment.daemons[0].ingress, &request);
        // The first time it is refused, and then it runs.
        let runs = count(&requests, &request.id) - 1;
        if (runs, response.status) != (1, 200) {
            failed.push((request.id, runs, response.status));
        }
    }
    assert!(failed.is_empty(), "id, runs and status: {failed:?}");
}

/// Breaks off a new stream inside its third event, and answers one that is resumed with `resumed`.
fn break_off(received: &Received, resumed: &str) -> (String, bool) {
    if received.resumes {
        return (resumed.to_owned(), true);
    }
    let events = event(1) + &event(2) + "id: 3\ndata";
    let head = success(&received.id);
    let length = events.len();
    let chunk = format!("{length:x}\r\n{events}\r\n");
    (
        format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunk}"),
        true,
    )
}

#[test]
fn error_of_the_next_upstream_does_not_enter_a_stream_that_had_begun() {
    const BODY: &str = "Content-Length: 9\r\n\r\nbad-error";
    const SCRIPTS: [Script; 3] = [
        |received| {
            let id = &received.id;
            let error = format!("HTTP/1.1 500 Error\r\nX-Attempt-Id: {id}\r\n{BODY}");
            break_off(received, &error)
        },
        |received| break_off(received, &refusal(&received.id)),
        |received| break_off(received, &(success(&received.id) + BODY)),
    ];
    for script in SCRIPTS {
        let (deployment, requests) = start(1, script);
        let (request, response) = send_to(&deployment, "/bad-ask/1");
        assert_eq!(response.status, 200, "{response:?}");
        assert!(!response.complete, "{response:?}");
        let body = String::from_utf8_lossy(&response.body);
        assert_eq!(body, event(1) + &event(2));
        assert_eq!(count(&requests, &request.id), 2, "the stream was resumed");
    }
}

#[test]
fn head_that_breaks_off_is_no_answer() {
    const SCRIPTS: [Script; 3] = [
        |_| (String::from("HTTP/1.1 200 OK\r\n"), true),
        |received| (success(&received.id), true),
        |received| (success(&received.id) + "Content-Length: 10", true),
    ];
    for script in SCRIPTS {
        let (deployment, _requests) = start(1, script);
        for path in ["/bad-order/1", "/bad-look/1", "/bad-ask/1"] {
            let (_request, response) = send_to(&deployment, path);
            assert_eq!(response.status, 502, "{path}: {response:?}");
        }
    }
}

#[test]
fn answers_without_length_end_with_their_connection() {
    let (deployment, requests) = start(1, |received| {
        let head = success(&received.id);
        if received.resumes {
            let events = event(3) + &event(4);
            return (format!("{head}\r\n{events}"), true);
        }
        // A call takes this for its body; a stream has ended inside an event.
        let events = event(1) + &event(2) + "id: 3\ndata";
        (format!("{head}\r\n{events}"), true)
    });
    let (_request, response) = send_to(&deployment, "/bad-look/1");
    assert!(response.complete && response.status == 200, "{response:?}");
    let expected = event(1) + &event(2) + "id: 3\ndata";
    assert_eq!(String::from_utf8_lossy(&response.body), expected);
    let (request, response) = send_to(&deployment, "/bad-ask/1");
    assert!(response.complete && response.status == 200, "{response:?}");
    assert_eq!(response.events(), [1, 2, 3, 4]);
    assert_eq!(count(&requests, &request.id), 2, "the stream was resumed");
}

#[test]
fn stream_that_must_not_be_resumed_runs_once() {
    const SCRIPTS: [Script; 3] = [
        |received| break_off(received, ""),
        |received| (success(&received.id), true),
        |_| (String::new(), true),
    ];
    for script in SCRIPTS {
        let (deployment, requests) = start_with(1, script, |spec| {
            for route in spec["Routes"].as_array_mut().expect("routes") {
                route["Resumable"] = json!(false);
            }
        });
        let (request, response) = send_to(&deployment, "/bad-ask/1");
        assert!(!response.complete || response.status == 502, "{response:?}");
        assert_eq!(count(&requests, &request.id), 1, "{response:?}");
    }
}
