//! The limits that upstreams name in their answers.
//!
//! An upstream in need names the rate of requests that it takes from all daemons together, for as long
//! as its answers name it. Answers on different connections may overtake each other, so only an answer
//! to a request that was sent after the limit was last named shows that it has ended.

use std::time::Duration;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::state::occupancy::Key;

/// How long a daemon tells others of what an answer to one of its own requests said. Complete states
/// are at most a second apart.
pub const REPORT_TTL: Duration = Duration::from_millis(1500);

/// How long an upstream that names a limit is avoided. Then a request asks it again, or nobody would
/// learn that the limit has ended.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(2);

quick_error! {
    /// An error from a number that is no limit.
    #[derive(Debug, Clone, Copy, PartialEq)]
    pub enum Error {
        /// The number is negative, infinite or none.
        Invalid(rate: f64) { display("{} requests per second is no limit", rate) }
    }
}

/// A limit on the rate of requests to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Limit(f64);

impl Limit {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Limit {
    type Error = Error;

    fn try_from(rate: f64) -> Result<Self, Error> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(Self(rate))
        } else {
            Err(Error::Invalid(rate))
        }
    }
}

impl From<Limit> for f64 {
    fn from(limit: Limit) -> Self {
        limit.0
    }
}

/// What an answer says of its upstream's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Notice {
    /// The upstream has no limit.
    Unlimited,
    /// The upstream names a limit.
    Limited(Limit),
    /// The answer does not tell.
    Unknown,
}

/// What a daemon knows of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Record {
    /// The limit, or `None` if it has ended.
    pub limit: Option<Limit>,
    /// When the answer that told it arrived at a daemon.
    at: Instant,
    /// Whether it was an answer to a request of this daemon.
    is_own: bool,
}

/// What a daemon tells others of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: Key,
    /// The start time of its process in Unix milliseconds, or 0 if unknown.
    pub started_ms: u64,
    /// The limit, or `None` if it has ended.
    pub limit: Option<Limit>,
    /// The time since the answer that told it, in milliseconds.
    pub age_ms: u32,
}

impl Record {
    /// Returns what is known after an answer with `notice` to a request that was sent at `sent`.
    pub fn after_answer(
        known: Option<Self>,
        notice: Notice,
        sent: Instant,
        now: Instant,
    ) -> Option<Self> {
        let limit = match notice {
            Notice::Limited(limit) => Some(limit),
            // The upstream may have answered before it named the limit.
            Notice::Unlimited if known.is_some_and(|known| known.at <= sent) => None,
            Notice::Unlimited | Notice::Unknown => return known,
        };
        Some(Self {
            limit,
            at: now,
            is_own: true,
        })
    }

    /// Returns what is known after a report of another daemon.
    pub fn after_report(known: Option<Self>, report: &Report, now: Instant) -> Option<Self> {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let at = now.checked_sub(age).unwrap_or(now);
        if known.is_some_and(|known| known.at >= at) {
            return known;
        }
        Some(Self {
            limit: report.limit,
            at,
            is_own: false,
        })
    }

    /// Returns the report on this record for the process of an upstream that started at `started_ms`.
    pub fn report(&self, upstream: Key, started_ms: u64, now: Instant) -> Report {
        let age = now.saturating_duration_since(self.at);
        Report {
            upstream,
            started_ms,
            limit: self.limit,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns whether an answer has told this recently.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < CONFIRM_INTERVAL
    }

    /// Returns whether other daemons are told.
    pub fn is_reported(&self, now: Instant) -> bool {
        self.is_own && now.saturating_duration_since(self.at) <= REPORT_TTL
    }
}
