//! Output formats and exit codes.

use std::fmt;
use std::io::{self, ErrorKind, Write};

use serde::Serialize;
use strum::EnumString;

use crate::error::Error;

/// The format in which a command prints its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumString)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Format {
    /// Human-readable lines.
    Text,
    /// One JSON document.
    Json,
}

/// The exit code of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The files are invalid.
    Invalid = 3,
    /// Another operator's change was accepted first.
    Conflict = 4,
    /// The change is accepted, but not yet in force everywhere.
    NotInForce = 5,
}

/// Writes to standard output. Text that its reader did not wait for, as in `| head -1`, is dropped.
///
/// # Errors
///
/// Fails if standard output cannot be written to for another reason.
pub(crate) fn write<T>(text: T) -> Result<(), Error>
where
    T: fmt::Display,
{
    let mut output = io::stdout().lock();
    match write!(output, "{text}").and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(Error::Print(error)),
        _ => Ok(()),
    }
}

/// Writes a line for the operator to standard error.
pub(crate) fn tell<T>(message: T)
where
    T: fmt::Display,
{
    // Nobody reads it if this fails. The exit code still tells the result.
    let _written = writeln!(io::stderr().lock(), "primrosehoist: {message}");
}

/// Prints a result to standard output.
///
/// # Errors
///
/// Fails if the result cannot be encoded as JSON or written.
pub(crate) fn print<T>(format: Format, result: &T) -> Result<(), Error>
where
    T: Serialize + fmt::Display,
{
    match format {
        Format::Text => write(result),
        Format::Json => {
            let json = serde_json::to_string_pretty(result).map_err(Error::Encode)?;
            write(format_args!("{json}\n"))
        }
    }
}
