//! A daemon is stopped while clients send it long prompts, and all slots of the runners are taken.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use super::{Request, ZONE, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, SIGTERM, free_hosts};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

const SLOTS: usize = 4;
const RUNNERS: usize = 2;
const LOSS_SLACK: Duration = Duration::from_millis(200);
const GRACE: Duration = Duration::from_secs(8);

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(500, record)?;
    let routes = [route("dossier", "streaming", "model", 15_000)];
    store.write(
        "config",
        "main",
        &configuration(1, &routes, SLOTS, &tenants()),
    );
    for number in 1..=RUNNERS {
        let options = Options {
            id: format!("i-{number}"),
            slots: SLOTS,
            event_interval: Duration::from_millis(150),
            work: Duration::from_millis(60),
            deadly_part: None,
        };
        Runner::start(options, &store, "model", ZONE, record)?;
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
    // More than the stable window, so that both machines are in touch.
    thread::sleep(Duration::from_secs(4));
    let (stopped, other) = (daemons[0].frontend(), daemons[1].frontend());
    // Answers of 63 events, 9.3 s, take all slots.
    let occupants: Vec<_> = (0..SLOTS * RUNNERS)
        .map(|number| {
            let mut request = Request::new(&format!("long-{number}"), "POST", "/dossier/1");
            request.usage = Some("4000,2900".to_owned());
            request.deadline = Duration::from_secs(15);
            let record = record.clone();
            thread::sleep(Duration::from_millis(40));
            thread::spawn(move || send(other, &request, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let term_at = Instant::now();
    if trouble {
        daemons[0].signal(SIGTERM);
    }
    thread::sleep(Duration::from_millis(1200));
    // Prompts of 200,000 tokens, 800 KB, over a line of 3 Mbit/s.
    let uploads: Vec<_> = (0..3)
        .map(|number| {
            let mut request = Request::new(&format!("dossier-{number}"), "POST", "/dossier/2");
            request.usage = Some("200000,400".to_owned());
            request.deadline = Duration::from_secs(15);
            request.body_length = 800_000;
            request.upload = Duration::from_millis(2200);
            let record = record.clone();
            thread::spawn(move || send(stopped, &request, &record))
        })
        .collect();
    let seen: Vec<_> = uploads
        .into_iter()
        .filter_map(|upload| upload.join().ok().flatten())
        .collect();
    if trouble && daemons[0].wait_ended(Duration::from_secs(10)).is_none() {
        record.line("the stopped daemon has not ended");
    }
    for occupant in occupants {
        let _ = occupant.join();
    }
    for line in daemons[0].log_lines("shutdown") {
        record.line(format!("log of gateway-1: {line}"));
    }
    if seen.len() < 3 {
        return Ok(Outcome::CannotRun("a client could not connect".to_owned()));
    }
    let mut lost = 0;
    for request in &seen {
        let waited = request.ended.at.saturating_duration_since(request.sent_at);
        let after_term = request.ended.at.saturating_duration_since(term_at);
        let unanswered = !request.ended.complete && request.ended.cause != "client gave up";
        let counts = waited > LOSS_SLACK && after_term < GRACE + Duration::from_secs(1);
        record.line(format!(
            "{}: status {}, ended {:.2} s after its last byte and {:.2} s after the signal{}",
            request.id,
            request.ended.status,
            waited.as_secs_f64(),
            after_term.as_secs_f64(),
            if unanswered && counts { ", LOST" } else { "" }
        ));
        lost += usize::from(unanswered && counts);
    }
    Ok(if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
