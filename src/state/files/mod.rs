//! Operators' files: short TOML files kept next to each service's code.
//!
//! A file is named `hoist.toml` or ends in `.hoist.toml`. It declares services, workspaces and
//! upstreams as `[[service]]`, `[[workspace]]` and `[[upstream]]`. All files together describe
//! the whole fleet: whatever no file declares is removed when the set is published.
//!
//! Reading is pure and reports all diagnostics at once, each with its file and line.

mod check;
mod declaration;
pub mod table;
pub mod value;

use std::fmt;

use crate::state::fleet::Fleet;
use declaration::Declarations;
use table::Source;

/// The name of a collected file. Names that end in a dot and this name are collected as well.
pub const FILE_NAME: &str = "hoist.toml";

/// Returns whether a file with this name is collected.
pub fn is_collected(file_name: &str) -> bool {
    match file_name.strip_suffix(FILE_NAME) {
        Some(stem) => stem.is_empty() || stem.ends_with('.'),
        None => false,
    }
}

/// A file and its content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct File {
    /// The path, as shown in diagnostics.
    pub path: String,
    /// The content.
    pub content: String,
}

/// A mistake in a file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// The path of the file.
    pub file: String,
    /// The line, starting from one.
    pub line: usize,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.reason)
    }
}

/// Reads the fleet that the files describe, at version zero.
///
/// # Errors
///
/// Returns all mistakes, ordered by file and line.
pub fn read(files: &[File]) -> Result<Fleet, Vec<Diagnostic>> {
    let mut declarations = Declarations::default();
    let mut diagnostics = Vec::new();
    for file in files {
        let source = Source::new(&file.path, &file.content);
        declarations.read(&source);
        diagnostics.extend(source.into_diagnostics());
    }
    diagnostics.extend(check::check(&declarations));
    if diagnostics.is_empty() {
        return Ok(declarations.into_fleet());
    }
    diagnostics.sort();
    diagnostics.dedup();
    Err(diagnostics)
}
