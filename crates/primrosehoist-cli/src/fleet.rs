//! `primrosehoist zone`, `upstream` and `quarantine`: changes that are not made through files.

use std::collections::BTreeMap;
use std::fmt;

use primrosehoist::state::change::Entry;
use primrosehoist::state::fleet::{Fleet, Lifecycle};
use primrosehoist::state::name;
use serde::Serialize;

use crate::args::Args;
use crate::error::Error;
use crate::output::{Exit, print};
use crate::publish::Options;
use crate::store::Store;

/// Takes a zone out of service, or brings it back.
///
/// # Errors
///
/// Fails as [`Options::change`] does, and if no upstream is in the zone.
pub(crate) fn zone(mut args: Args) -> Result<Exit, Error> {
    let out = parse_choice(&args.subcommand()?, "out", "in")?;
    let options = Options::read(&mut args)?;
    let zone: name::Zone = parse_name(&args.positional("the zone")?)?;
    args.finish()?;
    options.change(|fleet| zone_entries(fleet, zone, out))
}

fn zone_entries(fleet: &Fleet, zone: name::Zone, out: bool) -> Result<Vec<Entry>, Error> {
    let is_out = fleet.zones_out.contains(&zone);
    let known = is_out
        || fleet
            .upstreams
            .values()
            .any(|upstream| upstream.zone == zone);
    if !known {
        return Err(Error::Precondition(format!(
            "no upstream is in zone `{zone}`"
        )));
    }
    if is_out == out {
        return Ok(Vec::new());
    }
    let entry = if out {
        Entry::ZoneOut(zone)
    } else {
        Entry::ZoneIn(zone)
    };
    Ok(vec![entry])
}

/// Drains an upstream, or returns it to service.
///
/// # Errors
///
/// Fails as [`Options::change`] does, and if the upstream is unknown.
pub(crate) fn upstream(mut args: Args) -> Result<Exit, Error> {
    let state = if parse_choice(&args.subcommand()?, "leave", "return")? {
        Lifecycle::Leaving
    } else {
        Lifecycle::Live
    };
    let options = Options::read(&mut args)?;
    let name: name::Upstream = parse_name(&args.positional("the upstream")?)?;
    args.finish()?;
    options.change(|fleet| match fleet.upstreams.get(&name) {
        None => Err(Error::Precondition(format!(
            "no upstream is named `{name}`"
        ))),
        Some(upstream) if upstream.state == state => Ok(Vec::new()),
        Some(_) => Ok(vec![Entry::SetUpstream(name, state)]),
    })
}

/// Lists the quarantine, or lifts a fingerprint from it.
///
/// # Errors
///
/// Fails as [`Options::change`] does, and if the fingerprint is unknown.
pub(crate) fn quarantine(mut args: Args) -> Result<Exit, Error> {
    if parse_choice(&args.subcommand()?, "list", "lift")? {
        return list_quarantine(args);
    }
    let options = Options::read(&mut args)?;
    let fingerprint = args.positional("the fingerprint")?;
    args.finish()?;
    options.change(|fleet| {
        if fleet.quarantine.contains_key(&fingerprint) {
            Ok(vec![Entry::Release(fingerprint)])
        } else {
            Err(Error::Precondition(format!(
                "`{fingerprint}` is not quarantined"
            )))
        }
    })
}

/// The quarantined fingerprints with their reasons.
#[derive(Debug, Serialize)]
struct Quarantine {
    quarantine: BTreeMap<String, String>,
}

impl fmt::Display for Quarantine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (fingerprint, reason) in &self.quarantine {
            writeln!(f, "{fingerprint} {reason}")?;
        }
        writeln!(f, "{} quarantined", self.quarantine.len())
    }
}

fn list_quarantine(mut args: Args) -> Result<Exit, Error> {
    let format = args.format()?;
    let store = Store::new(args.required("--platform")?);
    args.finish()?;
    let quarantine = store.fleet()?.quarantine.into_iter().collect();
    print(format, &Quarantine { quarantine })?;
    Ok(Exit::Done)
}

/// Returns whether `word` is `first` rather than `second`.
fn parse_choice(word: &str, first: &str, second: &str) -> Result<bool, Error> {
    if word == first {
        return Ok(true);
    }
    if word == second {
        return Ok(false);
    }
    Err(Error::Usage(format!(
        "expected `{first}` or `{second}`, found `{word}`"
    )))
}

fn parse_name<'w, T>(word: &'w str) -> Result<T, Error>
where
    T: TryFrom<&'w str, Error = name::Error>,
{
    T::try_from(word).map_err(|error| Error::Usage(format!("`{word}`: {error}")))
}
