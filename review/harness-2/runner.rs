//! A runner of the users' platform: streams and calls with receipts, its entry in the store, and a part
//! of prompts on which its process ends.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Head, Wire, now_ms};

struct Runner {
    id: String,
    slots: usize,
    first: Duration,
    pause: Duration,
    /// Every `silent_every` milliseconds, no stream gets an event for `silent_ms`.
    silent_every: u64,
    silent_ms: u64,
    phase_ms: u64,
    /// The largest number of requests in a second that the runner bears, as it is cold; 0 is no limit.
    bears: usize,
    /// When requests arrived in the last second, in Unix milliseconds.
    arrivals: Mutex<Vec<u64>>,
    busy: AtomicUsize,
    log: Mutex<std::fs::File>,
}

impl Runner {
    /// Waits while the runner is silent.
    fn wait_silence(&self) {
        while self.silent_every > 0 && (now_ms() + self.phase_ms) % self.silent_every < self.silent_ms {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Records that a request arrives; returns whether there were more in the last second than the runner bears.
    fn is_too_much(&self) -> bool {
        let now = now_ms();
        let Ok(mut arrivals) = self.arrivals.lock() else {
            return false;
        };
        arrivals.retain(|at| *at + 1000 > now);
        arrivals.push(now);
        self.bears > 0 && arrivals.len() > self.bears
    }

    fn note(&self, what: &str, head: &Head) {
        let id = head.get("x-attempt-id").unwrap_or("-");
        let line = format!("{} {} {what} {id}\n", now_ms(), self.id);
        if let Ok(mut log) = self.log.lock() {
            let _ = log.write_all(line.as_bytes());
        }
    }
}

/// Parses `--name value` pairs.
fn options(arguments: &[String]) -> BTreeMap<String, String> {
    let pairs = arguments.chunks(2).filter(|pair| pair.len() == 2);
    pairs
        .map(|pair| (pair[0].trim_start_matches('-').to_owned(), pair[1].clone()))
        .collect()
}

pub fn main(arguments: &[String]) -> i32 {
    let options = options(arguments);
    let text = |name: &str| options.get(name).cloned().unwrap_or_default();
    let number = |name: &str, other: u64| text(name).parse().unwrap_or(other);
    let listen = text("listen");
    let Ok(log) = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(text("log"))
    else {
        return 2;
    };
    let mut listener = TcpListener::bind(&listen);
    for _ in 0..100 {
        if listener.is_ok() {
            break;
        }
        thread::sleep(Duration::from_millis(50));
        listener = TcpListener::bind(&listen);
    }
    let Ok(listener) = listener else {
        return 2;
    };
    let runner = Arc::new(Runner {
        id: text("id"),
        slots: number("slots", 16) as usize,
        first: Duration::from_millis(number("first-ms", 60)),
        pause: Duration::from_millis(number("pause-ms", 43)),
        silent_every: number("silent-every", 0),
        silent_ms: number("silent-ms", 0),
        phase_ms: number("phase-ms", 0),
        bears: number("bears", 0) as usize,
        arrivals: Mutex::default(),
        busy: AtomicUsize::new(0),
        log: Mutex::new(log),
    });
    runner.note("started", &Head::default());
    let entry = Entry {
        store: text("store"),
        id: text("id"),
        address: listen,
        service: text("service"),
        zone: text("zone"),
        slots: number("slots", 16),
        heartbeats: number("heartbeats", u64::MAX),
        cold_ms: number("cold-ms", 0),
        born: now_ms(),
    };
    thread::spawn(move || entry.maintain());
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || serve(&runner, stream));
    }
    0
}

struct Entry {
    store: String,
    id: String,
    address: String,
    service: String,
    zone: String,
    slots: u64,
    /// How often the entry is written.
    heartbeats: u64,
    cold_ms: u64,
    born: u64,
}

