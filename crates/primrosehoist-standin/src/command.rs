//! Command-line parsing and exit codes of the program and its subcommands.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;

use pico_args::Arguments;
use quick_error::quick_error;
use tokio::runtime::{Builder, Runtime};

use crate::signals::Signals;
use crate::{logging, output};

/// The exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;
/// The option that sets the address to listen on.
const LISTEN: &str = "--listen";

quick_error! {
    /// An error of a command.
    #[derive(Debug)]
    pub enum Error {
        /// The name of the command is unknown.
        Command(name: String) { display("unknown command {:?}; see --help", name) }
        /// No command was given.
        Missing { display("a command is missing; see --help") }
        /// The command line cannot be parsed.
        Line(error: pico_args::Error) { from() display("{}; see --help", error) }
        /// An option is missing or its value is invalid.
        Option(key: &'static str, error: pico_args::Error) {
            display("{}: {}; see --help", key, error)
        }
        /// An argument is unknown.
        Unknown(argument: String) { display("unknown argument {:?}; see --help", argument) }
        /// A value is outside of its range.
        Range(reason: String) { display("{}; see --help", reason) }
        /// A file cannot be read or its contents are invalid.
        File(path: String, reason: String) { display("reading {}: {}", path, reason) }
        /// The runtime, logger or listener failed.
        Run(step: &'static str, error: io::Error) { display("{}: {}", step, error) }
    }
}

impl Error {
    fn exit_code(&self) -> ExitCode {
        match self {
            Error::Run(..) => ExitCode::FAILURE,
            _ => ExitCode::from(EXIT_USAGE),
        }
    }
}

/// The successful result of a command.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The text has to be printed; no command ran.
    Print(String),
    /// The command finished.
    Done,
}

/// Returns the help or version text if it was requested.
pub(crate) fn help_or_version(arguments: &mut Arguments, help: &str) -> Option<Outcome> {
    if arguments.contains("--help") {
        return Some(Outcome::Print(help.to_owned()));
    }
    if arguments.contains("--version") {
        let version = concat!("primrosehoist-standin ", env!("CARGO_PKG_VERSION"), "\n");
        return Some(Outcome::Print(version.to_owned()));
    }
    None
}

/// Rejects arguments that were not consumed.
///
/// # Errors
///
/// Returns [`Error::Unknown`] with the first remaining argument.
pub(crate) fn reject_rest(arguments: Arguments) -> Result<(), Error> {
    match arguments.finish().first() {
        Some(first) => Err(Error::Unknown(first.to_string_lossy().into_owned())),
        None => Ok(()),
    }
}

/// Reads an option that has a default.
///
/// # Errors
///
/// Returns [`Error::Option`] if the value cannot be parsed.
pub(crate) fn value<T>(arguments: &mut Arguments, key: &'static str, default: T) -> Result<T, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    Ok(optional(arguments, key)?.unwrap_or(default))
}

/// Reads an optional option.
///
/// # Errors
///
/// Returns [`Error::Option`] if the value cannot be parsed.
pub(crate) fn optional<T>(arguments: &mut Arguments, key: &'static str) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let given = arguments.opt_value_from_str(key);
    given.map_err(|error| Error::Option(key, error))
}

/// Reads a required option.
///
/// # Errors
///
/// Returns [`Error::Option`] if it is missing or cannot be parsed.
pub(crate) fn required<T>(arguments: &mut Arguments, key: &'static str) -> Result<T, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let given = arguments.value_from_str(key);
    given.map_err(|error| Error::Option(key, error))
}

/// A comma-separated list of addresses.
#[derive(Debug, Clone)]
pub(crate) struct Addresses(pub(crate) Vec<SocketAddr>);

impl FromStr for Addresses {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Addresses, Self::Err> {
        let parsed: Result<_, _> = text.split(',').map(str::parse).collect();
        parsed.map(Addresses)
    }
}

/// Reads the address to listen on.
///
/// # Errors
///
/// Returns [`Error::Option`] if it is missing or not a valid address.
pub(crate) fn listen(arguments: &mut Arguments) -> Result<SocketAddr, Error> {
    required(arguments, LISTEN)
}

/// Parses the options of a subcommand, runs it to completion and returns the exit code.
pub(crate) fn run<Options, Parse, Serve, Running>(
    mut arguments: Arguments,
    help: &str,
    parse: Parse,
    serve: Serve,
) -> ExitCode
where
    Parse: FnOnce(&mut Arguments) -> Result<Options, Error>,
    Serve: FnOnce(Options) -> Running,
    Running: Future<Output = io::Result<()>>,
{
    if let Some(printed) = help_or_version(&mut arguments, help) {
        return finish(Ok(printed));
    }
    let ended = runtime().and_then(|runtime| start(runtime, arguments, parse, serve));
    finish(ended)
}

/// Does as [`run`] does, for a server that runs until SIGTERM or SIGINT.
pub(crate) fn serve<Options, Parse, Serve, Running>(
    mut arguments: Arguments,
    help: &str,
    parse: Parse,
    serve: Serve,
) -> ExitCode
where
    Parse: FnOnce(&mut Arguments) -> Result<Options, Error>,
    Serve: FnOnce(Options) -> Running,
    Running: Future<Output = io::Result<()>>,
{
    if let Some(printed) = help_or_version(&mut arguments, help) {
        return finish(Ok(printed));
    }
    let ended = runtime().and_then(|runtime| {
        let signals = Signals::install(&runtime);
        let mut signals = signals.map_err(|error| Error::Run("handling signals", error))?;
        start(runtime, arguments, parse, |options| async move {
            tokio::select! {
                signal = signals.end() => {
                    log::warn!("ended by {signal}");
                    Ok(())
                }
                served = serve(options) => served,
            }
        })
    });
    finish(ended)
}

fn runtime() -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::Run("starting the runtime", error))
}

fn start<Options, Parse, Serve, Running>(
    runtime: Runtime,
    mut arguments: Arguments,
    parse: Parse,
    serve: Serve,
) -> Result<Outcome, Error>
where
    Parse: FnOnce(&mut Arguments) -> Result<Options, Error>,
    Serve: FnOnce(Options) -> Running,
    Running: Future<Output = io::Result<()>>,
{
    let level = value(&mut arguments, "--log", log::LevelFilter::Warn)?;
    let options = parse(&mut arguments)?;
    reject_rest(arguments)?;
    logging::start(level)?;
    let ended = runtime.block_on(serve(options));
    runtime.shutdown_background();
    ended.map_err(|error| Error::Run("running", error))?;
    Ok(Outcome::Done)
}

/// Prints the text or the error of a result and returns the exit code.
pub(crate) fn finish(result: Result<Outcome, Error>) -> ExitCode {
    let finished = result.and_then(|outcome| match outcome {
        Outcome::Print(text) => output::print(text).map_err(|error| Error::Run("printing", error)),
        Outcome::Done => Ok(()),
    });
    match finished {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output::tell(format_args!("primrosehoist-standin: {error}"));
            error.exit_code()
        }
    }
}
