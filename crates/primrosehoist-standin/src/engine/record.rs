//! The answer of a stream as it grows, shared by the scheduler and the connections that read it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::engine::prompt::Prompt;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All tokens were made.
    Finished,
    /// It was cancelled or dropped.
    Cut,
    /// It was lost in a crash.
    Lost,
}

#[derive(Debug, Default)]
struct Readers {
    connected: u32,
    left_at: Option<Instant>,
}

/// How far an answer is.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The number of tokens made.
    pub(crate) tokens: u64,
    /// How it ended.
    pub(crate) end: Option<End>,
}

/// The answer of a stream.
#[derive(Debug)]
pub(crate) struct Record {
    /// The id of the attempt.
    pub(crate) id: Arc<str>,
    /// The prompt, from which the text follows.
    pub(crate) prompt: Prompt,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

impl Record {
    /// Creates the record of a stream without tokens.
    pub(crate) fn new(id: Arc<str>, prompt: Prompt) -> Record {
        Record {
            id,
            prompt,
            progress: watch::Sender::new(Progress::default()),
            readers: Mutex::new(Readers::default()),
        }
    }

    /// Returns how far the answer is.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Returns a receiver that sees every change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Adds a token and returns whether it was the last one.
    pub(crate) fn push(&self) -> bool {
        let mut finished = false;
        self.progress.send_modify(|progress| {
            progress.tokens += 1;
            finished = progress.tokens >= self.prompt.max_tokens;
            if finished {
                progress.end = Some(End::Finished);
            }
        });
        finished
    }

    /// Ends the stream early.
    pub(crate) fn cut(&self, end: End) {
        self.progress.send_modify(|progress| {
            progress.end = progress.end.or(Some(end));
        });
    }

    /// Returns whether a connection reads the stream.
    pub(crate) fn is_connected(&self) -> bool {
        self.readers().connected > 0
    }

    /// Returns since when no connection reads the stream.
    pub(crate) fn left_at(&self) -> Option<Instant> {
        self.readers().left_at
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a record as read by a connection until it is dropped.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The record that is read.
    pub(crate) record: Arc<Record>,
}

impl Reader {
    /// Registers a reader.
    pub(crate) fn new(record: Arc<Record>) -> Reader {
        let mut readers = record.readers();
        readers.connected += 1;
        readers.left_at = None;
        drop(readers);
        Reader { record }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut readers = self.record.readers();
        readers.connected -= 1;
        if readers.connected == 0 {
            readers.left_at = Some(Instant::now());
        }
    }
}