impl Entry {
    fn maintain(&self) {
        let mut sequence = 0;
        while sequence < self.heartbeats {
            sequence += 1;
            let spec = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\
                 \"State\":\"ready\",\"ColdLeftMs\":{},\"Sequence\":{sequence},\"born\":{}}}",
                self.service, self.address, self.zone, self.slots, self.cold_ms, self.born
            );
            let object = format!("{{\"Metadata\":{{\"Name\":\"{}\"}},\"Spec\":{spec}}}", self.id);
            let kind = "/primrosehoist/objects/servers";
            let second = Duration::from_secs(1);
            let put = format!("{kind}/{}", self.id);
            let replaced = http::call(&self.store, "PUT", &put, &[], object.as_bytes(), second);
            if replaced.status == 404 {
                http::call(&self.store, "POST", kind, &[], object.as_bytes(), second);
            }
            thread::sleep(Duration::from_millis(1200));
        }
    }
}

fn serve(runner: &Runner, stream: TcpStream) {
    let mut wire = Wire::new(stream);
    while let Ok(Some(head)) = wire.head() {
        if wire.body(&head).is_err() || answer(runner, &mut wire, &head).is_none() {
            return;
        }
    }
}

/// Answers a request; `None` if the connection ends.
fn answer(runner: &Runner, wire: &mut Wire, head: &Head) -> Option<()> {
    let id = head.get("x-attempt-id").unwrap_or("").to_owned();
    let refuse = |wire: &mut Wire, status: &str, more: &str| {
        let text = format!(
            "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\n{more}Content-Length: 0\r\n\r\n"
        );
        wire.stream.write_all(text.as_bytes()).ok()
    };
    if head.line.contains("/primrosehoist/") || head.line.starts_with("GET /health") {
        return refuse(wire, "200 OK", "");
    }
    runner.note("reached", head);
    if id.is_empty() {
        return refuse(wire, "400 Bad Request", "X-Not-Executed: 1\r\n");
    }
    let expected = head.get("x-expect-instance");
    if expected.is_some_and(|expected| expected != runner.id) {
        runner.note("other", head);
        return refuse(wire, "421 Misdirected Request", "");
    }
    if runner.is_too_much() {
        runner.note("crashed", head);
        std::process::abort();
    }
    if runner.busy.fetch_add(1, Ordering::SeqCst) >= runner.slots {
        runner.busy.fetch_sub(1, Ordering::SeqCst);
        runner.note("full", head);
        return refuse(wire, "503 Service Unavailable", "X-Not-Executed: 1\r\n");
    }
    let answered = run(runner, wire, head, &id);
    runner.busy.fetch_sub(1, Ordering::SeqCst);
    answered
}

fn run(runner: &Runner, wire: &mut Wire, head: &Head, id: &str) -> Option<()> {
    let arrived_at = now_ms();
    thread::sleep(runner.first);
    runner.note("run", head);
    let load = runner.busy.load(Ordering::SeqCst);
    let common = format!(
        "X-Attempt-Id: {id}\r\nX-Response-Seal: {}.{id}\r\nX-Server-Load: {load},0,{}\r\n",
        runner.id, runner.slots
    );
    let Some(usage) = head.get("x-token-usage") else {
        let body = format!("{{\"id\":\"{id}\"}}");
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if is_closed(&wire.stream) || wire.stream.write_all(text.as_bytes()).is_err() {
            runner.note("cut", head);
            return None;
        }
        runner.note("done", head);
        return Some(());
    };
    let tokens: u64 = usage.split(',').nth(1)?.trim().parse().ok()?;
    let deadline = head.get("x-deadline-ms").and_then(|text| text.parse().ok());
    let stops_at = arrived_at + deadline.unwrap_or(60_000u64);
    let last: u64 = head.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let text = format!(
        "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    wire.stream.write_all(text.as_bytes()).ok()?;
    for event in last + 1..=tokens.div_ceil(46).max(1) {
        let text = format!("id: {event}\ndata: {id}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        runner.wait_silence();
        if is_closed(&wire.stream) || wire.stream.write_all(chunk.as_bytes()).is_err() {
            runner.note("cut", head);
            return None;
        }
        if now_ms() > stops_at {
            runner.note("deadline", head);
            return None;
        }
        thread::sleep(runner.pause);
    }
    wire.stream.write_all(b"0\r\n\r\n").ok()?;
    runner.note("done", head);
    Some(())
}

/// Returns whether the other side has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}
