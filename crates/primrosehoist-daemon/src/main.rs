//! The `primrosehoistd` daemon.

mod admin;
mod caller;
mod claims;
mod clock;
mod cluster;
mod command;
mod descriptors;
mod dispatch;
mod gateway;
mod holder;
mod links;
mod log_queue;
mod logging;
mod metrics;
mod node;
mod panics;
mod poison;
mod progress;
mod resident;
mod runtime;
mod scrape;
mod service;
mod settings;
mod shutdown;
mod signals;
mod startup;
mod tasks;
mod watchdog;

use std::io::{self, Write};
use std::process::ExitCode;

use crate::command::Command;

fn main() -> ExitCode {
    match command::read(std::env::args_os().skip(1).collect()) {
        Ok(Command::Print(text)) => {
            // A reader that left, as in `| head -1`, is no failure.
            let _result = write!(io::stdout().lock(), "{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check) => ExitCode::SUCCESS,
        Ok(Command::Gateway(options)) => gateway::run(&options),
        Ok(Command::Run(settings)) => service::run(*settings),
        Err(error) => {
            // The exit code tells it too if nobody reads standard error.
            let _result = writeln!(io::stderr().lock(), "primrosehoistd: {error}");
            ExitCode::from(command::EXIT_USAGE)
        }
    }
}
