//! Servers leave between two pages of a daemon's list of them, since a packet was lost.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use super::{Request, ZONE, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, free_hosts};
use crate::proxy::{self, Loss};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

const RUNNERS: usize = 60;
const SLOTS: usize = 6;
/// The servers that leave at the same time: all but the last are on the first page.
const LEAVING: [usize; 8] = [1, 2, 3, 4, 5, 6, 7, RUNNERS];
const CLIENTS: usize = 60;
/// The number of objects in a page of a list.
const PAGE: usize = 50;
const DRAIN: Duration = Duration::from_secs(2);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// When a lost packet is sent again: the usual 200 ms and the way.
const SENT_AGAIN_AFTER: Duration = Duration::from_millis(220);

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(PAGE, record)?;
    let routes = [route("look", "idempotent", "desk", 3_000)];
    store.write("config", "main", &configuration(1, &routes, 16, &tenants()));
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let options = Options {
            id: format!("i-{number:02}"),
            slots: SLOTS,
            event_interval: Duration::from_millis(20),
            work: Duration::from_millis(60),
            deadly_part: None,
        };
        let runner = Runner::start(options, &store, "desk", ZONE, record)?;
        runners.push(runner);
    }
    let hosts = free_hosts(1);
    // Only the first page of servers says that there are more.
    let loss = Loss {
        marker: "\"HasMore\":true",
        delay: SENT_AGAIN_AFTER,
        armed: Arc::new(AtomicBool::new(trouble)),
    };
    let link = proxy::start(store.address, &loss, record)?;
    let mut daemon = Daemon::new("gateway-1", hosts[0], ZONE, link, folder, record);
    daemon.start()?;
    // The first page has been read. If it has been lost, the second has not been asked for yet.
    let until = Instant::now() + Duration::from_secs(10);
    while store.pages("servers") == 0 {
        if Instant::now() > until {
            return Ok(Outcome::CannotRun("the daemon lists no servers".to_owned()));
        }
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(Duration::from_millis(60));
    // Eight of 60 servers leave at the same time.
    let mut left_at = Instant::now();
    for number in LEAVING {
        let runner = &runners[number - 1];
        runner.leave();
        runner.register("draining");
        left_at = Instant::now();
    }
    if !daemon.wait_ready(Duration::from_secs(10)) {
        return Ok(Outcome::CannotRun("the daemon is not ready".to_owned()));
    }
    // Until the machine is in touch, and longer than DrainMs after the acknowledgement.
    thread::sleep(DRAIN.max(STABLE_WINDOW) + Duration::from_millis(1500));
    let address = daemon.frontend();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let request = Request::new(&format!("look-{number}"), "GET", "/look/1");
            let record = record.clone();
            thread::spawn(move || send(address, &request, &record))
        })
        .collect();
    let answered = clients
        .into_iter()
        .filter_map(|client| client.join().ok().flatten());
    let answered = answered.filter(|seen| seen.ended.status == 200).count();
    let mut late = 0;
    for number in LEAVING {
        let arrivals = runners[number - 1].arrivals();
        let count = arrivals
            .iter()
            .filter(|arrival| arrival.at > left_at + DRAIN)
            .count();
        record.line(format!(
            "runner i-{number:02}: {count} requests later than DrainMs after its leaving"
        ));
        late += count;
    }
    record.line(format!(
        "{answered} of {CLIENTS} requests answered with 200"
    ));
    for line in daemon
        .log_lines("listed")
        .iter()
        .chain(&daemon.log_lines("upstream changed"))
    {
        record.line(format!("log of gateway-1: {line}"));
    }
    if answered == 0 {
        return Ok(Outcome::CannotRun("no request was answered".to_owned()));
    }
    Ok(if late > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
