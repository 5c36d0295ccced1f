//! Upstreams that answer by a script, as a service of a deployment.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::platform::{Deployment, Request, Response, configuration, send};

/// A request as an upstream reads it.
#[derive(Debug, Clone)]
pub struct Received {
    pub id: String,
    /// The id of the request before it on the connection.
    pub previous: Option<String>,
    /// What was sent in answer to that one.
    pub previous_answer: String,
    /// The upstream that the request is meant for.
    pub expected: String,
    /// Whether it resumes a stream.
    pub resumes: bool,
    /// The request line and the headers.
    pub head: String,
    /// The upstreams that prefill parts of its prompt.
    pub helpers: Option<String>,
    /// The number of the upstream.
    pub upstream: usize,
    /// The address of the upstream.
    pub address: String,
    /// The time since the first request to the upstream.
    pub elapsed: Duration,
}

/// A script without state: returns what an upstream sends, and whether it then closes the connection.
pub type Script = fn(&Received) -> (String, bool);

/// The requests that upstreams have read.
pub type Requests = Arc<Mutex<Vec<Received>>>;

/// Starts an upstream that listens on `address` and follows `script`; returns its address.
pub fn start_upstream<S>(address: &str, upstream: usize, script: S, requests: &Requests) -> String
where
    S: Fn(&Received) -> (String, bool) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address).expect("binds");
    let address = listener.local_addr().expect("has an address").to_string();
    let requests = Arc::clone(requests);
    let own = address.clone();
    std::thread::spawn(move || {
        let first = Arc::new(OnceLock::new());
        for connection in listener.incoming().flatten() {
            let upstream = Upstream {
                number: upstream,
                address: own.clone(),
                first: Arc::clone(&first),
                requests: Arc::clone(&requests),
            };
            let script = script.clone();
            std::thread::spawn(move || upstream.serve(connection, script));
        }
    });
    address
}

struct Upstream {
    number: usize,
    address: String,
    /// When the first request was read.
    first: Arc<OnceLock<Instant>>,
    requests: Requests,
}

impl Upstream {
    fn serve<S>(&self, mut connection: TcpStream, script: S)
    where
        S: Fn(&Received) -> (String, bool),
    {
        let mut previous = None;
        let mut previous_answer = String::new();
        while let Some(head) = read_request(&mut connection) {
            let header = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.to_owned())
            };
            let received = Received {
                id: header("x-attempt-id").unwrap_or_default(),
                previous: previous.take(),
                previous_answer: std::mem::take(&mut previous_answer),
                expected: header("x-expect-instance").unwrap_or_default(),
                resumes: header("last-event-id").is_some(),
                helpers: header("x-helpers"),
                head: head.clone(),
                upstream: self.number,
                address: self.address.clone(),
                elapsed: self.first.get_or_init(Instant::now).elapsed(),
            };
            previous = Some(received.id.clone());
            let (answer, closes) = script(&received);
            let mut read = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
            read.push(received);
            drop(read);
            if connection.write_all(answer.as_bytes()).is_err() || closes {
                return;
            }
            previous_answer = answer;
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

/// Starts daemons with a service of two upstreams that follow `script`, at the paths `/bad-ask/`,
/// `/bad-look/` and `/bad-order/`.
pub fn start<S>(daemons: u8, script: S) -> (Deployment, Requests)
where
    S: Fn(&Received) -> (String, bool) + Clone + Send + 'static,
{
    start_with(daemons, script, |_spec| {})
}

/// Starts a deployment as [`start`] does, whose configuration is changed by `adjust`.
pub fn start_with<S, A>(daemons: u8, script: S, adjust: A) -> (Deployment, Requests)
where
    S: Fn(&Received) -> (String, bool) + Clone + Send + 'static,
    A: FnOnce(&mut Value),
{
    let deployment = Deployment::ready(daemons);
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
    adjust(&mut spec);
    deployment.configure(&spec);
    for number in 0..2 {
        let mut entry = deployment.entry(0, "ready");
        entry["Service"] = json!("bad");
        entry["Address"] = json!(start_upstream(
            "127.0.0.1:0",
            number,
            script.clone(),
            &requests
        ));
        deployment.put("servers", &format!("bad-{number}"), &entry);
    }
    std::thread::sleep(Duration::from_millis(900));
    (deployment, requests)
}

pub fn count(requests: &Requests, id: &str) -> usize {
    let read = requests.lock().unwrap_or_else(PoisonError::into_inner);
    read.iter().filter(|received| received.id == id).count()
}

pub fn send_to(deployment: &Deployment, path: &str) -> (Request, Response) {
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
pub fn success(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n")
}

/// Returns the answer of an upstream that is not the one that the request is meant for.
pub fn misdirected(id: &str) -> String {
    format!("HTTP/1.1 421 Other\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n")
}

pub fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: {id}\n\n")
}
