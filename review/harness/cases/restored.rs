//! The store comes back from a copy in which a server is still ready that has said that it leaves.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Request, Seen, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, free_hosts};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

/// More than the daemons that all follow the store.
const DAEMONS: usize = 24;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The number of drills. In each, another server leaves.
const DRILLS: usize = 6;
const RUNNERS: usize = DRILLS + 3;
const DRAIN: Duration = Duration::from_secs(2);
/// How long the store is away, by drill.
const AWAY_MS: [u64; DRILLS] = [2000, 1400, 1700, 2300, 1100, 2000];
/// How long after its return the server removes its entry again.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1200);

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

/// Sends `count` requests to each daemon at once; returns what was seen, by daemon.
fn send_to_all(
    name: &str,
    count: usize,
    daemons: &[Daemon],
    record: &Record,
) -> Vec<(usize, Instant, Seen)> {
    let mut clients = Vec::new();
    for (index, daemon) in daemons.iter().enumerate() {
        for number in 0..count {
            let mut request = Request::new(&format!("{name}-{index}-{number}"), "GET", "/look/1");
            request.deadline = Duration::from_secs(3);
            request.body_length = 0;
            let (address, record) = (daemon.frontend(), record.clone());
            clients.push(thread::spawn(move || {
                let sent = Instant::now();
                send(address, &request, &record).map(|seen| (index, sent, seen))
            }));
        }
    }
    let seen = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten());
    seen.collect()
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(500, record)?;
    let routes = [route("look", "idempotent", "desk", 3_000)];
    store.write("config", "main", &configuration(1, &routes, 16, &tenants()));
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let options = Options {
            id: format!("i-{number}"),
            slots: 200,
            event_interval: Duration::from_millis(20),
            work: Duration::from_millis(60),
            deadly_part: None,
        };
        runners.push(Runner::start(
            options,
            &store,
            "desk",
            ZONES[number % ZONES.len()],
            record,
        )?);
    }
    let hosts = free_hosts(DAEMONS);
    let new = |(index, host): (usize, &_)| {
        Daemon::new(
            &format!("gateway-{:02}", index + 1),
            *host,
            ZONES[index % ZONES.len()],
            store.address,
            folder,
            record,
        )
    };
    let mut daemons: Vec<Daemon> = hosts.iter().enumerate().map(new).collect();
    for daemon in &mut daemons {
        daemon.start()?;
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(20)))
    {
        return Ok(Outcome::CannotRun("a daemon is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(5));
    for drill in 1..=DRILLS {
        let leaving = &runners[drill - 1];
        match run_drill(drill, leaving, &daemons, &store, record, trouble) {
            Some(0) => {}
            Some(_) => {
                for (index, daemon) in daemons.iter().enumerate() {
                    for line in daemon.log_lines("\"kind\":\"servers\"") {
                        record.line(format!("log of gateway-{:02}: {line}", index + 1));
                    }
                }
                return Ok(Outcome::Broken);
            }
            None => return Ok(Outcome::CannotRun("too few answers".to_owned())),
        }
        thread::sleep(Duration::from_secs(3));
    }
    Ok(Outcome::Held)
}

/// Returns the number of requests that reached `leaving` too late, or `None` if too few were answered.
fn run_drill(
    drill: usize,
    leaving: &Runner,
    daemons: &[Daemon],
    store: &Store,
    record: &Record,
    trouble: bool,
) -> Option<usize> {
    let id = format!("i-{drill}");
    store.keep_copy();
    thread::sleep(Duration::from_millis(500));
    // The server says in its answers that it leaves, and then removes its entry.
    leaving.leave();
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    let name = format!("before-{drill}");
    for (index, _, seen) in send_to_all(&name, 12, daemons, record) {
        let mut headers = seen.ended.headers.iter();
        let says = headers.any(|(name, value)| name == "server-leaving" && value == "1");
        if says && seen.ended.status == 200 {
            told.entry(index).or_insert(seen.ended.at);
        }
    }
    store.delete("servers", &id);
    record.line(format!(
        "drill {drill}: {} daemons have passed on an answer of {id} with Server-Leaving",
        told.len()
    ));
    thread::sleep(DRAIN + Duration::from_millis(500));
    if trouble {
        store.go_away();
    }
    thread::sleep(Duration::from_millis(AWAY_MS[drill - 1]));
    if trouble {
        store.come_back_from_copy();
    }
    let back_at = Instant::now();
    let mut sent: BTreeMap<String, (usize, Instant)> = BTreeMap::new();
    let mut round = 0;
    let mut answered = 0;
    while back_at.elapsed() < WRITTEN_AGAIN_AFTER {
        let name = format!("after-{drill}-{round}");
        for (index, at, seen) in send_to_all(&name, 2, daemons, record) {
            answered += usize::from(seen.ended.status == 200);
            sent.insert(seen.id, (index, at));
        }
        round += 1;
        thread::sleep(Duration::from_millis(100));
    }
    store.delete("servers", &id);
    let mut late: BTreeMap<usize, usize> = BTreeMap::new();
    for arrival in leaving.arrivals() {
        let Some((index, at)) = sent.get(&arrival.id) else {
            continue;
        };
        if told.get(index).is_some_and(|told| *at > *told + DRAIN) {
            *late.entry(*index).or_default() += 1;
        }
    }
    for (index, count) in &late {
        record.line(format!(
            "gateway-{:02}: {count} requests to {id} later than DrainMs after it passed on Server-Leaving",
            index + 1
        ));
    }
    record.line(format!(
        "drill {drill}: {answered} of {} requests answered with 200",
        sent.len()
    ));
    let ran = told.len() >= DAEMONS / 3 && answered > 0;
    ran.then(|| late.values().sum())
}
