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

/// The number of objects that the files declare, or the errors in them.
#[derive(Debug, Default, Serialize)]
struct Report {
    files: usize,
    services: usize,
    workspaces: usize,
    upstreams: usize,
    #[serde(rename = "mistakes")]
    diagnostics: Vec<Finding>,
}

/// A diagnostic in its output form.
#[derive(Debug, Serialize)]
struct Finding {
    file: String,
    line: usize,
    reason: String,
}

impl From<Diagnostic> for Finding {
    fn from(diagnostic: Diagnostic) -> Self {
        let Diagnostic { file, line, reason } = diagnostic;
        Self { file, line, reason }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for Finding { file, line, reason } in &self.diagnostics {
            writeln!(f, "{file}:{line}: {reason}")?;
        }
        if !self.diagnostics.is_empty() {
            return writeln!(f, "{} mistakes", self.diagnostics.len());
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
        Err(errors) => report.diagnostics = errors.into_iter().map(Finding::from).collect(),
    }
    print(format, &report)?;
    if report.diagnostics.is_empty() {
        Ok(Exit::Done)
    } else {
        Ok(Exit::Invalid)
    }
}

/// Reads the fleet that the files declare. If they are invalid, prints the diagnostics and returns
/// `None`.
///
/// # Errors
///
/// Fails if the files cannot be read.
pub(crate) fn read_fleet(directory: &Path, format: Format) -> Result<Option<Fleet>, Error> {
    let texts = collect(directory)?;
    let diagnostics = match files::read(&texts) {
        Ok(fleet) => return Ok(Some(fleet)),
        Err(diagnostics) => diagnostics,
    };
    let report = Report {
        files: texts.len(),
        diagnostics: diagnostics.into_iter().map(Finding::from).collect(),
        ..Report::default()
    };
    print(format, &report)?;
    Ok(None)
}
