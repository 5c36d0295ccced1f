//! The store is silent for a moment, soon after a change of the desired state.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Request, ZONE, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, free_hosts};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// How long the store is silent.
const SILENCE: Duration = Duration::from_millis(80);
/// How long after a change the silence begins.
const SILENT_AFTER: Duration = Duration::from_millis(215);
const ROUNDS: u64 = 10;
const DAEMONS: usize = 2;

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

/// Returns a desired state in which the tenant has the key of this round.
fn state(version: u64, routes: &[String], key: &str) -> String {
    let tenants = format!("[{{\"Name\":\"rope-floor\",\"ApiKeys\":[\"{key}\"],\"Priority\":1}}]");
    configuration(version, routes, 16, &tenants)
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(500, record)?;
    let routes = [route("look", "idempotent", "desk", 3_000)];
    store.write("config", "main", &configuration(1, &routes, 16, &tenants()));
    let options = Options {
        id: "i-1".to_owned(),
        slots: 16,
        event_interval: Duration::from_millis(20),
        work: Duration::from_millis(30),
        deadly_part: None,
    };
    Runner::start(options, &store, "desk", ZONE, record)?;
    let hosts = free_hosts(DAEMONS);
    let mut daemons: Vec<Daemon> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            Daemon::new(
                &format!("gateway-{}", index + 1),
                *host,
                ZONE,
                store.address,
                folder,
                record,
            )
        })
        .collect();
    for daemon in &mut daemons {
        daemon.start()?;
    }
    if !daemons
        .iter()
        .all(|daemon| daemon.wait_ready(Duration::from_secs(10)))
    {
        return Ok(Outcome::CannotRun("a daemon is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    let mut broken = false;
    for round in 1..=ROUNDS {
        // A key is replaced, and the store falls silent for a moment.
        let (first, second) = (format!("key-{round}-a"), format!("key-{round}-b"));
        store.write("config", "main", &state(10 * round, &routes, &first));
        thread::sleep(SILENT_AFTER);
        if trouble {
            store.fall_silent(SILENCE);
        }
        // Longer than the stable window after it, the key is replaced again.
        thread::sleep(SILENCE + Duration::from_secs(4));
        let (calls, pings) = store.swallowed();
        record.line(format!(
            "round {round}: {calls} calls without an answer so far, {pings} of them pings"
        ));
        store.write("config", "main", &state(10 * round + 3, &routes, &second));
        let acked = Instant::now();
        thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
        for daemon in &daemons {
            for (key, expected) in [(&first, 401), (&second, 200)] {
                let id = format!("look-{round}-{}-{key}", daemon.name);
                let mut request = Request::new(&id, "GET", "/look/1");
                request.key = key.clone();
                request.deadline = Duration::from_secs(3);
                let status =
                    send(daemon.frontend(), &request, record).map_or(0, |seen| seen.ended.status);
                if status != expected {
                    broken |= matches!(status, 200 | 401);
                    record.line(format!(
                        "{}: status {status} instead of {expected} for {key}, {:.1} s after the acknowledgement",
                        daemon.name,
                        acked.elapsed().as_secs_f64()
                    ));
                }
            }
        }
        if broken {
            break;
        }
    }
    Ok(if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
