//! The memory of the process, as the operating system counts it.

use std::{fs, io};

/// The file with the figures.
const STATUS: &str = "/proc/self/status";

const BYTES_PER_KB: u64 = 1024;

/// The memory of a process that is not swapped out, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Resident {
    /// What it takes now.
    pub(crate) now: u64,
    /// The most that it ever took.
    pub(crate) peak: u64,
}

impl Resident {
    /// Reads the memory of this process.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not tell it.
    pub(crate) fn read() -> io::Result<Self> {
        let status = fs::read_to_string(STATUS)?;
        Self::parse(&status).ok_or_else(|| io::Error::other(format!("no memory in {STATUS}")))
    }

    fn parse(status: &str) -> Option<Self> {
        let value = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key))?;
            let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
            Some(kilobytes * BYTES_PER_KB)
        };
        Some(Self {
            now: value("VmRSS:")?,
            peak: value("VmHWM:")?,
        })
    }
}
