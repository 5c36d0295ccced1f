//! Which availability zones cannot reach each other, from requests that cross between them.
//!
//! A cut between zones shows as failures of several upstreams of one zone with no success among
//! them. Finding each of them out by a request of its own would use up the attempts of requests
//! that upstreams of other zones could serve. One upstream that fails says nothing about its zone.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::{Map, Set};

/// Upstreams of a zone that fail in a row before the hop there counts as cut.
const UPSTREAMS_MIN: usize = 2;

/// How long a hop counts as cut after the failure that showed it. Then one more failure renews it.
const CUT_FIRST: Duration = Duration::from_secs(1);

/// How long a hop counts as cut at most.
const CUT_MAX: Duration = Duration::from_secs(4);

/// How long failures are remembered that did not show a cut.
const MEMORY: Duration = Duration::from_secs(6);

/// Two availability zones, from the asking one to the asked one.
pub type Hop = (Arc<str>, Arc<str>);

#[derive(Debug, Clone)]
struct Record {
    /// The upstreams that failed since the last success.
    failed: Set<Arc<str>>,
    last: Instant,
    cut_until: Option<Instant>,
    pause: Duration,
}

/// The hops that count as cut.
#[derive(Debug, Clone, Default)]
pub struct Cuts(Set<Hop>);

impl Cuts {
    /// Returns whether the hop between the zones counts as cut.
    pub fn contains(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        !self.0.is_empty() && self.0.contains(&(Arc::clone(from), Arc::clone(to)))
    }
}

/// What is known of the hops between zones.
#[derive(Debug, Default)]
pub struct Paths {
    records: Map<Hop, Record>,
}

impl Paths {
    /// Takes in that a request over `hop` could not reach `upstream`.
    pub fn failed(&mut self, hop: &Hop, upstream: &Arc<str>, now: Instant) {
        if hop.0 == hop.1 {
            return;
        }
        let record = self
            .records
            .entry(hop.clone())
            .or_insert_with(|| Record::new(now));
        if now >= record.last + MEMORY {
            *record = Record::new(now);
        }
        record.last = now;
        record.failed.insert(Arc::clone(upstream));
        let lapsed = record.cut_until.is_none_or(|until| now >= until);
        if record.failed.len() >= UPSTREAMS_MIN && lapsed {
            record.cut_until = Some(now + record.pause);
            record.pause = (record.pause * 2).min(CUT_MAX);
        }
    }

    /// Takes in that a request over `hop` was answered.
    pub fn answered(&mut self, hop: &Hop) {
        self.records.remove(hop);
    }

    /// Returns the hops that count as cut at `now`.
    pub fn cuts(&self, now: Instant) -> Cuts {
        let cut = |record: &Record| record.cut_until.is_some_and(|until| now < until);
        let records = self.records.iter().filter(|(_, record)| cut(record));
        Cuts(records.map(|(hop, _)| hop.clone()).collect())
    }
}

impl Record {
    fn new(now: Instant) -> Self {
        Self {
            failed: Set::default(),
            last: now,
            cut_until: None,
            pause: CUT_FIRST,
        }
    }
}
