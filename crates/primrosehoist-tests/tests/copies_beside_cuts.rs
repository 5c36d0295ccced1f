//! Tests that a call that must run once does so, while upstreams send any answer twice at any time, answer
//! early or in unusual forms, and daemons are cut off from all upstreams and hand calls to each other.
//!
//! `PRIMROSEHOIST_SEEDS` sets the number of seeds, `PRIMROSEHOIST_SECONDS` how long each one runs.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use common::calls::{assert_ran_once, count, setting, summary};
use common::links::{Links, Mode};
use common::platform::{Deployment, Request, Response, configuration, receive};
use common::scripted::{misdirected, refusal, success};

const CALLERS: u64 = 12;
const ZONES: [&str; 3] = ["zone-a", "zone-a", "zone-b"];

/// The size of the large bodies, which do not fit into the buffers of a connection.
const LARGE_BODY_BYTES: usize = 3 << 20;

#[derive(Default)]
struct Shared {
    runs: HashMap<String, usize>,
    /// The copies that were sent before and after the next request was read.
    copies: (usize, usize),
    /// The answers that were sent before the body was read.
    early: usize,
    /// The calls that came again on a connection that they were refused on.
    repeats: usize,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads a head; returns its id and the length of the body.
fn read_head(connection: &mut TcpStream) -> Option<(String, u64)> {
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
    let length = value("content-length: ").map_or(0, |length| length.parse().expect("a length"));
    Some((value("x-attempt-id: ")?, length))
}

fn read_body(connection: &mut TcpStream, length: u64) -> Option<()> {
    let mut body = connection.take(length);
    let read = std::io::copy(&mut body, &mut std::io::sink()).ok()?;
    (read == length).then_some(())
}

/// Returns a success in one of the forms that a body may have, and whether the connection ends then.
fn any_success(rng: &mut impl RngExt, id: &str) -> (String, bool) {
    let head = success(id);
    match rng.random_range(0..8) {
        0 => (
            head + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
            false,
        ),
        1 => (head + "Connection: close\r\n\r\ndone", true),
        2 => (
            head + "Connection: close\r\nContent-Length: 4\r\n\r\ndone",
            true,
        ),
        // It is cut off.
        3 => (head + "Content-Length: 9\r\n\r\ndone", true),
        _ => (head + "Content-Length: 4\r\n\r\ndone", false),
    }
}

/// Returns an answer that says that the call did not run.
fn any_refusal(rng: &mut impl RngExt, id: &str) -> String {
    match rng.random_range(0..4) {
        0 => misdirected(id),
        1 => success(id) + "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\ndone",
        _ => refusal(id),
    }
}

fn serve(mut connection: TcpStream, mut rng: StdRng, shared: &Mutex<Shared>) -> Option<()> {
    let _nodelay = connection.set_nodelay(true);
    let mut late = String::new();
    let mut refused: Vec<String> = Vec::new();
    while let Some((id, length)) = read_head(&mut connection) {
        let is_early = rng.random_bool(0.2);
        if !is_early {
            read_body(&mut connection, length)?;
        }
        let mut bytes = std::mem::take(&mut late);
        let mut guard = lock(shared);
        guard.copies.1 += usize::from(!bytes.is_empty());
        guard.early += usize::from(is_early && length > 0);
        guard.repeats += usize::from(refused.contains(&id));
        let is_refused = rng.random_bool(0.35);
        let (answer, closes) = if is_refused {
            refused.push(id.clone());
            (any_refusal(&mut rng, &id), false)
        } else {
            *guard.runs.entry(id.clone()).or_default() += 1;
            any_success(&mut rng, &id)
        };
        drop(guard);
        sleep(Duration::from_micros(rng.random_range(0..8000)));
        if rng.random_bool(0.1) {
            let hint = "HTTP/1.1 103 Early Hints\r\nX-Not-Executed: 1\r\nX-Attempt-Id: ";
            bytes += &[hint, &id, "\r\n\r\n"].concat();
        }
        bytes += &answer;
        // The copy of a success may be a refusal as well.
        let copy = if rng.random_bool(0.5) {
            any_refusal(&mut rng, &id)
        } else {
            answer
        };
        let when = rng.random_range(0..8);
        if when == 0 {
            bytes += &copy;
        }
        connection.write_all(bytes.as_bytes()).ok()?;
        if when == 1 {
            sleep(Duration::from_micros(rng.random_range(0..3000)));
            let _copied = connection.write_all(copy.as_bytes());
        }
        lock(shared).copies.0 += usize::from(when < 2);
        if matches!(when, 2 | 3) {
            late = copy;
        }
        if closes || rng.random_bool(0.03) {
            return None;
        }
        if is_early {
            read_body(&mut connection, length)?;
        }
    }
    None
}

/// Starts an upstream at `address`.
fn start(seed: u64, address: &str, shared: &Arc<Mutex<Shared>>) {
    let listener = TcpListener::bind(address).expect("binds");
    let shared = Arc::clone(shared);
    std::thread::spawn(move || {
        for (connection, count) in listener.incoming().flatten().zip(0..) {
            let rng = StdRng::seed_from_u64(seed << 24 | count);
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || serve(connection, rng, &shared));
        }
    });
}

