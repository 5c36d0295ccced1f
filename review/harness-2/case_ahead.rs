//! Callers outside the limits send requests ahead on many connections and do not read the answers.

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http;

const DAEMONS: u16 = 2;
/// The smallest machines of the sheets.
const MEMORY_MB: u64 = 112;
const MAX_FDS: u64 = 2870;
/// The connections of the crowd to each daemon, which are fewer than it accepts.
const CONNECTIONS: usize = 1400;
/// The requests that are sent ahead on a connection, and the size of their bodies.
const REQUESTS: usize = 4;
const BODY_BYTES: usize = 30_000;
/// How long the crowd keeps its connections before it comes again.
const HOLDS: Duration = Duration::from_secs(3);
const PLAYED: Duration = Duration::from_secs(40);
/// The delay after which a process that has ended is started again.
const RESTART: Duration = Duration::from_secs(1);
/// `Fault`: processes end by themselves so often on a machine.
const ENDS: usize = 3;

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(mut fleet) = Fleet::prepare() else {
        return 2;
    };
    fleet.limits = (MEMORY_MB, MAX_FDS);
    let fleet = Arc::new(fleet);
    if !fleet.start_store() {
        return 2;
    }
    for index in 0..3 {
        let options = ["--service", "app", "--zone", "a", "--heartbeats", "1", "--slots", "6"];
        if fleet.start_runner(index, &format!("i-{index}"), &options).is_none() {
            return 2;
        }
    }
    let routes = [fleet::route("order", "non_idempotent", "app")];
    let state = fleet::desired_state(7, &routes, &[fleet::plain_service("app")]);
    if !fleet.put("config", "main", &state) {
        return 2;
    }
    let mut daemons = Vec::new();
    for index in 1..=DAEMONS {
        match fleet.start_daemon(index, "a") {
            Some(id) if fleet.wait_ready(index) => daemons.push(id),
            _ => return 2,
        }
    }
    let ended = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for daemon in 1..=DAEMONS {
        for client in 0..3 {
            let (fleet, ended) = (Arc::clone(&fleet), Arc::clone(&ended));
            let (number, answers) = (Arc::clone(&number), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(70 * client));
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("{daemon}q{:05}", number.fetch_add(1, Ordering::Relaxed));
                    let status = ask(&fleet, daemon, &id);
                    if let Ok(mut answers) = answers.lock() {
                        answers.push((id, status));
                    }
                    thread::sleep(Duration::from_millis(200));
                }
            }));
        }
        if trouble {
            let (fleet, ended) = (Arc::clone(&fleet), Arc::clone(&ended));
            clients.push(thread::spawn(move || crowd(&fleet, daemon, &ended)));
        }
    }
    // The platform: it kills a process that exceeds its memory, and starts it again.
    let limit = MEMORY_MB << 20;
    let mut peaks = vec![0; usize::from(DAEMONS)];
    let mut ends = vec![0; usize::from(DAEMONS)];
    let mut back_at: Vec<Option<Instant>> = vec![None; usize::from(DAEMONS)];
    let begun = Instant::now();
    while begun.elapsed() < PLAYED {
        for index in 0..usize::from(DAEMONS) {
            let daemon = index as u16 + 1;
            if let Some(at) = back_at[index] {
                if Instant::now() >= at {
                    back_at[index] = None;
                    match fleet.start_daemon(daemon, "a") {
                        Some(id) => daemons[index] = id,
                        None => return 2,
                    }
                }
                continue;
            }
            if fleet.has_ended(daemons[index]) {
                fleet.note(&format!("front-{daemon} has ended without a signal"));
                return 2;
            }
            let (held, unread) = (resident(daemons[index]), unread(&fleet.entry(daemon)));
            peaks[index] = peaks[index].max(held + unread);
            if held + unread > limit {
                fleet.signal(daemons[index], "KILL");
                ends[index] += 1;
                back_at[index] = Some(Instant::now() + RESTART);
                fleet.note(&format!(
                    "front-{daemon} exceeds its memory: {} MB of its own, without its program, and {} MB received and not yet read; \
                     {MEMORY_MB} MB are allowed. It is killed",
                    held >> 20,
                    unread >> 20
                ));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    fleet.record_runs();
    let answers = answers.lock().map(|mut answers| std::mem::take(&mut *answers)).unwrap_or_default();
    fleet.record_answers(answers.iter().cloned());
    let complete = answers.iter().filter(|(_, status)| *status == 200).count();
    let peaks: Vec<u64> = peaks.iter().map(|peak| peak >> 20).collect();
    fleet.note(&format!("{} ordinary requests, {complete} complete; peaks {peaks:?} MB", answers.len()));
    fleet.note(&format!("processes ended for their memory {ends:?} times; {ENDS} times on two machines are a fault"));
    if complete < 20 {
        return 2;
    }
    i32::from(ends.iter().all(|ends| *ends >= ENDS))
}

fn head(id: &str, length: usize) -> String {
    format!(
        "POST /order/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Deadline-Ms: 2500\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Keeps connections on which requests are sent ahead and no answer is read.
fn crowd(fleet: &Fleet, daemon: u16, ended: &AtomicBool) {
    thread::sleep(Duration::from_secs(3));
    let body = vec![b'b'; BODY_BYTES];
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let mut held = Vec::new();
        for _ in 0..CONNECTIONS {
            let address = fleet.entry(daemon);
            let Ok(address) = address.parse() else {
                return;
            };
            let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
                break;
            };
            let _ = stream.set_nonblocking(true);
            for _ in 0..REQUESTS {
                number += 1;
                let mut request = head(&format!("c{daemon}{number:06}"), BODY_BYTES).into_bytes();
                request.extend_from_slice(&body);
                if !stream.write(&request).is_ok_and(|length| length == request.len()) {
                    break;
                }
            }
            held.push(stream);
        }
        let begun = Instant::now();
        while begun.elapsed() < HOLDS && !ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
        }
    }
}

fn ask(fleet: &Fleet, daemon: u16, id: &str) -> u16 {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Deadline-Ms", "2500".to_owned()),
    ];
    let (path, wait) = (format!("/order/{id}"), Duration::from_secs(3));
    http::call(&fleet.entry(daemon), "POST", &path, &headers, b"order", wait).status
}

/// Returns the memory that a process has made, without its program and libraries, in bytes.
fn resident(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let words = line.unwrap_or("").split_whitespace();
    words.into_iter().next().and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) << 10
}

/// Returns the bytes that the connections to `address` have received and that were not read yet.
fn unread(address: &str) -> u64 {
    let Ok(std::net::SocketAddr::V4(address)) = address.parse() else {
        return 0;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let local = format!("{ip:08X}:{:04X}", address.port());
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let lines = text.lines().filter_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_open = words.len() > 4 && words[1] == local && (words[3] == "01" || words[3] == "08");
        let (_, received) = is_open.then(|| words[4].split_once(':')).flatten()?;
        u64::from_str_radix(received, 16).ok()
    });
    lines.sum()
}
