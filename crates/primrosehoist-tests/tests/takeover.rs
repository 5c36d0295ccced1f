//! Tests that a daemon serves requests that another one hands over, with real daemon processes and
//! stand-ins for the store and the runners. The test acts as the other daemon.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use common::handover::{PORT, SENDING, bytes, connect_from, handover, headers, start};
use common::platform::{
    Deployment, Request, Response, call, configuration, event_ids, receive, send, start_request,
    wait_until,
};
use common::scripted::{self, success};
use http::{HeaderMap, HeaderValue};
use primrosehoist::protocol::handover::{self, Outcome};
use primrosehoist::state::map::Set;
use primrosehoist::state::versions::{Revision, Versions};
use serde_json::Value;

/// The largest number of requests that a daemon takes over at once.
const HANDOVERS_MAX: usize = 256;

/// The number of own requests that wait behind handed-over ones, one after the other.
const OWN_REQUESTS: u32 = 8;

/// The difference between rounds in the moment at which a slot becomes free.
const PHASE: Duration = Duration::from_millis(3);

/// The number of connections of a burst, as many as requests that a daemon takes over.
const BURST: usize = HANDOVERS_MAX;

/// How long a connection of a burst may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Hands `request` over and reads the answer.
fn hand_over(
    deployment: &Deployment,
    request: &Request,
    handover: &handover::Request,
) -> (Response, handover::Response) {
    let mut connection = start(deployment, request, &headers(handover));
    let response = receive(&mut connection);
    let said = said(&response);
    (response, said)
}

/// Returns what the daemon says of the request.
fn said(response: &Response) -> handover::Response {
    let mut headers = HeaderMap::new();
    for line in response.head.lines() {
        if let Some((name, value)) = line.split_once(": ") {
            let name = http::HeaderName::from_bytes(name.as_bytes()).expect("is a name");
            headers.append(name, HeaderValue::from_str(value).expect("is a value"));
        }
    }
    let said = handover::Response::try_from(&headers);
    let said = said.unwrap_or_else(|error| panic!("{error}: {response:?}"));
    assert_eq!(said.sending, SENDING, "the number of the sending is echoed");
    said
}

fn running(deployment: &Deployment) -> u64 {
    (0..deployment.runners.len())
        .map(|index| {
            deployment.counts(index)["running"]
                .as_u64()
                .expect("a count")
        })
        .sum()
}

/// Returns the ids of the requests that runners have begun.
fn started(deployment: &Deployment) -> Set<String> {
    let counts = (0..deployment.runners.len()).map(|index| deployment.counts(index));
    let runs = counts.flat_map(|counts| counts["runs"].as_array().expect("runs").clone());
    runs.filter_map(|run| run["id"].as_str().map(str::to_owned))
        .collect()
}

fn logged<'a>(lines: &'a [Value], message: &str) -> Vec<&'a Value> {
    lines
        .iter()
        .filter(|line| line["message"] == message)
        .collect()
}

