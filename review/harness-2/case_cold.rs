//! A daemon is killed and started again while the runners are cold.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, now_ms};

const DAEMONS: u16 = 2;
const RUNNERS: u16 = 2;
const CLIENTS: u16 = 32;
/// `ColdPerS`, and with `ColdOver` = 1.5 and `ColdSlack` = 5 the largest number of requests in a second.
const COLD_PER_S: u64 = 36;
const ALLOWED: usize = 59;
/// The delay after which a killed process is started again.
const RESTART: Duration = Duration::from_millis(300);

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(fleet) = Fleet::prepare() else {
        return 2;
    };
    let fleet = Arc::new(fleet);
    if !fleet.start_store() {
        return 2;
    }
    let bears = ALLOWED.to_string();
    for index in 0..RUNNERS {
        let options = [
            "--service", "app", "--zone", "a", "--heartbeats", "1", "--slots", "6", "--first-ms", "20", "--cold-ms",
            "60000", "--bears", &bears,
        ];
        if fleet.start_runner(index, &format!("i-{index}"), &options).is_none() {
            return 2;
        }
    }
    let routes = [fleet::route("order", "non_idempotent", "app")];
    let state = fleet::desired_state(7, &routes, &[fleet::cold_service("app", COLD_PER_S)]);
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
    thread::sleep(Duration::from_secs(2));
    fleet.note("requests begin");
    let ended = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (fleet, ended) = (Arc::clone(&fleet), Arc::clone(&ended));
            let (number, answers) = (Arc::clone(&number), Arc::clone(&answers));
            thread::spawn(move || {
                let daemon = 1 + client % DAEMONS;
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("{daemon}q{:05}", number.fetch_add(1, Ordering::Relaxed));
                    let status = ask(&fleet, daemon, &id);
                    if let Ok(mut answers) = answers.lock() {
                        answers.push((id, status));
                    }
                    thread::sleep(Duration::from_millis(if status == 200 { 10 } else { 50 }));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let begun = now_ms();
    for pause_ms in [3200, 3470, 3740, 4010, 4280, 4550] {
        if trouble {
            fleet.signal(daemons[1], "KILL");
            fleet.note("SIGKILL to front-2");
            thread::sleep(RESTART);
            match fleet.start_daemon(2, "a") {
                Some(id) => daemons[1] = id,
                None => return 2,
            }
            fleet.note("front-2 is started again");
        }
        thread::sleep(Duration::from_millis(pause_ms));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().map(|mut answers| std::mem::take(&mut *answers));
    judge(&fleet, begun, &answers.unwrap_or_default())
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

fn judge(fleet: &Fleet, begun: u64, answers: &[(String, u16)]) -> i32 {
    fleet.record_runs();
    fleet.record_answers(answers.iter().cloned());
    let log = std::fs::read_to_string(fleet.runner_log()).unwrap_or_default();
    let mut worst = 0;
    for index in 0..RUNNERS {
        let runner = format!("i-{index}");
        let mut arrivals: Vec<u64> = log
            .lines()
            .filter_map(|line| {
                let words: Vec<&str> = line.split(' ').collect();
                let is_arrival = words.len() == 4 && words[1] == runner && words[2] == "reached";
                is_arrival.then(|| words[0].parse().unwrap_or(0))
            })
            .collect();
        arrivals.sort_unstable();
        for (place, from) in arrivals.iter().enumerate() {
            let within = arrivals[place..].iter().take_while(|at| **at < from + 1000).count();
            if within > ALLOWED {
                let when = from.saturating_sub(begun);
                fleet.note(&format!("{runner}: {within} requests in the second from {when} ms after the first kill"));
            }
            worst = worst.max(within);
        }
    }
    for line in log.lines().filter(|line| line.contains(" crashed ")) {
        fleet.note(&format!("at runners: {line}"));
    }
    let has = |what: &str, id: &str| log.lines().any(|line| line.ends_with(&format!(" {what} {id}")));
    let is_lost = |id: &str| has("reached", id) && !has("full", id) && !has("done", id);
    let lost = answers.iter().filter(|(id, status)| *status != 200 && is_lost(id));
    fleet.note(&format!("{} orders that a runner had taken were lost", lost.count()));
    let complete = answers.iter().filter(|(_, status)| *status == 200).count();
    fleet.note(&format!("{} requests, {complete} complete", answers.len()));
    fleet.note(&format!("a cold runner got up to {worst} requests in one second; {ALLOWED} are allowed"));
    if complete < 200 {
        return 2;
    }
    i32::from(worst > ALLOWED)
}
