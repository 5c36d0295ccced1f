//! Gossip between daemons, sent as datagrams.
//!
//! Every message carries the sender's complete current state, so a lost datagram is superseded by
//! the next one.

use std::sync::Arc;

use bincode::config;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::coordination::watchers::Status;
use crate::state::occupancy::Report;

/// The maximum size of a datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// The magic number of this version of the format, at the start of every datagram.
const MAGIC: u32 = 0x7068_0003;

quick_error! {
    /// An error from encoding or decoding a [`Message`] or a
    /// [`Snapshot`](crate::protocol::snapshot::Snapshot).
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes cannot be decoded.
        Malformed(cause: String) { display("malformed message: {}", cause) }
        /// The bytes belong to another protocol or to another version of this one.
        Incompatible { display("not a gossip message of this version") }
    }
}

/// The versions of the platform state that a daemon has applied.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration.
    pub configuration: u64,
    /// The latest store revision among the changes to upstreams.
    pub upstreams: u64,
    /// The latest store revision among the changes to zones out of service.
    pub evacuations: u64,
}

impl Versions {
    /// Returns the field-wise maximum of both.
    #[must_use]
    pub fn merge(&self, other: &Self) -> Self {
        Self {
            configuration: self.configuration.max(other.configuration),
            upstreams: self.upstreams.max(other.upstreams),
            evacuations: self.evacuations.max(other.evacuations),
        }
    }

    /// Returns whether any field of `self` is newer than that of `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.configuration > other.configuration
            || self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
    }
}

/// The state that one daemon publishes to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The host of the sender.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The state of the sender's watch on the store.
    pub status: Status,
    /// The start time of the sender in milliseconds, and the number of the message since then.
    pub sequence: (u64, u64),
    /// The versions of the platform state that the sender has applied.
    pub versions: Versions,
    /// The load that the sender has placed on upstreams.
    pub report: Report,
    /// The upstreams that the sender avoids after failures.
    pub avoided: Vec<Arc<str>>,
    /// Fingerprints of requests that crashed upstreams, each with an id of the crash.
    pub crashes: Vec<(u64, u64)>,
}

impl Message {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        bincode::serde::encode_to_vec((MAGIC, self), config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))
    }
}

impl TryFrom<&[u8]> for Message {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        let limited = config::standard().with_limit::<DATAGRAM_BYTES_MAX>();
        let ((magic, message), _length): ((u32, Self), usize) =
            bincode::serde::decode_from_slice(bytes, limited)
                .map_err(|cause| Error::Malformed(cause.to_string()))?;
        if magic != MAGIC {
            return Err(Error::Incompatible);
        }
        Ok(message)
    }
}