#[test]
fn stream_is_passed_on_event_by_event_with_id_and_receipt() {
    let deployment = Deployment::ready(2);
    let request = Request::stream(5000, 60);
    let mut connection = start(&deployment, &request, &headers(&handover()));
    let mut first = [0; 4096];
    let length = connection.read(&mut first).expect("reads");
    let mut received = first[..length].to_vec();
    while !String::from_utf8_lossy(&received).contains("id: 1\n") {
        let length = connection.read(&mut first).expect("reads");
        assert!(length > 0, "{:?}", String::from_utf8_lossy(&received));
        received.extend(&first[..length]);
    }
    assert_eq!(running(&deployment), 1, "the stream has not ended");
    assert!(!String::from_utf8_lossy(&received).contains("id: 60\n"));
    drop(connection);

    let request = Request::stream(5000, 8);
    let (response, said) = hand_over(&deployment, &request, &handover());
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.events(), event_ids(8));
    assert_eq!(said.outcome, Outcome::Answered);
    assert_eq!(response.header("x-attempt-id"), Some(request.id.as_str()));
    let runs = deployment.runs(&request.id);
    assert_eq!(runs.len(), 1);
    let (runner, run) = &runs[0];
    let upstream = &deployment.runners[*runner].id;
    assert_eq!(said.upstream.as_deref(), Some(upstream.as_str()));
    let receipt = format!("{upstream}.{}", request.id);
    assert_eq!(response.header("x-response-seal"), Some(receipt.as_str()));
    assert_eq!(run["path"], "/ask/1?x=2");
    assert_eq!(run["tenant"], "rope");
    let deadline_ms: u64 = run["deadline_ms"]
        .as_str()
        .and_then(|deadline_ms| deadline_ms.parse().ok())
        .expect("a deadline");
    assert!((6000..7000).contains(&deadline_ms), "{deadline_ms}");

    wait_until("the end is logged", || {
        !logged(&deployment.logged(0, &request.id), "request ended").is_empty()
    });
    let lines = deployment.logged(0, &request.id);
    let taken = logged(&lines, "request taken over");
    assert_eq!(taken.len(), 1, "{lines:?}");
    assert_eq!(taken[0]["entry"], "frontend-1");
    assert_eq!(taken[0]["attempts"], 2);
    assert_eq!(taken[0]["remaining_ms"], 7_000);
    assert_eq!(logged(&lines, "request ended")[0]["entry"], "frontend-1");
    let metrics = call(&deployment.daemons[0].metrics, "GET", "/metrics", "").body;
    let metrics = String::from_utf8_lossy(&metrics).into_owned();
    let counted = metrics
        .lines()
        .find(|line| line.starts_with("primrosehoist_handovers_taken_total"));
    let counted = counted.unwrap_or_default();
    assert!(counted.contains("outcome=\"answered\""), "{metrics}");
    assert!(counted.ends_with(" 2"), "{counted}");
    // The daemon that received the request from the client counts it.
    assert!(!metrics.contains("primrosehoist_requests_total"));
}

