//! Tests that a daemon that is cut off from all upstreams believes what another daemon says of a request
//! only for the sending that it answers. The test answers in the name of the other daemon.
//!
//! `PRIMROSEHOIST_SEED` sets the seed.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::calls::{assert_ran_once, call_from_many, count, setting, summary};
use common::links::{Links, Mode};
use common::platform::{Request, send, wait_until};
use common::scripted::success;
use http::HeaderMap;
use primrosehoist::protocol::handover::{self, Outcome};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const CALLERS: usize = 12;
const DURATION: Duration = Duration::from_secs(6);

/// The first internal ports of daemons, and of the one that is cut off, so that its requests for the
/// other daemon reach the test.
const PORT: u16 = 7340;
const OTHER_PORT: u16 = 7440;

#[derive(Default)]
struct Shared {
    runs: HashMap<String, usize>,
    outcomes: HashMap<String, usize>,
    /// The copies that were sent before and after the next request was read.
    copies: (usize, usize),
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Passes datagrams between two daemons that use different ports.
fn relay_datagrams(first: &str, second: &str) {
    let bind = |ip: &str, port: u16| UdpSocket::bind((ip, port)).expect("binds");
    let of_first = Arc::new(bind(first, PORT));
    let of_second = Arc::new(bind(second, OTHER_PORT));
    let pass = |from: &Arc<UdpSocket>, to: &Arc<UdpSocket>, target: (String, u16)| {
        let (from, to) = (Arc::clone(from), Arc::clone(to));
        std::thread::spawn(move || {
            let mut datagram = vec![0; 65_536];
            while let Ok(length) = from.recv(&mut datagram) {
                let _sent = to.send_to(&datagram[..length], (target.0.as_str(), target.1));
            }
        });
    };
    pass(&of_second, &of_first, (second.to_owned(), PORT));
    pass(&of_first, &of_second, (first.to_owned(), OTHER_PORT));
}

/// Reads a request; returns its id and the number of the sending.
fn read_request(connection: &mut TcpStream) -> Option<(String, u64)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        connection.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let value = |name: &str| {
        let rest = text.split(name).nth(1)?;
        rest.lines().next().map(str::to_owned)
    };
    let length: usize = value("content-length: ")?.parse().ok()?;
    let mut body = vec![0; length];
    connection.read_exact(&mut body).ok()?;
    let sending = u64::from_str_radix(&value("primrosehoist-sending: ")?, 16).ok()?;
    Some((value("x-attempt-id: ")?, sending))
}

/// Returns what a daemon answers to a sending.
fn answer(id: &str, sending: u64, outcome: Outcome) -> String {
    let said = handover::Response {
        sending,
        outcome,
        upstream: None,
        reason: "test".to_owned(),
    };
    let mut headers = HeaderMap::new();
    said.insert(&mut headers).expect("headers hold it");
    let added = headers.iter();
    let added: Vec<String> = added
        .map(|(name, value)| format!("{name}: {}\r\n", value.to_str().expect("is text")))
        .collect();
    let added = added.concat();
    let body = "Content-Length: 4\r\n\r\ndone";
    match outcome {
        Outcome::Answered => success(id) + &added + body,
        Outcome::Reported => {
            format!("HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\n{added}{body}")
        }
        Outcome::NotRun | Outcome::Busy => format!("HTTP/1.1 503 Busy\r\n{added}{body}"),
        Outcome::Uncertain | Outcome::Expired => format!("HTTP/1.1 502 Lost\r\n{added}{body}"),
    }
}

