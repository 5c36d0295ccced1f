//! Tests what callers get while all hosts are told to end at the same time, with real daemon processes.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::platform::{Deployment, Request, Response, receive};

/// Within this time of the signal, short prompts can still be served before the processes end.
const SERVED_FOR: Duration = Duration::from_secs(5);

/// The numbers of events of the streams, of which the longest take most of the grace.
const EVENTS: [u64; 3] = [20, 150, 400];

/// The interval between two calls to a host.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// The time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// The time from the signal to a request, its id and the response.
type Call = (Duration, String, Response);

/// Calls a host for streams of `events` events until it does not listen any more.
fn call_until_the_end(address: &str, events: u64, told: Instant) -> Vec<Call> {
    let mut calls = Vec::new();
    while let Ok(mut connection) = TcpStream::connect(address) {
        let (sent, request) = (told.elapsed(), Request::stream(100, events));
        // A host that ends resets connections that it has not accepted.
        if connection.write_all(&request.bytes()).is_ok() {
            calls.push((sent, request.id, receive(&mut connection)));
        }
        thread::sleep(CALL_INTERVAL);
    }
    calls
}

#[test]
fn hosts_that_end_together_serve_what_ends_before_them() {
    let mut deployment = Deployment::ready(3);
    for daemon in &deployment.daemons {
        daemon.process.as_ref().expect("it runs").terminate();
    }
    let told = Instant::now();
    let callers: Vec<_> = deployment
        .daemons
        .iter()
        .flat_map(|daemon| EVENTS.map(|events| (daemon.ingress.clone(), events)))
        .map(|(address, events)| {
            let caller = thread::spawn(move || call_until_the_end(&address, events, told));
            (events, caller)
        })
        .collect();
    for daemon in &mut deployment.daemons {
        let process = daemon.process.as_mut().expect("it was started");
        let status = process.wait(GRACE.saturating_sub(told.elapsed()));
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
    }
    for (events, caller) in callers {
        let calls = caller.join().expect("the host answers");
        let last = calls.last().expect("the host was called").0;
        let is_short = events == EVENTS[0];
        assert!(
            !is_short || last >= SERVED_FOR,
            "the host ended after {last:?}"
        );
        for (sent, id, response) in calls {
            let is_served = response.status == 200 && response.complete;
            let must_be_served = is_short && sent <= SERVED_FOR;
            assert!(is_served || !must_be_served, "{sent:?}: {response:?}");
            let is_refused = response.status == 503 && response.header("retry-after").is_some();
            // What the host never read gets no answer, and has not run.
            let is_unread = response.head.is_empty() && deployment.runs(&id).is_empty();
            assert!(
                is_served || is_refused || is_unread,
                "{sent:?}: {response:?}"
            );
        }
    }
}
