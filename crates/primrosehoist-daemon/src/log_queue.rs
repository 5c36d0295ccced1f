//! Non-blocking logging to standard output or standard error.
//!
//! A dedicated thread writes lines from a bounded queue. If it cannot keep up, lines are dropped
//! and counted, so that a full pipe costs log lines and never blocks a request.

use std::cell::Cell;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::{Receiver, Sender};
use log::{LevelFilter, SetLoggerError};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::{logging, startup};

/// The capacity of the queue in lines.
const QUEUE_LINES: usize = 4096;

/// The capacity of the queue in bytes. Lines contain texts from clients, so their number alone bounds
/// little.
const QUEUE_BYTES: usize = 2 << 20;

/// The size above which no more queued lines are added to a write, in bytes.
const WRITE_BYTES: usize = 32 * 1024;

/// How long the end of the process waits until the queued lines are written. Nobody may be reading them,
/// but the thread that writes them may also get no processor for a time.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// Where a daemon writes its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stream {
    /// Standard output.
    Output,
    /// Standard error.
    Errors,
}

impl Stream {
    fn write(self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::Output => write(&mut io::stdout().lock(), bytes),
            Self::Errors => write(&mut io::stderr().lock(), bytes),
        }
    }

    /// Returns whether some kilobytes can be written without blocking.
    fn accepts_bytes(self) -> bool {
        match self {
            Self::Output => accepts_bytes(&io::stdout()),
            Self::Errors => accepts_bytes(&io::stderr()),
        }
    }
}

fn write<W>(output: &mut W, bytes: &[u8]) -> io::Result<()>
where
    W: Write,
{
    output.write_all(bytes)?;
    output.flush()
}

fn accepts_bytes<O>(output: &O) -> bool
where
    O: AsFd,
{
    let mut polled = [PollFd::new(output, PollFlags::OUT)];
    poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
}

/// What the writer thread receives.
#[derive(Debug)]
enum Entry {
    Line(String),
    /// Requests a message on the channel once all entries before are written.
    Flush(Sender<()>),
}

/// The running log. Dropping it waits until the queued lines are written, for at most [`FLUSH_TIMEOUT`].
#[derive(Debug)]
pub(crate) struct Log {
    entries: Sender<Entry>,
    writer: Writer,
    /// When the process must end, if that is known.
    end: Cell<Option<Instant>>,
}

impl Log {
    /// Starts the thread that writes the lines, as soon as the operating system grants one.
    pub(crate) fn start_writer(&self) {
        let start = || {
            let writer = self.writer.clone();
            thread::Builder::new()
                .name("log".to_owned())
                .spawn(move || writer.run())
                .map_err(|error| format!("start the thread of the log: {error}"))
        };
        let _detached = startup::block_for(start, || self.write_queued());
    }

    /// Writes the lines queued so far if they can be written at once, for times without the thread.
    fn write_queued(&self) {
        while self.writer.stream.accepts_bytes() {
            let Ok(first) = self.writer.queued.try_recv() else {
                return;
            };
            self.writer.write(first);
        }
    }

    /// Makes the end of the log wait no longer than until `end`.
    pub(crate) fn limit(&self, end: Instant) {
        self.end.set(Some(end));
    }
}

impl Drop for Log {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let deadline = self.end.get().map_or(deadline, |end| end.min(deadline));
        let (written, flushed) = crossbeam::channel::bounded(1);
        // Lines that nobody reads cannot be reported anywhere.
        if self
            .entries
            .send_deadline(Entry::Flush(written), deadline)
            .is_ok()
        {
            let _result = flushed.recv_deadline(deadline);
        }
    }
}

/// The lines that wait to be written.
#[derive(Debug, Default)]
struct Backlog {
    bytes: AtomicUsize,
    /// The lines that found no room since the last write.
    dropped: AtomicU64,
}

impl Backlog {
    /// Adds a line of `bytes` bytes and returns whether there is room for it.
    fn add(&self, bytes: usize) -> bool {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let has_room = before.saturating_add(bytes) <= QUEUE_BYTES;
        if !has_room {
            self.drop_line(bytes);
        }
        has_room
    }

    /// Counts a line that was added as dropped.
    fn drop_line(&self, bytes: usize) {
        self.remove(bytes);
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// Installs a logger that queues records of `level` and above as JSON lines for `stream`. They are written
/// once [`Log::start_writer`] has started the thread that does so.
///
/// Logging never blocks. If the thread cannot keep up, lines are dropped, and a later line reports how
/// many. The end of the returned value waits for the lines before it.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub(crate) fn install(level: LevelFilter, stream: Stream) -> Result<Log, SetLoggerError> {
    let (lines, queued) = crossbeam::channel::bounded(QUEUE_LINES);
    let backlog = Arc::new(Backlog::default());
    let log = Log {
        entries: lines.clone(),
        writer: Writer {
            queued,
            backlog: Arc::clone(&backlog),
            stream,
        },
        end: Cell::new(None),
    };
    let output = fern::Output::call(move |record| {
        let line = logging::line(SystemTime::now(), record.args(), record);
        let bytes = line.len();
        if backlog.add(bytes) && lines.try_send(Entry::Line(line)).is_err() {
            backlog.drop_line(bytes);
        }
    });
    fern::Dispatch::new()
        .level(level)
        .level_for("h2", level.min(LevelFilter::Warn))
        .level_for("hyper", level.min(LevelFilter::Warn))
        .chain(output)
        .apply()?;
    Ok(log)
}

/// Writes the queued lines.
#[derive(Debug, Clone)]
struct Writer {
    queued: Receiver<Entry>,
    backlog: Arc<Backlog>,
    stream: Stream,
}

impl Writer {
    /// Writes lines until all senders are dropped.
    fn run(&self) {
        while let Ok(first) = self.queued.recv() {
            self.write(first);
        }
    }

    /// Writes `first` with the entries after it that are available.
    fn write(&self, first: Entry) {
        let mut bytes = 0;
        let mut lines = 0;
        let mut batch = String::new();
        let mut flushed = None;
        for entry in std::iter::once(first).chain(self.queued.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    bytes += line.len();
                    lines += 1;
                    batch.push_str(&line);
                    batch.push('\n');
                }
                Entry::Flush(written) => flushed = Some(written),
            }
            if flushed.is_some() || batch.len() > WRITE_BYTES {
                break;
            }
        }
        self.backlog.remove(bytes);
        let dropped = self.backlog.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            batch.push_str(&dropped_line(SystemTime::now(), dropped));
            batch.push('\n');
        }
        // A failure cannot be reported now, so its lines are counted with those that are dropped.
        if self.stream.write(batch.as_bytes()).is_err() {
            let lost = lines + dropped;
            self.backlog.dropped.fetch_add(lost, Ordering::Relaxed);
        }
        if let Some(written) = flushed {
            // The receiver is gone if the process has waited long enough.
            let _result = written.try_send(());
        }
    }
}

fn dropped_line(time: SystemTime, lines: u64) -> String {
    let time = humantime::format_rfc3339_millis(time).to_string();
    serde_json::json!({
        "time": time,
        "level": "WARN",
        "target": module_path!(),
        "message": "log lines dropped",
        "lines": lines,
    })
    .to_string()
}
