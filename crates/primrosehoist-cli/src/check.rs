//! `primrosehoist check`: validates operators' files.

use std::fmt;
use std::path::Path;

use primrosehoist::state::files::{self, Diagnostic};
use primrosehoist::state::fleet::Fleet;
use serde::Serialize;

use crate::args::Args;
use crate::collect::collect;
use crate::error::Error;
use crate::output::{Exit, Format, print};

/// What the files declare, or what is wrong with them.
#[derive(Debug, Default, Serialize)]
struct Report {
    files: usize,
    services: usize,
    workspaces: usize,
    upstreams: usize,
    mistakes: Vec<Finding>,
}

/// A mistake as it is printed.
#[derive(Debug, Serialize)]
struct Finding {
    file: String,
    line: usize,
    reason: String,
}

impl From<Diagnostic> for Finding {
    fn from(mistake: Diagnostic) -> Self {
        let Diagnostic { file, line, reason } = mistake;
        Self { file, line, reason }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Finding { file, line, reason } in &self.mistakes {
            writeln!(f, "{file}:{line}: {reason}")?;
        }
        if !self.mistakes.is_empty() {
            return writeln!(f, "{} mistakes", self.mistakes.len());
        }
        writeln!(
            f,
            "{} files: {} services, {} workspaces, {} upstreams, no mistakes",
            self.files, self.services, self.workspaces, self.upstreams
        )
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the command line is wrong or the files cannot be read.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let directory = args.path("the directory")?;
    args.finish()?;
    let texts = collect(&directory)?;
    let mut report = Report {
        files: texts.len(),
        ..Report::default()
    };
    match files::read(&texts) {
        Ok(fleet) => {
            report.services = fleet.services.len();
            report.workspaces = fleet.workspaces.len();
            report.upstreams = fleet.upstreams.len();
        }
        Err(mistakes) => report.mistakes = mistakes.into_iter().map(Finding::from).collect(),
    }
    print(format, &report)?;
    if report.mistakes.is_empty() {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Mistakes)
    }
}

/// Reads the fleet that the files describe; prints the mistakes if there are any.
///
/// # Errors
///
/// Fails if the files cannot be read.
pub(crate) fn read(directory: &Path, format: Format) -> Result<Option<Fleet>, Error> {
    let texts = collect(directory)?;
    let mistakes = match files::read(&texts) {
        Ok(fleet) => return Ok(Some(fleet)),
        Err(mistakes) => mistakes,
    };
    let report = Report {
        files: texts.len(),
        mistakes: mistakes.into_iter().map(Finding::from).collect(),
        ..Report::default()
    };
    print(format, &report)?;
    Ok(None)
}
