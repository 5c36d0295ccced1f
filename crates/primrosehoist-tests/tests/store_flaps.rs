//! Tests of entries that expire in the store while daemons cannot reach it.

mod common;

use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, send, wait_until};
use serde_json::json;

/// An outage in which entries may expire.
const OUTAGE: Duration = Duration::from_millis(1600);

/// The time for which daemons use upstreams whose entries are missing after an outage, rounded up, beside
/// the time that they need to notice that the store is back.
const GIVEN_UP: Duration = Duration::from_millis(4500);

fn set_store(deployment: &Deployment, mode: &str) {
    deployment.set_store_faults(&json!({"mode": mode, "also_only": true}));
}

/// Removes all entries of runners, as the store does if it hears nothing of them.
fn expire_entries(deployment: &Deployment) {
    for runner in &deployment.runners {
        deployment.delete("servers", &runner.id);
    }
}

fn register_all(deployment: &Deployment) {
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
}

fn look(deployment: &Deployment) -> Vec<u16> {
    let daemons = deployment.daemons.iter();
    let statuses =
        daemons.map(|daemon| send(&daemon.ingress, &Request::new("GET", "/look/1")).status);
    statuses.collect()
}

fn serves_for(deployment: &Deployment, time: Duration) {
    let started = Instant::now();
    while started.elapsed() < time {
        let statuses = look(deployment);
        assert_eq!(statuses, [200, 200], "after {:?}", started.elapsed());
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn gives_up(deployment: &Deployment) {
    std::thread::sleep(GIVEN_UP);
    assert_eq!(look(deployment), [503, 503], "no entry has come back");
}

/// Ends the watches of the daemons in an outage, so that they notice it at once.
fn lose_store(deployment: &Deployment) {
    set_store(deployment, "unavailable");
    deployment.forget_history();
}

/// Returns how many times each daemon has been back in the store.
fn lists(deployment: &Deployment) -> Vec<usize> {
    let is_list = |line: &&str| line.contains("\"listed\"") && line.contains("\"servers\"");
    let daemons = deployment.daemons.iter();
    daemons
        .map(|daemon| daemon.logged().lines().filter(is_list).count())
        .collect()
}

/// Has the store respond to no call, nor to the watches that wait.
fn silence_store(deployment: &Deployment) {
    deployment.set_store_faults(&json!({"mode": "none", "lose_watches": true}));
    for index in 0..deployment.runners.len() {
        let mut entry = deployment.entry(index, "ready");
        entry["Sequence"] = json!(2);
        deployment.put("servers", &deployment.runners[index].id, &entry);
    }
    std::thread::sleep(Duration::from_secs(1));
    let faults = json!({"mode": "silent", "also_only": true, "lose_watches": true});
    deployment.set_store_faults(&faults);
}

/// Has the entries expire in an outage; returns when both daemons have listed again.
fn expire_in_outage(deployment: &Deployment) {
    lose_store(deployment);
    std::thread::sleep(OUTAGE);
    expire_entries(deployment);
    let before = lists(deployment);
    set_store(deployment, "none");
    wait_until("both have listed", || {
        let now = lists(deployment);
        now.iter().zip(&before).all(|(now, before)| now > before)
    });
}

#[test]
fn upstreams_that_expired_are_used_while_the_store_is_away_again() {
    let deployment = Deployment::ready_with(2, |_| true);
    expire_in_outage(&deployment);
    lose_store(&deployment);
    serves_for(&deployment, Duration::from_secs(5));
    set_store(&deployment, "none");
    serves_for(&deployment, Duration::from_secs(1));
    register_all(&deployment);
    serves_for(&deployment, Duration::from_secs(4));
}

#[test]
fn upstreams_that_expired_are_given_up_after_the_last_outage() {
    let deployment = Deployment::ready_with(2, |_| true);
    expire_in_outage(&deployment);
    lose_store(&deployment);
    serves_for(&deployment, Duration::from_secs(3));
    set_store(&deployment, "none");
    gives_up(&deployment);
}

#[test]
fn upstreams_that_expired_while_the_store_was_silent_are_used_after_its_return() {
    let deployment = Deployment::ready_with(2, |_| true);
    silence_store(&deployment);
    std::thread::sleep(Duration::from_secs(4));
    expire_entries(&deployment);
    std::thread::sleep(Duration::from_secs(1));
    set_store(&deployment, "none");
    serves_for(&deployment, Duration::from_millis(1500));
    register_all(&deployment);
    serves_for(&deployment, Duration::from_secs(4));
}

#[test]
fn upstreams_that_expired_while_the_store_was_silent_are_given_up_in_the_end() {
    let deployment = Deployment::ready_with(2, |_| true);
    silence_store(&deployment);
    std::thread::sleep(Duration::from_secs(4));
    expire_entries(&deployment);
    set_store(&deployment, "none");
    gives_up(&deployment);
}
