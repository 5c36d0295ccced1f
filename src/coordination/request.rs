//! The state machine of a request at its entry daemon, across all attempts.
//!
//! The machine receives events and returns the next action. It alone decides which outcome a caller
//! gets, so that the rule is implemented in one place: `not_run` is reported only if no attempt can
//! have run.

use std::time::Duration;

use strum::Display;
use tokio::time::Instant;

use crate::state::outcome::{Failure, Outcome, Reason};

/// How long resuming a broken stream is attempted. Engines keep a stream whose connection broke for
/// about this time.
pub const RESUME_GRACE: Duration = Duration::from_secs(10);

/// The progress of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Accepted from the caller; no attempt is in flight.
    Admitted,
    /// Sent to a holder, which has not yet confirmed that it dispatches the request.
    Queued,
    /// The holder dispatches the request to the upstream.
    Dispatched,
    /// At least one part of the answer was delivered.
    Streaming,
    /// The request is finished.
    Ended,
}

/// An input of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt is sent to a holder.
    Opened,
    /// The holder could not be reached and received no byte of the attempt.
    Unreachable,
    /// The holder dispatches the request to the upstream.
    Sent,
    /// The part of the answer with this index arrived.
    Part(u64),
    /// The holder reported that the answer is complete.
    End,
    /// The holder reported that the attempt failed.
    Failed(Failure),
    /// The exchange with the holder broke off without a final reply.
    Broken,
    /// No upstream can accept an attempt.
    Refused(Failure),
    /// The time returned by [`Request::next_timeout`] passed.
    Expired,
    /// The caller disconnected or stopped reading.
    CallerLeft,
}

/// An output of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Wait for the next event.
    Wait,
    /// Deliver the part to the caller.
    Deliver,
    /// Drop the part, which the caller already has.
    Discard,
    /// Try another upstream. Report the failure if that is not possible.
    Retry(Failure),
    /// Resume the stream at the same upstream from this part. Report the failure if that fails.
    Resume(u64, Failure),
    /// Tell the caller that the answer is complete.
    Finish,
    /// Tell the caller that the request failed.
    Fail(Failure),
    /// Abort the attempt without a report.
    Cancel,
}

/// A request and the state of its attempts.
#[derive(Debug, Clone)]
pub struct Request {
    state: State,
    deadline: Instant,
    /// The longest allowed time between two parts.
    idle_timeout: Duration,
    last_progress: Instant,
    repeatable: bool,
    /// Whether a broken stream can be resumed.
    resumable: bool,
    /// The index of the next part to deliver.
    next: u64,
    /// Whether an earlier attempt may have run.
    maybe_ran: bool,
    /// When the stream broke, if no part was delivered since.
    broken_since: Option<Instant>,
}

impl Request {
    /// Creates a request that is admitted at `now` and ends by `deadline`, with at most
    /// `idle_timeout` between two parts of its answer.
    pub fn new(now: Instant, deadline: Instant, idle_timeout: Duration) -> Self {
        Self {
            state: State::Admitted,
            deadline,
            idle_timeout,
            last_progress: now,
            repeatable: false,
            resumable: false,
            next: 0,
            maybe_ran: false,
            broken_since: None,
        }
    }

