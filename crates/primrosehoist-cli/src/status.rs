//! `primrosehoist status`: shows the status that each daemon reports.

use std::fmt;
use std::path::PathBuf;

use primrosehoist::protocol::status::Status;
use serde::Serialize;

use crate::admin::Admin;
use crate::args::Args;
use crate::error::Error;
use crate::output::{Exit, print};
use crate::store::Store;
use crate::wait::{Response, listed_daemons, statuses};

/// The responses of all daemons.
#[derive(Debug, Serialize)]
struct Report {
    daemons: Vec<Row>,
}

/// The response of one daemon.
#[derive(Debug, Serialize)]
struct Row {
    address: String,
    status: Option<Status>,
    error: Option<String>,
}

impl From<Response> for Row {
    fn from(response: Response) -> Self {
        let address = response.address.to_string();
        let (status, error) = match response.status {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        Self {
            address,
            status,
            error,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.daemons {
            write_row(f, row)?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let Some(status) = &row.status else {
        let error = row.error.as_deref().unwrap_or_default();
        return writeln!(f, "{}: no answer: {error}", row.address);
    };
    let draining = if status.draining { ", draining" } else { "" };
    let platform = match status.platform_age_ms {
        Some(age) => format!("platform read {age} ms ago"),
        None => "platform never read".to_owned(),
    };
    let (host, zone, version) = (&status.host, &status.zone, status.version);
    writeln!(
        f,
        "{host} in {zone}: version {version}, {platform}{draining}"
    )?;
    for holding in &status.holdings {
        writeln!(
            f,
            "  holds {} by epoch {}: {} of {} in flight, {} queued",
            holding.upstream, holding.epoch, holding.in_flight, holding.limit, holding.queued
        )?;
    }
    for member in &status.members {
        let (host, zone, version) = (&member.host, &member.zone, member.version);
        let age = member.age_ms;
        writeln!(
            f,
            "  hears {host} in {zone}: version {version}, {age} ms ago"
        )?;
    }
    Ok(())
}

/// Runs the command.
///
/// # Errors
///
/// Fails if the command line is wrong, the secret cannot be read, or no daemon is known.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let secret_file: PathBuf = args.required("--secret-file")?;
    let mut daemons = args.addresses("--daemons")?;
    let platform = args.optional("--platform")?;
    args.finish()?;
    if let (true, Some(platform)) = (daemons.is_empty(), platform) {
        daemons = listed_daemons(&Store::new(platform))?;
    }
    if daemons.is_empty() {
        let reason = "no daemons are known; pass their addresses with --daemons";
        return Err(Error::Usage(reason.to_owned()));
    }
    let responses = statuses(&Admin::load(&secret_file)?, &daemons);
    let daemons: Vec<Row> = responses.into_iter().map(Row::from).collect();
    let failed = daemons.iter().any(|row| row.status.is_none());
    print(format, &Report { daemons })?;
    if failed {
        Ok(Exit::Failed)
    } else {
        Ok(Exit::Done)
    }
}
