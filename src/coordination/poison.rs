//! Detection and quarantine of poison requests, which crash the upstreams that run them.
//!
//! When an upstream crashes, all requests that ran on it become suspects. A suspect runs alone, so
//! another crash affects no other request and has only one possible cause: the suspect is then
//! quarantined. A suspect that completes is cleared.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::Display;
use tokio::time::Instant;

use crate::state::fleet::{Fingerprint, Fleet};
use crate::state::map::Map;

/// How long a request stays a suspect after it last ran on an upstream that crashed.
pub const SUSPICION_AGE_MAX: Duration = Duration::from_secs(15 * 60);

/// The largest number of suspects. The oldest are evicted beyond it.
pub const SUSPECTS_MAX: usize = 4_096;

/// The largest number of quarantines that are not yet recorded in the configuration.
pub const PENDING_MAX: usize = 1_024;

/// The number of crashes after which a request that ran alone is quarantined.
pub const CRASHES_MAX: u32 = 2;

/// How long a suspect is reported to other daemons after the crash.
pub const REPORT_AGE_MAX: Duration = Duration::from_secs(5);

/// The largest number of reports in one message.
pub const REPORTS_MAX: usize = 64;

/// How long this daemon waits for another one to record a quarantine that the other one found.
pub const REMOTE_RECORD_DELAY: Duration = Duration::from_secs(8);

/// The state of a request that crashed an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// An upstream crashed while it ran the request, possibly along with others.
    Suspect,
    /// The request must not run.
    Quarantined,
}

/// What a daemon reports to others about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The state of the request.
    pub standing: Standing,
}

/// A suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Suspect {
    crashes: u32,
    last_crash: Instant,
}

/// A quarantine that is not yet recorded in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pending {
    /// When this daemon should record it.
    due: Instant,
}

/// Tracks suspected and newly quarantined requests.
#[derive(Debug, Default)]
pub struct Ledger {
    suspects: Map<Fingerprint, Suspect>,
    pending: Map<Fingerprint, Pending>,
}

impl Ledger {
    /// Records that an upstream crashed while it ran `running`.
    ///
    /// Returns the fingerprint to quarantine if it is the only possible cause of the crash. It
    /// counts as quarantined here at once; the caller records it in the configuration.
    pub fn upstream_crashed(
        &mut self,
        running: &[Fingerprint],
        now: Instant,
    ) -> Option<Fingerprint> {
        self.expire(now);
        let alone = running.len() == 1;
        for fingerprint in running {
            let crashes = self.add_crash(fingerprint, now);
            if alone && crashes >= CRASHES_MAX {
                self.quarantine(fingerprint, now);
                return Some(fingerprint.clone());
            }
        }
        self.evict_oldest();
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

    /// Records that a request completed. It is no longer a suspect.
    pub fn completed(&mut self, fingerprint: &str) {
        self.suspects.remove(fingerprint);
    }

    /// Records a suspect that another daemon reported.
    pub fn add_suspect(&mut self, fingerprint: &Fingerprint, now: Instant) {
        if !self.is_suspect(fingerprint, now) {
            self.add_crash(fingerprint, now);
            self.evict_oldest();
        }
    }

    /// Returns the state of a request, if this ledger contains it.
    pub fn standing(&self, fingerprint: &str, now: Instant) -> Option<Standing> {
        if self.pending.contains_key(fingerprint) {
            return Some(Standing::Quarantined);
        }
        let suspect = self.is_suspect(fingerprint, now);
        suspect.then_some(Standing::Suspect)
    }

    /// Merges the report of another daemon. Returns whether it changed anything.
    pub fn merge(&mut self, report: &Report, fleet: &Fleet, now: Instant) -> bool {
        let fingerprint = &report.fingerprint;
        if self.is_quarantined(fleet, fingerprint) {
            return false;
        }
        match report.standing {
            Standing::Suspect if self.is_suspect(fingerprint, now) => return false,
            Standing::Suspect => self.add_suspect(fingerprint, now),
            Standing::Quarantined => self.quarantine(fingerprint, now + REMOTE_RECORD_DELAY),
        }
        true
    }

    /// Returns the reports for other daemons, quarantines first.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let report = |fingerprint: Fingerprint, standing| Report {
            fingerprint,
            standing,
        };
        let pending = self.pending().into_iter();
        let mut reports: Vec<Report> = pending
            .map(|fingerprint| report(fingerprint, Standing::Quarantined))
            .collect();
        let recent = self.suspects.iter();
        let recent =
            recent.filter(|(_, s)| now.saturating_duration_since(s.last_crash) < REPORT_AGE_MAX);
        reports.extend(recent.map(|(f, _)| report(f.clone(), Standing::Suspect)));
        reports.truncate(REPORTS_MAX);
        reports
    }

    /// Returns the quarantines that this daemon should record in the configuration now.
    pub fn due(&self, now: Instant) -> Vec<Fingerprint> {
        let due = |f: &Fingerprint| self.pending.get(f).is_some_and(|p| p.due <= now);
        self.pending().into_iter().filter(due).collect()
    }

    /// Returns the quarantines that are not yet recorded in the configuration, sorted.
    pub fn pending(&self) -> Vec<Fingerprint> {
        let mut pending: Vec<Fingerprint> = self.pending.keys().cloned().collect();
        pending.sort_unstable();
        pending
    }

    /// Removes the pending quarantines that `fleet` contains.
    ///
    /// From then on only the configuration counts, so that an operator can release a request.
    pub fn confirm(&mut self, fleet: &Fleet) {
        self.pending
            .retain(|f, _| !fleet.quarantine.contains_key(f));
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects and no pending quarantines.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.pending.is_empty()
    }

    fn add_crash(&mut self, fingerprint: &Fingerprint, now: Instant) -> u32 {
        let new = Suspect {
            crashes: 0,
            last_crash: now,
        };
        let suspect = self.suspects.entry(fingerprint.clone()).or_insert(new);
        suspect.crashes += 1;
        suspect.last_crash = now;
        suspect.crashes
    }

    fn quarantine(&mut self, fingerprint: &Fingerprint, due: Instant) {
        // A request that an operator releases must not be a suspect.
        self.suspects.remove(fingerprint);
        if self.pending.len() < PENDING_MAX {
            self.pending.insert(fingerprint.clone(), Pending { due });
        }
    }

    fn expire(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
    }

    fn evict_oldest(&mut self) {
        while self.suspects.len() > SUSPECTS_MAX {
            let oldest = self.suspects.iter().min_by_key(|(f, s)| (s.last_crash, *f));
            let Some(fingerprint) = oldest.map(|(fingerprint, _)| fingerprint.clone()) else {
                return;
            };
            self.suspects.remove(&fingerprint);
        }
    }
}

impl Suspect {
    fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) >= SUSPICION_AGE_MAX
    }
}
