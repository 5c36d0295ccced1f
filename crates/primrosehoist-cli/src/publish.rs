//! `primrosehoist publish`, and what all commands that change the configuration share.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use primrosehoist::state::change::Entry;
use primrosehoist::state::fleet::{Fleet, Version};
use primrosehoist::state::plan::plan;
use serde::Serialize;

use crate::admin::Admin;
use crate::args::Args;
use crate::check;
use crate::error::Error;
use crate::output::{Exit, Format, print};
use crate::store::Store;
use crate::submit::{Signature, submit};
use crate::wait::{Force, listed, wait};

/// How long a command waits until its change is in force, unless it is told.
const WAIT_DEFAULT: Duration = Duration::from_secs(10);

/// How long the platform is tried for when its answers are lost, unless the command is told.
const SETTLE_DEFAULT: Duration = Duration::from_secs(15);

/// The options of every command that changes the configuration.
#[derive(Debug)]
pub(crate) struct Options {
    format: Format,
    store: Store,
    signature: Signature,
    daemons: Vec<SocketAddr>,
    wait: Duration,
    secret_file: Option<PathBuf>,
}

/// What a change led to.
#[derive(Debug, Serialize)]
struct Report {
    /// The version in force at the platform.
    version: Version,
    /// Whether this command wrote a change.
    changed: bool,
    entries: Vec<Entry>,
    /// Who obeys; absent if the command did not wait.
    force: Option<Force>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.changed {
            "accepted"
        } else {
            "nothing to change"
        };
        writeln!(f, "version {}: {result}", self.version)?;
        for entry in &self.entries {
            writeln!(f, "  {}", describe(entry))?;
        }
        let Some(force) = &self.force else {
            return writeln!(f, "not waited until it is in force");
        };
        if force.everywhere() {
            return writeln!(f, "in force at {} daemons", force.obeyed.len());
        }
        writeln!(
            f,
            "not yet in force everywhere; obeyed by {}",
            force.obeyed.len()
        )?;
        for missing in &force.missing {
            writeln!(f, "  {}: {}", missing.daemon, missing.state)?;
        }
        Ok(())
    }
}

/// Returns a line for people about one entry.
pub(crate) fn describe(entry: &Entry) -> String {
    match entry {
        Entry::PutService(it) => format!("put service {} of {}", it.name, it.half),
        Entry::RemoveService(name) => format!("remove service {name}"),
        Entry::PutWorkspace(it) => format!("put workspace {} of {}", it.name, it.half),
        Entry::RemoveWorkspace(name) => format!("remove workspace {name}"),
        Entry::PutUpstream(it) => {
            let (name, half, zone) = (&it.name, &it.half, &it.zone);
            format!("put upstream {name} of {half} in {zone} at {}", it.address)
        }
        Entry::RemoveUpstream(name) => format!("remove upstream {name}"),
        Entry::SetUpstream(name, state) => format!("set upstream {name} {state}"),
        Entry::ZoneOut(zone) => format!("zone {zone} out of service"),
        Entry::ZoneIn(zone) => format!("zone {zone} back in service"),
        Entry::Quarantine(fingerprint, reason) => format!("quarantine {fingerprint}: {reason}"),
        Entry::Release(fingerprint) => format!("lift the quarantine of {fingerprint}"),
    }
}

/// Runs the command.
///
/// # Errors
///
/// Fails as [`Options::change`] does, and if the files cannot be read.
pub(crate) fn run(mut args: Args) -> Result<Exit, Error> {
    let options = Options::read(&mut args)?;
    let directory = args.path("the directory")?;
    args.finish()?;
    let Some(desired) = check::read(&directory, options.format)? else {
        return Ok(Exit::Mistakes);
    };
    options.change(|fleet| Ok(plan(fleet, &desired)))
}

impl Options {
    /// Takes the options from the command line.
    ///
    /// # Errors
    ///
    /// Fails if one is missing or malformed.
    pub(crate) fn read(args: &mut Args) -> Result<Self, Error> {
        let options = Self {
            format: args.format()?,
            store: Store::new(args.required("--platform")?),
            signature: Signature {
                author: args.required("--author")?,
                reason: args.required("--reason")?,
                settle: args.duration("--settle", SETTLE_DEFAULT)?,
            },
            daemons: args.addresses("--daemons")?,
            wait: args.duration("--wait", WAIT_DEFAULT)?,
            secret_file: args.optional("--secret-file")?,
        };
        if !options.wait.is_zero() && options.secret_file.is_none() {
            let reason = "to wait until the change is in force takes --secret-file; \
                          `--wait 0s` does not wait";
            return Err(Error::Usage(reason.to_owned()));
        }
        Ok(options)
    }

    /// Writes the entries that `build` makes from the fleet in force, waits, and reports.
    ///
    /// # Errors
    ///
    /// Fails if `build` does, if another change came first, or if the platform does not say
    /// what became of the change.
    pub(crate) fn change<F>(&self, build: F) -> Result<Exit, Error>
    where
        F: FnOnce(&Fleet) -> Result<Vec<Entry>, Error>,
    {
        let admin = self.secret_file.as_deref().map(Admin::load).transpose()?;
        let fleet = self.store.fleet()?;
        let entries = build(&fleet)?;
        let mut report = Report {
            version: fleet.version,
            changed: !entries.is_empty(),
            entries: entries.clone(),
            force: None,
        };
        if report.changed {
            report.version = submit(&self.store, &fleet, &self.signature, entries)?;
        }
        if let (Some(admin), false) = (&admin, self.wait.is_zero()) {
            report.force = Some(self.wait_for(admin, report.version));
        }
        print(self.format, &report)?;
        match &report.force {
            Some(force) if !force.everywhere() => Ok(Exit::NotInForce),
            _ => Ok(Exit::Done),
        }
    }

    /// Waits for the given daemons, or else for those that the platform lists.
    fn wait_for(&self, admin: &Admin, version: Version) -> Force {
        let mut daemons = self.daemons.clone();
        if daemons.is_empty() {
            match listed(&self.store) {
                Ok(listed) => daemons = listed,
                Err(error) => eprintln!("primrosehoist: no list of daemons: {error}"),
            }
        }
        if daemons.is_empty() {
            eprintln!("primrosehoist: no daemon is known; name some with --daemons");
            return Force::default();
        }
        wait(admin, &daemons, version, self.wait)
    }
}
