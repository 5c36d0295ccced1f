//! Tests that a refusal is not taken for the answer to a later call on the connection.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use common::caller::call;
use common::{Fleet, Layout};

const SUCCESS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const REFUSED: &str = r#"{"error":{"code":"not_run"}}"#;

/// The number of runs of each path.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// Reads a request whose body is `body`; returns its path.
fn read_path(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nbody") && !bytes.ends_with(b"body\r\n0\r\n\r\n") {
        let mut byte = [0; 1];
        connection.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    text.split_whitespace().nth(1).map(str::to_owned)
}

/// Runs the first call, sends its answer once more when the second one arrives, which it refuses
/// later, and runs all others.
fn serve(mut connection: TcpStream, runs: &Runs, copies: bool) {
    let mut number = 0;
    while let Some(path) = read_path(&mut connection) {
        number += 1;
        if number == 2 {
            if copies {
                let _copied = connection.write_all(SUCCESS.as_bytes());
            }
            std::thread::sleep(Duration::from_millis(300));
            let length = REFUSED.len();
            let refusal = format!("HTTP/1.1 503 Full\r\nContent-Length: {length}\r\n\r\n{REFUSED}");
            let _refused = connection.write_all(refusal.as_bytes());
            continue;
        }
        let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(path).or_default() += 1;
        drop(runs);
        let _answered = connection.write_all(SUCCESS.as_bytes());
    }
}

/// Guards against calls that run twice, or run although they were reported as not run, because the
/// answer of a success came twice and the refusal of the next call is late by one.
#[test]
fn call_behind_the_late_copy_of_a_success_is_not_answered_by_the_refusal_of_another() {
    check(true);
}

/// Shows that the calls run once if no answer comes twice.
#[test]
fn calls_behind_refusals_run_once() {
    check(false);
}

fn check(copies: bool) {
    let mut fleet = Fleet::start(Layout {
        engines_per_zone: 0,
        ..Layout::default()
    });
    let runs = Runs::default();
    for service in &mut fleet.services {
        service.process.take();
        let listener = TcpListener::bind(&service.address).expect("binds");
        let runs = Arc::clone(&runs);
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let runs = Arc::clone(&runs);
                std::thread::spawn(move || serve(connection, &runs, copies));
            }
        });
    }
    let mut wrong = Vec::new();
    for number in 0..60 {
        let address = &fleet.daemons[0].caller;
        let path = format!("/orders/{number}");
        let url = format!("http://{address}/services/north-orders{path}");
        let key = number.to_string();
        let headers = [
            ("authorization", "Bearer key-north"),
            ("idempotency-key", key.as_str()),
            ("x-timeout-ms", "3000"),
        ];
        let reply = call("POST", &url, &headers, "body");
        std::thread::sleep(Duration::from_millis(20));
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let ran: usize = runs
            .iter()
            .filter(|(key, _)| key.ends_with(&path))
            .map(|(_, runs)| *runs)
            .sum();
        wrong.push((number, reply.status, ran));
    }
    std::thread::sleep(Duration::from_secs(2));
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    println!("number, status, runs at once: {wrong:?}");
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    let denied: Vec<_> = wrong
        .iter()
        .filter(|(number, status, _)| {
            let path = format!("/orders/{number}");
            let ran = runs.iter().any(|(key, _)| key.ends_with(&path));
            *status == 503 && ran
        })
        .collect();
    assert!(
        twice.is_empty() && denied.is_empty(),
        "ran twice: {twice:?}; ran, but 503: {denied:?}"
    );
}
