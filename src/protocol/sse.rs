//! Server-sent events of an engine, parsed strictly.
//!
//! [`Parser`] splits bytes into events, wherever they were cut on the way. [`Sequence`] checks
//! that the events are those of one attempt, in order and without a gap.

use bytes::{Buf, Bytes, BytesMut};
use quick_error::quick_error;

use crate::protocol::openai::Chunk;

/// The longest accepted event, in bytes.
pub const EVENT_BYTES_MAX: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// The event that ends a stream, as it is sent to a caller.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

quick_error! {
    /// Says why bytes are not the expected stream.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// An event is longer than [`EVENT_BYTES_MAX`].
        Long { display("an event has more than {} bytes", EVENT_BYTES_MAX) }
        /// An event is not UTF-8.
        Encoding { display("an event is not UTF-8") }
        /// A line is neither a known field nor a comment.
        Field { display("an event holds an unknown field") }
        /// The id is not a number.
        Id { display("the id of an event is not a number") }
        /// An event holds no data.
        Empty { display("an event holds no data") }
        /// An event has no id, or another one than the next.
        Order(expected: u64, found: Option<u64>) {
            display("expected event {}, found {:?}", expected, found)
        }
        /// The data is not a chunk of a completion.
        Chunk { display("the data of an event is not a chunk") }
        /// The chunk belongs to another attempt.
        Crossed { display("a chunk belongs to another attempt") }
        /// An event came after the last one.
        Late { display("an event follows the end of the stream") }
        /// The stream ended before its last event.
        Unfinished { display("the stream ended without its finish reason") }
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// The id, if the event has one.
    pub id: Option<u64>,
    /// The data; several lines are joined by a line feed.
    pub data: String,
    /// The event as it was received, with the empty line that ends it.
    pub raw: Bytes,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no end of an event was found.
    searched: usize,
}

impl Parser {
    /// Adds bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error for an event that is too long or malformed. The parser is of no use
    /// after that.
    pub fn next_event(&mut self) -> Result<Option<Event>, Error> {
        loop {
            self.skip_blank_lines();
            let Some(length) = self.find_end() else {
                return check_length(self.buffer.len()).map(|()| None);
            };
            check_length(length)?;
            let raw = self.buffer.split_to(length).freeze();
            self.searched = 0;
            if let Some(event) = parse(raw)? {
                return Ok(Some(event));
            }
        }
    }

    /// Returns whether bytes of an event that is not whole are left.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn skip_blank_lines(&mut self) {
        while self.searched == 0 {
            match self.buffer.as_ref() {
                [b'\n', ..] => self.buffer.advance(1),
                [b'\r', b'\n', ..] => self.buffer.advance(2),
                _ => return,
            }
        }
    }

    /// Returns the length of the first event with the empty line that ends it.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = self.buffer.as_ref();
        for at in self.searched..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            match &bytes[at + 1..] {
                [b'\n', ..] => return Some(at + 2),
                [b'\r', b'\n', ..] => return Some(at + 3),
                _ => {}
            }
        }
        // The last three bytes may be the start of the end.
        self.searched = bytes.len().saturating_sub(3);
        None
    }
}

fn check_length(length: usize) -> Result<(), Error> {
    if length > EVENT_BYTES_MAX {
        return Err(Error::Long);
    }
    Ok(())
}

/// Parses one event. An event of comments alone yields nothing.
fn parse(raw: Bytes) -> Result<Option<Event>, Error> {
    let text = str::from_utf8(&raw).map_err(|_source| Error::Encoding)?;
    let mut id = None;
    let mut data: Option<String> = None;
    for line in text.lines().filter(|line| !line.is_empty()) {
        if line.starts_with(':') {
            continue;
        }
        let (field, value) = line.split_once(':').ok_or(Error::Field)?;
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => id = Some(value.parse().map_err(|_source| Error::Id)?),
            "data" => append(&mut data, value),
            "event" | "retry" => {}
            _ => return Err(Error::Field),
        }
    }
    match (data, id) {
        (Some(data), id) => Ok(Some(Event { id, data, raw })),
        (None, Some(_)) => Err(Error::Empty),
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

/// What an event means to the stream it belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// A part of the answer, to be handed on.
    Part {
        /// The position of the part, from zero.
        index: u64,
        /// The event as it was received.
        data: Bytes,
    },
    /// The stream is whole.
    Done,
}

/// Checks the events of one attempt.
#[derive(Debug)]
pub struct Sequence {
    attempt: String,
    next: u64,
    finished: bool,
    done: bool,
}

impl Sequence {
    /// Creates a check of the events of `attempt`, of which `next` is expected first.
    pub fn new(attempt: &str, next: u64) -> Self {
        Self {
            attempt: attempt.to_owned(),
            next,
            finished: false,
            done: false,
        }
    }

    /// Returns the index of the next event.
    pub fn next_index(&self) -> u64 {
        self.next
    }

    /// Returns whether the end of the stream was seen.
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
            return Err(Error::Late);
        }
        if event.data == DONE {
            return self.accept_done(event.id);
        }
        if self.finished {
            return Err(Error::Late);
        }
        if event.id != Some(self.next) {
            return Err(Error::Order(self.next, event.id));
        }
        let chunk = Chunk::try_from(event.data.as_str()).map_err(|_source| Error::Chunk)?;
        if chunk.id != self.attempt {
            return Err(Error::Crossed);
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
            return Err(Error::Order(self.next, id));
        }
        if !self.finished {
            return Err(Error::Unfinished);
        }
        self.done = true;
        Ok(Step::Done)
    }
}
