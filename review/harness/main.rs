//! Runs one case: starts daemons, stand-ins and clients, and says whether a rule was broken.
//!
//! Usage: harness CASE FOLDER TEMPORARY-FOLDER. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod daemon;
mod http;
mod json;
mod proxy;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// The longest time for a case.
const TIME_MAX: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER TEMPORARY-FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(folder)) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    daemon::watch_time(TIME_MAX);
    let temporary = PathBuf::from(temporary);
    record.line(format!("case {case}, disruption: {trouble}"));
    let outcome = match case.as_str() {
        "restored" => cases::restored::run(&temporary, &record, trouble),
        "shutdown" => cases::shutdown::run(&temporary, &record, trouble),
        "list" => cases::list::run(&temporary, &record, trouble),
        "tainted" => cases::tainted::run(&temporary, &record, trouble),
        "silence" => cases::silence::run(&temporary, &record, trouble),
        _ => Outcome::CannotRun(format!("unknown case {case}")),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::CannotRun(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
