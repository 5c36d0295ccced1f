//! Detects requests that crash the upstreams that run them, by fingerprint.
//!
//! Clients resend such a request to any daemon, so daemons share the crashes that they record. A
//! lost answer alone proves nothing: it only makes the request a suspect, and a crash is recorded
//! if the upstream is found to be down soon after.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// Crashes after which a request is quarantined. Fewer can be coincidence: every request in flight
/// on an upstream that crashes is a suspect.
pub const CRASHES_MAX: usize = 3;

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(120);

/// The largest number of requests for which crashes are recorded.
const REQUESTS_MAX: usize = 1024;

/// How long a crash is reported to other daemons.
const REPORT_WINDOW: Duration = Duration::from_secs(4);

/// How long after a lost answer the upstream must be found down for the request to be taken as the
/// cause.
const SUSPICION_WINDOW: Duration = Duration::from_secs(4);

/// The largest number of suspects.
const SUSPECTS_MAX: usize = 512;

/// A request whose answer was lost and that may have crashed its upstream.
#[derive(Debug, Clone)]
struct Suspect {
    fingerprint: u64,
    upstream: Arc<str>,
    crash: Crash,
}

/// A crash of an upstream while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Crash {
    at: Instant,
    /// Identifies the crash, since several daemons may report it.
    id: u64,
}

/// The requests that crashed upstreams, and the suspects.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: Vec<Suspect>,
    crashes: Map<u64, Vec<Crash>>,
}

impl Crashes {
    /// Records that an upstream crashed while it ran the request. `id` is unique to the crash.
    pub fn record(&mut self, fingerprint: u64, id: u64, now: Instant) {
        self.expire(now);
        if self.crashes.len() >= REQUESTS_MAX && !self.crashes.contains_key(&fingerprint) {
            return;
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if crashes.iter().all(|crash| crash.id != id) {
            crashes.push(Crash { at: now, id });
        }
    }

    /// Records that `upstream` returned no complete answer to the request. `id` is unique to the
    /// lost answer.
    pub fn add_suspect(&mut self, fingerprint: u64, upstream: &Arc<str>, id: u64, now: Instant) {
        self.suspects
            .retain(|suspect| now < suspect.crash.at + SUSPICION_WINDOW);
        if self.suspects.len() < SUSPECTS_MAX {
            self.suspects.push(Suspect {
                fingerprint,
                upstream: Arc::clone(upstream),
                crash: Crash { at: now, id },
            });
        }
    }

    /// Records that `upstream` is down, and a crash for each of its recent suspects.
    pub fn upstream_down(&mut self, upstream: &str, now: Instant) {
        let (down, others) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect: &Suspect| suspect.upstream.as_ref() == upstream);
        self.suspects = others;
        for suspect in down {
            if now < suspect.crash.at + SUSPICION_WINDOW {
                self.record(suspect.fingerprint, suspect.crash.id, now);
            }
        }
    }

    /// Records that `upstream` answered, which removes its suspects.
    pub fn upstream_answered(&mut self, upstream: &str) {
        self.suspects
            .retain(|suspect| suspect.upstream.as_ref() != upstream);
    }

    /// Records that the request was answered, which removes its crashes.
    pub fn clear(&mut self, fingerprint: u64) {
        self.crashes.remove(&fingerprint);
    }

    /// Returns whether the request is quarantined and must not run again.
    pub fn is_quarantined(&self, fingerprint: u64, now: Instant) -> bool {
        let crashes = self.crashes.get(&fingerprint);
        crashes.is_some_and(|crashes| {
            let fresh = crashes.iter().filter(|crash| now < crash.at + CRASH_TTL);
            fresh.count() >= CRASHES_MAX
        })
    }

    /// Returns the fingerprint and id of each recent crash, to be reported to other daemons.
    pub fn recent(&self, now: Instant) -> Vec<(u64, u64)> {
        let requests = self.crashes.iter();
        requests
            .flat_map(|(fingerprint, crashes)| {
                let fresh = crashes
                    .iter()
                    .filter(move |crash| now < crash.at + REPORT_WINDOW);
                fresh.map(|crash| (*fingerprint, crash.id))
            })
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|crash| now < crash.at + CRASH_TTL);
            !crashes.is_empty()
        });
    }
}
