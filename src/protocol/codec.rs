//! Encodes and decodes the frames of [`wire`](crate::protocol::wire).

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bytes::Bytes;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::wire::FRAME_BYTES_MAX;

/// The length of the prefix that holds a frame's length, in bytes.
pub const PREFIX_BYTES: usize = 4;

quick_error! {
    /// An error from encoding or decoding a frame.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The frame is longer than [`FRAME_BYTES_MAX`].
        Oversize(bytes: usize) {
            display("a frame has at most {} bytes, this one has {}", FRAME_BYTES_MAX, bytes)
        }
        /// The bytes are not a frame of this version, or the message cannot be encoded.
        Malformed(cause: String) {
            display("malformed frame: {}", cause)
        }
    }
}

const fn configuration() -> Configuration<LittleEndian, Varint, Limit<FRAME_BYTES_MAX>> {
    bincode::config::standard().with_limit::<FRAME_BYTES_MAX>()
}

/// Encodes `message`, prefixed with its length.
///
/// # Errors
///
/// Returns [`Error::Oversize`] if the frame is longer than [`FRAME_BYTES_MAX`], and
/// [`Error::Malformed`] if the message cannot be serialized.
pub fn encode<M>(message: &M) -> Result<Bytes, Error>
where
    M: Serialize,
{
    let mut buffer = vec![0; PREFIX_BYTES];
    bincode::serde::encode_into_std_write(message, &mut buffer, configuration())
        .map_err(|cause| Error::Malformed(cause.to_string()))?;
    let bytes = buffer.len() - PREFIX_BYTES;
    let prefix = checked_length(bytes)?;
    buffer[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(Bytes::from(buffer))
}

/// Decodes a frame from the bytes that follow its length prefix.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the bytes are not exactly one frame.
pub fn decode<M>(frame: &[u8]) -> Result<M, Error>
where
    M: DeserializeOwned,
{
    let (message, used) = bincode::serde::decode_from_slice(frame, configuration())
        .map_err(|cause| Error::Malformed(cause.to_string()))?;
    if used != frame.len() {
        return Err(Error::Malformed(format!(
            "{} bytes follow the message",
            frame.len() - used
        )));
    }
    Ok(message)
}

/// Decodes the length of the next frame.
///
/// # Errors
///
/// Returns [`Error::Oversize`] if the frame is longer than [`FRAME_BYTES_MAX`].
pub fn decode_length(prefix: [u8; PREFIX_BYTES]) -> Result<usize, Error> {
    let bytes = u32::from_be_bytes(prefix) as usize;
    checked_length(bytes)?;
    Ok(bytes)
}

fn checked_length(bytes: usize) -> Result<u32, Error> {
    if bytes > FRAME_BYTES_MAX {
        return Err(Error::Oversize(bytes));
    }
    Ok(bytes as u32)
}
