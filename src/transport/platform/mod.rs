//! The client of the platform's object API.
//!
//! Calls are counted by kind. A call that failed before it was sent is told from one that may
//! have taken effect: only the latter is [`Error::Lost`].

mod client;
mod connection;
mod counts;
mod endpoint;
mod watch;

use std::time::Duration;

use quick_error::quick_error;

pub use client::Client;
pub use counts::{Call, Counts};
pub use endpoint::Endpoint;
pub use watch::Watch;

/// The time that a call may take, including its connection.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest accepted answer, in bytes.
pub const RESPONSE_BYTES_MAX: usize = 8 << 20;

quick_error! {
    /// Says which call failed, and how.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no doc comments on fields")]
    pub enum Error {
        /// The object exists already, or is no longer at the version that was to be replaced.
        Conflict { step: String } { display("platform: {}: conflict", step) }
        /// The object does not exist.
        NotFound { step: String } { display("platform: {}: not found", step) }
        /// The version to watch from is too old.
        Gone { step: String } { display("platform: {}: the version is too old", step) }
        /// The platform limits the rate of calls; the call was not performed.
        RateLimited { step: String, retry_after: Duration } {
            display("platform: {}: rate limited for {} ms", step, retry_after.as_millis())
        }
        /// The call was not sent.
        Unreachable { step: String, cause: String } {
            display("platform: {}: not sent: {}", step, cause)
        }
        /// The call was sent but not answered; a write may have taken effect.
        Lost { step: String, cause: String } {
            display("platform: {}: no answer: {}", step, cause)
        }
        /// The platform refused or failed; a write may have taken effect on a status of 500 or more.
        Status { step: String, status: u16 } {
            display("platform: {}: status {}", step, status)
        }
        /// The answer is malformed.
        Malformed { step: String, cause: String } {
            display("platform: {}: malformed answer: {}", step, cause)
        }
    }
}

impl Error {
    /// Returns whether a write that failed so may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        match self {
            Self::Lost { .. } | Self::Malformed { .. } => true,
            Self::Status { status, .. } => *status >= 500,
            _ => false,
        }
    }
}