    /// Sets whether the request may run more than once.
    #[must_use]
    pub fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }

    /// Sets whether a broken stream can be resumed.
    #[must_use]
    pub fn resumable(mut self, resumable: bool) -> Self {
        self.resumable = resumable;
        self
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the index of the next part to deliver.
    pub fn next_part(&self) -> u64 {
        self.next
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns when [`Event::Expired`] is due if no other event comes first.
    pub fn next_timeout(&self) -> Instant {
        match self.state {
            State::Streaming => self.deadline.min(self.last_progress + self.idle_timeout),
            _ => self.deadline,
        }
    }

    /// Processes `event` and returns the next action.
    pub fn on_event(&mut self, event: Event, now: Instant) -> Action {
        if self.state == State::Ended {
            return Action::Cancel;
        }
        match event {
            Event::Opened => self.advance(State::Queued, now),
            Event::Sent => self.advance(State::Dispatched, now),
            Event::Part(index) => self.on_part(index, now),
            Event::End => self.end(Action::Finish),
            Event::Unreachable => self.on_failure(
                Failure::not_run(
                    Reason::Unavailable,
                    "the holder of the upstream cannot be reached",
                ),
                now,
            ),
            Event::Failed(failure) => self.on_failure(failure, now),
            Event::Broken => self.on_failure(exchange_broken(self.state), now),
            Event::Refused(failure) => self.fail(failure),
            Event::Expired => self.on_expired(now),
            Event::CallerLeft => self.end(Action::Cancel),
        }
    }

    /// Ends the request with `failure` because an [`Action::Retry`] or [`Action::Resume`] cannot be
    /// carried out.
    pub fn give_up(&mut self, failure: Failure) -> Action {
        self.fail(failure)
    }

    fn advance(&mut self, state: State, now: Instant) -> Action {
        // A resumed attempt is opened and sent again, but the request stays in `Streaming`.
        if self.next == 0 {
            self.state = state;
        }
        self.last_progress = now;
        Action::Wait
    }

    fn on_part(&mut self, index: u64, now: Instant) -> Action {
        if index < self.next {
            return Action::Discard;
        }
        if index > self.next {
            return self.fail(Failure::upstream_failed("a part of the answer is missing"));
        }
        self.next += 1;
        self.broken_since = None;
        self.state = State::Streaming;
        self.last_progress = now;
        Action::Deliver
    }

    fn on_failure(&mut self, failure: Failure, now: Instant) -> Action {
        let ran = failure.outcome != Outcome::NotRun;
        self.maybe_ran |= ran;
        if now >= self.deadline || !is_retryable(failure.reason) {
            return self.fail(failure);
        }
        if self.next > 0 {
            return self.resume_or_fail(failure, now);
        }
        if ran && !self.repeatable {
            return self.fail(failure);
        }
        self.state = State::Admitted;
        Action::Retry(self.with_overall_outcome(failure))
    }

    fn resume_or_fail(&mut self, failure: Failure, now: Instant) -> Action {
        let broken_since = *self.broken_since.get_or_insert(now);
        if !self.resumable || now >= broken_since + RESUME_GRACE {
            return self.fail(failure);
        }
        self.last_progress = now;
        Action::Resume(self.next, self.with_overall_outcome(failure))
    }

    fn on_expired(&mut self, now: Instant) -> Action {
        if now < self.deadline && self.state == State::Streaming {
            return self.on_failure(
                Failure::upstream_failed("the upstream stopped answering"),
                now,
            );
        }
        // A holder that received the attempt may have dispatched it without a confirmation.
        self.maybe_ran |= self.state != State::Admitted;
        self.fail(Failure {
            outcome: Outcome::NotRun,
            reason: Reason::Timeout,
            message: "the time limit of the request passed".to_owned(),
            retry_after_ms: None,
        })
    }

    fn end(&mut self, action: Action) -> Action {
        self.state = State::Ended;
        action
    }

    fn fail(&mut self, failure: Failure) -> Action {
        let failure = self.with_overall_outcome(failure);
        self.end(Action::Fail(failure))
    }

    /// Sets the outcome according to all attempts instead of only the last one.
    fn with_overall_outcome(&self, failure: Failure) -> Failure {
        let ran = self.maybe_ran || failure.outcome != Outcome::NotRun;
        let outcome = match (self.next, ran) {
            (1.., _) => Outcome::Incomplete,
            (0, true) => Outcome::Unknown,
            (0, false) => Outcome::NotRun,
        };
        Failure { outcome, ..failure }
    }
}

/// Returns whether a retry, possibly at another upstream, may succeed.
fn is_retryable(reason: Reason) -> bool {
    match reason {
        Reason::Overloaded | Reason::Unavailable | Reason::Draining | Reason::UpstreamFailed => {
            true
        }
        Reason::BadRequest
        | Reason::Unauthorized
        | Reason::NotFound
        | Reason::TooLarge
        | Reason::TooLong
        | Reason::Timeout
        | Reason::Quarantined
        | Reason::Duplicate
        | Reason::BodyMismatch
        | Reason::ClaimUnavailable
        | Reason::Cancelled => false,
    }
}

fn exchange_broken(state: State) -> Failure {
    Failure::upstream_failed(match state {
        State::Admitted | State::Queued => "the holder failed before it answered",
        _ => "the holder failed while the upstream answered",
    })
}
