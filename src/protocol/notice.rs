//! What daemons tell each other in datagrams.
//!
//! A notice holds all that a daemon has to say at the moment, so that a lost one does no harm:
//! the next one replaces it.

use std::sync::Arc;

use bincode::config;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::coordination::watchers::Status;
use crate::state::occupancy::Report;

/// The largest datagram that is sent, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// Distinguishes notices of this version from other datagrams.
const MARK: u32 = 0x7068_0003;

quick_error! {
    /// Says why bytes are not a notice.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes cannot be decoded.
        Malformed(cause: String) { display("malformed notice: {}", cause) }
        /// The bytes belong to another protocol or version.
        Foreign { display("not a notice of this version") }
    }
}

/// How new a daemon's picture of the platform is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Horizon {
    /// The version of the configuration in force.
    pub configuration: u64,
    /// The newest revision among the changes to upstreams.
    pub upstreams: u64,
    /// The newest revision among the changes to zones out of service.
    pub evacuations: u64,
}

impl Horizon {
    /// Returns the newest of both, each part by itself.
    #[must_use]
    pub fn newest(&self, other: &Self) -> Self {
        Self {
            configuration: self.configuration.max(other.configuration),
            upstreams: self.upstreams.max(other.upstreams),
            evacuations: self.evacuations.max(other.evacuations),
        }
    }

    /// Returns whether `self` knows something that `other` does not.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.configuration > other.configuration
            || self.upstreams > other.upstreams
            || self.evacuations > other.evacuations
    }
}

/// What one daemon says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// The host of the daemon.
    pub host: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How it stands to the store.
    pub standing: Status,
    /// The start of the daemon, and the number of the notice.
    pub sequence: (u64, u64),
    /// How new its picture of the platform is.
    pub horizon: Horizon,
    /// The work that it gave to upstreams.
    pub report: Report,
    /// The upstreams that it avoids because they failed.
    pub avoided: Vec<Arc<str>>,
    /// Requests that upstreams died of, each with an id of the death.
    pub deaths: Vec<(u64, u64)>,
}

impl Notice {
    /// Encodes the notice.
    ///
    /// # Errors
    ///
    /// Returns an error if the notice cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        bincode::serde::encode_to_vec((MARK, self), config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))
    }
}

impl TryFrom<&[u8]> for Notice {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        let limited = config::standard().with_limit::<DATAGRAM_BYTES_MAX>();
        let ((mark, notice), _length): ((u32, Self), usize) =
            bincode::serde::decode_from_slice(bytes, limited)
                .map_err(|cause| Error::Malformed(cause.to_string()))?;
        if mark != MARK {
            return Err(Error::Foreign);
        }
        Ok(notice)
    }
}
