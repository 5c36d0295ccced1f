//! All daemons are stopped shortly after one another, while runners are silent for a second now and then.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http;

const DAEMONS: u16 = 3;
const RUNNERS: u16 = 6;
/// The time between the signals to two daemons.
const GAP: Duration = Duration::from_secs(1);
/// `GraceS`.
const GRACE: Duration = Duration::from_secs(8);
/// The delay after which a process that has ended is started again.
const RESTART: Duration = Duration::from_secs(1);
/// How long requests are sent before the first signal.
const BEFORE: Duration = Duration::from_secs(6);
const CLIENTS: u16 = 60;

struct Sent {
    id: String,
    daemon: u16,
    at: Instant,
    ended: Instant,
    reply: http::Reply,
}

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(fleet) = Fleet::prepare() else {
        return 2;
    };
    let fleet = Arc::new(fleet);
    if !fleet.start_store() {
        return 2;
    }
    for index in 0..RUNNERS {
        // The runners are silent one after the other.
        let phase = (u64::from(index) * 500).to_string();
        let options = [
            "--service", "model", "--zone", "a", "--silent-every", "3000", "--silent-ms", "1200",
            "--phase-ms", &phase,
        ];
        if fleet.start_runner(index, &format!("i-{index}"), &options).is_none() {
            return 2;
        }
    }
    let routes = [fleet::route("ask", "streaming", "model")];
    let state = fleet::desired_state(7, &routes, &[fleet::model_service("model")]);
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
    // Until then, the runners may be cold.
    thread::sleep(Duration::from_secs(7));
    fleet.note("requests begin");
    let ended = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let fleet = Arc::clone(&fleet);
            let (ended, number, sent) = (Arc::clone(&ended), Arc::clone(&number), Arc::clone(&sent));
            thread::spawn(move || {
                let daemon = 1 + client % DAEMONS;
                while !ended.load(Ordering::Relaxed) {
                    let id = format!("q{:05}", number.fetch_add(1, Ordering::Relaxed));
                    let at = Instant::now();
                    let reply = ask(&fleet, daemon, &id);
                    let after = reply.head.get("retry-after").and_then(|text| text.parse().ok());
                    let after: f64 = after.unwrap_or(0.05);
                    if let Ok(mut sent) = sent.lock() {
                        let ended = Instant::now();
                        sent.push(Sent { id, daemon, at, ended, reply });
                    }
                    thread::sleep(Duration::from_secs_f64(after.clamp(0.05, 1.0)));
                }
            })
        })
        .collect();
    thread::sleep(BEFORE);
    let mut stopped = Vec::new();
    for (index, id) in daemons.iter().enumerate() {
        if trouble {
            fleet.signal(*id, "TERM");
            fleet.note(&format!("SIGTERM to front-{}", index + 1));
        }
        stopped.push(Instant::now());
        thread::sleep(GAP);
    }
    let last = stopped.last().copied().unwrap_or_else(Instant::now);
    let mut ended_at = vec![None; daemons.len()];
    let mut back = vec![!trouble; daemons.len()];
    while last.elapsed() < GRACE + Duration::from_secs(1) {
        for (index, id) in daemons.iter().enumerate() {
            if trouble && stopped[index].elapsed() >= GRACE && !fleet.has_ended(*id) {
                fleet.signal(*id, "KILL");
                fleet.note(&format!("SIGKILL to front-{}", index + 1));
            }
            if ended_at[index].is_none() && fleet.has_ended(*id) {
                ended_at[index] = Some(Instant::now());
                fleet.note(&format!("front-{} has ended", index + 1));
            }
            if !back[index] && ended_at[index].is_some_and(|at| at.elapsed() >= RESTART) {
                back[index] = true;
                fleet.note(&format!("front-{} is started again", index + 1));
                if fleet.start_daemon(index as u16 + 1, "a").is_none() {
                    return 2;
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().map(|mut sent| std::mem::take(&mut *sent));
    judge(&fleet, &sent.unwrap_or_default(), &stopped, trouble)
}

fn ask(fleet: &Fleet, daemon: u16, id: &str) -> http::Reply {
    let headers = [
        ("Host", HOST.to_owned()),
        ("X-Attempt-Id", id.to_owned()),
        ("Authorization", format!("Bearer {KEY}")),
        ("X-Deadline-Ms", "10000".to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,600".to_owned()),
        ("X-Prompt-Prefix", format!("5c1e07a2:40,{id}:1420")),
    ];
    let path = format!("/ask/{id}");
    let wait = Duration::from_secs(10);
    http::call(&fleet.entry(daemon), "POST", &path, &headers, b"prompt", wait)
}

fn judge(fleet: &Fleet, sent: &[Sent], stopped: &[Instant], trouble: bool) -> i32 {
    fleet.record_runs();
    fleet.record_answers(sent.iter().map(|one| (one.id.clone(), one.reply.status)));
    let log = std::fs::read_to_string(fleet.runner_log()).unwrap_or_default();
    let mut events: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for line in log.lines() {
        if let Some((rest, id)) = line.rsplit_once(' ') {
            events.entry(id).or_default().push(rest);
        }
    }
    let (mut complete, mut refused, mut closed, mut lost) = (0, 0, 0, 0);
    for one in sent {
        let since = one.at.saturating_duration_since(stopped[usize::from(one.daemon) - 1]);
        let ran = events.get(one.id.as_str()).cloned().unwrap_or_default();
        let passed_on = ran.iter().any(|event| event.ends_with(" run"));
        let after_ms = since.as_millis();
        let took_ms = (one.ended - one.at).as_millis();
        let status = one.reply.status;
        if one.reply.complete {
            match status {
                200 => complete += 1,
                _ => refused += 1,
            }
            continue;
        }
        if !passed_on {
            closed += 1;
            continue;
        }
        // Those sent no later than 3 s after the signal may be excused; these are not.
        let counts = after_ms > 3000;
        lost += usize::from(counts);
        fleet.note(&format!(
            "{} sent to front-{} {after_ms} ms after its SIGTERM: status {status}, connection ended after \
             {took_ms} ms ({}), at runners: {ran:?}, counts: {counts}",
            one.id, one.daemon, one.reply.error
        ));
    }
    fleet.note(&format!(
        "{} requests: {complete} complete, {refused} answered otherwise, {closed} not taken, {lost} passed on \
         and cut although sent later than 3 s after the SIGTERM",
        sent.len()
    ));
    if complete < 100 || !trouble && (refused > 0 || closed > 0) {
        return 2;
    }
    i32::from(lost > 0)
}
