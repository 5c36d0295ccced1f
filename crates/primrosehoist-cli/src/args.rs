//! Command-line parsing.

use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::error::Error;
use crate::output::Format;

/// The longest accepted duration.
const DURATION_MAX: Duration = Duration::from_secs(60 * 60);

/// The arguments that have not been consumed yet.
#[derive(Debug)]
pub(crate) struct Args(pico_args::Arguments);

impl Args {
    /// Returns the arguments of this process.
    pub(crate) fn from_env() -> Self {
        Self(pico_args::Arguments::from_env())
    }

    /// Takes the next positional argument; empty if an option or nothing follows.
    pub(crate) fn subcommand(&mut self) -> Result<String, Error> {
        let word = self.0.subcommand()?;
        Ok(word.unwrap_or_default())
    }

    /// Takes a flag and returns whether it was given.
    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.0.contains(key)
    }

    /// Takes the value of a required option.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Result<T, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.0.value_from_str(key)?)
    }

    /// Takes the value of an option, if it is given.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Result<Option<T>, Error>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.0.opt_value_from_str(key)?)
    }

    /// Takes a duration with a unit, such as `10s`, of at most one hour.
    pub(crate) fn duration(
        &mut self,
        key: &'static str,
        default: Duration,
    ) -> Result<Duration, Error> {
        let parsed = self.0.opt_value_from_fn(key, humantime::parse_duration)?;
        let duration = parsed.unwrap_or(default);
        if duration > DURATION_MAX {
            return Err(Error::Usage(format!("{key} exceeds one hour")));
        }
        Ok(duration)
    }

    /// Takes a comma-separated list of addresses; empty if the option is absent.
    pub(crate) fn addresses(&mut self, key: &'static str) -> Result<Vec<SocketAddr>, Error> {
        let values = self.optional::<String>(key)?.unwrap_or_default();
        let items = values.split(',').filter(|item| !item.is_empty());
        let parse = |item: &str| {
            item.parse()
                .ok()
                .ok_or_else(|| Error::Usage(format!("`{item}` of {key} is not an address ip:port")))
        };
        items.map(parse).collect()
    }

    /// Takes the output format.
    pub(crate) fn format(&mut self) -> Result<Format, Error> {
        Ok(self.optional("--output")?.unwrap_or(Format::Text))
    }

    /// Takes a required positional argument; `what` names it in the error.
    pub(crate) fn positional(&mut self, what: &str) -> Result<String, Error> {
        let word = self.0.opt_free_from_str::<String>()?;
        word.ok_or_else(|| Error::Usage(format!("{what} is missing")))
    }

    /// Takes a required path; `what` names it in the error.
    pub(crate) fn path(&mut self, what: &str) -> Result<PathBuf, Error> {
        self.positional(what).map(PathBuf::from)
    }

    /// Fails if any argument has not been consumed.
    pub(crate) fn finish(self) -> Result<(), Error> {
        let rest: Vec<OsString> = self.0.finish();
        match rest.first() {
            None => Ok(()),
            Some(first) => Err(Error::Usage(format!(
                "unexpected argument `{}`",
                first.to_string_lossy()
            ))),
        }
    }
}
