//! Claims of idempotency keys, which make a call run at most once.
//!
//! A claim is a record created in the platform under a name derived from the key, before any byte
//! is sent to an upstream. Exactly one daemon's creation succeeds, and only that daemon may
//! dispatch the call. A claim passes to another daemon only if its owner recorded that it did not
//! dispatch, so the guarantee holds even if the owner is paused between claim and dispatch for an
//! arbitrary time.

pub mod shard;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};
use tokio::time::Instant;

use crate::state::fleet::Fingerprint;
use crate::state::name;

/// How long claims are retained.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Returns the name of the claim of an idempotency key: a SHA-256 digest in hexadecimal.
pub fn object_name(workspace: &name::Workspace, key: &str) -> String {
    let mut hasher = Sha256::new();
    // Workspace names contain no zero byte, so the encoding of the pair is unambiguous.
    hasher.update(workspace.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    hex::encode(hasher.finalize())
}

/// The durable record of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// A random value that identifies the request that made the claim.
    pub nonce: String,
    /// The host of the owner, the daemon that made the claim.
    pub host: name::Host,
    /// The incarnation of the owner.
    pub incarnation: u64,
    /// The state of the call.
    pub state: State,
    /// The digest of the request body.
    pub body: Fingerprint,
    /// The creation time by the owner's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// The state of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner may have dispatched the call or may still dispatch it.
    Claimed,
    /// The response was complete.
    Done {
        /// The HTTP status of the response.
        status: u16,
    },
    /// The call certainly did not run. The key may be claimed again.
    Released,
    /// The call was dispatched, but it is not known how far it ran.
    Unknown,
}

/// How a claimed call ended, from the owner's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// No byte was sent to an upstream, or every upstream that received one refused to run it.
    NotRun,
    /// The response was complete.
    Completed {
        /// The HTTP status of the response.
        status: u16,
    },
    /// Any other outcome.
    Unknown,
}

impl Record {
    /// Returns the record that replaces this one after the call has ended.
    #[must_use]
    pub fn ended(&self, end: End) -> Self {
        let state = match end {
            End::NotRun => State::Released,
            End::Completed { status } => State::Done { status },
            End::Unknown => State::Unknown,
        };
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns whether the record is older than [`RETENTION`] at `now_ms`.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.time_ms);
        u128::from(age_ms) > RETENTION.as_millis()
    }

    /// Returns why this record prevents a request with another nonce and the given body from
    /// running, or `None` if the record can be replaced.
    fn refusal_for(&self, body: &Fingerprint, owner_alive: bool) -> Option<Refusal> {
        match &self.state {
            State::Released => None,
            _ if self.body != *body => Some(Refusal::Mismatch),
            State::Done { status } => Some(Refusal::Done(*status)),
            State::Claimed if owner_alive => Some(Refusal::InProgress),
            State::Claimed | State::Unknown => Some(Refusal::Unknown),
        }
    }
}

/// Why a request may not be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The claim could not be recorded or read in time. This request did not run.
    Unavailable,
    /// The key was used with another body. This request did not run.
    Mismatch,
    /// A request with this key is in progress.
    InProgress,
    /// A request with this key has completed with this HTTP status.
    Done(u16),
    /// A request with this key may have run. The key cannot be used again.
    Unknown,
}

impl Refusal {
    /// Returns whether the call may have run, by this request or by another one with the same key.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Unavailable | Self::Mismatch => false,
            Self::InProgress | Self::Done(_) | Self::Unknown => true,
        }
    }

    /// Returns the HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Unavailable => 503,
            Self::Mismatch => 422,
            Self::InProgress | Self::Done(_) | Self::Unknown => 409,
        }
    }
}

/// The next step of a claim for the daemon to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Create the record on condition that none exists.
    Create,
    /// Read the record.
    Read,
    /// Replace a released record on condition that it still has this version.
    Replace(String),
    /// Dispatch the call.
    Dispatch,
    /// Refuse the call.
    Refuse(Refusal),
}

/// The platform's answer to a [`Step`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The record was created or replaced.
    Written,
    /// The condition of the write was not met.
    Conflict,
    /// The record was read.
    Found(Found),
    /// No record exists.
    Missing,
    /// No answer arrived, or one that does not tell whether the write takes effect.
    Lost,
    /// The platform did not perform the operation and will not do so later.
    Rejected,
}

/// A record that was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The record.
    pub record: Record,
    /// Its version, for a conditional replacement.
    pub resource_version: String,
    /// Whether the daemon with the record's host and incarnation is known to be alive.
    pub owner_alive: bool,
}

/// The state machine by which one request claims its key.
#[derive(Debug, Clone)]
pub struct Claimant {
    record: Record,
    deadline: Instant,
    step: Step,
    /// Whether a write of this claimant has taken effect or may still do so.
    may_own: bool,
    /// Whether a record that was not read is known to exist.
    exists: bool,
}

impl Claimant {
    /// Creates the claimant for a request that writes `record`. The claimant never returns
    /// [`Step::Dispatch`] at or after `deadline`.
    pub fn new(record: Record, deadline: Instant) -> Self {
        Self {
            record,
            deadline,
            step: Step::Create,
            may_own: false,
            exists: false,
        }
    }

    /// Returns the record to write.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the step to perform.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Returns whether the request was refused although its own record may exist. The daemon should
    /// then try to replace that record with a released one.
    pub fn needs_release(&self) -> bool {
        self.may_own && matches!(self.step, Step::Refuse(_))
    }

    /// Processes the answer to the current step and returns the next step.
    ///
    /// [`Step::Dispatch`] and [`Step::Refuse`] are final.
    pub fn handle_answer(&mut self, answer: Answer, now: Instant) -> &Step {
        let next = match &self.step {
            Step::Create | Step::Replace(_) => self.after_write(&answer),
            Step::Read => self.after_read(answer),
            Step::Dispatch | Step::Refuse(_) => return &self.step,
        };
        self.step = match next {
            Step::Refuse(refusal) => Step::Refuse(refusal),
            _ if now >= self.deadline => Step::Refuse(self.timeout_refusal()),
            next => next,
        };
        &self.step
    }

    fn after_write(&mut self, answer: &Answer) -> Step {
        match answer {
            Answer::Written => {
                self.may_own = true;
                Step::Dispatch
            }
            Answer::Lost => {
                self.may_own = true;
                Step::Read
            }
            Answer::Conflict => {
                self.exists = true;
                Step::Read
            }
            Answer::Found(_) | Answer::Missing => Step::Read,
            Answer::Rejected => self.step.clone(),
        }
    }

    fn after_read(&mut self, answer: Answer) -> Step {
        match answer {
            Answer::Found(found) => self.after_found(found),
            // An unanswered creation may take effect later. The next one then conflicts, and the
            // nonce identifies the owner of the record.
            Answer::Missing => {
                self.exists = false;
                Step::Create
            }
            Answer::Written | Answer::Conflict | Answer::Lost | Answer::Rejected => Step::Read,
        }
    }

    fn after_found(&mut self, found: Found) -> Step {
        self.exists = false;
        if found.record == self.record {
            self.may_own = true;
            return Step::Dispatch;
        }
        match found
            .record
            .refusal_for(&self.record.body, found.owner_alive)
        {
            Some(refusal) => Step::Refuse(refusal),
            None => Step::Replace(found.resource_version),
        }
    }

    /// Returns the refusal after the deadline. A record that was not read may belong to a call that
    /// ran.
    fn timeout_refusal(&self) -> Refusal {
        if self.exists {
            Refusal::Unknown
        } else {
            Refusal::Unavailable
        }
    }
}
