//! The life of a request at its entry daemon, over all attempts.
//!
//! The machine is told what happened and says what to do next. It decides alone what a caller is
//! told, so that the rule for outcomes stands in one place: `not_run` is said only when no
//! attempt can have run.

use std::time::Duration;

use strum::Display;
use tokio::time::Instant;

use crate::state::outcome::{Failure, Outcome, Reason};

/// For how long a broken stream is resumed before it is given up. Engines keep a stream whose
/// connection broke for about this time.
pub const RESUME_GRACE: Duration = Duration::from_secs(10);

/// How far a request has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Accepted from the caller; no attempt is under way.
    Admitted,
    /// Handed to a holder, which has not said that it sends the request.
    Queued,
    /// The holder sends the request to the upstream.
    Dispatched,
    /// A part of the answer was delivered.
    Streaming,
    /// Nothing more happens.
    Ended,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An attempt goes to a holder.
    Opened,
    /// The holder could not be reached and got no byte of the attempt.
    Unreachable,
    /// The holder sends the request to the upstream.
    Sent,
    /// A part of the answer arrived.
    Part(u64),
    /// The holder says that the answer is whole.
    End,
    /// The holder says that the attempt failed.
    Failed(Failure),
    /// The exchange with the holder ended without a last word.
    Broken,
    /// No upstream can take an attempt.
    Refused(Failure),
    /// The time of [`Request::limit`] came.
    Expired,
    /// The caller went away or stopped reading.
    Gone,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Wait for the next event.
    Wait,
    /// Hand the part on to the caller.
    Deliver,
    /// Drop the part: the caller has it already.
    Discard,
    /// Try another upstream; report the failure if none may be tried.
    Retry(Failure),
    /// Ask the same upstream for the rest from this part on; report the failure if that fails.
    Resume(u64, Failure),
    /// Tell the caller that the answer is whole.
    Finish,
    /// Tell the caller that the request failed.
    Fail(Failure),
    /// End the attempt without telling anyone.
    Cancel,
}

/// A request and what is known of its attempts.
#[derive(Debug, Clone)]
pub struct Request {
    state: State,
    deadline: Instant,
    /// The longest time between two parts.
    silence: Duration,
    progress: Instant,
    repeatable: bool,
    /// Whether a broken answer can be continued.
    resumable: bool,
    /// The next part that the caller lacks.
    next: u64,
    /// Whether some earlier attempt may have run.
    maybe_ran: bool,
    /// When the stream broke, unless a part was delivered since.
    broken: Option<Instant>,
}

impl Request {
    /// Creates a request that was admitted at `now` and ends by `deadline`.
    pub fn new(now: Instant, deadline: Instant, silence: Duration) -> Self {
        Self {
            state: State::Admitted,
            deadline,
            silence,
            progress: now,
            repeatable: false,
            resumable: false,
            next: 0,
            maybe_ran: false,
            broken: None,
        }
    }

    /// Lets the request run more than once.
    #[must_use]
    pub fn repeatable(mut self, repeatable: bool) -> Self {
        self.repeatable = repeatable;
        self
    }

    /// Lets a started answer be continued.
    #[must_use]
    pub fn resumable(mut self, resumable: bool) -> Self {
        self.resumable = resumable;
        self
    }

    /// Returns how far the request has got.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the next part that the caller lacks.
    pub fn next_part(&self) -> u64 {
        self.next
    }

    /// Returns the time limit of the request.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns until when the next event must come.
    pub fn limit(&self) -> Instant {
        match self.state {
            State::Streaming => self.deadline.min(self.progress + self.silence),
            _ => self.deadline,
        }
    }

    /// Takes note of `event` and says what to do.
    pub fn on(&mut self, event: Event, now: Instant) -> Action {
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
            Event::Broken => self.on_failure(broken(self.state), now),
            Event::Refused(failure) => self.fail(failure),
            Event::Expired => self.on_expired(now),
            Event::Gone => self.end(Action::Cancel),
        }
    }

    /// Ends the request with `failure`, when what [`Action::Retry`] or [`Action::Resume`] asked
    /// for cannot be done.
    pub fn give_up(&mut self, failure: Failure) -> Action {
        self.fail(failure)
    }

    fn advance(&mut self, state: State, now: Instant) -> Action {
        // A resumed attempt is opened and sent again while the answer streams.
        if self.next == 0 {
            self.state = state;
        }
        self.progress = now;
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
        self.broken = None;
        self.state = State::Streaming;
        self.progress = now;
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
        Action::Retry(self.judge(failure))
    }

    fn resume_or_fail(&mut self, failure: Failure, now: Instant) -> Action {
        let broken = *self.broken.get_or_insert(now);
        if !self.resumable || now >= broken + RESUME_GRACE {
            return self.fail(failure);
        }
        self.progress = now;
        Action::Resume(self.next, self.judge(failure))
    }

    fn on_expired(&mut self, now: Instant) -> Action {
        if now < self.deadline && self.state == State::Streaming {
            return self.on_failure(
                Failure::upstream_failed("the upstream stopped answering"),
                now,
            );
        }
        // A holder that was asked may have sent the request, even if it did not say so.
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
        let failure = self.judge(failure);
        self.end(Action::Fail(failure))
    }

    /// Sets the outcome by all that is known of the request, not of the last attempt alone.
    fn judge(&self, failure: Failure) -> Failure {
        let ran = self.maybe_ran || failure.outcome != Outcome::NotRun;
        let outcome = match (self.next, ran) {
            (1.., _) => Outcome::Incomplete,
            (0, true) => Outcome::Unknown,
            (0, false) => Outcome::NotRun,
        };
        Failure { outcome, ..failure }
    }
}

/// Returns whether another upstream or a later time may bring another result.
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

fn broken(state: State) -> Failure {
    Failure::upstream_failed(match state {
        State::Admitted | State::Queued => "the holder failed before it answered",
        _ => "the holder failed while the upstream answered",
    })
}
