//! Callers of calls that must run once.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::platform::{Request, Response, receive};

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
