//! The daemons that follow the store are killed at the same moment, and a runner leaves before they are back.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, now_ms};

const DAEMONS: u16 = 18;
const ZONES: [&str; 3] = ["a", "b", "c"];
const RUNNERS: u16 = 4;
/// `DrainMs`.
const DRAIN_MS: u64 = 2000;
/// How long the runner that leaves serves after the store has accepted that.
const SERVES: Duration = Duration::from_secs(7);
/// The delay after which killed processes are started again.
const RESTART: Duration = Duration::from_millis(500);

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(fleet) = Fleet::prepare() else {
        return 2;
    };
    let fleet = Arc::new(fleet);
    if !fleet.start_store() {
        return 2;
    }
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        // Its entry stays as it is: an entry changes when more than its number of heartbeats changes.
        let options = [
            "--service", "app", "--zone", ZONES[usize::from(index) % 3], "--heartbeats", "1", "--slots", "6",
            "--first-ms", "60",
        ];
        match fleet.start_runner(index, &format!("i-{index}"), &options) {
            Some(id) => runners.push(id),
            None => return 2,
        }
    }
    let routes = [
        fleet::route("look", "idempotent", "app"),
        fleet::route("order", "non_idempotent", "app"),
    ];
    let state = fleet::desired_state(7, &routes, &[fleet::plain_service("app")]);
    if !fleet.put("config", "main", &state) {
        return 2;
    }
    let zone = |index: u16| ZONES[usize::from(index) % 3];
    let mut daemons = Vec::new();
    for index in 1..=DAEMONS {
        match fleet.start_daemon(index, zone(index)) {
            Some(id) => daemons.push((index, id)),
            None => return 2,
        }
    }
    if !(1..=DAEMONS).all(|index| fleet.wait_ready(index)) {
        return 2;
    }
    thread::sleep(Duration::from_secs(8));
    let followers: Vec<(u16, u32)> =
        daemons.iter().copied().filter(|(index, _)| fleet.follows_store(*index)).collect();
    let others: Vec<u16> =
        daemons.iter().map(|(index, _)| *index).filter(|index| !fleet.follows_store(*index)).collect();
    fleet.note(&format!("{} of {DAEMONS} daemons follow the store: {followers:?}", followers.len()));
    if followers.is_empty() || followers.len() * 20 > usize::from(DAEMONS) * 11 {
        return 2;
    }
    let ended = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = others
        .iter()
        .flat_map(|daemon| [(*daemon, "look"), (*daemon, "order")])
        .map(|(daemon, route)| {
            let (fleet, ended) = (Arc::clone(&fleet), Arc::clone(&ended));
            let (number, answers) = (Arc::clone(&number), Arc::clone(&answers));
            thread::spawn(move || {
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("{route}-{daemon}-{}", number.fetch_add(1, Ordering::Relaxed));
                    let status = ask(&fleet, daemon, route, &id);
                    if let Ok(mut answers) = answers.lock() {
                        answers.push((id, status));
                    }
                    thread::sleep(Duration::from_millis(150));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if trouble {
        for (index, id) in &followers {
            fleet.signal(*id, "KILL");
            fleet.note(&format!("SIGKILL to front-{index}"));
        }
        thread::sleep(Duration::from_millis(150));
    }
    let is_removed = fleet.delete("servers", "i-0");
    let acked = (Instant::now(), now_ms());
    fleet.note(&format!("the store acks at {} that i-0 is gone: {is_removed}", acked.1));
    if trouble {
        thread::sleep(RESTART.saturating_sub(Duration::from_millis(150)));
        for (index, _) in &followers {
            if fleet.start_daemon(*index, zone(*index)).is_none() {
                return 2;
            }
        }
        fleet.note("the killed processes are started again");
    }
    thread::sleep(SERVES.saturating_sub(acked.0.elapsed()));
    fleet.signal(runners[0], "KILL");
    fleet.note("the runner i-0 exits");
    thread::sleep(Duration::from_secs(3));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().map(|mut answers| std::mem::take(&mut *answers));
    judge(&fleet, acked.1, &answers.unwrap_or_default())
}

fn ask(fleet: &Fleet, daemon: u16, route: &str, id: &str) -> u16 {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Deadline-Ms", "2500".to_owned()),
    ];
    let (path, wait) = (format!("/{route}/{id}"), Duration::from_secs(3));
    http::call(&fleet.entry(daemon), "POST", &path, &headers, b"body", wait).status
}

fn judge(fleet: &Fleet, acked: u64, answers: &[(String, u16)]) -> i32 {
    fleet.record_runs();
    fleet.record_answers(answers.iter().cloned());
    let log = std::fs::read_to_string(fleet.runner_log()).unwrap_or_default();
    let mut late = 0;
    let mut last = 0;
    let mut cut = 0;
    for line in log.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [at, "i-0", what, id] = words[..] else {
            continue;
        };
        let at: u64 = at.parse().unwrap_or(0);
        if what == "reached" && at > acked + DRAIN_MS {
            let done = log.lines().any(|line| line.ends_with(&format!("i-0 done {id}")));
            let status = answers.iter().find(|(known, _)| known == id).map_or(0, |(_, status)| *status);
            late += 1;
            last = last.max(at - acked);
            if !done && status != 200 {
                cut += 1;
                fleet.note(&format!("{id} reached i-0 {} ms after the ack; its client got {status}", at - acked));
            }
        }
    }
    let complete = answers.iter().filter(|(_, status)| *status == 200).count();
    fleet.note(&format!("{} requests, {complete} complete", answers.len()));
    fleet.note(&format!(
        "{late} requests reached i-0 later than DrainMs after the ack, the last one {last} ms after it; {cut} of \
         these were lost as it exited; 0 are allowed"
    ));
    if complete < 100 {
        return 2;
    }
    i32::from(late > 0)
}
