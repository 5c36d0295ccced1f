//! Tests upstreams that send bytes without end in place of an answer.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, configuration, send, wait_until};
use serde_json::json;

/// The memory of a small host.
const MEMORY_MB: u64 = 160;

/// The number of endless answers at once.
const CLIENTS: usize = 64;

/// The longest time until a client is told. The route ends requests after 6 s.
const TOLD_WITHIN: Duration = Duration::from_millis(6500);

/// What an upstream sends.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Success,
    Failure,
    Rejection,
    HeaderValue,
    Headers,
    ChunkHeader,
    Trailers,
    Event,
    /// A body of which a byte comes now and then.
    Trickle,
}

impl Answer {
    /// Returns what is sent once, then what is sent again and again.
    fn parts(self, id: &str) -> (String, Vec<u8>) {
        let head = |status: &str, more: &str| {
            format!(
                "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s.{id}\r\n{more}\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
        };
        let chunk = [b"8000\r\n", vec![b'x'; 0x8000].as_slice(), b"\r\n"].concat();
        let partial = "HTTP/1.1 200 OK\r\n";
        match self {
            Self::Success => (head("200 OK", ""), chunk),
            Self::Failure => (head("500 Error", ""), chunk),
            Self::Rejection => (head("503 Full", "X-Not-Executed: 1\r\n"), chunk),
            Self::HeaderValue => (format!("{partial}X-Long: "), vec![b'x'; 0x8000]),
            Self::Headers => (partial.to_owned(), b"X-More: 1\r\n".repeat(500)),
            Self::ChunkHeader => (head("200 OK", "") + "1;", vec![b'x'; 0x8000]),
            Self::Trailers => (head("200 OK", "") + "0\r\n", b"X-More: 1\r\n".repeat(500)),
            Self::Event => (head("200 OK", "Content-Type: text/event-stream\r\n"), chunk),
            Self::Trickle => (head("200 OK", ""), b"1\r\nx\r\n".to_vec()),
        }
    }
}

/// An upstream that answers every request with the same kind of bytes without end.
struct Endless {
    address: String,
    requests: Arc<AtomicUsize>,
}

impl Endless {
    fn start(answer: Answer) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("has an address").to_string();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let counter = Arc::clone(&counter);
                std::thread::spawn(move || send_without_end(connection, answer, &counter));
            }
        });
        Self { address, requests }
    }
}

