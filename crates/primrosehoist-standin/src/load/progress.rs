//! Progress display on a terminal.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use crate::load::tally::Tally;
use crate::output;

/// A status line that is overwritten with every update; hidden if stderr is not a terminal.
#[derive(Debug)]
pub(crate) struct Progress {
    is_shown: bool,
}

impl Progress {
    /// Creates a display that has shown nothing yet.
    pub(crate) fn new() -> Progress {
        Progress {
            is_shown: std::io::stderr().is_terminal(),
        }
    }

    /// Updates the line.
    pub(crate) fn show(&mut self, elapsed: Duration, tally: &Tally) {
        if !self.is_shown {
            return;
        }
        let counts = tally.counts();
        let mut out = std::io::stderr().lock();
        let written = write!(
            out,
            "\r{:4} s  ended {} of {}  complete {}  refused {}  failed {}  lost {} ",
            elapsed.as_secs(),
            counts.ended(),
            counts.offered,
            counts.complete,
            counts.refused,
            counts.failed,
            counts.lost
        );
        self.is_shown = written.and_then(|()| out.flush()).is_ok();
    }

    /// Terminates the line.
    pub(crate) fn end(self) {
        if self.is_shown {
            output::tell("");
        }
    }
}
