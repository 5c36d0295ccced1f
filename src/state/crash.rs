//! Requests that ended the upstreams that ran them, by fingerprint.
//!
//! A client sends such a request again, to any daemon, so daemons tell each other what they saw.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// Deaths after which a request is refused. Fewer happen by chance to requests that run on an
/// upstream when it dies.
pub const DEATHS_MAX: usize = 3;

/// How long a death is remembered.
const MEMORY: Duration = Duration::from_secs(120);

/// The largest number of requests that are remembered.
const REQUESTS_MAX: usize = 1024;

/// How long a death is told to other daemons.
const TOLD: Duration = Duration::from_secs(4);

/// One death of an upstream while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Death {
    at: Instant,
    /// Tells deaths apart that several daemons report.
    id: u64,
}

/// The requests that upstreams died of.
#[derive(Debug, Default)]
pub struct Crashes {
    deaths: Map<u64, Vec<Death>>,
}

impl Crashes {
    /// Records that an upstream died while it ran the request; `id` is unique to the death.
    pub fn record(&mut self, fingerprint: u64, id: u64, now: Instant) {
        self.expire(now);
        if self.deaths.len() >= REQUESTS_MAX && !self.deaths.contains_key(&fingerprint) {
            return;
        }
        let deaths = self.deaths.entry(fingerprint).or_default();
        if deaths.iter().all(|death| death.id != id) {
            deaths.push(Death { at: now, id });
        }
    }

    /// Records that the request was answered, which clears it.
    pub fn clear(&mut self, fingerprint: u64) {
        self.deaths.remove(&fingerprint);
    }

    /// Returns whether the request must not run again.
    pub fn is_refused(&self, fingerprint: u64, now: Instant) -> bool {
        let deaths = self.deaths.get(&fingerprint);
        deaths.is_some_and(|deaths| {
            let fresh = deaths.iter().filter(|death| now < death.at + MEMORY);
            fresh.count() >= DEATHS_MAX
        })
    }

    /// Returns recent deaths with their ids, to be told to other daemons.
    pub fn recent(&self, now: Instant) -> Vec<(u64, u64)> {
        let all = self.deaths.iter();
        all.flat_map(|(fingerprint, deaths)| {
            let fresh = deaths.iter().filter(move |death| now < death.at + TOLD);
            fresh.map(|death| (*fingerprint, death.id))
        })
        .collect()
    }

    fn expire(&mut self, now: Instant) {
        self.deaths.retain(|_, deaths| {
            deaths.retain(|death| now < death.at + MEMORY);
            !deaths.is_empty()
        });
    }
}
