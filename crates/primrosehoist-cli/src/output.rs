//! Output formats and exit codes.

use std::fmt;

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

/// Prints a result to standard output.
///
/// # Errors
///
/// Fails if the result cannot be encoded as JSON.
pub(crate) fn print<T>(format: Format, result: &T) -> Result<(), Error>
where
    T: Serialize + fmt::Display,
{
    match format {
        Format::Text => print!("{result}"),
        Format::Json => {
            let json = serde_json::to_string_pretty(result).map_err(Error::Encode)?;
            println!("{json}");
        }
    }
    Ok(())
}
