//! The last tenant is removed from the desired state.

use std::path::Path;
use std::thread;
use std::time::Duration;

use super::{Request, ZONE, configuration, route, send, tenants};
use crate::Outcome;
use crate::daemon::{Daemon, free_hosts};
use crate::record::Record;
use crate::runner::{Options, Runner};
use crate::store::Store;

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    match try_run(folder, record, trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::CannotRun(error.to_string()),
    }
}

fn try_run(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<Outcome> {
    let store = Store::start(500, record)?;
    let routes = [route("order", "non_idempotent", "desk", 3_000)];
    store.write("config", "main", &configuration(1, &routes, 16, &tenants()));
    let options = Options {
        id: "i-1".to_owned(),
        slots: 6,
        event_interval: Duration::from_millis(20),
        work: Duration::from_millis(60),
        deadly_part: None,
    };
    let runner = Runner::start(options, &store, "desk", ZONE, record)?;
    let hosts = free_hosts(1);
    let mut daemon = Daemon::new("gateway-1", hosts[0], ZONE, store.address, folder, record);
    daemon.start()?;
    if !daemon.wait_ready(Duration::from_secs(10)) {
        return Ok(Outcome::CannotRun("the daemon is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    if trouble {
        store.write("config", "main", &configuration(3, &routes, 16, "[]"));
    }
    thread::sleep(Duration::from_secs(4));
    let mut statuses = Vec::new();
    for (number, key) in ["no-such-key", "another-unknown-key", "guess"]
        .iter()
        .enumerate()
    {
        let mut request = Request::new(&format!("order-{number}"), "POST", "/order/1");
        request.key = (*key).to_owned();
        request.deadline = Duration::from_secs(3);
        let seen = send(daemon.frontend(), &request, record);
        statuses.push(seen.map_or(0, |seen| seen.ended.status));
    }
    let ran = runner.arrivals().len();
    record.line(format!(
        "statuses {statuses:?}; {ran} requests with keys that no desired state held were run"
    ));
    if statuses.contains(&0) {
        return Ok(Outcome::CannotRun("a request got no answer".to_owned()));
    }
    Ok(if ran > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
