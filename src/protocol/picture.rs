//! What a daemon knows of the platform, for a daemon that does not follow the platform's store or
//! is turned away by it. It holds only the parts that the other daemon does not know.

use std::sync::Arc;

use bincode::config;
use serde::{Deserialize, Serialize};

use crate::protocol::notice::{Error, Horizon};
use crate::state::roster::Upstream;

/// The largest picture that is accepted, in bytes.
pub const PICTURE_BYTES_MAX: usize = 8 << 20;

/// A picture of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Picture {
    /// How new the picture is.
    pub horizon: Horizon,
    /// The configuration in force, in the format of the platform; empty if it is not newer.
    pub configuration: Arc<str>,
    /// The upstreams.
    pub upstreams: Option<Vec<Upstream>>,
    /// The zones out of service.
    pub evacuated: Option<Vec<Arc<str>>>,
}

impl Picture {
    /// Encodes the picture.
    ///
    /// # Errors
    ///
    /// Returns an error if the picture cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        bincode::serde::encode_to_vec(self, config::standard())
            .map_err(|cause| Error::Malformed(cause.to_string()))
    }
}

impl TryFrom<&[u8]> for Picture {
    type Error = Error;

    fn try_from(bytes: &[u8]) -> Result<Self, Error> {
        let limited = config::standard().with_limit::<PICTURE_BYTES_MAX>();
        let (picture, _length) = bincode::serde::decode_from_slice(bytes, limited)
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        Ok(picture)
    }
}
