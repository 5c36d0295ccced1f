//! `primrosehoist key digest`: prints the digest of a workspace's key.

use std::fmt;
use std::io::{self, Read};
use std::path::PathBuf;

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::args::Args;
use crate::error::Error;
use crate::output::{Exit, print};

/// The most bytes that are read from standard input.
const KEY_BYTES_MAX: u64 = 4096;

/// The digest, as it is listed under `key_digests` of a workspace.
#[derive(Debug, Serialize)]
struct Report {
    digest: String,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.digest)
    }
}

/// Runs the command. White space around the key is trimmed.
///
/// # Errors
///
/// Fails if the command line is wrong, or the key is empty or cannot be read.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    match args.subcommand()?.as_str() {
        "digest" => args.finish()?,
        other => return Err(Error::Usage(format!("expected `digest`, found `{other}`"))),
    }
    let mut key = String::new();
    let mut input = io::stdin().take(KEY_BYTES_MAX);
    input
        .read_to_string(&mut key)
        .map_err(|error| Error::Read(PathBuf::from("standard input"), error))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Error::Precondition("the key is empty".to_owned()));
    }
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    print(format, &Report { digest })?;
    Ok(Exit::Done)
}
