//! Logs to standard output without ever waiting for its reader.
//!
//! A thread of its own writes the lines of a bounded queue. If it cannot keep up, lines are
//! dropped and counted: a full pipe loses lines, not requests.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::SystemTime;

use crossbeam::channel::Receiver;
use log::{LevelFilter, SetLoggerError};
use quick_error::quick_error;

use crate::logging;

/// Lines that wait to be written, at most. At 300 bytes a line they take 1.2 MB.
const QUEUE_LINES: usize = 4096;

/// The length from which on waiting lines are written, in bytes.
const WRITE_BYTES: usize = 32 * 1024;

quick_error! {
    /// Says why logging cannot start.
    #[derive(Debug)]
    pub enum Error {
        /// A logger was installed before.
        Installed(source: SetLoggerError) { display("{}", source) }
        /// The writing thread cannot be started.
        Thread(source: io::Error) { display("start of the writing thread: {}", source) }
    }
}

/// Writes records of `level` and above as JSON lines to standard output from now on, without
/// ever waiting for its reader.
///
/// A thread of its own writes the lines. If it cannot keep up, lines are dropped, and a line says
/// how many.
///
/// # Errors
///
/// Fails if a logger was installed before or the thread cannot be started.
pub(crate) fn start(level: LevelFilter) -> Result<(), Error> {
    let (lines, queued) = crossbeam::channel::bounded::<String>(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&queued, &dropped, &mut io::stdout().lock()))
        .map_err(Error::Thread)?;
    let output = fern::Output::call(move |record| {
        let line = logging::line(SystemTime::now(), record.args(), record);
        if lines.try_send(line).is_err() {
            counted.fetch_add(1, Ordering::Relaxed);
        }
    });
    fern::Dispatch::new()
        .level(level)
        .level_for("h2", level.min(LevelFilter::Warn))
        .level_for("hyper", level.min(LevelFilter::Warn))
        .chain(output)
        .apply()
        .map_err(Error::Installed)
}

/// Writes `queued` lines until all senders are gone, those that wait together at once.
pub(crate) fn write_lines<W>(queued: &Receiver<String>, dropped: &AtomicU64, output: &mut W)
where
    W: Write,
{
    while let Ok(first) = queued.recv() {
        let mut text = first;
        text.push('\n');
        while let Ok(line) = queued.try_recv() {
            text.push_str(&line);
            text.push('\n');
            if text.len() > WRITE_BYTES {
                break;
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&dropped_line(SystemTime::now(), lost));
            text.push('\n');
        }
        // There is nowhere left to report that the log itself cannot be written.
        let _unwritable = output
            .write_all(text.as_bytes())
            .and_then(|()| output.flush());
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
