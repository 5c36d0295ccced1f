//! A program that the day runs, which is killed when it is dropped.

use std::fs::{self, File};
use std::io;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use rustix::process::{Pid, Signal, kill_process};

use crate::day::verdict::Exit;

/// The unit of processor times in the process table of the kernel, in milliseconds.
const TICK_MS: u64 = 10;

/// The number of log lines that are kept of each end.
const LOG_LINES: usize = 40;

/// The texts that a log has after a panic.
const PANICS: [&str; 2] = ["\"panic\"", "panicked at"];

/// A running program.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    log: PathBuf,
    /// When it was started.
    pub(crate) started: Instant,
}

impl Process {
    /// Starts a program whose output goes to `log`.
    ///
    /// # Errors
    ///
    /// Fails if the program or the log cannot be opened.
    pub(crate) fn start(
        program: &Path,
        arguments: &[&str],
        variables: &[(&str, &Path)],
        log: &Path,
    ) -> io::Result<Self> {
        let output = File::create(log)?;
        let child = Command::new(program)
            .args(arguments)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", program.display()))
            })?;
        Ok(Self {
            child,
            log: log.to_owned(),
            started: Instant::now(),
        })
    }

    /// Sends a signal. Its process exists at least until [`Process::ended`] has returned how it ended.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the signal.
    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        let id = Pid::from_raw(id).ok_or_else(|| io::Error::other("process id 0"))?;
        kill_process(id, signal).map_err(io::Error::from)
    }

    /// Returns how the program ended, if it did.
    ///
    /// # Errors
    ///
    /// Fails if the system does not know the program.
    pub(crate) fn ended(&mut self) -> io::Result<Option<Exit>> {
        let status = self.child.try_wait()?;
        Ok(status.map(|status| match status.code() {
            Some(code) => Exit::Code(code),
            None => Exit::Signal(status.signal().unwrap_or(0)),
        }))
    }

    /// Returns whether the program handles SIGHUP.
    pub(crate) fn handles_hangup(&self) -> bool {
        let caught = self.status("SigCgt:");
        let caught = caught.and_then(|set| u64::from_str_radix(&set, 16).ok());
        caught.is_some_and(|caught| caught & 1 == 1)
    }

    /// Returns the largest resident memory in KiB, unless the program has ended.
    pub(crate) fn peak_kib(&self) -> Option<u64> {
        let line = self.status("VmHWM:")?;
        line.trim_end_matches(" kB").parse().ok()
    }

    /// Returns the processor time so far in milliseconds, unless the program has ended.
    pub(crate) fn processor_ms(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        // The name of the program, in parentheses, may contain spaces.
        let (_, fields) = text.rsplit_once(") ")?;
        let mut fields = fields.split(' ').skip(11);
        let user: u64 = fields.next()?.parse().ok()?;
        let system: u64 = fields.next()?.parse().ok()?;
        Some((user + system) * TICK_MS)
    }

    fn status(&self, name: &str) -> Option<String> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    }

    /// Returns the last lines of the log, and whether it has a panic.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be read.
    pub(crate) fn logged(&self) -> io::Result<(Vec<String>, bool)> {
        let bytes = fs::read(&self.log)?;
        let text = String::from_utf8_lossy(&bytes);
        let lines: Vec<&str> = text.lines().collect();
        let last = lines[lines.len().saturating_sub(LOG_LINES)..].iter();
        let panicked = PANICS.iter().any(|panic| text.contains(panic));
        Ok((last.map(|line| (*line).to_owned()).collect(), panicked))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let ended = self.child.kill().and_then(|()| self.child.wait());
        if let Err(error) = ended {
            log::warn!("killing process {}: {error}", self.child.id());
        }
    }
}
