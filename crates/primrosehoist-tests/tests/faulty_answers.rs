//! Tests upstreams that break off answers, mix them up, or answer with an error after a stream began.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use common::platform::{Deployment, Request, Response, configuration, send};
use serde_json::json;

/// A request as an upstream reads it.
#[derive(Debug, Clone)]
struct Received {
    id: String,
    /// The id of the request before it on the connection.
    previous: Option<String>,
    /// Whether it resumes a stream.
    resumes: bool,
}

/// Returns what an upstream sends, and whether it then closes the connection.
type Script = fn(&Received) -> (String, bool);

/// The requests that upstreams have read.
type Requests = Arc<Mutex<Vec<Received>>>;

fn start_upstream(script: Script, requests: &Requests) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("has an address").to_string();
    let requests = Arc::clone(requests);
    std::thread::spawn(move || {
        for connection in listener.incoming().flatten() {
            let requests = Arc::clone(&requests);
            std::thread::spawn(move || serve(connection, script, &requests));
        }
    });
    address
}

fn serve(mut connection: TcpStream, script: Script, requests: &Requests) {
    let mut previous = None;
    while let Some(head) = read_request(&mut connection) {
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.to_owned())
        };
        let received = Received {
            id: header("x-attempt-id").unwrap_or_default(),
            previous: previous.take(),
            resumes: header("last-event-id").is_some(),
        };
        previous = Some(received.id.clone());
        let (answer, closes) = script(&received);
        let mut read = requests.lock().unwrap_or_else(PoisonError::into_inner);
        read.push(received);
        drop(read);
        if connection.write_all(answer.as_bytes()).is_err() || closes {
            return;
        }
    }
}

/// Reads a request with its body of known length; returns its head.
fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let lower = head.to_lowercase();
            let length = lower.split("content-length: ").nth(1);
            let length: usize = length.map_or(0, |rest| {
                let digits = rest.lines().next().unwrap_or_default();
                digits.trim().parse().expect("a length")
            });
            if bytes.len() >= end + 4 + length {
                return Some(head);
            }
        }
        match connection.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

/// Starts a daemon with a service of two upstreams that follow `script`, at the paths `/bad-ask/`,
/// `/bad-look/` and `/bad-order/`.
fn start(script: Script) -> (Deployment, Requests) {
    let deployment = Deployment::ready(1);
    let requests = Requests::default();
    let mut spec = configuration(2);
    let service = spec["Services"][0].clone();
    let mut bad = service.clone();
    bad["Name"] = json!("bad");
    spec["Services"] = json!([service, bad]);
    let routes = spec["Routes"].as_array_mut().expect("routes");
    for mut route in routes.clone() {
        let name = format!("bad-{}", route["Name"].as_str().expect("a name"));
        route["PathPrefix"] = json!(format!("/{name}/"));
        route["Name"] = json!(name);
        route["Service"] = json!("bad");
        routes.push(route);
    }
    deployment.configure(&spec);
    for number in 0..2 {
        let mut entry = deployment.entry(0, "ready");
        entry["Service"] = json!("bad");
        entry["Address"] = json!(start_upstream(script, &requests));
        deployment.put("servers", &format!("bad-{number}"), &entry);
    }
    std::thread::sleep(Duration::from_millis(900));
    (deployment, requests)
}

fn count(requests: &Requests, id: &str) -> usize {
    let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
    read.iter().filter(|received| received.id == id).count()
}

fn send_to(deployment: &Deployment, path: &str) -> (Request, Response) {
    let request = if path == "/bad-ask/1" {
        Request {
            path: path.to_owned(),
            ..Request::stream(100, 4)
        }
    } else {
        Request::new("POST", path)
    };
    let response = send(&deployment.daemons[0].ingress, &request);
    (request, response)
}

/// Returns the head of a success without its end, and without the framing of a body.
fn success(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n")
}

fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}

#[test]
fn refusal_of_an_earlier_request_is_not_taken_for_an_answer() {
    let (deployment, requests) = start(|received| match &received.previous {
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
        let (deployment, requests) = start(script);
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
        let (deployment, _requests) = start(script);
        for path in ["/bad-order/1", "/bad-look/1", "/bad-ask/1"] {
            let (_request, response) = send_to(&deployment, path);
            assert_eq!(response.status, 502, "{path}: {response:?}");
        }
    }
}

#[test]
fn answers_without_length_end_with_their_connection() {
    let (deployment, requests) = start(|received| {
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
