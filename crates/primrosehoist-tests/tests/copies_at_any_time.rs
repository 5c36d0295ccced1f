//! Tests that a call that must run once does so, while upstreams send any answer twice at any time.
//!
//! `PRIMROSEHOIST_SEED` sets the seed.

mod common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use common::calls::{assert_ran_once, call_from_many, count, setting, summary};
use common::platform::Deployment;
use common::scripted::{refusal, success};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

const CALLERS: usize = 16;
const DURATION: Duration = Duration::from_secs(12);

#[derive(Default)]
struct Shared {
    runs: HashMap<String, usize>,
    /// The copies that were sent before and after the next request was read.
    copies: (usize, usize),
}

/// Reads a head; returns its id.
fn read_id(connection: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        connection.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let id = text.split("x-attempt-id: ").nth(1)?;
    id.lines().next().map(str::to_owned)
}

fn serve(mut connection: TcpStream, mut rng: StdRng, shared: &Mutex<Shared>) {
    let _nodelay = connection.set_nodelay(true);
    let mut late = String::new();
    while let Some(id) = read_id(&mut connection) {
        let mut shared_now = shared.lock().unwrap_or_else(PoisonError::into_inner);
        let refuses = rng.random_bool(0.3);
        let mut bytes = std::mem::take(&mut late);
        shared_now.copies.1 += usize::from(!bytes.is_empty());
        let answer = if refuses {
            refusal(&id)
        } else {
            *shared_now.runs.entry(id.clone()).or_default() += 1;
            success(&id) + "Content-Length: 4\r\n\r\ndone"
        };
        drop(shared_now);
        std::thread::sleep(Duration::from_micros(rng.random_range(0..8000)));
        bytes += &answer;
        // The copy of a success may be a refusal as well.
        let copy = if rng.random_bool(0.5) {
            refusal(&id)
        } else {
            answer
        };
        let when = rng.random_range(0..10);
        if when == 0 {
            bytes += &copy;
        }
        if connection.write_all(bytes.as_bytes()).is_err() {
            return;
        }
        if when == 1 {
            std::thread::sleep(Duration::from_micros(rng.random_range(0..3000)));
            let _copied = connection.write_all(copy.as_bytes());
        }
        if when < 2 {
            let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
            shared.copies.0 += 1;
        }
        if when == 2 {
            late = copy;
        }
    }
}

#[test]
fn calls_run_once_beside_copies_of_all_answers() {
    let deployment = Deployment::ready(2);
    let mut entry = deployment.entry(0, "ready");
    for runner in &deployment.runners {
        deployment.delete("servers", &runner.id);
    }
    let shared = Arc::new(Mutex::new(Shared::default()));
    let seed = setting("PRIMROSEHOIST_SEED", 1);
    for number in 0..3 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let address = listener.local_addr().expect("has an address").to_string();
        entry["Address"] = json!(address);
        deployment.put("servers", &format!("upstream-{number}"), &entry);
        let shared = Arc::clone(&shared);
        std::thread::spawn(move || {
            for (connection, count) in listener.incoming().flatten().zip(0..) {
                let rng = StdRng::seed_from_u64(seed << 32 | number << 24 | count);
                let shared = Arc::clone(&shared);
                std::thread::spawn(move || serve(connection, rng, &shared));
            }
        });
    }
    std::thread::sleep(Duration::from_millis(900));
    let ends = Instant::now() + DURATION;
    let daemons = deployment.daemons.iter();
    let addresses: Vec<&str> = daemons.map(|daemon| daemon.ingress.as_str()).collect();
    let statuses = call_from_many(CALLERS, &addresses, ends);
    std::thread::sleep(Duration::from_secs(1));
    let shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    println!("{} copies={:?}", summary(&statuses), shared.copies);
    assert_ran_once("beside copies", &statuses, &shared.runs);
    assert!(shared.copies.0 > 100 && shared.copies.1 > 100 && count(&statuses, &[200]) > 100);
}
