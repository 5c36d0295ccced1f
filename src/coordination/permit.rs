//! Permits for requests to upstreams that name a limit.
//!
//! The limit holds for all daemons together, and with many daemons it is less than a request a second
//! for each. One daemon per upstream therefore hands out its permits: the live one that ranks first by
//! [`rendezvous`](crate::coordination::rendezvous) hashing, which all daemons compute alike. If it
//! stops, the next one in rank takes over, without credit from before.
//!
//! Daemons that do not hear each other divide the limit: a daemon that hears at most half of the others
//! hands out less than the share of the daemons that it hears. So no more than one side of a partition
//! hands out the whole limit.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::map::Map;
use crate::state::occupancy::Key;
use crate::state::rate;

/// The time for which unused permits are saved up.
const BURST: Duration = Duration::from_millis(250);

/// The lowest rate at which permits are handed out, in requests per second. An upstream that takes
/// nothing still has to be asked whether that has ended.
const RATE_MIN: f64 = 0.25;

/// The fraction of its share that a daemon hands out which hears at most half of the others. The rest
/// covers the saved permits of both sides of a partition.
const MINORITY_FRACTION: f64 = 0.25;

/// The longest time for which permits are handed out in advance. Whoever takes over does not know of
/// these.
pub const ADVANCE_MAX: Duration = Duration::from_secs(1);

/// The longest time after which a request is told to ask again.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Asks another daemon for a permit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// The number of the query at its sender.
    pub number: u64,
    /// How long the request can wait until the permit is valid.
    pub patience: Duration,
    /// What the sender knows of the limit.
    pub limit: rate::Report,
}

/// The reply to a [`Query`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The number of the query.
    pub number: u64,
    /// The permit.
    pub permit: Permit,
}

/// The answer to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent after this time.
    Granted(Duration),
    /// No permit is valid within the time that the request can wait, or none is handed out that early; the
    /// next one is after this time.
    Denied(Duration),
}

impl Permit {
    /// Returns the permit, with the longest wait that a [`Ledger`] hands out if its own is longer.
    #[must_use]
    pub fn within_bounds(self) -> Self {
        match self {
            Self::Granted(wait) => Self::Granted(wait.min(ADVANCE_MAX)),
            Self::Denied(wait) => Self::Denied(wait.min(WAIT_MAX)),
        }
    }
}

/// A message between daemons on permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a permit.
    Query(Query),
    /// Replies to a query.
    Reply(Reply),
}

/// Returns the rate at which a daemon hands out the permits of an upstream that named `limit`, in
/// requests per second. It hears `heard` of `others` other daemons.
pub fn rate(limit: rate::Limit, heard: usize, others: usize) -> f64 {
    let rate = limit.per_second().max(RATE_MIN);
    if 2 * heard >= others {
        rate
    } else {
        rate * MINORITY_FRACTION * (heard + 1) as f64 / (others + 1) as f64
    }
}

/// The permits of one upstream.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// The permits that were handed out in advance; negative if some were saved up.
    ahead: f64,
    /// When `ahead` was determined.
    at: Instant,
    /// The rate since then.
    rate: f64,
}

/// The permits that this daemon hands out.
#[derive(Debug, Default)]
pub struct Ledger {
    buckets: Map<Key, Bucket>,
}

impl Ledger {
    /// Draws a permit for a request to `upstream`, which has permits at `rate` requests per second. The
    /// request can wait for `patience`. So requests queue here, in the order of their queries, and no
    /// longer than it is of use.
    pub fn draw(&mut self, upstream: Key, rate: f64, patience: Duration, now: Instant) -> Permit {
        let new = Bucket {
            ahead: 0.0,
            at: now,
            rate,
        };
        let bucket = self.buckets.entry(upstream).or_insert(new);
        let passed = now.saturating_duration_since(bucket.at);
        let saved_max = rate * BURST.as_secs_f64();
        bucket.ahead = (bucket.ahead - bucket.rate * passed.as_secs_f64()).max(-saved_max);
        bucket.at = now;
        bucket.rate = rate;
        let wait = Duration::try_from_secs_f64(bucket.ahead.max(0.0) / rate).unwrap_or(WAIT_MAX);
        if wait > patience.min(ADVANCE_MAX) {
            return Permit::Denied(wait.min(WAIT_MAX));
        }
        bucket.ahead += 1.0;
        Permit::Granted(wait)
    }

    /// Removes what is known of an upstream that no longer exists.
    pub fn remove(&mut self, upstream: Key) {
        self.buckets.remove(&upstream);
    }
}
