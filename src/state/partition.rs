//! Detects network partitions between availability zones from the requests that cross them.
//!
//! A hop is considered partitioned when several upstreams of the target zone fail with no success
//! in between. Probing each of these upstreams with a request would use up the attempts of requests
//! that upstreams of other zones could serve. The failure of a single upstream says nothing about
//! its zone.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::map::{Map, Set};

/// Distinct upstreams of a zone that must fail in a row before the hop is considered partitioned.
const UPSTREAMS_MIN: usize = 2;

/// How long a hop is first considered partitioned. After that, one more failure renews the
/// partition.
const PARTITION_INITIAL: Duration = Duration::from_secs(1);

/// The longest time for which a hop is considered partitioned before it is tried again.
const PARTITION_MAX: Duration = Duration::from_secs(4);

/// How long after the last failure the record of a hop is kept.
const FAILURE_TTL: Duration = Duration::from_secs(6);

/// A directed pair of availability zones: the source and the target of a request.
pub type Hop = (Arc<str>, Arc<str>);

#[derive(Debug, Clone)]
struct Record {
    /// The upstreams that failed since the last success.
    failed: Set<Arc<str>>,
    last_failure: Instant,
    partitioned_until: Option<Instant>,
    /// How long the next partition lasts.
    backoff: Duration,
}

/// The hops that are considered partitioned.
#[derive(Debug, Clone, Default)]
pub struct Partitions(Set<Hop>);

impl Partitions {
    /// Returns whether the hop between the zones is considered partitioned.
    pub fn contains(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        !self.0.is_empty() && self.0.contains(&(Arc::clone(from), Arc::clone(to)))
    }
}

/// The recent failures on the hops between zones.
#[derive(Debug, Default)]
pub struct Detector {
    records: Map<Hop, Record>,
}

impl Detector {
    /// Records that a request over `hop` could not reach `upstream`.
    pub fn record_failure(&mut self, hop: &Hop, upstream: &Arc<str>, now: Instant) {
        if hop.0 == hop.1 {
            return;
        }
        let record = self
            .records
            .entry(hop.clone())
            .or_insert_with(|| Record::new(now));
        if now >= record.last_failure + FAILURE_TTL {
            *record = Record::new(now);
        }
        record.last_failure = now;
        record.failed.insert(Arc::clone(upstream));
        let expired = record.partitioned_until.is_none_or(|until| now >= until);
        if record.failed.len() >= UPSTREAMS_MIN && expired {
            record.partitioned_until = Some(now + record.backoff);
            record.backoff = (record.backoff * 2).min(PARTITION_MAX);
        }
    }

    /// Records that a request over `hop` was answered, which ends a partition.
    pub fn record_success(&mut self, hop: &Hop) {
        self.records.remove(hop);
    }

    /// Forgets the failures on all hops from `zone`.
    pub fn forget_from(&mut self, zone: &str) {
        self.records.retain(|(from, _), _| from.as_ref() != zone);
    }

    /// Returns the hops that are considered partitioned at `now`.
    pub fn partitions(&self, now: Instant) -> Partitions {
        let partitioned =
            |record: &Record| record.partitioned_until.is_some_and(|until| now < until);
        let records = self
            .records
            .iter()
            .filter(|(_, record)| partitioned(record));
        Partitions(records.map(|(hop, _)| hop.clone()).collect())
    }
}

impl Record {
    fn new(now: Instant) -> Self {
        Self {
            failed: Set::default(),
            last_failure: now,
            partitioned_until: None,
            backoff: PARTITION_INITIAL,
        }
    }
}
