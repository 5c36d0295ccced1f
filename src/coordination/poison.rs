//! Requests that end the upstreams that run them.
//!
//! When an upstream dies, all requests that ran on it are suspects. A suspect runs alone, so that
//! a further death harms no other request and has one possible cause: the request is quarantined.
//! A suspect that completes is cleared.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::fleet::{Fingerprint, Fleet};
use crate::state::map::{Map, Set};

/// How long a suspicion lasts without a further death.
pub const SUSPICION_MAX: Duration = Duration::from_secs(15 * 60);

/// The largest number of suspects. Beyond it, the oldest are forgotten.
pub const SUSPECTS_MAX: usize = 4_096;

/// The largest number of quarantines that wait to become part of the configuration.
pub const PENDING_MAX: usize = 1_024;

/// Deaths after which a request that ran alone is quarantined.
pub const DEATHS_MAX: u32 = 2;

/// A suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspect {
    deaths: u32,
    last: Instant,
}

/// The suspected and newly quarantined requests.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: Map<Fingerprint, Suspect>,
    pending: Set<Fingerprint>,
}

impl Ledger {
    /// Records that an upstream died while it ran `running`.
    ///
    /// Returns the fingerprint to quarantine, if the death has this one possible cause. It counts
    /// as quarantined here at once; the caller makes it part of the configuration.
    pub fn upstream_died(&mut self, running: &[Fingerprint], now: Instant) -> Option<Fingerprint> {
        self.expire(now);
        let alone = running.len() == 1;
        for fingerprint in running {
            let deaths = self.add_death(fingerprint, now);
            if alone && deaths >= DEATHS_MAX {
                self.quarantine(fingerprint);
                return Some(fingerprint.clone());
            }
        }
        self.trim();
        None
    }

    /// Returns whether a request must run alone.
    pub fn is_suspect(&self, fingerprint: &str, now: Instant) -> bool {
        let suspect = self.suspects.get(fingerprint);
        suspect.is_some_and(|suspect| !suspect.is_expired(now))
    }

    /// Returns whether a request must not run.
    pub fn is_quarantined(&self, fleet: &Fleet, fingerprint: &str) -> bool {
        fleet.quarantine.contains_key(fingerprint) || self.pending.contains(fingerprint)
    }

    /// Records that a request completed, which clears it of suspicion.
    pub fn completed(&mut self, fingerprint: &str) {
        self.suspects.remove(fingerprint);
    }

    /// Records a suspicion that another daemon found.
    pub fn suspect(&mut self, fingerprint: &Fingerprint, now: Instant) {
        if !self.is_suspect(fingerprint, now) {
            self.add_death(fingerprint, now);
            self.trim();
        }
    }

    /// Returns the quarantines that are not part of the configuration yet, in order.
    pub fn pending(&self) -> Vec<Fingerprint> {
        let mut pending: Vec<Fingerprint> = self.pending.iter().cloned().collect();
        pending.sort_unstable();
        pending
    }

    /// Forgets the pending quarantines that `fleet` contains.
    ///
    /// From then on the configuration decides, so that an operator can release a request.
    pub fn confirm(&mut self, fleet: &Fleet) {
        self.pending.retain(|f| !fleet.quarantine.contains_key(f));
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn add_death(&mut self, fingerprint: &Fingerprint, now: Instant) -> u32 {
        let fresh = Suspect {
            deaths: 0,
            last: now,
        };
        let suspect = self.suspects.entry(fingerprint.clone()).or_insert(fresh);
        suspect.deaths += 1;
        suspect.last = now;
        suspect.deaths
    }

    fn quarantine(&mut self, fingerprint: &Fingerprint) {
        // A released request starts without suspicion.
        self.suspects.remove(fingerprint);
        if self.pending.len() < PENDING_MAX {
            self.pending.insert(fingerprint.clone());
        }
    }

    fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    fn trim(&mut self) {
        while self.suspects.len() > SUSPECTS_MAX {
            let oldest = self.suspects.iter().min_by_key(|(f, s)| (s.last, *f));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}

impl Suspect {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last) >= SUSPICION_MAX
    }
}
