//! The outcome of a request that did not complete, as reported to its caller.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How far a request that did not complete may have progressed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// No byte was sent to an upstream, or the upstream itself rejected the request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// The request ran, but only a part of its answer was delivered.
    Incomplete,
}

/// Why a request did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The key is missing or belongs to no workspace.
    Unauthorized,
    /// No service with this name or model is available to the workspace.
    NotFound,
    /// The body or the headers are larger than allowed.
    TooLarge,
    /// No upstream, alone or with others, has enough memory for the prompt.
    TooLong,
    /// The queue cannot dispatch the request before its deadline.
    Overloaded,
    /// No upstream of the service is reachable.
    Unavailable,
    /// The time limit of the request passed.
    Timeout,
    /// The daemon is shutting down.
    Draining,
    /// The request is quarantined because it crashed upstreams that ran it.
    Quarantined,
    /// A request with the same idempotency key was already accepted.
    Duplicate,
    /// The idempotency key was already used with a different body.
    BodyMismatch,
    /// The platform cannot record the claim on the idempotency key.
    ClaimUnavailable,
    /// The upstream failed while it ran the request.
    UpstreamFailed,
    /// The caller cancelled the request.
    Cancelled,
}

/// A rejection or failure, as reported to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// How far the request may have progressed.
    pub outcome: Outcome,
    /// Why the request did not complete.
    pub reason: Reason,
    /// A description for the caller. Contains no prompt text or keys.
    pub message: String,
    /// The delay before a retry, in milliseconds, if a retry is worthwhile.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Creates a failure of a request that no upstream ran.
    pub fn not_run(reason: Reason, message: &str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that an upstream may have run.
    pub fn upstream_failed(message: &str) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason: Reason::UpstreamFailed,
            message: message.to_owned(),
            retry_after_ms: None,
        }
    }
}
