//! What a caller is told about a request that did not complete.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Says how far a request that did not complete may have got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// No byte was handed to an upstream, or the upstream itself refused the request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran, and only a part of its answer was delivered.
    Incomplete,
}

/// Why a request did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or opens no workspace.
    Unauthorized,
    /// No service of this name or model exists for the workspace.
    NotFound,
    /// The body or the headers are larger than allowed.
    TooLarge,
    /// No upstream has memory for the prompt, alone or with others.
    TooLong,
    /// The queue cannot serve the request within its time limit.
    Overloaded,
    /// No upstream of the service can be reached.
    Unavailable,
    /// The time limit passed.
    Timeout,
    /// The daemon shuts down.
    Draining,
    /// The request is quarantined because it ended upstreams that ran it.
    Quarantined,
    /// A request with the same idempotency key was accepted before.
    Duplicate,
    /// The idempotency key was used for a call with another body.
    BodyMismatch,
    /// The platform cannot record the claim of an idempotency key.
    ClaimUnavailable,
    /// The upstream failed while it ran the request.
    UpstreamFailed,
    /// The caller ended the request.
    Cancelled,
}

/// A refusal or failure, as it is reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// How far the request may have got.
    pub outcome: Outcome,
    /// Why it did not complete.
    pub reason: Reason,
    /// A sentence for the caller, without prompt text or keys.
    pub message: String,
    /// After how many milliseconds a retry makes sense, if it does.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure of a request of which no upstream ran anything.
    pub fn not_run(reason: Reason, message: &str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Returns a failure of a request that an upstream may have run.
    pub fn upstream_failed(message: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason: Reason::UpstreamFailed,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }
}
