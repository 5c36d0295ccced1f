//! Tables and plots of load reports.

mod plot;
mod table;

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use pico_args::Arguments;

use crate::command::{self, Error};
use crate::load::summary::Summary;

/// The help text of the subcommand.
pub(crate) const HELP: &str = "\
Prints tables of load reports and draws plots.

Usage: primrosehoist-standin report JSON... [OPTIONS]

Options:
  --out DIR    writes first-token.svg, and over-time.svg with the marks, to DIR
  --log LEVEL  off, error, warn, info, debug or trace [default: warn]
  --help       prints this text
  --version    prints the version

Ratios are relative to the first report.
";

/// The options of the subcommand.
#[derive(Debug)]
pub(crate) struct Options {
    reports: Vec<Report>,
    out: Option<PathBuf>,
}

/// A report and the name of its file.
#[derive(Debug)]
struct Report {
    name: String,
    summary: Summary,
}

/// Reads the options of the subcommand and the reports.
///
/// # Errors
///
/// Fails if an option is invalid or a report is missing or cannot be read.
pub(crate) fn options(arguments: &mut Arguments) -> Result<Options, Error> {
    let out: Option<PathBuf> = command::optional(arguments, "--out")?;
    let mut reports = Vec::new();
    while let Some(path) = arguments.opt_free_from_str::<PathBuf>()? {
        reports.push(read(&path)?);
    }
    if reports.is_empty() {
        return Err(Error::Range("a report is missing".to_owned()));
    }
    Ok(Options { reports, out })
}

fn read(path: &Path) -> Result<Report, Error> {
    let failed = |reason: String| Error::File(path.display().to_string(), reason);
    let text = fs::read(path).map_err(|error| failed(error.to_string()))?;
    let summary = serde_json::from_slice(&text).map_err(|error| failed(error.to_string()))?;
    let name = path.file_stem().unwrap_or_default();
    Ok(Report {
        name: name.to_string_lossy().into_owned(),
        summary,
    })
}

/// Prints the tables and draws the plots.
///
/// # Errors
///
/// Fails if a plot cannot be written.
pub(crate) async fn run(options: Options) -> io::Result<()> {
    table::print(&options.reports)?;
    let Some(out) = options.out else {
        return Ok(());
    };
    fs::create_dir_all(&out)?;
    plot::by_length(&options.reports, &out.join("first-token.svg")).map_err(io::Error::other)?;
    plot::over_time(&options.reports, &out.join("over-time.svg")).map_err(io::Error::other)
}
