//! Detects what crashes the upstreams that run it: a request, or a part of a prompt that many requests
//! share.
//!
//! Clients send such requests to any daemon, so daemons share the crashes that they record. A lost answer
//! alone proves nothing: it only makes a request and the parts of its prompt suspects, and a crash is
//! recorded if the upstream is found to be down soon after. All requests in flight on an upstream that
//! crashes are suspects. An answer absolves them: what causes crashes is never answered.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::Map;

/// Crashes after which a cause is quarantined. Fewer can be coincidence.
pub const CRASHES_MAX: usize = 3;

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(120);

/// The largest number of causes for which crashes are recorded.
const CAUSES_MAX: usize = 1024;

/// The largest number of records for one cause.
const RECORDS_MAX: usize = 32;

/// How long a crash or an absolution is reported to other daemons.
const REPORT_WINDOW: Duration = Duration::from_secs(4);

/// The largest number of causes that are reported at a time.
const REPORTED_MAX: usize = 32;

/// The largest number of events that are reported of a cause. More than are needed, since some count
/// as one.
const REPORTED_EVENTS_MAX: usize = 8;

/// How long after a lost answer the upstream must be found down for the request to be taken as the
/// cause.
const SUSPICION_WINDOW: Duration = Duration::from_secs(4);

/// The time within which crashes of one upstream are taken as one, which several daemons report. It
/// does not start again so soon.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

/// The time within which crashes of several upstreams are taken as one, as when a zone is lost. The
/// requests that ran there did not cause it.
const COMMON_CRASH_WINDOW: Duration = Duration::from_millis(100);

/// The largest number of suspects.
const SUSPECTS_MAX: usize = 512;

/// A request whose answer was lost, with what may have crashed its upstream.
#[derive(Debug, Clone)]
struct Suspect {
    causes: Vec<u64>,
    upstream: Arc<str>,
    event: Event,
}

/// A crash or an absolution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Event {
    at: Instant,
    /// Identifies the report. The upper half identifies the upstream.
    id: u64,
}

impl Event {
    fn upstream(self) -> u64 {
        self.id >> 32
    }
}

/// What is known of a possible cause.
#[derive(Debug, Default)]
struct History {
    crashes: Vec<Event>,
    absolutions: Vec<Event>,
}

impl History {
    /// Returns the number of crashes since the last absolution.
    fn count(&self, now: Instant) -> usize {
        let absolved = self.absolutions.iter().map(|event| event.at).max();
        let counts = |crash: &&Event| {
            now < crash.at + CRASH_TTL && absolved.is_none_or(|absolved| crash.at > absolved)
        };
        // Another daemon may have been told of them in another order, and must count the same.
        let mut crashes: Vec<&Event> = self.crashes.iter().filter(counts).collect();
        crashes.sort_by_key(|crash| (crash.at, crash.id));
        let mut counted: Vec<&Event> = Vec::new();
        for crash in crashes {
            let is_same = |other: &&Event| {
                let window = if other.upstream() == crash.upstream() {
                    SAME_CRASH_WINDOW
                } else {
                    COMMON_CRASH_WINDOW
                };
                let (first, second) = (crash.at.min(other.at), crash.at.max(other.at));
                second < first + window
            };
            if !counted.iter().any(is_same) {
                counted.push(crash);
            }
        }
        counted.len()
    }
}

/// A report on causes to other daemons: each with the id of a crash or an absolution, and how long ago
/// it was, in milliseconds.
pub type Report = Vec<(u64, u64, u32)>;

/// The causes of crashes, and the suspects.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: Vec<Suspect>,
    histories: Map<u64, History>,
}

impl Crashes {
    /// Records that an upstream crashed while it ran a request with `cause`. `id` identifies the report;
    /// its upper half identifies the upstream.
    pub fn record(&mut self, cause: u64, id: u64, now: Instant) {
        if !self.histories.contains_key(&cause) {
            self.expire(now);
            if self.histories.len() >= CAUSES_MAX {
                return;
            }
        }
        let history = self.histories.entry(cause).or_default();
        add(&mut history.crashes, id, now);
    }

    /// Records that `upstream` returned no complete answer to a request with `causes`. `id` identifies
    /// the lost answer; its upper half identifies the upstream. Returns whether this is the only suspect
    /// of the upstream.
    pub fn add_suspect(
        &mut self,
        causes: Vec<u64>,
        upstream: &Arc<str>,
        id: u64,
        now: Instant,
    ) -> bool {
        self.suspects
            .retain(|suspect| now < suspect.event.at + SUSPICION_WINDOW);
        let is_first = self
            .suspects
            .iter()
            .all(|suspect| suspect.upstream != *upstream);
        if self.suspects.len() < SUSPECTS_MAX {
            self.suspects.push(Suspect {
                causes,
                upstream: Arc::clone(upstream),
                event: Event { at: now, id },
            });
        }
        is_first
    }

