//! Requests that end the upstreams that run them.
//!
//! When an upstream dies, all requests that ran on it are suspects. A suspect runs alone, so that
//! a further death harms no other request and has one possible cause: the request is quarantined.
//! A suspect that completes is cleared.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::Display;
use tokio::time::Instant;

use crate::state::fleet::{Fingerprint, Fleet};
use crate::state::map::Map;

/// How long a suspicion lasts without a further death.
pub const SUSPICION_MAX: Duration = Duration::from_secs(15 * 60);

/// The largest number of suspects. Beyond it, the oldest are forgotten.
pub const SUSPECTS_MAX: usize = 4_096;

/// The largest number of quarantines that wait to become part of the configuration.
pub const PENDING_MAX: usize = 1_024;

/// Deaths after which a request that ran alone is quarantined.
pub const DEATHS_MAX: u32 = 2;

/// For how long a suspicion is reported to other daemons.
pub const REPORT_MAX: Duration = Duration::from_secs(5);

/// The largest number of reports in one message.
pub const REPORTS_MAX: usize = 64;

/// How long a quarantine that another daemon found is left to that daemon to be recorded.
pub const HEARD_PATIENCE: Duration = Duration::from_secs(8);

/// What is known of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// An upstream died while it ran the request, perhaps beside others.
    Suspect,
    /// The request must not run.
    Quarantined,
}

/// What a daemon tells others about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What is known of it.
    pub standing: Standing,
}

/// A suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspect {
    deaths: u32,
    last: Instant,
}

/// A quarantine that is not part of the configuration yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    /// When this daemon is to record it.
    due: Instant,
}

/// The suspected and newly quarantined requests.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: Map<Fingerprint, Suspect>,
    pending: Map<Fingerprint, Pending>,
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
                self.quarantine(fingerprint, now);
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
        fleet.quarantine.contains_key(fingerprint) || self.pending.contains_key(fingerprint)
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

    /// Returns what is known of a request here, if anything is.
    pub fn standing(&self, fingerprint: &str, now: Instant) -> Option<Standing> {
        if self.pending.contains_key(fingerprint) {
            return Some(Standing::Quarantined);
        }
        let suspect = self.is_suspect(fingerprint, now);
        suspect.then_some(Standing::Suspect)
    }

    /// Takes the report of another daemon; returns whether it was news.
    pub fn hear(&mut self, report: &Report, fleet: &Fleet, now: Instant) -> bool {
        let fingerprint = &report.fingerprint;
        if self.is_quarantined(fleet, fingerprint) {
            return false;
        }
        match report.standing {
            Standing::Suspect if self.is_suspect(fingerprint, now) => return false,
            Standing::Suspect => self.suspect(fingerprint, now),
            Standing::Quarantined => self.quarantine(fingerprint, now + HEARD_PATIENCE),
        }
        true
    }

    /// Returns what other daemons are to be told, the quarantines first.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let report = |fingerprint: Fingerprint, standing| Report {
            fingerprint,
            standing,
        };
        let pending = self.pending().into_iter();
        let mut reports: Vec<Report> = pending
            .map(|fingerprint| report(fingerprint, Standing::Quarantined))
            .collect();
        let young = self.suspects.iter();
        let young = young.filter(|(_, s)| now.saturating_duration_since(s.last) < REPORT_MAX);
        reports.extend(young.map(|(f, _)| report(f.clone(), Standing::Suspect)));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Returns the quarantines that this daemon is to make part of the configuration now.
    pub fn due(&self, now: Instant) -> Vec<Fingerprint> {
        let due = |f: &Fingerprint| self.pending.get(f).is_some_and(|p| p.due <= now);
        self.pending().into_iter().filter(due).collect()
    }

    /// Returns the quarantines that are not part of the configuration yet, in order.
    pub fn pending(&self) -> Vec<Fingerprint> {
        let mut pending: Vec<Fingerprint> = self.pending.keys().cloned().collect();
        pending.sort_unstable();
        pending
    }

    /// Forgets the pending quarantines that `fleet` contains.
    ///
    /// From then on the configuration decides, so that an operator can release a request.
    pub fn confirm(&mut self, fleet: &Fleet) {
        self.pending
            .retain(|f, _| !fleet.quarantine.contains_key(f));
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is suspected and no quarantine is pending.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.pending.is_empty()
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

    fn quarantine(&mut self, fingerprint: &Fingerprint, due: Instant) {
        // A released request starts without suspicion.
        self.suspects.remove(fingerprint);
        if self.pending.len() < PENDING_MAX {
            self.pending.insert(fingerprint.clone(), Pending { due });
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
