//! Non-blocking logging to standard output.
//!
//! A dedicated thread writes lines from a bounded queue. If it cannot keep up, lines are dropped
//! and counted, so that a full pipe costs log lines and never blocks a request.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::{Receiver, Sender};
use log::{LevelFilter, SetLoggerError};
use quick_error::quick_error;

use crate::logging;

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

quick_error! {
    /// An error that prevents logging from starting.
    #[derive(Debug)]
    pub enum Error {
        /// A logger is already installed.
        Installed(source: SetLoggerError) { display("{}", source) }
        /// The writer thread cannot be started.
        Thread(source: io::Error) { display("cannot start the log writer thread: {}", source) }
    }
}

/// What the writer thread receives.
enum Entry {
    Line(String),
    /// Requests a message on the channel once all entries before are written.
    Flush(Sender<()>),
}

/// The running log. Dropping it waits until the queued lines are written, or for [`FLUSH_TIMEOUT`].
#[derive(Debug)]
pub(crate) struct Log(Sender<Entry>);

impl Drop for Log {
    fn drop(&mut self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (written, flushed) = crossbeam::channel::bounded(1);
        // Lines that nobody reads cannot be reported anywhere.
        if self
            .0
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

/// Installs a logger that writes records of `level` and above as JSON lines to standard output.
///
/// Logging never blocks: a dedicated thread writes the lines. If it cannot keep up, lines are
/// dropped, and a later line reports how many. The end of the returned value waits for the lines
/// before it.
///
/// # Errors
///
/// Fails if a logger is already installed or the thread cannot be started.
pub(crate) fn start(level: LevelFilter) -> Result<Log, Error> {
    let (lines, queued) = crossbeam::channel::bounded(QUEUE_LINES);
    let log = Log(lines.clone());
    let backlog = Arc::new(Backlog::default());
    let writer_backlog = Arc::clone(&backlog);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queued, &writer_backlog, &mut io::stdout().lock()))
        .map_err(Error::Thread)?;
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
        .apply()
        .map_err(Error::Installed)?;
    Ok(log)
}

/// Writes `queued` lines until all senders are dropped, batching the lines that are available.
fn write_lines<W>(queued: &Receiver<Entry>, backlog: &Backlog, output: &mut W)
where
    W: Write,
{
    while let Ok(first) = queued.recv() {
        let mut bytes = 0;
        let mut batch = String::new();
        let mut flushed = None;
        for entry in std::iter::once(first).chain(queued.try_iter()) {
            match entry {
                Entry::Line(line) => {
                    bytes += line.len();
                    batch.push_str(&line);
                    batch.push('\n');
                }
                Entry::Flush(written) => flushed = Some(written),
            }
            if flushed.is_some() || batch.len() > WRITE_BYTES {
                break;
            }
        }
        backlog.remove(bytes);
        let lines = backlog.dropped.swap(0, Ordering::Relaxed);
        if lines > 0 {
            batch.push_str(&dropped_line(SystemTime::now(), lines));
            batch.push('\n');
        }
        // A failure to write the log cannot be reported anywhere.
        let _result = output
            .write_all(batch.as_bytes())
            .and_then(|()| output.flush());
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
