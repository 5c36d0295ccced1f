//! The progress of a response, shared by the scheduler that generates it and the connections that
//! read it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::engine::prompt::Prompt;

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All tokens were generated.
    Finished,
    /// It was cancelled or dropped.
    Cut,
    /// It was lost in a crash.
    Lost,
}

#[derive(Debug, Default)]
struct Readers {
    connected: u32,
    disconnected_at: Option<Instant>,
}

/// The progress of a response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The number of tokens generated.
    pub(crate) tokens: u64,
    /// How the stream ended, if it has.
    pub(crate) end: Option<End>,
}

/// The response of one request.
#[derive(Debug)]
pub(crate) struct Record {
    /// The id of the attempt.
    pub(crate) id: Arc<str>,
    /// The prompt, which determines the text of the response.
    pub(crate) prompt: Prompt,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
}

impl Record {
    /// Creates a record without tokens.
    pub(crate) fn new(id: Arc<str>, prompt: Prompt) -> Record {
        Record {
            id,
            prompt,
            progress: watch::Sender::new(Progress::default()),
            readers: Mutex::new(Readers::default()),
        }
    }

    /// Returns the current progress.
    pub(crate) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Returns a receiver that is notified of progress.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Adds a token and returns whether it was the last.
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

    /// Ends the stream early; has no effect once it has ended.
    pub(crate) fn cut(&self, end: End) {
        self.progress.send_modify(|progress| {
            progress.end = progress.end.or(Some(end));
        });
    }

    /// Returns whether any connection reads the stream.
    pub(crate) fn is_connected(&self) -> bool {
        self.readers().connected > 0
    }

    /// Returns the time at which the last connection stopped reading, if none has resumed.
    pub(crate) fn disconnected_at(&self) -> Option<Instant> {
        self.readers().disconnected_at
    }

    fn readers(&self) -> MutexGuard<'_, Readers> {
        self.readers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a connection as a reader of a record until it is dropped.
#[derive(Debug)]
pub(crate) struct Reader {
    /// The record being read.
    pub(crate) record: Arc<Record>,
}

impl Reader {
    /// Registers a reader.
    pub(crate) fn new(record: Arc<Record>) -> Reader {
        let mut readers = record.readers();
        readers.connected += 1;
        readers.disconnected_at = None;
        drop(readers);
        Reader { record }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut readers = self.record.readers();
        readers.connected -= 1;
        if readers.connected == 0 {
            readers.disconnected_at = Some(Instant::now());
        }
    }
}
