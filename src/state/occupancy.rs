//! What runs on each upstream: exactly for the own requests, by report for those of other
//! daemons.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::Map;

/// How long the report of another daemon is used. A daemon that died takes its requests along.
pub const REPORT_MAX: Duration = Duration::from_millis(1500);

/// The longest pause between events for which a writer counts as [`Pace::Strict`].
pub const STRICT_PAUSE_MAX: Duration = Duration::from_millis(300);

/// The longest pause between events for which a writer counts as [`Pace::Even`].
pub const EVEN_PAUSE_MAX: Duration = Duration::from_millis(600);

/// How long a writing request may be held up between two events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pace {
    /// Reading on the same engine soon makes it late.
    Strict,
    /// Bears some reading.
    Even,
    /// Bears most reading.
    Loose,
}

impl From<Option<Duration>> for Pace {
    /// Returns the pace of a request that allows this pause; without one, nothing is late.
    fn from(pause: Option<Duration>) -> Self {
        match pause {
            Some(pause) if pause <= STRICT_PAUSE_MAX => Self::Strict,
            Some(pause) if pause <= EVEN_PAUSE_MAX => Self::Even,
            _ => Self::Loose,
        }
    }
}

/// The work on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Requests that were sent and have not ended, by [`Pace`].
    pub counts: [u32; 3],
    /// The weights of the requests by [`Pace`]: what is lost if they are late.
    pub weights: [f32; 3],
    /// The time to read the prompts whose first event has not come.
    pub reading_ms: f32,
    /// Tokens of prompts and answers in memory.
    pub memory_tokens: u32,
    /// Requests that other daemons sent in the last second.
    pub recent: u32,
}

impl Work {
    fn add(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        for (weight, more) in self.weights.iter_mut().zip(other.weights) {
            *weight += more;
        }
        self.reading_ms += other.reading_ms;
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
        self.recent += other.recent;
    }

    fn subtract(&mut self, other: &Self) {
        for (count, less) in self.counts.iter_mut().zip(other.counts) {
            *count = count.saturating_sub(less);
        }
        for (weight, less) in self.weights.iter_mut().zip(other.weights) {
            *weight = (*weight - less).max(0.0);
        }
        self.reading_ms = (self.reading_ms - other.reading_ms).max(0.0);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
        self.recent = self.recent.saturating_sub(other.recent);
        for (weight, count) in self.weights.iter_mut().zip(self.counts) {
            if count == 0 {
                *weight = 0.0;
            }
        }
    }

    fn is_none(&self) -> bool {
        self.running() == 0 && self.reading_ms < 0.01 && self.recent == 0
    }

    /// Returns the number of requests.
    pub fn running(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns the number of requests of one pace.
    pub fn count(&self, pace: Pace) -> u32 {
        self.counts[pace as usize]
    }

    /// Returns the weight of the requests of one pace.
    pub fn weight(&self, pace: Pace) -> f64 {
        f64::from(self.weights[pace as usize])
    }
}

/// The work that one request puts on one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// How long the request may be held up; nothing for a helper, which only reads.
    pub pace: Option<Pace>,
    /// What is lost if the request is late.
    pub weight: f32,
    /// The time to read its part of the prompt.
    pub reading_ms: f32,
    /// Tokens that it keeps in memory there.
    pub memory_tokens: u32,
}

impl Load {
    fn work(&self) -> Work {
        let mut work = Work {
            reading_ms: self.reading_ms,
            memory_tokens: self.memory_tokens,
            ..Work::default()
        };
        if let Some(pace) = self.pace {
            work.counts[pace as usize] = 1;
            work.weights[pace as usize] = self.weight;
        }
        work
    }

    fn reading(&self) -> Work {
        Work {
            reading_ms: self.reading_ms,
            ..Work::default()
        }
    }
}

/// What one daemon says of its own requests.
pub type Report = Vec<(Arc<str>, Work)>;

#[derive(Debug, Default)]
struct Heard {
    at: Option<Instant>,
    sequence: (u64, u64),
    work: Map<Arc<str>, Work>,
}

/// The work on all upstreams.
#[derive(Debug, Default)]
pub struct Occupancy {
    own: Map<Arc<str>, Work>,
    /// The sum of what other daemons reported.
    others: Map<Arc<str>, Work>,
    heard: Map<Arc<str>, Heard>,
}

impl Occupancy {
    /// Records a request that is sent to `upstream`.
    pub fn begin(&mut self, upstream: &Arc<str>, load: &Load) {
        self.own
            .entry(Arc::clone(upstream))
            .or_default()
            .add(&load.work());
    }

    /// Records that the upstream has read the prompt.
    pub fn read(&mut self, upstream: &str, load: &Load) {
        if let Some(work) = self.own.get_mut(upstream) {
            work.subtract(&load.reading());
        }
    }

    /// Records the end of a request whose prompt was read, or was not if `reading`.
    pub fn end(&mut self, upstream: &str, load: &Load, reading: bool) {
        let Some(work) = self.own.get_mut(upstream) else {
            return;
        };
        let mut rest = load.work();
        if !reading {
            rest.reading_ms = 0.0;
        }
        work.subtract(&rest);
        if work.is_none() {
            self.own.remove(upstream);
        }
    }

    /// Returns the own requests, to be told to other daemons. `recent` names the requests of the
    /// last second by upstream.
    pub fn report(&self, recent: Vec<(Arc<str>, u32)>) -> Report {
        let mut report = self.own.clone();
        for (id, count) in recent {
            report.entry(id).or_default().recent = count;
        }
        report.into_iter().collect()
    }

    /// Takes in what another daemon reports. `sequence` is the start of that daemon and the
    /// number of its report; an older report than the last one is ignored.
    pub fn hear(&mut self, daemon: &Arc<str>, sequence: (u64, u64), report: Report, now: Instant) {
        let heard = self.heard.entry(Arc::clone(daemon)).or_default();
        if heard.at.is_some() && sequence <= heard.sequence {
            return;
        }
        let work = report.into_iter().collect();
        let before = std::mem::replace(&mut heard.work, work);
        heard.at = Some(now);
        heard.sequence = sequence;
        subtract_all(&mut self.others, &before);
        for (id, work) in &heard.work {
            self.others.entry(Arc::clone(id)).or_default().add(work);
        }
    }

    /// Forgets the reports of daemons that fell silent.
    pub fn expire(&mut self, now: Instant) {
        for heard in self.heard.values_mut() {
            if heard.at.is_some_and(|at| at + REPORT_MAX < now) {
                heard.at = None;
                subtract_all(&mut self.others, &std::mem::take(&mut heard.work));
            }
        }
    }

    /// Returns the work on `upstream`, as far as it is known.
    pub fn work(&self, upstream: &str) -> Work {
        let mut work = self.own.get(upstream).copied().unwrap_or_default();
        if let Some(others) = self.others.get(upstream) {
            work.add(others);
        }
        work
    }
}

fn subtract_all(sum: &mut Map<Arc<str>, Work>, parts: &Map<Arc<str>, Work>) {
    for (id, work) in parts {
        let Some(total) = sum.get_mut(id) else {
            continue;
        };
        total.subtract(work);
        if total.is_none() {
            sum.remove(id);
        }
    }
}
