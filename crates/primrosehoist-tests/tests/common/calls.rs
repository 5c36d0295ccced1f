//! Callers of calls that must run once.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::platform::{Request, Response, receive, send};

/// Calls until `ends`, and keeps each connection until it is closed; returns the status by id, zero
/// if there was no answer.
pub fn call_repeatedly(
    seed: u64,
    addresses: &[String],
    ends: Instant,
    stopped: &AtomicBool,
) -> HashMap<String, u16> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut statuses = HashMap::new();
    let mut kept: Option<TcpStream> = None;
    while Instant::now() < ends && !stopped.load(Ordering::Relaxed) {
        let address = &addresses[rng.random_range(0..addresses.len())];
        let Some(mut connection) = kept.take().or_else(|| TcpStream::connect(address).ok()) else {
            std::thread::sleep(Duration::from_millis(5));
            continue;
        };
        connection
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("sets the timeout");
        let mut request = Request::new("POST", "/order/1");
        let timeout_ms = if rng.random_bool(0.5) {
            rng.random_range(6..40)
        } else {
            rng.random_range(40..3000)
        };
        request.headers = vec![("X-Deadline-Ms", timeout_ms.to_string())];
        let sent = connection.write_all(&request.bytes());
        let response = sent.ok().map(|()| receive(&mut connection));
        let complete = response.filter(|response| response.complete);
        let status = complete.as_ref().map_or(0, |response| response.status);
        statuses.insert(request.id, status);
        let is_kept = |response: &Response| response.header("connection") != Some("close");
        if complete.as_ref().is_some_and(is_kept) {
            kept = Some(connection);
        }
    }
    statuses
}

/// Returns the value of an environment variable, or `default` if it is not set to a number.
pub fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Makes one call after the other from `callers` threads until `ends`, spread over `addresses`;
/// returns the status by id.
pub fn call_from_many(callers: usize, addresses: &[&str], ends: Instant) -> HashMap<String, u16> {
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..callers)
            .map(|caller| {
                let address = addresses[caller % addresses.len()];
                scope.spawn(move || {
                    let mut statuses = Vec::new();
                    while Instant::now() < ends {
                        let request = Request::new("POST", "/order/1");
                        let status = send(address, &request).status;
                        statuses.push((request.id.to_lowercase(), status));
                    }
                    statuses
                })
            })
            .collect();
        let callers = callers.into_iter();
        callers
            .flat_map(|caller| caller.join().expect("the caller does not panic"))
            .collect()
    })
}

/// Returns the number of calls with one of the `wanted` statuses.
pub fn count(statuses: &HashMap<String, u16>, wanted: &[u16]) -> usize {
    let statuses = statuses.values();
    statuses.filter(|status| wanted.contains(status)).count()
}

/// Returns how many calls were answered, reported as not run, uncertain, and not answered at all.
pub fn summary(statuses: &HashMap<String, u16>) -> String {
    format!(
        "calls={} answered={} not_run={} uncertain={} no_answer={}",
        statuses.len(),
        count(statuses, &[200]),
        count(statuses, &[503]),
        count(statuses, &[502, 504]),
        count(statuses, &[0]),
    )
}

/// Checks that no call ran twice, or ran although its caller was told that it had not.
pub fn assert_ran_once(what: &str, statuses: &HashMap<String, u16>, runs: &HashMap<String, usize>) {
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    let denied: Vec<_> = statuses
        .iter()
        .filter(|(_, status)| matches!(status, 408 | 421 | 429 | 503))
        .filter(|(id, _)| runs.get(*id).is_some_and(|runs| *runs > 0))
        .collect();
    assert!(
        twice.is_empty() && denied.is_empty(),
        "{what}: ran twice: {twice:?}; ran, but reported as not run: {denied:?}"
    );
}
