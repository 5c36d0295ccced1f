//! The errors of commands.

use std::io;
use std::path::PathBuf;

use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::Version;
use primrosehoist::transport::platform::target;
use quick_error::quick_error;

use crate::output::Exit;

quick_error! {
    /// The reason why a command failed.
    #[derive(Debug)]
    pub enum Error {
        /// The command line is wrong.
        Usage(reason: String) {
            display("{}; see `primrosehoist --help`", reason)
        }
        /// A file or directory cannot be read.
        Read(path: PathBuf, error: io::Error) {
            display("cannot read {}: {}", path.display(), error)
            source(error)
        }
        /// A directory contains no operators' files.
        Empty(path: PathBuf) {
            display("no file named hoist.toml or *.hoist.toml is under {}", path.display())
        }
        /// The shared secret is too short.
        ShortSecret(path: PathBuf) {
            display("the secret in {} has fewer than 16 bytes", path.display())
        }
        /// A name cannot be part of a path.
        Target(operation: &'static str, error: target::Error) {
            display("{}: {}", operation, error)
            source(error)
        }
        /// A call received no complete response.
        Call(operation: &'static str, address: String, error: io::Error) {
            display("{} at {}: {}", operation, address, error)
            source(error)
        }
        /// A response has an unexpected status.
        Status(operation: &'static str, address: String, status: u16, body: String) {
            display("{} at {}: answered with status {}: {}", operation, address, status, body)
        }
        /// A response does not have the expected form.
        Decode(operation: &'static str, address: String, error: serde_json::Error) {
            display("{} at {}: unexpected answer: {}", operation, address, error)
            source(error)
        }
        /// A value cannot be encoded as JSON.
        Encode(error: serde_json::Error) {
            display("cannot write JSON: {}", error)
            source(error)
        }
        /// Standard output cannot be written to.
        Print(error: io::Error) {
            display("cannot write the result: {}", error)
            source(error)
        }
        /// A change was accepted, and the result cannot be printed.
        Unprinted(version: Version, cause: Box<Error>) {
            display("version {} was accepted, but {}", version, cause)
        }
        /// What the command is about does not exist.
        Unknown(what: &'static str) {
            display("{}", what)
        }
        /// The input or the stored configuration does not permit the command.
        Precondition(reason: String) {
            display("{}; nothing was changed", reason)
        }
        /// Another operator's change was accepted first.
        Conflict(winner: Box<Change>) {
            display("lost a race, nothing was changed: {}", winner_line(winner))
        }
        /// Another operator's change was accepted first, and cannot be read.
        ConflictUnread(version: Version) {
            display("lost a race, nothing was changed: version {} was written by another operator \
                and cannot be read", version)
        }
        /// The platform refused the change or could not be reached; the change was not written.
        NotWritten(version: Version, cause: Box<Error>) {
            display("version {} was not written, nothing was changed: {}", version, cause)
        }
        /// The platform's response was lost, and whether it accepted the change is not known.
        Ambiguous(version: Version, nonce: String, cause: Box<Error>) {
            display("unknown: version {} with nonce {} may or may not have been accepted, because \
                the platform did not respond ({}); run `primrosehoist audit` when it does",
                version, nonce, cause)
        }
    }
}

impl From<pico_args::Error> for Error {
    fn from(error: pico_args::Error) -> Self {
        Self::Usage(error.to_string())
    }
}

impl Error {
    /// Returns whether a retry of the same call may succeed.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            Self::Call(..) => true,
            Self::Status(_, _, status, _) => *status == 429 || *status >= 500,
            _ => false,
        }
    }

    /// Returns the exit code for this failure.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Conflict(_) | Self::ConflictUnread(_) => Exit::Conflict,
            _ => Exit::Failed,
        }
    }
}

fn winner_line(winner: &Change) -> String {
    format!(
        "version {} is by {} ({}), {} entries; read it with `primrosehoist audit --since {}`",
        winner.version,
        winner.author,
        winner.reason,
        winner.entries.len(),
        winner.version - 1
    )
}