/// Answers sendings of requests, and sends answers twice.
fn serve(mut connection: TcpStream, mut rng: StdRng, shared: &Mutex<Shared>) -> Option<()> {
    let _nodelay = connection.set_nodelay(true);
    let mut late = String::new();
    while let Some((id, sending)) = read_request(&mut connection) {
        let outcome = match rng.random_range(0..20) {
            0..4 => Outcome::Busy,
            4..7 => Outcome::NotRun,
            7 => Outcome::Uncertain,
            8 => Outcome::Expired,
            9 => Outcome::Reported,
            _ => Outcome::Answered,
        };
        let mut bytes = std::mem::take(&mut late);
        let mut guard = lock(shared);
        guard.copies.1 += usize::from(!bytes.is_empty());
        *guard.outcomes.entry(outcome.to_string()).or_default() += 1;
        if !matches!(outcome, Outcome::Busy | Outcome::NotRun) {
            *guard.runs.entry(id.clone()).or_default() += 1;
        }
        drop(guard);
        sleep(Duration::from_micros(rng.random_range(0..8000)));
        let own = answer(&id, sending, outcome);
        // Its status and id are right, but it answers no sending.
        if rng.random_bool(0.05) {
            bytes += &answer(&id, sending ^ 1, Outcome::Busy);
        }
        bytes += &own;
        // The copy of a success may be a refusal as well.
        let copy = match rng.random_range(0..4) {
            0 => answer(&id, sending, Outcome::Busy),
            1 => answer(&id, sending, Outcome::NotRun),
            _ => own,
        };
        let when = rng.random_range(0..10);
        if when == 0 {
            bytes += &copy;
        }
        connection.write_all(bytes.as_bytes()).ok()?;
        if when == 1 {
            sleep(Duration::from_micros(rng.random_range(0..3000)));
            let _copied = connection.write_all(copy.as_bytes());
        }
        lock(shared).copies.0 += usize::from(when < 2);
        if when == 2 {
            late = copy;
        }
        if rng.random_bool(0.03) {
            return None;
        }
    }
    None
}

/// Guards against requests that run twice, or run although they were reported as not run, because of a
/// refusal of another daemon that answers an earlier sending.
#[test]
fn refusal_of_another_daemon_is_believed_only_for_its_sending() {
    let (mut deployment, links) = Links::deployment(&["zone-a", "zone-a"]);
    let mut process = deployment.daemons[0].process.take().expect("it runs");
    process.kill();
    deployment.change_settings(0, "[7340, 7355]", "[7440, 7455]");
    let ip = |index: usize| {
        let ingress = &deployment.daemons[index].ingress;
        let (ip, _port) = ingress.split_once(':').expect("has a port");
        ip.to_owned()
    };
    let (cut_off, other) = (ip(0), ip(1));
    relay_datagrams(&cut_off, &other);
    let listener = TcpListener::bind((other.as_str(), OTHER_PORT + 1)).expect("binds");
    let shared = Arc::new(Mutex::new(Shared::default()));
    let shared_here = Arc::clone(&shared);
    let seed = setting("PRIMROSEHOIST_SEED", 1);
    std::thread::spawn(move || {
        for (connection, count) in listener.incoming().flatten().zip(0..) {
            let rng = StdRng::seed_from_u64(seed << 32 | count);
            let shared = Arc::clone(&shared_here);
            std::thread::spawn(move || serve(connection, rng, &shared));
        }
    });
    deployment.start_daemon(0);
    deployment.wait_until_ready(0);
    sleep(Duration::from_secs(1));
    links.set(0, Mode::Reset);
    let address = &deployment.daemons[0].ingress;
    wait_until("requests are handed over", || {
        send(address, &Request::new("GET", "/look/1"));
        !lock(&shared).outcomes.is_empty()
    });
    let ends = Instant::now() + DURATION;
    let statuses = call_from_many(CALLERS, &[address], ends);
    sleep(Duration::from_secs(1));
    let shared = lock(&shared);
    println!(
        "{} outcomes={:?} copies={:?}",
        summary(&statuses),
        shared.outcomes,
        shared.copies,
    );
    let mut runs = shared.runs.clone();
    runs.retain(|id, _| statuses.contains_key(id));
    assert_ran_once("beside copies on hops", &statuses, &runs);
    assert!(shared.copies.0 > 50 && shared.copies.1 > 50 && count(&statuses, &[200]) > 100);
}
