//! The encoding of gossip between daemons, which is sent as datagrams.

use bincode::config;
use quick_error::quick_error;

pub use crate::coordination::gossip::Datagram;

/// The maximum size of a datagram, in bytes.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// The magic number of this version of the format, at the start of every datagram.
const MAGIC: [u8; 2] = [0x70, 8];

quick_error! {
    /// An error from encoding or decoding a [`Datagram`] or a
    /// [`Snapshot`](crate::protocol::snapshot::Snapshot).
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The bytes cannot be decoded.
        Malformed(cause: String) { display("malformed message: {}", cause) }
        /// The bytes belong to another protocol or to another version of this one.
        Incompatible { display("not a gossip message of this version") }
        /// The message is too large for a datagram.
        TooLarge(bytes: usize) { display("a message of {} bytes is too large", bytes) }
    }
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or is larger than [`DATAGRAM_BYTES_MAX`].
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, Error> {
    let bytes = bincode::serde::encode_to_vec((MAGIC, datagram), config::standard())
        .map_err(|cause| Error::Malformed(cause.to_string()))?;
    if bytes.len() > DATAGRAM_BYTES_MAX {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are not a message of this version.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Error> {
    if !bytes.starts_with(&MAGIC) {
        return Err(Error::Incompatible);
    }
    let limited = config::standard().with_limit::<DATAGRAM_BYTES_MAX>();
    let ((_magic, datagram), _length): (([u8; 2], Datagram), usize) =
        bincode::serde::decode_from_slice(bytes, limited)
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
    Ok(datagram)
}
