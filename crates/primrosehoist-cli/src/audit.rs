//! `primrosehoist audit`: lists the accepted changes.

use std::fmt;
use std::time::{Duration, UNIX_EPOCH};

use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::Version;
use serde::Serialize;

use crate::args::Args;
use crate::error::Error;
use crate::output::{Exit, print};
use crate::publish::describe;
use crate::store::Store;

/// The default maximum number of changes listed.
const LIMIT_DEFAULT: usize = 1000;

/// Accepted changes, oldest first.
#[derive(Debug, Serialize)]
struct Report {
    changes: Vec<Change>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            let time = UNIX_EPOCH.checked_add(Duration::from_millis(change.time_ms));
            let time = time.unwrap_or(UNIX_EPOCH);
            let time = humantime::format_rfc3339_seconds(time);
            let (version, author, reason) = (change.version, &change.author, &change.reason);
            writeln!(f, "{version} {time} {author}: {reason}")?;
            for entry in &change.entries {
                writeln!(f, "  {}", describe(entry))?;
            }
        }
        Ok(())
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the command line is wrong, or the platform does not respond.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let store = Store::new(args.required("--platform")?);
    let since: Version = args.optional("--since")?.unwrap_or(0);
    let limit = args.optional("--limit")?.unwrap_or(LIMIT_DEFAULT);
    args.finish()?;
    let mut changes = Vec::new();
    let mut version = since;
    while changes.len() < limit {
        version += 1;
        match store.change(version)? {
            Some(change) => changes.push(change),
            None => break,
        }
    }
    print(format, &Report { changes })?;
    Ok(Exit::Done)
}
