//! Tests that connections which arrive while a daemon ends are answered or refused, with real daemon
//! processes.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use common::platform::{Deployment, Request, configuration, receive};

/// The clients that connect at the same time.
const CLIENTS: usize = 16;

/// The daemons that end, one after the other.
const ENDS: usize = 3;

/// The pause of a client after each answer. Without it, the clients take all ports of the machine.
const PAUSE: Duration = Duration::from_millis(10);

/// How long a client waits for an answer.
const ANSWER_MAX: Duration = Duration::from_secs(5);

/// The longest time in which a daemon ends after SIGTERM.
const SHUTDOWN_MAX: Duration = Duration::from_secs(10);

/// Sends requests on connections of their own until `ended`; returns how many were answered, and how many
/// got neither an answer nor a refusal to connect.
fn send_until(ended: &AtomicBool, address: &str) -> (usize, usize) {
    let (mut answered, mut lost) = (0, 0);
    while !ended.load(Ordering::Acquire) {
        let Ok(mut connection) = TcpStream::connect(address) else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        connection
            .set_read_timeout(Some(ANSWER_MAX))
            .expect("the option is set");
        let request = Request::new("GET", "/look/1").bytes();
        let is_answered =
            connection.write_all(&request).is_ok() && receive(&mut connection).status > 0;
        answered += usize::from(is_answered);
        lost += usize::from(!is_answered);
        thread::sleep(PAUSE);
    }
    (answered, lost)
}

#[test]
fn connections_at_the_end_of_a_daemon_are_not_reset_without_an_answer() {
    let mut deployment = Deployment::without_daemons();
    deployment.configure(&configuration(1));
    for index in 0..deployment.runners.len() {
        deployment.register(index, "ready");
    }
    for index in 0..ENDS {
        deployment.add_daemon("zone-a", &deployment.store.clone());
        deployment.wait_until_ready(index);
        let daemon = &mut deployment.daemons[index];
        let ended = AtomicBool::new(false);
        let address = daemon.ingress.as_str();
        let process = daemon.process.as_mut().expect("it runs");
        let outcomes: Vec<_> = thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| scope.spawn(|| send_until(&ended, address)))
                .collect();
            process.terminate();
            let status = process.wait(SHUTDOWN_MAX);
            ended.store(true, Ordering::Release);
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
            let outcomes = clients.into_iter().map(thread::ScopedJoinHandle::join);
            outcomes.collect::<Result<_, _>>().expect("no client fails")
        });
        let answered: usize = outcomes.iter().map(|(answered, _)| answered).sum();
        let lost: usize = outcomes.iter().map(|(_, lost)| lost).sum();
        assert!(answered > 0);
        assert_eq!(lost, 0, "of {}", answered + lost);
    }
}
