//! `primrosehoist drain`: starts the graceful shutdown of one daemon.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use crate::admin::Admin;
use crate::args::Args;
use crate::error::Error;
use crate::output::{Exit, print};

/// The daemon that is shutting down.
#[derive(Debug, Serialize)]
struct Report {
    draining: SocketAddr,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} drains", self.draining)
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the command line is wrong, or the daemon does not respond or refuses.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let secret_file: PathBuf = args.required("--secret-file")?;
    let draining = args.required("--daemon")?;
    args.finish()?;
    Admin::load(&secret_file)?.drain(draining)?;
    print(format, &Report { draining })?;
    Ok(Exit::Done)
}