/// Calls until `stopped`, and keeps each connection until it is closed; returns the status by id, zero
/// if there was no answer.
fn call(seed: u64, addresses: &[String], stopped: &AtomicBool) -> HashMap<String, u16> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut statuses = HashMap::new();
    let mut kept: Option<TcpStream> = None;
    while !stopped.load(Ordering::Relaxed) {
        let address = &addresses[rng.random_range(0..addresses.len())];
        let Some(mut connection) = kept.take().or_else(|| TcpStream::connect(address).ok()) else {
            sleep(Duration::from_millis(5));
            continue;
        };
        let timeout = Some(Duration::from_secs(10));
        connection
            .set_read_timeout(timeout)
            .expect("sets the timeout");
        let mut request = Request::new("POST", "/order/1");
        let timeout_ms = if rng.random_bool(0.3) {
            rng.random_range(6..40)
        } else {
            rng.random_range(40..3000)
        };
        request.headers = vec![("X-Deadline-Ms", timeout_ms.to_string())];
        if rng.random_bool(0.08) {
            request.body = vec![b'b'; LARGE_BODY_BYTES];
        }
        let sent = connection.write_all(&request.bytes());
        let response = sent.ok().map(|()| receive(&mut connection));
        let complete = response.filter(|response| response.complete);
        let status = complete.as_ref().map_or(0, |response| response.status);
        statuses.insert(request.id.to_lowercase(), status);
        let is_kept = |response: &Response| response.header("connection") != Some("close");
        if complete.as_ref().is_some_and(is_kept) {
            kept = Some(connection);
        }
    }
    statuses
}

/// Cuts daemons off and heals them, stops, kills and pauses them until `ends`; returns the number of
/// cuts.
fn disturb(rng: &mut StdRng, deployment: &mut Deployment, links: &Links, ends: Instant) -> usize {
    let mut cuts = 0;
    let mut healed_at = vec![Instant::now(); deployment.daemons.len()];
    while Instant::now() < ends {
        sleep(Duration::from_millis(rng.random_range(20..150)));
        let now = Instant::now();
        for (daemon, healed_at) in healed_at.iter().enumerate() {
            if *healed_at <= now {
                links.set(daemon, Mode::Pass);
            }
        }
        let daemon = rng.random_range(0..healed_at.len());
        if rng.random_bool(0.2) && healed_at[daemon] <= now {
            let modes = [Mode::Hang, Mode::Reset, Mode::Refuse];
            links.set(daemon, modes[rng.random_range(0..modes.len())]);
            healed_at[daemon] = now + Duration::from_millis(rng.random_range(300..4000));
            cuts += 1;
            continue;
        }
        let process = deployment.daemons[daemon].process.as_mut();
        let process = process.expect("the daemon runs");
        match rng.random_range(0..20) {
            0 => process.kill(),
            1 => {
                process.terminate();
                assert!(process.wait(Duration::from_secs(15)).is_some(), "stops");
            }
            _ => {
                process.pause();
                sleep(Duration::from_millis(rng.random_range(2..80)));
                process.resume();
                continue;
            }
        }
        deployment.start_daemon(daemon);
    }
    (0..healed_at.len()).for_each(|daemon| links.set(daemon, Mode::Pass));
    cuts
}

