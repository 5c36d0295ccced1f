//! `primrosehoist publish`, and the parts shared by all commands that change the configuration.

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
use crate::output::{Exit, Format, print, tell};
use crate::store::Store;
use crate::submit::{Submission, submit};
use crate::wait::{Rollout, listed_daemons, wait};

/// The default of `--wait`: how long a command waits until its change is in force.
const WAIT_DEFAULT: Duration = Duration::from_secs(10);

/// The default of `--settle`: how long a change is retried while the platform does not respond.
const SETTLE_DEFAULT: Duration = Duration::from_secs(15);

/// The options of every command that changes the configuration.
#[derive(Debug)]
pub(crate) struct Options {
    format: Format,
    store: Store,
    submission: Submission,
    daemons: Vec<SocketAddr>,
    wait: Duration,
    secret_file: Option<PathBuf>,
}

/// The result of a command that changes the configuration.
#[derive(Debug, Serialize)]
struct Report {
    /// The version of the configuration stored in the platform.
    version: Version,
    /// Whether this command wrote a change.
    changed: bool,
    entries: Vec<Entry>,
    /// The rollout state; absent if the command did not wait.
    #[serde(rename = "force")]
    rollout: Option<Rollout>,
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
        let Some(rollout) = &self.rollout else {
            return writeln!(f, "not waited until it is in force");
        };
        if rollout.is_complete() {
            return writeln!(f, "in force at {} daemons", rollout.obeyed.len());
        }
        writeln!(
            f,
            "not yet in force everywhere; obeyed by {}",
            rollout.obeyed.len()
        )?;
        for missing in &rollout.missing {
            writeln!(f, "  {}: {}", missing.daemon, missing.state)?;
        }
        Ok(())
    }
}

/// Returns a human-readable line about one entry.
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
    let Some(desired) = check::read_fleet(&directory, options.format)? else {
        return Ok(Exit::Invalid);
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
            submission: Submission {
                author: args.required("--author")?,
                reason: args.required("--reason")?,
                settle_timeout: args.duration("--settle", SETTLE_DEFAULT)?,
            },
            daemons: args.addresses("--daemons")?,
            wait: args.duration("--wait", WAIT_DEFAULT)?,
            secret_file: args.optional("--secret-file")?,
        };
        if !options.wait.is_zero() && options.secret_file.is_none() {
            let reason = "waiting until the change is in force requires --secret-file; \
                          `--wait 0s` does not wait";
            return Err(Error::Usage(reason.to_owned()));
        }
        Ok(options)
    }

    /// Writes the entries that `build` derives from the current fleet, waits until they are in
    /// force, and prints the result.
    ///
    /// # Errors
    ///
    /// Fails if `build` does, if another change was accepted first, or if the platform does not
    /// confirm the change.
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
            rollout: None,
        };
        if report.changed {
            report.version = submit(&self.store, &fleet, &self.submission, entries)?;
        }
        if let (Some(admin), false) = (&admin, self.wait.is_zero()) {
            if report.changed {
                tell(format_args!(
                    "version {} was accepted; waiting until it is in force",
                    report.version
                ));
            }
            report.rollout = Some(self.wait_for(admin, report.version));
        }
        print(self.format, &report).map_err(|error| {
            if report.changed {
                Error::Unprinted(report.version, Box::new(error))
            } else {
                error
            }
        })?;
        match &report.rollout {
            Some(rollout) if !rollout.is_complete() => Ok(Exit::NotInForce),
            _ => Ok(Exit::Done),
        }
    }

    /// Waits for the daemons given by `--daemons`, or else for those that the platform lists.
    fn wait_for(&self, admin: &Admin, version: Version) -> Rollout {
        let mut daemons = self.daemons.clone();
        if daemons.is_empty() {
            match listed_daemons(&self.store) {
                Ok(listed) => daemons = listed,
                Err(error) => tell(format_args!("cannot list the daemons: {error}")),
            }
        }
        if daemons.is_empty() {
            tell("no daemons are known; pass their addresses with --daemons");
            return Rollout::default();
        }
        wait(admin, &daemons, version, self.wait)
    }
}
