//! Requests with one part in their prompts crash the runners; sound ones share their first part.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Request, ZONE, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, free_hosts};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

const RUNNERS: usize = 8;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The interval between sound requests.
const SOUND_EVERY: Duration = Duration::from_millis(1200);
/// The interval between requests that crash runners.
const DEADLY_EVERY: Duration = Duration::from_millis(350);
/// The number of sound requests before the disruption, and after it.
const SOUND: usize = 24;
const FIRST_PART: &str = "5c1e07a2";
const DEADLY_PART: &str = "dead0bad";

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(500, record)?;
    let routes = [route("ask", "streaming", "model", 10_000)];
    store.write("config", "main", &configuration(1, &routes, 16, &tenants()));
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let options = Options {
            id: format!("i-{number}"),
            slots: 16,
            event_interval: Duration::from_millis(20),
            work: Duration::from_millis(60),
            deadly_part: Some(DEADLY_PART.to_owned()),
        };
        runners.push(Runner::start(options, &store, "model", ZONE, record)?);
    }
    let hosts = free_hosts(2);
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
    let addresses: Vec<_> = daemons.iter().map(Daemon::frontend).collect();
    // Sound requests come at a steady rate, at either daemon.
    let stopped = Arc::new(AtomicBool::new(false));
    let sound: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let sender = {
        let (stopped, sound, record, addresses) = (
            Arc::clone(&stopped),
            Arc::clone(&sound),
            record.clone(),
            addresses.clone(),
        );
        thread::spawn(move || {
            let mut number = 0;
            while !stopped.load(Ordering::SeqCst) {
                let mut request = Request::new(&format!("sound-{number}"), "POST", "/ask/1");
                request.usage = Some("5000,230".to_owned());
                request.parts = format!("{FIRST_PART}:40,a{number:07x}:4960");
                let sent = (request.id.clone(), Instant::now());
                sound.lock().expect("no thread panics").push(sent);
                let (address, record) = (addresses[number % addresses.len()], record.clone());
                thread::spawn(move || send(address, &request, &record));
                thread::sleep(SOUND_EVERY);
                number += 1;
            }
        })
    };
    // The first of them comes between two sound requests.
    thread::sleep(SOUND_EVERY * SOUND as u32 + Duration::from_millis(200));
    let disrupted_at = Instant::now();
    let crashes = || -> Vec<Instant> {
        let mut all: Vec<Instant> = runners.iter().flat_map(Runner::crashes).collect();
        all.sort();
        all
    };
    // Requests with the deadly part come until the end, no two alike.
    let until = disrupted_at
        + STABLE_WINDOW * 2
        + Duration::from_secs(2)
        + SOUND_EVERY * (SOUND as u32 + 1);
    let mut number = 0;
    while Instant::now() < until {
        if trouble {
            let mut request = Request::new(&format!("deadly-{number}"), "POST", "/ask/1");
            request.usage = Some("5000,230".to_owned());
            request.parts = format!("{FIRST_PART}:40,{DEADLY_PART}:500,b{number:07x}:4460");
            request.body_length = 200 + number;
            let (address, record) = (addresses[(number + 1) % addresses.len()], record.clone());
            thread::spawn(move || send(address, &request, &record));
        }
        number += 1;
        thread::sleep(DEADLY_EVERY);
    }
    stopped.store(true, Ordering::SeqCst);
    let _ = sender.join();
    thread::sleep(Duration::from_secs(1));
    let crashes = crashes();
    let counted_from = crashes
        .get(4)
        .or(crashes.last())
        .map_or(disrupted_at, |at| *at)
        + STABLE_WINDOW * 2;
    let ran: Vec<String> = runners
        .iter()
        .flat_map(Runner::arrivals)
        .filter(|one| one.ran)
        .map(|one| one.id)
        .collect();
    let share = |from: Option<Instant>, to: Option<Instant>| {
        let sound = sound.lock().expect("no thread panics");
        let sent: Vec<_> = sound
            .iter()
            .filter(|(_, at)| from.is_none_or(|from| *at >= from) && to.is_none_or(|to| *at < to))
            .collect();
        let begun = sent.iter().filter(|(id, _)| ran.contains(id)).count();
        (begun, sent.len())
    };
    let before = share(None, Some(disrupted_at));
    let after = share(Some(counted_from), None);
    record.line(format!(
        "{} crashes; sound requests that began: {} of {} before, {} of {} from two stable windows after the crashes",
        crashes.len(),
        before.0,
        before.1,
        after.0,
        after.1
    ));
    for line in daemons
        .iter()
        .flat_map(|daemon| daemon.log_lines("crashes_upstreams"))
        .take(5)
    {
        record.line(format!("log: {line}"));
    }
    if before.1 < 20 || after.1 < 20 {
        return Ok(Outcome::CannotRun("too few sound requests".to_owned()));
    }
    let rate = |(begun, sent): (usize, usize)| begun as f64 / sent as f64;
    Ok(if rate(after) < rate(before) / 2.0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