/// Returns how many answers of daemons to requests that were handed to them have each outcome.
fn outcomes(deployment: &Deployment) -> HashMap<String, usize> {
    let mut outcomes = HashMap::new();
    for daemon in &deployment.daemons {
        let log = std::fs::read(&daemon.log).expect("there is a log");
        for line in String::from_utf8_lossy(&log).lines() {
            if let Some(rest) = line.split("\"daemon answered\"").nth(1) {
                let outcome = rest.split("\"outcome\":\"").nth(1).unwrap_or_default();
                let outcome = outcome.split('"').next().unwrap_or_default();
                *outcomes.entry(outcome.to_owned()).or_default() += 1;
            }
        }
    }
    outcomes
}

fn run(seed: u64, duration: Duration) {
    let mut deployment = Deployment::without_daemons();
    let mut spec = configuration(1);
    spec["Limits"]["MaxBodyBytes"] = json!(2 * LARGE_BODY_BYTES);
    deployment.configure(&spec);
    let shared = Arc::new(Mutex::new(Shared::default()));
    let upstreams: Vec<String> = (0..3)
        .map(|number| {
            let address = format!("{}.{}:7200", deployment.network, 30 + number);
            let mut entry = deployment.entry(number, "ready");
            entry["Address"] = json!(address);
            // As after a restart under another id, while the former one is still listed.
            for id in ["upstream", "successor"] {
                deployment.put("servers", &format!("{id}-{number}"), &entry);
            }
            start(seed << 8 | number as u64, &address, &shared);
            address
        })
        .collect();
    let links = Links::start(&mut deployment, &ZONES, &upstreams);
    let daemons = deployment.daemons.iter();
    let addresses: Vec<String> = daemons.map(|daemon| daemon.ingress.clone()).collect();
    let ends = Instant::now() + duration;
    let mut rng = StdRng::seed_from_u64(seed);
    let stopped = AtomicBool::new(false);
    let (statuses, cuts) = std::thread::scope(|scope| {
        let (addresses, stopped) = (&addresses, &stopped);
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| scope.spawn(move || call(seed << 8 | caller, addresses, stopped)))
            .collect();
        let cuts = disturb(&mut rng, &mut deployment, &links, ends);
        stopped.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        let statuses: HashMap<String, u16> = callers
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect();
        (statuses, cuts)
    });
    // Calls that are still on their way may yet run.
    sleep(Duration::from_secs(2));
    let shared = lock(&shared);
    println!(
        "seed={seed} {} cuts={cuts} copies={:?} early={} repeats={} handed over={:?}",
        summary(&statuses),
        shared.copies,
        shared.early,
        shared.repeats,
        outcomes(&deployment),
    );
    assert_ran_once(&format!("seed {seed}"), &statuses, &shared.runs);
    assert_eq!(
        shared.repeats, 0,
        "seed {seed}: calls came again on the connection of their refusal"
    );
    assert!(
        shared.copies.0 > 50 && shared.copies.1 > 50 && shared.early > 5,
        "seed {seed}: hardly any copy or early answer was sent"
    );
    assert!(
        count(&statuses, &[200]) > 100,
        "seed {seed}: hardly any call ran"
    );
    assert!(
        count(&statuses, &[503]) > 0,
        "seed {seed}: no call was refused"
    );
    assert!(cuts > 0, "seed {seed}: no daemon was cut off");
}

/// Guards against calls that run twice, or run although they were reported as not run, because a
/// statement about one sending is believed about another one, also between daemons.
#[test]
fn calls_run_once_beside_copies_and_cuts() {
    let duration = Duration::from_secs(setting("PRIMROSEHOIST_SECONDS", 12));
    for seed in 1..=setting("PRIMROSEHOIST_SEEDS", 1) {
        run(seed, duration);
    }
}