fn send_without_end(mut connection: TcpStream, answer: Answer, requests: &AtomicUsize) {
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !request.windows(4).any(|four| four == b"\r\n\r\n") {
        match connection.read(&mut buffer) {
            Ok(length) if length > 0 => request.extend_from_slice(&buffer[..length]),
            _ => return,
        }
    }
    requests.fetch_add(1, Ordering::Relaxed);
    let request = String::from_utf8_lossy(&request).to_lowercase();
    let id = request.split("x-attempt-id: ").nth(1).unwrap_or_default();
    let id = id.lines().next().unwrap_or_default();
    let (first, repeated) = answer.parts(id);
    if connection.write_all(first.as_bytes()).is_err() {
        return;
    }
    while connection.write_all(&repeated).is_ok() {
        if matches!(answer, Answer::Trickle) {
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

/// Starts a daemon on a small host, with a service `endless` of two upstreams beside the sound one.
fn start(answer: Answer) -> (Deployment, [Endless; 2]) {
    let mut deployment = Deployment::ready(1);
    deployment.change_settings(0, "MemoryMb = 260", &format!("MemoryMb = {MEMORY_MB}"));
    deployment.daemons[0]
        .process
        .as_mut()
        .expect("the daemon runs")
        .kill();
    deployment.start_daemon(0);
    let mut spec = configuration(2);
    let service = spec["Services"][0].clone();
    let mut endless = service.clone();
    endless["Name"] = json!("endless");
    spec["Services"] = json!([service, endless]);
    for (route, prefix) in [(0, "/endless-stream/"), (1, "/endless-call/")] {
        let mut route = spec["Routes"][route].clone();
        route["Name"] = json!(prefix.trim_matches('/'));
        route["PathPrefix"] = json!(prefix);
        route["Service"] = json!("endless");
        spec["Routes"].as_array_mut().expect("routes").push(route);
    }
    deployment.configure(&spec);
    let upstreams = [Endless::start(answer), Endless::start(answer)];
    for (number, upstream) in upstreams.iter().enumerate() {
        let mut entry = deployment.entry(0, "ready");
        entry["Service"] = json!("endless");
        entry["Address"] = json!(upstream.address);
        entry["Slots"] = json!(100);
        deployment.put("servers", &format!("endless-{number}"), &entry);
    }
    deployment.wait_until_ready(0);
    std::thread::sleep(Duration::from_millis(600));
    (deployment, upstreams)
}

/// Returns the largest resident memory of a process so far, in megabytes.
fn peak_memory_mb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.expect("the peak is reported") / 1024
}

/// Sends requests to the endless upstreams and to sound ones at once.
fn assert_harmless(answer: Answer) {
    let request = match answer {
        Answer::Event => endless_stream(100),
        _ => Request::new("GET", "/endless-call/1"),
    };
    assert_harmless_to(&request, answer);
}

/// Returns a request with a prompt of `tokens` tokens for a stream of an endless upstream.
fn endless_stream(tokens: u64) -> Request {
    Request {
        path: String::from("/endless-stream/1"),
        ..Request::stream(tokens, 8)
    }
}

/// Sends requests like `request` to the endless upstreams, and others to sound ones, at once.
fn assert_harmless_to(request: &Request, answer: Answer) {
    let (deployment, upstreams) = start(answer);
    let ingress = deployment.daemons[0].ingress.clone();
    let process = deployment.daemons[0].process.as_ref();
    let pid = process.expect("the daemon runs").id();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let ingress = ingress.clone();
            let request = Request {
                id: format!("{}-{number}", request.id),
                body: format!("{number}").into_bytes(),
                ..request.clone()
            };
            std::thread::spawn(move || {
                let started = Instant::now();
                (send(&ingress, &request), started.elapsed())
            })
        })
        .collect();
    let mut slowest = Duration::ZERO;
    for number in 0..60 {
        let request = Request {
            body: format!("sound {number}").into_bytes(),
            ..Request::new("GET", "/look/1")
        };
        let started = Instant::now();
        let response = send(&ingress, &request);
        assert_eq!(response.status, 200, "{answer:?}: {response:?}");
        slowest = slowest.max(started.elapsed());
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut longest = Duration::ZERO;
    for client in clients {
        let (response, elapsed) = client.join().expect("the client ends");
        assert!(
            matches!(response.status, 502..=504),
            "{answer:?}: {} after {elapsed:?}",
            response.status
        );
        longest = longest.max(elapsed);
    }
    let sent: usize = upstreams
        .iter()
        .map(|upstream| upstream.requests.load(Ordering::Relaxed))
        .sum();
    let peak = peak_memory_mb(pid);
    println!(
        "{answer:?}: {sent} endless answers, told within {longest:?}, sound requests within \
         {slowest:?}, peak {peak} MB"
    );
    assert!(sent > 0);
    assert!(longest < TOLD_WITHIN, "{answer:?}: {longest:?}");
    assert!(
        slowest < Duration::from_millis(500),
        "{answer:?}: {slowest:?}"
    );
    assert!(peak < MEMORY_MB, "{answer:?}: {peak} MB");
    // No connection with an endless answer is kept.
    wait_until("the connections are closed", || {
        let request = Request::new("GET", "/look/1");
        send(&ingress, &request).status == 200
    });
}

#[test]
fn bodies_without_end_are_harmless() {
    assert_harmless(Answer::Success);
    assert_harmless(Answer::Failure);
    assert_harmless(Answer::Rejection);
}

#[test]
fn heads_without_end_are_harmless() {
    assert_harmless(Answer::HeaderValue);
    assert_harmless(Answer::Headers);
}

#[test]
fn chunk_headers_trailers_and_events_without_end_are_harmless() {
    assert_harmless(Answer::ChunkHeader);
    assert_harmless(Answer::Trailers);
    assert_harmless(Answer::Event);
}

#[test]
fn a_body_that_trickles_is_harmless() {
    assert_harmless(Answer::Trickle);
}

/// Guards against a daemon that keeps what an upstream answers to its own call for memory.
#[test]
fn reservations_that_are_answered_without_end_are_harmless() {
    // The prompt needs the memory of both upstreams.
    assert_harmless_to(&endless_stream(600_000), Answer::Success);
    assert_harmless_to(&endless_stream(600_000), Answer::HeaderValue);
}

/// Guards against a daemon that keeps what the store answers to its calls.
#[test]
fn answers_of_the_store_without_end_are_harmless() {
    for answer in [Answer::Success, Answer::HeaderValue, Answer::Trickle] {
        let (deployment, _upstreams) = start(answer);
        let store = Endless::start(answer);
        deployment.change_settings(0, &deployment.store, &store.address);
        let calls = || store.requests.load(Ordering::Relaxed);
        wait_until("the daemon calls the endless store", || calls() > 0);
        for number in 0..60 {
            let request = Request {
                body: format!("{number}").into_bytes(),
                ..Request::new("GET", "/look/1")
            };
            let response = send(&deployment.daemons[0].ingress, &request);
            assert_eq!(response.status, 200, "{answer:?}: {response:?}");
            std::thread::sleep(Duration::from_millis(100));
        }
        let process = deployment.daemons[0].process.as_ref();
        let peak = peak_memory_mb(process.expect("the daemon runs").id());
        println!("{answer:?}: {} calls, peak {peak} MB", calls());
        assert!(peak < MEMORY_MB, "{answer:?}: {peak} MB");
    }
}
