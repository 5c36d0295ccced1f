//! Splits a stream of server-sent events without interpreting them.
//!
//! Events are forwarded byte for byte. Only the boundaries and ids of events matter: a stream that
//! breaks within an event resumes after the last complete one.

use bytes::{Bytes, BytesMut};
use quick_error::quick_error;

/// The maximum length of an event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

quick_error! {
    /// An error from splitting a stream.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An event is too long.
        TooLong { display("an event has more than {} bytes", EVENT_BYTES_MAX) }
    }
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// The length of the buffer's prefix that is known to contain no end of an event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, including the empty line that ends it.
    ///
    /// # Errors
    ///
    /// Returns an error if more than 1 MiB is buffered without the end of an event.
    pub fn next_event(&mut self) -> Result<Option<Bytes>, Error> {
        let bytes = self.buffer.as_ref();
        for at in self.scanned..bytes.len() {
            let ended = bytes[..=at].ends_with(b"\n\n") || bytes[..=at].ends_with(b"\n\r\n");
            if ended {
                self.scanned = 0;
                return Ok(Some(self.buffer.split_to(at + 1).freeze()));
            }
        }
        self.scanned = bytes.len();
        if bytes.len() > EVENT_BYTES_MAX {
            return Err(Error::TooLong);
        }
        Ok(None)
    }

    /// Takes the bytes after the last complete event.
    pub fn remainder(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }
}

/// Returns the id of an event, if it has a numeric one.
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