#[test]
fn calls_are_answered_and_errors_of_runners_are_passed_on() {
    let deployment = Deployment::ready(2);
    let request = Request::new("POST", "/order/1?y=1");
    let (response, said) = hand_over(&deployment, &request, &handover());
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(said.outcome, Outcome::Answered);
    let (runner, run) = &deployment.runs(&request.id)[0];
    assert_eq!(run["method"], "POST");
    let upstream = deployment.runners[*runner].id.as_str();
    assert_eq!(said.upstream.as_deref(), Some(upstream));

    deployment.set_fault_on_all("fail", 1);
    let request = Request::new("POST", "/order/1");
    let (response, said) = hand_over(&deployment, &request, &handover());
    assert_eq!(response.status, 500);
    assert_eq!(said.outcome, Outcome::Reported);
    assert!(response.header("x-response-seal").is_some());
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn request_runs_no_more_often_than_there_are_attempts_left() {
    let deployment = Deployment::ready(2);
    for attempts in [1, 2] {
        deployment.set_fault_on_all("lose", 2);
        let request = Request::new("GET", "/look/1");
        let handover = handover::Request {
            attempts,
            ..handover()
        };
        let (response, said) = hand_over(&deployment, &request, &handover);
        let runs = deployment.runs(&request.id).len() as u64;
        assert_eq!(runs, attempts);
        assert_eq!((response.status, said.outcome), (502, Outcome::Uncertain));
    }
    // The route, not the other daemon, decides whether a request may run twice.
    let request = Request::new("POST", "/order/1");
    let (response, said) = hand_over(&deployment, &request, &handover());
    assert_eq!((response.status, said.outcome), (502, Outcome::Uncertain));
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn request_whose_time_is_over_is_not_run_or_expired() {
    let deployment = Deployment::ready(2);
    let over = handover::Request {
        remaining: Duration::from_millis(8),
        ..handover()
    };
    let request = Request::new("GET", "/look/1");
    let (response, said) = hand_over(&deployment, &request, &over);
    assert_eq!((response.status, said.outcome), (503, Outcome::NotRun));
    assert!(response.header("retry-after").is_some());
    assert!(deployment.runs(&request.id).is_empty());

    deployment.set_fault_on_all("hang", 1);
    let short = handover::Request {
        remaining: Duration::from_millis(600),
        ..handover()
    };
    let request = Request::new("POST", "/order/1");
    let started = Instant::now();
    let (response, said) = hand_over(&deployment, &request, &short);
    let elapsed = started.elapsed();
    assert!(
        matches!(
            (response.status, said.outcome),
            (504, Outcome::Expired) | (502, Outcome::Uncertain)
        ),
        "{response:?}"
    );
    assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn runner_stops_when_the_other_daemon_closes_the_connection() {
    let deployment = Deployment::ready(2);
    let request = Request::stream(5000, 400);
    let connection = start(&deployment, &request, &headers(&handover()));
    wait_until("the stream is running", || running(&deployment) == 1);
    drop(connection);
    let closed = Instant::now();
    while running(&deployment) > 0 {
        let elapsed = closed.elapsed();
        assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn resumed_stream_goes_on_after_the_last_event() {
    let deployment = Deployment::ready(2);
    let request = Request::stream(5000, 8);
    let resumed = handover::Request {
        last_event: Some(3),
        resumes: true,
        attempts: 1,
        ..handover()
    };
    let (response, said) = hand_over(&deployment, &request, &resumed);
    assert_eq!(said.outcome, Outcome::Answered);
    assert_eq!(response.events(), [4, 5, 6, 7, 8]);
    assert_eq!(deployment.runs(&request.id)[0].1["last_event"], "3");
    // The client itself resumed after an earlier event.
    let mut request = Request::stream(5000, 8);
    request.headers.push(("Last-Event-ID", "1".to_owned()));
    let (response, _said) = hand_over(&deployment, &request, &resumed);
    assert_eq!(response.events(), [4, 5, 6, 7, 8]);
    assert_eq!(deployment.runs(&request.id)[0].1["last_event"], "3");
}

#[test]
fn stream_that_breaks_is_resumed_while_attempts_are_left() {
    let deployment = Deployment::ready(2);
    deployment.set_fault(0, "cut", 1);
    let mut resumed = 0;
    // Requests with different bodies are spread over the runners.
    for number in 0..40 {
        let request = Request {
            body: format!("body {number}").into_bytes(),
            ..Request::stream(5000, 8)
        };
        let (response, said) = hand_over(&deployment, &request, &handover());
        assert_eq!(said.outcome, Outcome::Answered);
        assert!(response.complete, "{response:?}");
        assert_eq!(response.events(), event_ids(8));
        resumed += deployment.runs(&request.id).len() - 1;
    }
    assert_eq!(resumed, 1);

    deployment.set_fault_on_all("cut", 1);
    let last = handover::Request {
        attempts: 1,
        ..handover()
    };
    let request = Request::stream(5000, 8);
    let (response, said) = hand_over(&deployment, &request, &last);
    assert_eq!(said.outcome, Outcome::Answered);
    assert!(!response.complete, "{response:?}");
    assert_eq!(response.events(), event_ids(2));
    assert_eq!(deployment.runs(&request.id).len(), 1);
}

#[test]
fn only_daemons_are_served() {
    let deployment = Deployment::ready(2);
    let request = Request::new("GET", "/look/1");
    // A body that is larger than the buffers of the connection does not prevent the answer.
    let large = Request {
        body: vec![b'x'; 90_000],
        ..Request::new("POST", "/order/1")
    };
    for request in [request, large] {
        let mut connection = connect_from(&deployment, None);
        connection
            .write_all(&bytes(&request, &headers(&handover())))
            .expect("sends the request");
        let response = receive(&mut connection);
        assert_eq!(response.status, 403, "{response:?}");
        assert_eq!(said(&response).outcome, Outcome::Busy);
        assert!(deployment.runs(&request.id).is_empty());
    }
    let log = std::fs::read_to_string(&deployment.daemons[0].log).expect("is readable");
    assert!(log.contains("request from an address at which no daemon is known"));
}

#[test]
fn request_without_a_valid_workspace_does_not_run() {
    let deployment = Deployment::ready(2);
    let refused = |change: &dyn Fn(&mut HeaderMap)| {
        let request = Request {
            headers: vec![("X-Tenant", "rope".to_owned())],
            ..Request::new("GET", "/look/1")
        };
        let mut headers = headers(&handover());
        change(&mut headers);
        let response = receive(&mut start(&deployment, &request, &headers));
        assert!(deployment.runs(&request.id).is_empty(), "{response:?}");
        response
    };
    let missing = refused(&|headers| {
        headers.remove("primrosehoist-workspace");
    });
    assert_eq!(missing.status, 503);
    assert!(missing.header("retry-after").is_some());
    assert_eq!(said(&missing).outcome, Outcome::NotRun);
    let unknown = HeaderValue::from_static("nobody");
    let unknown = refused(&|headers| {
        headers.insert("primrosehoist-workspace", unknown.clone());
    });
    assert_eq!(unknown.status, 503);
    assert_eq!(said(&unknown).outcome, Outcome::Busy);
    for value in [b"\xff".as_slice(), b""] {
        let value = HeaderValue::from_bytes(value).expect("can be sent");
        let malformed = refused(&|headers| {
            headers.insert("primrosehoist-workspace", value.clone());
        });
        assert_eq!(malformed.status, 400);
        assert_eq!(said(&malformed).outcome, Outcome::Busy);
    }
}

#[test]
fn daemon_whose_state_is_older_than_that_of_the_other_one_is_busy() {
    let deployment = Deployment::ready(2);
    let newer = Revision { era: 9, number: 1 };
    let cases = [
        Versions {
            configuration: 2,
            ..Versions::default()
        },
        Versions {
            upstreams: newer,
            ..Versions::default()
        },
        Versions {
            evacuations: newer,
            ..Versions::default()
        },
    ];
    let large = || Request {
        body: vec![b'x'; 90_000],
        ..Request::new("POST", "/order/1")
    };
    for versions in cases {
        let ahead = handover::Request {
            versions,
            ..handover()
        };
        let request = large();
        let started = Instant::now();
        let (response, said) = hand_over(&deployment, &request, &ahead);
        let elapsed = started.elapsed();
        assert_eq!((response.status, said.outcome), (503, Outcome::Busy));
        assert!(elapsed >= Duration::from_millis(150), "{elapsed:?}");
        assert!(elapsed < Duration::from_millis(800), "{elapsed:?}");
        assert!(deployment.runs(&request.id).is_empty());
    }
    deployment.configure(&configuration(2));
    std::thread::sleep(Duration::from_millis(900));
    let current = handover::Request {
        versions: cases[0],
        ..handover()
    };
    let (response, said) = hand_over(&deployment, &large(), &current);
    assert_eq!((response.status, said.outcome), (200, Outcome::Answered));
}

#[test]
fn only_so_many_requests_are_taken_over_at_once() {
    let deployment = Deployment::ready(2);
    let streams: Vec<TcpStream> = (0..HANDOVERS_MAX)
        .map(|_| {
            let request = Request::stream(100, 500);
            start(&deployment, &request, &headers(&handover()))
        })
        .collect();
    wait_until("all are taken over", || {
        let log = std::fs::read_to_string(&deployment.daemons[0].log).unwrap_or_default();
        log.matches("request taken over").count() == HANDOVERS_MAX
    });
    let request = Request::stream(100, 4);
    let started = Instant::now();
    let (response, refused) = hand_over(&deployment, &request, &handover());
    let elapsed = started.elapsed();
    assert_eq!((response.status, refused.outcome), (503, Outcome::Busy));
    assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    assert!(deployment.runs(&request.id).is_empty());
    drop(streams);
    wait_until("the requests have ended", || running(&deployment) == 0);
    let (response, taken) = hand_over(&deployment, &request, &handover());
    assert_eq!((response.status, taken.outcome), (200, Outcome::Answered));
    assert_eq!(response.events(), event_ids(4));
}

#[test]
fn stopping_daemon_ends_what_it_took_over_and_is_busy() {
    let mut deployment = Deployment::ready(2);
    let request = Request::stream(100, 420);
    let mut stream = start(&deployment, &request, &headers(&handover()));
    wait_until("the stream is running", || running(&deployment) == 1);
    let process = deployment.daemons[0].process.as_ref().expect("runs");
    process.terminate();
    wait_until("new requests are refused", || {
        let log = std::fs::read_to_string(&deployment.daemons[0].log).unwrap_or_default();
        log.contains("new requests are refused")
    });
    let late = Request::new("GET", "/look/1");
    let (response, refused) = hand_over(&deployment, &late, &handover());
    assert_eq!((response.status, refused.outcome), (503, Outcome::Busy));
    assert_eq!(response.header("connection"), Some("close"));
    assert!(deployment.runs(&late.id).is_empty());
    let response = receive(&mut stream);
    assert!(response.complete, "{response:?}");
    assert_eq!(response.events(), event_ids(420));
    let process = deployment.daemons[0].process.as_mut().expect("runs");
    let exit = process.wait(Duration::from_secs(8));
    assert!(exit.is_some_and(|exit| exit.success()), "{exit:?}");
}

/// Returns the first request that was placed after `id` was queued.
fn placed_after_queued(deployment: &Deployment, id: &str) -> Option<String> {
    let log = std::fs::read_to_string(&deployment.daemons[0].log).expect("is readable");
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let mut later = lines.skip_while(|line| line["message"] != "queued" || line["request"] != id);
    let placed = later.find(|line| line["message"] == "placed")?;
    placed["request"].as_str().map(str::to_owned)
}

#[test]
fn own_requests_go_before_those_that_were_taken_over() {
    let deployment = Deployment::ready(2);
    // None of those that wait is given up or overdue meanwhile.
    let mut patient = configuration(2);
    patient["Routes"][0]["SloMs"] = Value::from(30_000);
    patient["Routes"][0]["TimeoutMs"] = Value::from(60_000);
    deployment.configure(&patient);
    std::thread::sleep(Duration::from_millis(900));
    let handover = handover::Request {
        remaining: Duration::from_secs(60),
        ..handover()
    };
    let mut streams: Vec<(String, TcpStream)> = (0..HANDOVERS_MAX)
        .map(|_| {
            let mut request = Request::stream(100, 1000);
            request.headers[0].1 = "60000".to_owned();
            let stream = start(&deployment, &request, &headers(&handover));
            (request.id, stream)
        })
        .collect();
    wait_until("all are taken over", || {
        let log = std::fs::read_to_string(&deployment.daemons[0].log).expect("is readable");
        log.matches("\"request taken over\"").count() == HANDOVERS_MAX
    });
    for round in 0..OWN_REQUESTS {
        let own = Request::stream(100, 4);
        let mut own_stream = start_request(&deployment.daemons[0].ingress, &own);
        wait_until("the request is queued", || {
            !logged(&deployment.logged(0, &own.id), "queued").is_empty()
        });
        let before = started(&deployment);
        let waiting = streams
            .iter()
            .filter(|(id, _)| !before.contains(id))
            .count();
        assert!(waiting > 0, "the runners have too many slots");
        assert!(!before.contains(&own.id));
        // Frees one slot, in each round at another moment between two polls of those that wait.
        std::thread::sleep(PHASE * round);
        let running = streams.iter().position(|(id, _)| before.contains(id));
        drop(streams.swap_remove(running.expect("some run")));
        wait_until("the slot is taken", || {
            placed_after_queued(&deployment, &own.id).is_some()
        });
        let first = placed_after_queued(&deployment, &own.id);
        assert_eq!(
            first.as_ref(),
            Some(&own.id),
            "a handed-over request got the slot"
        );
        let response = receive(&mut own_stream);
        assert_eq!(response.events(), event_ids(4));
    }
    let log = std::fs::read_to_string(&deployment.daemons[0].log).expect("is readable");
    assert!(!log.contains("no capacity in time"), "one was given up");
}

#[test]
fn request_of_the_lowest_priority_is_served_beyond_its_objective() {
    let deployment = Deployment::ready(2);
    let mut lowest = configuration(2);
    lowest["Tenants"][0]["Priority"] = Value::from(u64::MAX);
    lowest["Routes"][0]["TimeoutMs"] = Value::from(60_000);
    deployment.configure(&lowest);
    std::thread::sleep(Duration::from_millis(900));
    let handover = handover::Request {
        remaining: Duration::from_secs(60),
        ..handover()
    };
    let streams: Vec<TcpStream> = (0..HANDOVERS_MAX)
        .map(|_| {
            let mut request = Request::stream(100, 1000);
            request.headers[0].1 = "60000".to_owned();
            start(&deployment, &request, &headers(&handover))
        })
        .collect();
    let own = Request::stream(100, 4);
    let mut own_stream = start_request(&deployment.daemons[0].ingress, &own);
    wait_until("the request is queued", || {
        !logged(&deployment.logged(0, &own.id), "queued").is_empty()
    });
    // Its objective is 0.4 s.
    std::thread::sleep(Duration::from_millis(800));
    drop(streams);
    let response = receive(&mut own_stream);
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.events(), event_ids(4));
}

#[test]
fn burst_of_connections_to_a_paused_daemon_is_not_dropped() {
    let deployment = Deployment::ready(2);
    let daemon = &deployment.daemons[0];
    let ingress: SocketAddr = daemon.ingress.parse().expect("is an address");
    let process = daemon.process.as_ref().expect("runs");
    for port in [ingress.port(), PORT] {
        let address = SocketAddr::new(ingress.ip(), port);
        process.pause();
        // A connection that is dropped is tried again after a second.
        let connected: Vec<TcpStream> = (0..BURST)
            .map_while(|_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok())
            .collect();
        process.resume();
        assert_eq!(connected.len(), BURST, "port {port}");
    }
    let request = Request::new("GET", "/look/1");
    assert_eq!(send(&daemon.ingress, &request).status, 200);
}

#[test]
fn headers_between_daemons_do_not_reach_the_upstream() {
    let answer = |received: &scripted::Received| {
        let head = success(&received.id);
        // An upstream must not speak in the name of a daemon either.
        let text = format!(
            "{head}Primrosehoist-Outcome: not_run\r\nPrimrosehoist-Other: x\r\n\
             Content-Length: 2\r\n\r\nok"
        );
        (text, false)
    };
    let (deployment, requests) = scripted::start(2, answer);
    let mut own = Request::new("POST", "/bad-order/1");
    own.headers
        .push(("Primrosehoist-Workspace", "other".to_owned()));
    own.headers.push(("X-Tenant", "other".to_owned()));
    assert_eq!(send(&deployment.daemons[0].ingress, &own).status, 200);
    let mut handed = Request::new("POST", "/bad-order/1");
    handed.headers.push(("X-Tenant", "other".to_owned()));
    handed.headers.push(("X-Kept", "yes".to_owned()));
    let (response, said) = hand_over(&deployment, &handed, &handover());
    assert_eq!((response.status, said.outcome), (200, Outcome::Answered));
    assert_eq!(response.header("primrosehoist-other"), None);
    let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
    assert_eq!(read.len(), 2);
    for received in read.iter() {
        let head = received.head.to_lowercase();
        assert!(!head.contains("primrosehoist-"), "{head}");
        assert!(!head.contains("authorization"), "{head}");
        assert!(head.contains("x-tenant: rope"), "{head}");
        assert!(!head.contains("x-tenant: other"), "{head}");
    }
    assert!(read[1].head.to_lowercase().contains("x-kept: yes"));
    assert_eq!(read[1].id, handed.id);
}
