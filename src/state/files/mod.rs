//! Operators' files: short TOML files kept beside each service's code.
//!
//! A file is named `hoist.toml` or ends in `.hoist.toml`. It declares services, workspaces and
//! upstreams as `[[service]]`, `[[workspace]]` and `[[upstream]]`. All files together describe
//! the whole fleet: what no file declares is removed when the set is published.
//!
//! Reading is pure. It reports every mistake at once, each with its file and line.

mod check;
mod declaration;
pub mod table;
pub mod value;

use std::fmt;

use crate::state::fleet::Fleet;
use declaration::Declarations;
use table::Source;

/// The whole name of a file that is collected, and the end of the names of others.
pub const FILE_NAME: &str = "hoist.toml";

/// Returns whether a file of this name is collected.
pub fn is_collected(file_name: &str) -> bool {
    match file_name.strip_suffix(FILE_NAME) {
        Some(stem) => stem.is_empty() || stem.ends_with('.'),
        None => false,
    }
}

/// The content of one file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Text {
    /// The path, as it is shown in mistakes.
    pub path: String,
    /// The content.
    pub content: String,
}

/// One mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// The path of the file.
    pub file: String,
    /// The line, counted from one.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

/// Reads all files into the fleet that they describe, at version zero.
///
/// # Errors
///
/// Returns every mistake found, ordered by file and line.
pub fn read(texts: &[Text]) -> Result<Fleet, Vec<Mistake>> {
    let mut declarations = Declarations::default();
    let mut mistakes = Vec::new();
    for text in texts {
        let source = Source::new(&text.path, &text.content);
        declarations.read(&source);
        mistakes.extend(source.into_mistakes());
    }
    mistakes.extend(check::check(&declarations));
    if mistakes.is_empty() {
        return Ok(declarations.into_fleet());
    }
    mistakes.sort();
    mistakes.dedup();
    Err(mistakes)
}
