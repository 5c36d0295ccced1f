//! The operator removes the last tenant.

use std::thread;
use std::time::Duration;

use crate::fleet::{self, Fleet, HOST, KEY};
use crate::http;

/// `ConfigApplyMs`.
const APPLY: Duration = Duration::from_millis(2000);

pub fn main() -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Some(fleet) = Fleet::prepare() else {
        return 2;
    };
    if !fleet.start_store() {
        return 2;
    }
    for index in 0..2 {
        let options = ["--service", "app", "--zone", "a"];
        if fleet.start_runner(index, &format!("i-{index}"), &options).is_none() {
            return 2;
        }
    }
    let services = [fleet::plain_service("app")];
    let routes = [fleet::route("look", "idempotent", "app"), fleet::route("order", "non_idempotent", "app")];
    let first = fleet::desired_state(7, &routes, &services);
    if !fleet.put("config", "main", &first) {
        return 2;
    }
    for index in 1..=2 {
        if fleet.start_daemon(index, "a").is_none() || !fleet.wait_ready(index) {
            return 2;
        }
    }
    thread::sleep(Duration::from_secs(1));
    let before = ask_all(&fleet, "before");
    if before != [200, 401, 401, 200, 401, 401] {
        return 2;
    }
    // The keys of the only tenant are taken away; with the trouble, the tenant is removed as well.
    let (from, to) = match trouble {
        true => (first.find("{\"Name\":\"rope\""), first.rfind("]}")),
        false => (first.find("\"review-key\""), first.find("],\"Priority\":1}]}")),
    };
    let (Some(from), Some(to)) = (from, to) else {
        return 2;
    };
    let second = format!("{}{}", &first[..from], &first[to..]).replace("\"Version\":7", "\"Version\":9");
    fleet.note(&format!("desired state: {}", &second[second.find("\"Tenants\"").unwrap_or(0)..]));
    if !fleet.put("config", "main", &second) {
        return 2;
    }
    thread::sleep(APPLY + Duration::from_millis(1500));
    let after = ask_all(&fleet, "after");
    let log = std::fs::read_to_string(fleet.runner_log()).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains(" run ")) {
        fleet.note(&format!("at runners: {line}"));
    }
    let unknown_ran = log.lines().filter(|line| line.contains(" run after-") && !line.contains("-known-"));
    let unknown_ran = unknown_ran.count();
    fleet.note(&format!(
        "{unknown_ran} requests ran that have no key, or one that no desired state ever held; 0 are allowed; \
         answers {after:?}"
    ));
    i32::from(unknown_ran > 0)
}

/// Sends a request with the key, with an unknown one and with none to each daemon; returns the statuses.
fn ask_all(fleet: &Fleet, when: &str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for daemon in 1..=2 {
        for (name, key) in [("known", Some(KEY)), ("unknown", Some("nobodys-key")), ("none", None)] {
            let id = format!("{when}-{name}-{daemon}");
            let mut headers = vec![
                ("Host", HOST.to_owned()),
                ("X-Attempt-Id", id.clone()),
                ("X-Deadline-Ms", "2500".to_owned()),
            ];
            if let Some(key) = key {
                headers.push(("Authorization", format!("Bearer {key}")));
            }
            let (path, wait) = (format!("/order/{id}"), Duration::from_secs(3));
            let reply = http::call(&fleet.entry(daemon), "POST", &path, &headers, b"order", wait);
            fleet.note(&format!("{id}: sent to front-{daemon}, status {}", reply.status));
            statuses.push(reply.status);
        }
    }
    statuses
}
