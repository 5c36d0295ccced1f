//! Platform state passed from daemon to daemon, for a daemon that does not watch the platform's
//! store or that the store rejects. Only the parts that the requester lacks are included.

use std::sync::Arc;

use bincode::config;
use serde::{Deserialize, Serialize};

use crate::protocol::gossip::{Error, Versions};
use crate::state::roster::Upstream;

/// The maximum size of an encoded snapshot, in bytes.
pub const SNAPSHOT_BYTES_MAX: usize = 8 << 20;

/// A snapshot of the platform state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The versions of the platform state at the sender.
    pub versions: Versions,
    /// The configuration in the platform's format. Empty if the requester's is up to date.
    pub configuration: Arc<str>,
    /// All upstreams, or `None` if the requester's list is up to date.
    pub upstreams: Option<Vec<Upstream>>,
    /// The zones out of service, or `None` if the requester's list is up to date.
    pub evacuated: Option<Vec<Arc<str>>>,
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        bincode::serde::encode_to_vec(self, config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        let limited = config::standard().with_limit::<SNAPSHOT_BYTES_MAX>();
        let (snapshot, _length) = bincode::serde::decode_from_slice(bytes, limited)
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        Ok(snapshot)
    }
}
