//! The events of a stream as bytes, split but not interpreted.
//!
//! Events are handed on as they were received. Only the end of an event and its id matter: a
//! stream that breaks in the middle of an event goes on after the last whole one.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// The longest accepted event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

quick_error! {
    /// Says why bytes are not events.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An event is too long.
        Long { display("an event has more than {} bytes", EVENT_BYTES_MAX) }
    }
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no end of an event was found.
    searched: usize,
}

impl Splitter {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event with the empty line that ends it, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, Error> {
        let bytes = self.buffer.as_ref();
        for at in self.searched..bytes.len() {
            let ended = bytes[..=at].ends_with(b"\n\n") || bytes[..=at].ends_with(b"\n\r\n");
            if ended {
                self.searched = 0;
                return Ok(Some(self.buffer.split_to(at + 1).freeze()));
            }
        }
        self.searched = bytes.len();
        if bytes.len() > EVENT_BYTES_MAX {
            return Err(Error::Long);
        }
        Ok(None)
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the id of an event, if it has one that is a number.
///
/// ```
/// # use primrosehoist::protocol::event::id;
/// assert_eq!(id(b"id: 12\ndata: x\n\n"), Some(12));
/// assert_eq!(id(b"data: x\n\n"), None);
/// ```
pub fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines
        .into_iter()
        .find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value).ok()?.trim().parse().ok()
}
