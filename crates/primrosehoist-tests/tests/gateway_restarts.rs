//! Restarts of daemons and outages of the store on the users' platform, as real processes with
//! stand-ins.

mod common;

use std::time::{Duration, Instant};

use common::users::{Ask, Site, begin, configuration, receive, send, wait};
use serde_json::json;

/// All daemons lose what they know right after a configuration was accepted, and find everything
/// again in the store: the newest configuration, the runners, and each other.
#[test]
fn all_daemons_restart_at_once_and_serve_what_was_accepted_last() {
    let mut site = Site::ready(2);
    let mut newest = configuration(2);
    newest["Routes"][0]["PathPrefix"] = "/moved/".into();
    site.configure(&newest);
    for daemon in &mut site.daemons {
        daemon.process.as_mut().expect("it runs").kill();
    }
    let begun = Instant::now();
    for index in 0..2 {
        site.start_daemon(index);
    }
    for index in 0..2 {
        site.wait_ready(index);
        let address = &site.daemons[index].ingress;
        let moved = Ask {
            path: String::from("/moved/1"),
            ..Ask::stream(5000, 4)
        };
        let answer = send(address, &moved);
        assert!(answer.whole && answer.status == 200, "{answer:?}");
        assert_eq!(send(address, &Ask::stream(5000, 4)).status, 404);
    }
    // The users bear 12 s; a daemon needs about two calls of the store.
    let took = begun.elapsed();
    assert!(took < Duration::from_secs(5), "{took:?}");
    // The limits that are divided are even again once the daemons know each other.
    for (index, other) in [(0, "frontend-1"), (1, "frontend-0")] {
        wait("the daemons find each other", || {
            let logged = std::fs::read_to_string(&site.daemons[index].log);
            let logged = logged.expect("a log");
            let last = logged.rfind("daemon started").unwrap_or_default();
            logged[last..].contains(other)
        });
    }
}

/// A daemon that is killed takes its streams along; clients see that these are not whole, and
/// another daemon serves them.
#[test]
fn a_stream_of_a_killed_daemon_is_not_taken_for_whole() {
    let mut site = Site::ready(2);
    let ask = Ask::stream(5000, 400);
    let mut connection = begin(&site.daemons[0].ingress, &ask);
    wait("the stream runs", || !site.runs(&ask.id).is_empty());
    site.daemons[0].process.as_mut().expect("it runs").kill();
    let answer = receive(&mut connection);
    assert!(!answer.whole, "{answer:?}");
    let again = send(&site.daemons[1].ingress, &Ask::stream(5000, 4));
    assert!(again.whole && again.status == 200, "{again:?}");
    // The work ends at the runner, since its reader is gone.
    let running = || {
        (0..3)
            .map(|index| site.counts(index)["running"].as_u64().expect("a count"))
            .sum::<u64>()
    };
    wait("the work ends", || running() == 0);
}

/// A watch that is sent while the store is silent is never answered. The daemon must not wait for
/// it once the store is back.
#[test]
fn a_change_after_a_silence_of_the_store_is_in_force_in_time() {
    let mut site = Site::ready(2);
    // The last daemon, which uses the second address of the store, is left alone with it.
    site.daemons[0].process.as_mut().expect("it runs").kill();
    site.store_faults(&json!({"mode": "silent", "also_only": true}));
    let configure = |version, key: &str| {
        let mut next = configuration(version);
        next["Tenants"][0]["ApiKeys"] = json!([key]);
        site.configure(&next);
    };
    // The waiting watch ends with this change, and the next one is lost.
    configure(2, "second-key");
    std::thread::sleep(Duration::from_secs(3));
    site.store_faults(&json!({"mode": "none"}));
    // The bounds hold again after this time, and then for a change within the next one.
    std::thread::sleep(Duration::from_secs(3));
    configure(3, "third-key");
    std::thread::sleep(Duration::from_secs(2));
    let ask = Ask {
        key: "third-key",
        ..Ask::new("GET", "/look/1")
    };
    let answer = send(&site.daemons[1].ingress, &ask);
    assert_eq!(answer.status, 200, "{answer:?}");
}
