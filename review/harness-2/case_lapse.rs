//! A runner that wants no requests for a while loses its link to the store, and gets it back.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http::{self, now_ms};
use crate::proxy;

const DAEMONS: u16 = 2;
const CLIENTS: u16 = 32;
/// `Retry-After` of the runner, in seconds.
const DEFER_S: u64 = 15;
/// How long the runner is cut off from the store.
const CUT: Duration = Duration::from_secs(5);
/// Three liveness report intervals, after which the store removes an entry.
const LAPSE: Duration = Duration::from_millis(3600);

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(fleet) = Fleet::prepare() else {
        return 2;
    };
    let fleet = Arc::new(fleet);
    let cut = Arc::new(AtomicBool::new(false));
    if !fleet.start_store() || !proxy::start(&fleet.proxy_address(), &fleet.store, &cut) {
        return 2;
    }
    // Runners are cold for some seconds after their start, and the load begins after that.
    let defers_from = (now_ms() + 14_000).to_string();
    let (defer_s, proxy) = (DEFER_S.to_string(), fleet.proxy_address());
    let in_need = [
        "--service", "model", "--zone", "a", "--store", &proxy, "--defers-from", &defers_from, "--defer-s",
        &defer_s,
    ];
    let other = ["--service", "model", "--zone", "a", "--slots", "4"];
    if fleet.start_runner(0, "i-0", &in_need).is_none() || fleet.start_runner(1, "i-1", &other).is_none() {
        return 2;
    }
    let routes = [fleet::route("ask", "streaming", "model")];
    let state = fleet::desired_state(7, &routes, &[fleet::model_service("model")]);
    if !fleet.put("config", "main", &state) {
        return 2;
    }
    for index in 1..=DAEMONS {
        if fleet.start_daemon(index, "a").is_none() || !fleet.wait_ready(index) {
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(8));
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
                    let reply = ask(&fleet, daemon, &id);
                    let after = reply.head.get("retry-after").and_then(|text| text.parse().ok());
                    let after: f64 = after.unwrap_or(0.05);
                    if let Ok(mut answers) = answers.lock() {
                        answers.push((id, reply.status, reply.complete));
                    }
                    thread::sleep(Duration::from_secs_f64(after.clamp(0.05, 1.0)));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(9));
    if trouble {
        fleet.note("the runner i-0 is cut off from the store");
        cut.store(true, Ordering::SeqCst);
    }
    thread::sleep(LAPSE);
    if trouble {
        fleet.note(&format!("the store removes the entry of i-0: {}", fleet.delete("servers", "i-0")));
    }
    thread::sleep(CUT - LAPSE);
    if trouble {
        fleet.note("the runner i-0 reaches the store again");
        cut.store(false, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().map(|mut answers| std::mem::take(&mut *answers));
    judge(&fleet, &answers.unwrap_or_default())
}

fn ask(fleet: &Fleet, daemon: u16, id: &str) -> http::Reply {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Deadline-Ms", "10000".to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,200".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:40,{id}:1420")),
    ];
    let path = format!("/ask/{id}");
    let wait = Duration::from_secs(10);
    http::call(&fleet.entry(daemon), "POST", &path, &headers, b"prompt", wait)
}

fn judge(fleet: &Fleet, answers: &[(String, u16, bool)]) -> i32 {
    fleet.record_runs();
    fleet.record_answers(answers.iter().map(|(id, status, _)| (id.clone(), *status)));
    let log = std::fs::read_to_string(fleet.runner_log()).unwrap_or_default();
    let complete = answers.iter().filter(|(_, status, complete)| *status == 200 && *complete).count();
    fleet.note(&format!("{} requests, {complete} complete", answers.len()));
    let mut worst = 0;
    let mut seen = false;
    for daemon in 1..=DAEMONS {
        let mut deferred: Vec<(u64, &str)> = Vec::new();
        for line in log.lines() {
            let words: Vec<&str> = line.split(' ').collect();
            if let [at, "i-0", "deferred", id] = words[..]
                && id.starts_with(&daemon.to_string())
            {
                deferred.push((at.parse().unwrap_or(0), id));
            }
        }
        for (at, id) in &deferred {
            fleet.note(&format!("front-{daemon}: {id} reached i-0 at {at}, answered 503 with Retry-After: {DEFER_S}"));
        }
        for (from, _) in &deferred {
            seen = true;
            let within = deferred
                .iter()
                .filter(|(at, _)| *at > from + 500 && *at < from + DEFER_S * 1000);
            worst = worst.max(within.count());
        }
    }
    fleet.note(&format!(
        "at most {worst} requests of a machine reached i-0 between half a second after such an answer and the end \
         of that time; 2 are allowed"
    ));
    if !seen || complete < 50 {
        return 2;
    }
    i32::from(worst > 2)
}
