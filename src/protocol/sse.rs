//! A strict parser for the server-sent events of an engine.
//!
//! [`Parser`] splits a byte stream into events, regardless of how it arrives in pieces.
//! [`Sequence`] checks that the events belong to one attempt, in order and without gaps.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

use crate::protocol::openai::Chunk;

/// The maximum length of an event, in bytes.
pub const EVENT_BYTES_MAX: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// The event that ends a stream, as sent to callers.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

quick_error! {
    /// An error in a stream of events.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An event is longer than [`EVENT_BYTES_MAX`].
        TooLong { display("an event has more than {} bytes", EVENT_BYTES_MAX) }
        /// An event is not UTF-8.
        Encoding { display("an event is not UTF-8") }
        /// A line is neither a known field nor a comment.
        UnknownField { display("an event contains an unknown field") }
        /// The id of an event is not a number.
        InvalidId { display("the id of an event is not a number") }
        /// An event has an id but no data.
        MissingData { display("an event contains no data") }
        /// An event has no id or not the expected one.
        OutOfOrder(expected: u64, found: Option<u64>) {
            display("expected event {}, found {:?}", expected, found)
        }
        /// The data of an event is not a chunk of a completion.
        InvalidChunk { display("the data of an event is not a completion chunk") }
        /// A chunk belongs to another attempt.
        WrongAttempt { display("a chunk belongs to another attempt") }
        /// An event follows the last one of the stream.
        AfterEnd { display("an event follows the end of the stream") }
        /// The stream ended before a chunk with a finish reason.
        Truncated { display("the stream ended without a finish reason") }
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The id, if the event has one.
    pub id: Option<u64>,
    /// The data. Multiple lines are joined by a line feed.
    pub data: String,
    /// The event as received, including the empty line that ends it.
    pub raw: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// The length of the buffer's prefix that is known to contain no end of an event.
    scanned: usize,
}

impl Parser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long or malformed. The parser must not be used
    /// afterwards.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        loop {
            self.skip_blank_lines();
            let Some(length) = self.find_end() else {
                return check_length(self.buffer.len()).map(|()| None);
            };
            check_length(length)?;
            let raw = self.buffer.split_to(length).freeze();
            self.scanned = 0;
            if let Some(event) = parse(raw)? {
                return Ok(Some(event));
            }
        }
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn skip_blank_lines(&mut self) {
        while self.scanned == 0 {
            match self.buffer.as_ref() {
                [b'\n', ..] => self.buffer.advance(1),
                [b'\r', b'\n', ..] => self.buffer.advance(2),
                _ => return,
            }
        }
    }

    /// Returns the length of the first event, including the empty line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = self.buffer.as_ref();
        for at in self.scanned..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            match &bytes[at + 1..] {
                [b'\n', ..] => return Some(at + 2),
                [b'\r', b'\n', ..] => return Some(at + 3),
                _ => {}
            }
        }
        // The last three bytes may be the start of a terminator.
        self.scanned = bytes.len().saturating_sub(3);
        None
    }
}

fn check_length(length: usize) -> Result<(), Error> {
    if length > EVENT_BYTES_MAX {
        return Err(Error::TooLong);
    }
    Ok(())
}

/// Parses one event. Returns `None` if it consists only of comments or of ignored fields.
fn parse(raw: Bytes) -> Result<Option<Event>, Error> {
    let text = str::from_utf8(&raw).map_err(|_source| Error::Encoding)?;
    let mut id = None;
    let mut data: Option<String> = None;
    for line in text.lines().filter(|line| !line.is_empty()) {
        if line.starts_with(':') {
            continue;
        }
        let (field, value) = line.split_once(':').ok_or(Error::UnknownField)?;
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = Some(value.parse().map_err(|_source| Error::InvalidId)?),
            "data" => append(&mut data, value),
            "event" | "retry" => {}
            _ => return Err(Error::UnknownField),
        }
    }
    match (data, id) {
        (Some(data), id) => Ok(Some(Event { id, data, raw })),
        (None, Some(_)) => Err(Error::MissingData),
        (None, None) => Ok(None),
    }
}

fn append(data: &mut Option<String>, value: &str) {
    match data {
        Some(lines) => {
            lines.push('\n');
            lines.push_str(value);
        }
        None => *data = Some(value.to_owned()),
    }
}

/// The result of accepting an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A part of the answer, to be forwarded.
    Part {
        /// The position of the part, from zero.
        index: u64,
        /// The event as received.
        data: Bytes,
    },
    /// The stream is complete.
    Done,
}

/// Checks the events of one attempt, in order.
#[derive(Debug)]
pub struct Sequence {
    attempt: String,
    next: u64,
    finished: bool,
    done: bool,
}

impl Sequence {
    /// Creates a check of the events of `attempt`, starting at index `next`.
    pub fn new(attempt: &str, next: u64) -> Self {
        Self {
            attempt: attempt.to_owned(),
            next,
            finished: false,
            done: false,
        }
    }

    /// Returns the index of the next expected event.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns whether the stream is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Accepts the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is not the next one of the attempt.
    pub fn accept(&mut self, event: Event) -> Result<Step, Error> {
        if self.done {
            return Err(Error::AfterEnd);
        }
        if event.data == DONE {
            return self.accept_done(event.id);
        }
        if self.finished {
            return Err(Error::AfterEnd);
        }
        if event.id != Some(self.next) {
            return Err(Error::OutOfOrder(self.next, event.id));
        }
        let chunk = Chunk::try_from(event.data.as_str()).map_err(|_source| Error::InvalidChunk)?;
        if chunk.id != self.attempt {
            return Err(Error::WrongAttempt);
        }
        self.finished = chunk.is_last();
        let index = self.next;
        self.next += 1;
        Ok(Step::Part {
            index,
            data: event.raw,
        })
    }

    fn accept_done(&mut self, id: Option<u64>) -> Result<Step, Error> {
        if id.is_some() {
            return Err(Error::OutOfOrder(self.next, id));
        }
        if !self.finished {
            return Err(Error::Truncated);
        }
        self.done = true;
        Ok(Step::Done)
    }
}
