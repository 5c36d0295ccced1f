//! Requests that ended the upstreams that ran them, by fingerprint.
//!
//! A client sends such a request again, to any daemon, so daemons tell each other what they saw.
//! A lost answer alone proves nothing: the request becomes a suspect, and a death is recorded only
//! if its upstream turns out to be down soon after.

use std::sync::Arc;
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

/// How long after a lost answer its upstream must be found down for the request to count as the
/// cause.
const SUSPICION: Duration = Duration::from_secs(4);

/// The largest number of suspects.
const SUSPECTS_MAX: usize = 512;

/// A request whose answer was lost.
#[derive(Debug, Clone)]
struct Suspect {
    fingerprint: u64,
    upstream: Arc<str>,
    death: Death,
}

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
    suspects: Vec<Suspect>,
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

    /// Records that `upstream` gave no whole answer to the request; `id` is unique to the loss.
    pub fn suspect(&mut self, fingerprint: u64, upstream: &Arc<str>, id: u64, now: Instant) {
        self.suspects
            .retain(|suspect| now < suspect.death.at + SUSPICION);
        if self.suspects.len() < SUSPECTS_MAX {
            self.suspects.push(Suspect {
                fingerprint,
                upstream: Arc::clone(upstream),
                death: Death { at: now, id },
            });
        }
    }

    /// Records that `upstream` is down: its suspects count as the cause.
    pub fn upstream_down(&mut self, upstream: &str, now: Instant) {
        let (down, others) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect: &Suspect| suspect.upstream.as_ref() == upstream);
        self.suspects = others;
        for suspect in down {
            if now < suspect.death.at + SUSPICION {
                self.record(suspect.fingerprint, suspect.death.id, now);
            }
        }
    }

    /// Records that `upstream` answered, which clears its suspects.
    pub fn upstream_answered(&mut self, upstream: &str) {
        self.suspects
            .retain(|suspect| suspect.upstream.as_ref() != upstream);
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
