//! Decides what follows a failed attempt: another attempt, or which failure the client gets.
//!
//! A client may safely repeat a call that must not run twice only if it learns that the call did
//! not run. Therefore a request counts as run as soon as any byte of it was sent to an upstream,
//! unless that upstream stated that it did not run it. No later attempt changes that.

use strum::Display;

/// The number of rejected attempts after which the client is told to retry later.
const REJECTIONS_MAX: u32 = 4;

/// The largest number of attempts that reach no upstream. Each takes only a few milliseconds while
/// the upstream's host is up, and when many upstreams restart at once the next one may still run.
const UNSENT_MAX: u32 = 10;

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection could not be established, or nothing was sent on it.
    Unsent,
    /// The upstream stated that it did not run the request.
    Rejected,
    /// The upstream responded with an error.
    Reported,
    /// The connection broke, or the answer was truncated, corrupt or timed out.
    Lost,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Decision {
    /// Try another upstream.
    Retry,
    /// Tell the client that the request did not run and when to retry.
    NotRun,
    /// Tell the client that the request may have run.
    Uncertain,
    /// Forward the error of the upstream to the client.
    PassOn,
}

/// Counts the attempts of one request.
#[derive(Debug, Clone)]
pub struct Failover {
    repeatable: bool,
    runs_max: u64,
    /// Attempts that may have run.
    runs: u64,
    rejections: u32,
    unsent: u32,
}

impl Failover {
    /// Creates the state of a request that may run on at most `runs_max` upstreams, and more than
    /// once only if `repeatable`.
    pub fn new(repeatable: bool, runs_max: u64) -> Self {
        Self {
            repeatable,
            runs_max: if repeatable { runs_max } else { 1 },
            runs: 0,
            rejections: 0,
            unsent: 0,
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the number of upstreams on which the request may still run.
    pub fn runs_left(&self) -> u64 {
        self.runs_max.saturating_sub(self.runs)
    }

    /// Records a failed attempt and returns what follows.
    ///
    /// `budget` draws on the retry budget and is called only if another attempt is possible. A
    /// retry after [`Failure::Unsent`] does not draw on the budget.
    pub fn on_failure<B>(&mut self, failure: Failure, budget: B) -> Decision
    where
        B: FnOnce() -> bool,
    {
        match failure {
            Failure::Unsent => self.unsent += 1,
            Failure::Rejected => self.rejections += 1,
            Failure::Reported | Failure::Lost => self.runs += 1,
        }
        let is_free = failure == Failure::Unsent;
        if self.has_attempts_left() && (is_free || budget()) {
            return Decision::Retry;
        }
        match failure {
            Failure::Reported => Decision::PassOn,
            _ if self.may_have_run() => Decision::Uncertain,
            _ => Decision::NotRun,
        }
    }

    fn has_attempts_left(&self) -> bool {
        let may_retry = self.repeatable || self.runs == 0;
        may_retry
            && self.runs < self.runs_max
            && self.rejections < REJECTIONS_MAX
            && self.unsent < UNSENT_MAX
    }
}
