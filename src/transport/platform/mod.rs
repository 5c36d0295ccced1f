//! The client of the platform's object API.
//!
//! Calls are counted by kind. [`Error::Unreachable`] means that a call was not sent, while
//! [`Error::Lost`] means that it may have taken effect.

mod client;
mod connection;
mod counts;
mod endpoint;
pub mod target;
mod watch;

use std::time::Duration;

use quick_error::quick_error;

pub use client::Client;
pub use counts::{Call, Counts};
pub use endpoint::Endpoint;
pub use target::Target;
pub use watch::Watch;

/// The timeout for a call, including connecting.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of a response, in bytes.
pub const RESPONSE_BYTES_MAX: usize = 8 << 20;

quick_error! {
    /// An error from a call to the platform.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no doc comments on fields")]
    pub enum Error {
        /// The object already exists, or is not at the expected version.
        Conflict { operation: String } { display("platform: {}: conflict", operation) }
        /// The object does not exist.
        NotFound { operation: String } { display("platform: {}: not found", operation) }
        /// The version to watch from is too old.
        Gone { operation: String } { display("platform: {}: the version is too old", operation) }
        /// The platform rate-limited the call and did not perform it.
        RateLimited { operation: String, retry_after: Duration } {
            display("platform: {}: rate limited for {} ms", operation, retry_after.as_millis())
        }
        /// The call cannot be sent: it has no valid target.
        Invalid { operation: String, cause: String } {
            display("platform: {}: not a valid call: {}", operation, cause)
        }
        /// The call was not sent.
        Unreachable { operation: String, cause: String } {
            display("platform: {}: not sent: {}", operation, cause)
        }
        /// The call was sent, but no response was received; a write may have taken effect.
        Lost { operation: String, cause: String } {
            display("platform: {}: no response: {}", operation, cause)
        }
        /// The platform returned an error status; a write may have taken effect from status 500 on.
        Status { operation: String, status: u16 } {
            display("platform: {}: status {}", operation, status)
        }
        /// The response is malformed.
        Malformed { operation: String, cause: String } {
            display("platform: {}: malformed response: {}", operation, cause)
        }
    }
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    pub fn is_uncertain(&self) -> bool {
        match self {
            Self::Lost { .. } | Self::Malformed { .. } => true,
            Self::Status { status, .. } => *status >= 500,
            _ => false,
        }
    }
}