    /// Returns whether `upstream` has suspects.
    pub fn has_suspects(&self, upstream: &str) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|suspect| suspect.upstream.as_ref() == upstream)
    }

    /// Records that `upstream` is down, and a crash for each of its recent suspects.
    pub fn upstream_down(&mut self, upstream: &str, now: Instant) {
        let (down, others) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|suspect: &Suspect| suspect.upstream.as_ref() == upstream);
        self.suspects = others;
        for suspect in down {
            if now < suspect.event.at + SUSPICION_WINDOW {
                for cause in suspect.causes {
                    self.record(cause, suspect.event.id, now);
                }
            }
        }
    }

    /// Records that `upstream` answered, which removes its suspects.
    pub fn upstream_answered(&mut self, upstream: &str) {
        self.suspects
            .retain(|suspect| suspect.upstream.as_ref() != upstream);
    }

    /// Records that a request with `causes` was answered, so that none of them caused a crash before.
    /// `id` identifies the answer.
    pub fn absolve(&mut self, causes: &[u64], id: u64, now: Instant) {
        for cause in causes {
            if let Some(history) = self.histories.get_mut(cause)
                && history.count(now) > 0
            {
                add(&mut history.absolutions, id, now);
            }
        }
    }

    /// Records what another daemon reports.
    pub fn apply(&mut self, crashes: &Report, absolutions: &Report, now: Instant) {
        let at = |age_ms: u32| {
            let age = Duration::from_millis(u64::from(age_ms));
            now.checked_sub(age).unwrap_or(now)
        };
        for (cause, id, age_ms) in crashes {
            self.record(*cause, *id, at(*age_ms));
        }
        for (cause, id, age_ms) in absolutions {
            self.absolve(&[*cause], *id, at(*age_ms));
        }
        self.expire(now);
    }

    /// Returns whether one of `causes` is quarantined, so that a request with it must not run.
    pub fn is_quarantined(&self, causes: &[u64], now: Instant) -> bool {
        let mut histories = causes.iter().filter_map(|cause| self.histories.get(cause));
        histories.any(|history| history.count(now) >= CRASHES_MAX)
    }

    /// Returns the recent crashes, and all of quarantined causes, to be reported to other daemons. A
    /// daemon that has just started learns from them what must not run. If there are too many, those
    /// of the causes with the most crashes are reported.
    pub fn recent(&self, now: Instant) -> Report {
        let mut histories: Vec<_> = self
            .histories
            .iter()
            .map(|(cause, history)| (Reverse(history.count(now)), cause, history))
            .filter(|(Reverse(count), _, _)| *count > 0)
            .collect();
        histories.sort_by_key(|(count, cause, _)| (*count, *cause));
        let reported = histories.into_iter().take(REPORTED_MAX);
        reported
            .flat_map(|(Reverse(count), cause, history)| {
                let window = if count >= CRASHES_MAX {
                    CRASH_TTL
                } else {
                    REPORT_WINDOW
                };
                report(*cause, &history.crashes, window, now)
            })
            .collect()
    }

    /// Returns the recent absolutions, to be reported to other daemons.
    pub fn recent_absolutions(&self, now: Instant) -> Report {
        let histories = self.histories.iter();
        histories
            .flat_map(|(cause, history)| report(*cause, &history.absolutions, REPORT_WINDOW, now))
            .take(REPORTED_MAX)
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        self.histories.retain(|_, history| {
            history.crashes.retain(|crash| now < crash.at + CRASH_TTL);
            !history.crashes.is_empty()
        });
    }
}

/// Adds an event that is not known yet. Of too many events, the oldest is dropped.
fn add(events: &mut Vec<Event>, id: u64, now: Instant) {
    if events.iter().any(|event| event.id == id) {
        return;
    }
    if events.len() >= RECORDS_MAX {
        events.remove(0);
    }
    events.push(Event { at: now, id });
}

/// Returns the newest events within `window`.
fn report(
    cause: u64,
    events: &[Event],
    window: Duration,
    now: Instant,
) -> impl Iterator<Item = (u64, u64, u32)> {
    let recent = events
        .iter()
        .rev()
        .filter(move |event| now < event.at + window);
    recent.take(REPORTED_EVENTS_MAX).map(move |event| {
        let age = now.saturating_duration_since(event.at);
        (cause, event.id, age.as_millis() as u32)
    })
}
