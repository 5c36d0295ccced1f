//! The command line.

use std::ffi::OsString;
use std::iter;
use std::path::PathBuf;

use log::LevelFilter;
use pico_args::Arguments;
use primrosehoist_platform::settings::Settings as PlatformSettings;
use quick_error::quick_error;

use crate::gateway;
use crate::settings::{self, Settings};

/// The exit code for an invalid command line or invalid settings.
pub(crate) const EXIT_USAGE: u8 = 2;

/// The default port of the metrics, a common port of Prometheus exporters.
const METRICS_PORT: u16 = 9464;

const HELP: &str = "\
Dispatches callers' prompts to the upstreams of the fleet.

usage: primrosehoistd --settings FILE [--check]
       primrosehoistd platform [--metrics-port PORT] [--log-level LEVEL]
       primrosehoistd check FILE

  platform             runs on the users' platform, with the settings file that it writes
  check FILE           checks a settings file of the platform and reports all errors
  --metrics-port PORT  the port of the metrics, 9464 by default
  --log-level LEVEL    error, warn, info or debug; info by default

  --settings FILE      the settings, in TOML
  --check              checks the settings and exits
  --help               prints this text
  --version            prints the version

exit codes:
  0  the daemon shut down after all requests finished, or the check passed
  1  the daemon could not start, a server of it ended, or it shut down before all requests finished
  2  the command line or the settings are invalid; on the platform it waits for valid settings
";

quick_error! {
    /// An error in the command line or in the settings that it names.
    #[derive(Debug)]
    pub enum Error {
        /// An option is missing or malformed.
        Option(source: pico_args::Error) { from() display("{}; see --help", source) }
        /// An argument is unknown.
        Unknown(argument: String) { display("unknown argument {:?}; see --help", argument) }
        /// The platform's settings are invalid.
        Platform(source: primrosehoist_platform::settings::Error) {
            from() display("{}", source)
        }
        /// The settings are invalid.
        Settings(source: settings::Error) { from() display("{}", source) }
    }
}

/// The action that the command line requests.
#[derive(Debug)]
pub(crate) enum Command {
    /// Print the given text.
    Print(String),
    /// Exit after a successful check of the settings.
    Check,
    /// Run the daemon on the users' platform.
    Gateway(gateway::Options),
    /// Run the daemon.
    Run(Box<Settings>),
}

/// Parses the command line and loads the settings that it names.
///
/// # Errors
///
/// Fails if an argument is invalid, or the settings cannot be read or are invalid.
pub(crate) fn read(arguments: Vec<OsString>) -> Result<Command, Error> {
    let mut arguments = Arguments::from_vec(arguments);
    if arguments.contains("--help") {
        return Ok(Command::Print(HELP.to_owned()));
    }
    if arguments.contains("--version") {
        let version = format!("primrosehoistd {}\n", env!("CARGO_PKG_VERSION"));
        return Ok(Command::Print(version));
    }
    match arguments.clone().subcommand()?.as_deref() {
        Some("platform") => return parse_platform(arguments),
        Some("check") => return parse_check(arguments),
        _ => {}
    }
    let check = arguments.contains("--check");
    let path: PathBuf = arguments.value_from_str("--settings")?;
    finish(arguments)?;
    let settings = Box::new(Settings::load(&path)?);
    if check {
        return Ok(Command::Check);
    }
    Ok(Command::Run(settings))
}

fn parse_platform(mut arguments: Arguments) -> Result<Command, Error> {
    let _name = arguments.subcommand()?;
    let options = gateway::Options {
        metrics_port: arguments
            .opt_value_from_str("--metrics-port")?
            .unwrap_or(METRICS_PORT),
        log_level: arguments
            .opt_value_from_str("--log-level")?
            .unwrap_or(LevelFilter::Info),
    };
    finish(arguments)?;
    Ok(Command::Gateway(options))
}

fn parse_check(mut arguments: Arguments) -> Result<Command, Error> {
    let _name = arguments.subcommand()?;
    let path: PathBuf = arguments.free_from_str()?;
    finish(arguments)?;
    let settings = PlatformSettings::load(&path)?;
    let verdict = format!(
        "{}: host {} in zone {} can be run\n",
        path.display(),
        settings.host,
        settings.zone
    );
    let ignored = settings.ignored.iter();
    let ignored = ignored.map(|mistake| format!("ignored: {mistake}\n"));
    let text = iter::once(verdict).chain(ignored).collect();
    Ok(Command::Print(text))
}

fn finish(arguments: Arguments) -> Result<(), Error> {
    match arguments.finish().first() {
        Some(unknown) => Err(Error::Unknown(unknown.to_string_lossy().into_owned())),
        None => Ok(()),
    }
}
