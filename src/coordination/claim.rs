//! Claims of idempotency keys, so that a call runs at most once.
//!
//! A claim is a record in the platform that is created under a name derived from the key, before
//! any byte goes to an upstream. Exactly one daemon's creation succeeds, and only that daemon may
//! dispatch. A claim never passes to another daemon unless its owner recorded that it did not
//! dispatch, so an owner that is paused for any time between claim and dispatch does no harm.

pub mod shard;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use strum::{Display, EnumString};
use tokio::time::Instant;

use crate::state::fleet::Fingerprint;
use crate::state::name;

/// How long a claim is kept.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Returns the name of the claim of an idempotency key: a SHA-256 digest in hexadecimal.
pub fn object_name(workspace: &name::Workspace, key: &str) -> String {
    let mut hasher = Sha256::new();
    // No workspace name contains a zero byte, so the pair has one encoding.
    hasher.update(workspace.as_str().as_bytes());
    hasher.update([0]);
    hasher.update(key.as_bytes());
    hex::encode(hasher.finalize())
}

/// The durable record of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Drawn for this request, so that its own claim can be told from any other.
    pub nonce: String,
    /// The host of the daemon that made the claim.
    pub host: name::Host,
    /// The incarnation of that daemon.
    pub incarnation: u64,
    /// What became of the call.
    pub state: State,
    /// The digest of the body.
    pub body: Fingerprint,
    /// When the claim was made, in milliseconds since the Unix epoch by the owner's clock.
    pub time_ms: u64,
}

/// What became of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The owner may have dispatched the call, or may yet do so.
    Claimed,
    /// The call was answered completely.
    Done {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The call surely did not run. The key may be claimed again.
    Released,
    /// The call was dispatched, and how far it ran is not known.
    Unknown,
}

/// How a claimed call ended at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// No byte was handed to an upstream, or each upstream that got one refused to run it.
    NotRun,
    /// The answer was complete.
    Completed {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// Anything else.
    Unknown,
}

impl Record {
    /// Returns the record to replace this one with when the call has ended.
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

    /// Returns whether the record need not be kept at `now_ms`.
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.time_ms);
        u128::from(age_ms) > RETENTION.as_millis()
    }

    /// Returns what a request with another nonce and this body meets here.
    fn meets(&self, body: &Fingerprint, owner_alive: bool) -> Option<Refusal> {
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
    /// The claim cannot be recorded or read in time. This request did not run.
    Unavailable,
    /// The key was used with another body. This request did not run.
    Mismatch,
    /// A request with this key is in progress.
    InProgress,
    /// A request with this key was answered with this HTTP status.
    Done(u16),
    /// A request with this key may have run. The key will not run again.
    Unknown,
}

impl Refusal {
    /// Returns whether the call may have run, by this request or by another with the same key.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::Unavailable | Self::Mismatch => false,
            Self::InProgress | Self::Done(_) | Self::Unknown => true,
        }
    }

    /// Returns the HTTP status for the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::Unavailable => 503,
            Self::Mismatch => 422,
            Self::InProgress | Self::Done(_) | Self::Unknown => 409,
        }
    }
}

/// What the daemon does next for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Creates the record, on condition that none exists.
    Create,
    /// Reads the record.
    Read,
    /// Replaces a released record, on condition that it has this version still.
    Replace(String),
    /// Dispatches the call.
    Dispatch,
    /// Refuses the call.
    Refuse(Refusal),
}

/// What the platform answered to the last step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The record was created or replaced.
    Written,
    /// The condition of the write does not hold.
    Conflict,
    /// The record that was read.
    Found(Found),
    /// No record exists.
    Missing,
    /// No answer came, or one that leaves open whether the write takes effect.
    Lost,
    /// The platform did not perform the call, and will not do so later.
    Rejected,
}

/// A record as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// The record.
    pub record: Record,
    /// The version for a conditional replacement.
    pub resource_version: String,
    /// Whether the daemon of the record's host and incarnation is known to be alive.
    pub owner_alive: bool,
}

/// The steps of one request towards its claim.
#[derive(Debug, Clone)]
pub struct Claimant {
    record: Record,
    give_up: Instant,
    step: Step,
    /// Whether a write of this claimant may take effect, or has.
    may_own: bool,
    /// Whether a record is known to exist whose owner was not read.
    exists: bool,
}

impl Claimant {
    /// Creates the claimant of a request that writes `record`, and dispatches before `give_up` or
    /// not at all.
    pub fn new(record: Record, give_up: Instant) -> Self {
        Self {
            record,
            give_up,
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

    /// Returns whether the request was refused while its claim may stand. The daemon then tries
    /// to replace its own record by a released one.
    pub fn is_to_release(&self) -> bool {
        self.may_own && matches!(self.step, Step::Refuse(_))
    }

    /// Takes the answer to the current step and returns the next one.
    ///
    /// After [`Step::Dispatch`] and [`Step::Refuse`] nothing changes any more.
    pub fn answered(&mut self, answer: Answer, now: Instant) -> &Step {
        let next = match &self.step {
            Step::Create | Step::Replace(_) => self.after_write(&answer),
            Step::Read => self.after_read(answer),
            Step::Dispatch | Step::Refuse(_) => return &self.step,
        };
        self.step = match next {
            Step::Refuse(refusal) => Step::Refuse(refusal),
            _ if now >= self.give_up => Step::Refuse(self.late()),
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
            // A lost creation may take effect later. Then the next one conflicts, and the nonce
            // shows whose record it is.
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
        match found.record.meets(&self.record.body, found.owner_alive) {
            Some(refusal) => Step::Refuse(refusal),
            None => Step::Replace(found.resource_version),
        }
    }

    /// Returns the refusal when time is up. A record that was not read may be of a call that ran.
    fn late(&self) -> Refusal {
        if self.exists {
            Refusal::Unknown
        } else {
            Refusal::Unavailable
        }
    }
}
