//! Stand-ins for the systems that primrosehoist depends on, such as the platform, an inference
//! engine or a plain service, and load generators. Each stand-in is a small, seeded simulation that
//! counts its requests. A day runs daemons between them through a schedule of troubles.

mod caller;
mod command;
mod connection;
pub mod day;
mod encoding;
mod engine;
mod listener;
mod load;
mod logging;
mod output;
mod platform;
mod published;
mod rate;
mod reply;
mod report;
mod send;
mod service;
mod signals;

use std::process::ExitCode;

use command::Outcome;

const HELP: &str = "\
Stand-ins for demonstrations, tests and measurements of primrosehoist.

Usage: primrosehoist-standin COMMAND [OPTIONS]

Commands:
  platform   serves the platform's object API
  engine     simulates an inference engine
  service    serves a plain service
  store      serves the object store of the users' platform
  runner     serves a runner of the users' platform
  load       sends a mix of requests in an open loop and reports the results
  report     prints tables of load reports and draws plots
  send       sends the prompts and calls of a plan and checks the responses
  day        runs a deployment of real daemons through a seeded day of troubles

Options:
  --help     prints this text, or that of a command
  --version  prints the version

Exit codes: 0 done, or a server ended by SIGTERM or SIGINT; 1 failed while running, 2 invalid
arguments. Servers log which signal ended them, wait for an address that is in use, and ignore SIGHUP.
load, report, send and day end by any signal without a result; day ends what it started first.
";

/// Runs the program with the arguments of the process and returns its exit code.
pub fn run() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    match arguments.subcommand() {
        Ok(Some(name)) => dispatch(&name, arguments),
        Ok(None) => command::finish(run_without_command(arguments)),
        Err(error) => command::finish(Err(error.into())),
    }
}

fn dispatch(name: &str, arguments: pico_args::Arguments) -> ExitCode {
    match name {
        "platform" => command::serve(
            arguments,
            platform::HELP,
            platform::options,
            platform::serve,
        ),
        "engine" => command::serve(arguments, engine::HELP, engine::options, engine::serve),
        "service" => command::serve(arguments, service::HELP, service::options, service::serve),
        "store" => command::serve(
            arguments,
            published::store::HELP,
            published::store::options,
            published::store::serve,
        ),
        "runner" => command::serve(
            arguments,
            published::runner::HELP,
            published::runner::options,
            published::runner::serve,
        ),
        "load" => command::run(arguments, load::HELP, load::options, load::run),
        "report" => command::run(arguments, report::HELP, report::options, report::run),
        "send" => command::run(arguments, send::HELP, send::options, send::run),
        "day" => command::run(arguments, day::HELP, day::options, day::run),
        other => command::finish(Err(command::Error::Command(other.to_owned()))),
    }
}

fn run_without_command(mut arguments: pico_args::Arguments) -> Result<Outcome, command::Error> {
    if let Some(printed) = command::help_or_version(&mut arguments, HELP) {
        return Ok(printed);
    }
    command::reject_rest(arguments)?;
    Err(command::Error::Missing)
}
