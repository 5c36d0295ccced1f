//! Platform state passed from daemon to daemon, for a daemon that does not watch the platform's
//! store or that the store rejects. Only the parts that the requester lacks are included.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bincode::config;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::coordination::gossip::Info;
use crate::protocol::gossip::Error;
use crate::state::roster::Upstream;
use crate::state::versions::Versions;

/// The maximum size of an encoded snapshot, in bytes.
pub const SNAPSHOT_BYTES_MAX: usize = 8 << 20;

/// A configuration in the platform's format, compressed: thousands of routes take half a megabyte.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compressed(Arc<[u8]>);

impl Compressed {
    /// Compresses a configuration.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(lz4_flex::compress_prepend_size(text.as_bytes())))
    }

    /// Returns the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes cannot be decompressed, or to more than
    /// [`SNAPSHOT_BYTES_MAX`].
    pub fn text(&self) -> Result<String, Error> {
        let malformed = |cause: String| Error::Malformed(cause);
        let (length, _compressed) = lz4_flex::block::uncompressed_size(&self.0)
            .map_err(|cause| malformed(cause.to_string()))?;
        if length > SNAPSHOT_BYTES_MAX {
            return Err(malformed(format!("{length} bytes of configuration")));
        }
        let bytes = lz4_flex::decompress_size_prepended(&self.0)
            .map_err(|cause| malformed(cause.to_string()))?;
        String::from_utf8(bytes).map_err(|cause| malformed(cause.to_string()))
    }
}

/// A snapshot of the platform state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The versions of the platform state at the sender.
    pub versions: Versions,
    /// The configuration, or `None` if the requester's is up to date.
    pub configuration: Option<Compressed>,
    /// All upstreams, or `None` if the requester's list is up to date.
    pub upstreams: Option<Vec<Upstream>>,
    /// The upstreams whose entries are missing since an outage of the store, and for how long they
    /// are used nevertheless.
    pub missing: Vec<(Arc<str>, Duration)>,
    /// The zones out of service, or `None` if the requester's list is up to date.
    pub evacuated: Option<Vec<Arc<str>>>,
}

impl Snapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be encoded or is larger than [`SNAPSHOT_BYTES_MAX`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = bincode::serde::encode_to_vec(self, config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        if bytes.len() > SNAPSHOT_BYTES_MAX {
            return Err(Error::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Snapshot {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        decode(bytes).map(|(snapshot, _rest)| snapshot)
    }
}

/// What a daemon that starts without the platform's store needs besides the platform state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// The address, the host and the availability zone of each known daemon, the sender's included.
    pub members: Vec<(IpAddr, Arc<str>, Arc<str>)>,
    /// What the sender tells of itself.
    pub info: Info,
    /// How long ago the sender last heard from the store or another daemon.
    pub silence: Duration,
}

/// The response to a daemon that starts without the platform's store. Its encoding begins with that of the
/// snapshot, and what follows the fleet is ignored, so that it can be extended.
#[derive(Debug, Clone, PartialEq)]
pub struct Seed {
    /// The platform state.
    pub snapshot: Snapshot,
    /// The daemons and what they tell each other.
    pub fleet: Fleet,
}

impl Seed {
    /// Encodes the response.
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let mut bytes = self.snapshot.encode()?;
        let fleet = bincode::serde::encode_to_vec(&self.fleet, config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        bytes.extend(fleet);
        Ok(bytes)
    }
}

impl TryFrom<&[u8]> for Seed {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        let (snapshot, rest) = decode(bytes)?;
        let (fleet, _rest) = decode(rest)?;
        Ok(Self { snapshot, fleet })
    }
}

/// Decodes the value at the start of `bytes`; returns it with the bytes behind it.
fn decode<T>(bytes: &[u8]) -> Result<(T, &[u8]), Error>
where
    T: DeserializeOwned,
{
    let limited = config::standard().with_limit::<SNAPSHOT_BYTES_MAX>();
    let (value, length) = bincode::serde::decode_from_slice(bytes, limited)
        .map_err(|cause| Error::Malformed(cause.to_string()))?;
    Ok((value, bytes.get(length..).unwrap_or_default()))
}
