//! Why a command failed.

use std::io;
use std::path::PathBuf;

use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::Version;
use quick_error::quick_error;

use crate::output::Exit;

quick_error! {
    /// Says why a command failed.
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
        /// A directory holds no file to collect.
        Empty(path: PathBuf) {
            display("no file named hoist.toml or *.hoist.toml is under {}", path.display())
        }
        /// The shared secret is too short.
        Secret(path: PathBuf) {
            display("the secret in {} has fewer than 16 bytes", path.display())
        }
        /// A call got no whole answer.
        Call(step: &'static str, peer: String, error: io::Error) {
            display("{} at {}: {}", step, peer, error)
            source(error)
        }
        /// A call was answered with an unexpected status.
        Answer(step: &'static str, peer: String, status: u16, body: String) {
            display("{} at {}: answered with status {}: {}", step, peer, status, body)
        }
        /// An answer is not of the expected form.
        Decode(step: &'static str, peer: String, error: serde_json::Error) {
            display("{} at {}: unexpected answer: {}", step, peer, error)
            source(error)
        }
        /// A value cannot be written as JSON.
        Encode(error: serde_json::Error) {
            display("cannot write JSON: {}", error)
            source(error)
        }
        /// What a command refers to is not in the configuration.
        Missing(what: String) {
            display("{}; nothing was changed", what)
        }
        /// Another operator's change came first.
        LostRace(winner: Box<Change>) {
            display("lost a race, nothing was changed: {}", winner_line(winner))
        }
        /// Another operator's change came first, and cannot be read.
        LostRaceUnread(version: Version) {
            display("lost a race, nothing was changed: version {} is another's and can't be read",
                version)
        }
        /// The platform refused or could not be reached, and holds no trace of the change.
        NotWritten(version: Version, cause: Box<Error>) {
            display("version {} was not written, nothing was changed: {}", version, cause)
        }
        /// The answer of the platform was lost and could not be settled.
        Unknown(version: Version, nonce: String, cause: Box<Error>) {
            display("unknown: version {} with nonce {} may or may not have been accepted, because \
                the platform gave no answer ({}); see `primrosehoist audit` when it is back",
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
    /// Returns whether the same call may succeed when it is made again.
    pub(crate) fn is_transient(&self) -> bool {
        match self {
            Self::Call(..) => true,
            Self::Answer(_, _, status, _) => *status == 429 || *status >= 500,
            _ => false,
        }
    }

    /// Returns the exit code for this failure.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::LostRace(_) | Self::LostRaceUnread(_) => Exit::LostRace,
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
