//! Command-line tool for operators of a primrosehoist fleet.

mod admin;
mod args;
mod audit;
mod backoff;
mod check;
mod collect;
mod drain;
mod error;
mod explain;
mod fleet;
mod help;
mod http;
mod key;
mod output;
mod publish;
mod status;
mod store;
mod submit;
mod wait;

use std::process::ExitCode;

use args::Args;
use error::Error;
use output::Exit;

fn main() -> ExitCode {
    let exit = match run(Args::from_env()) {
        Ok(exit) => exit,
        Err(error) => {
            output::tell(&error);
            error.exit()
        }
    };
    ExitCode::from(exit as u8)
}

fn run(mut args: Args) -> Result<Exit, Error> {
    let command = args.subcommand()?;
    if args.flag("--help") {
        output::write(format_args!("{}\n", help::text(&command)?))?;
        return Ok(Exit::Done);
    }
    if args.flag("--version") {
        output::write(concat!("primrosehoist ", env!("CARGO_PKG_VERSION"), "\n"))?;
        return Ok(Exit::Done);
    }
    match command.as_str() {
        "check" => check::run(args),
        "publish" => publish::run(args),
        "status" => status::run(args),
        "zone" => fleet::zone(args),
        "upstream" => fleet::upstream(args),
        "quarantine" => fleet::quarantine(args),
        "audit" => audit::run(args),
        "drain" => drain::run(args),
        "explain" => explain::run(args),
        "key" => key::run(args),
        "" => Err(Error::Usage("a command is missing".to_owned())),
        other => Err(Error::Usage(format!("unknown command `{other}`"))),
    }
}
