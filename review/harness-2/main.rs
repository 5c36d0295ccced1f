//! Stand-ins and scenarios of the second independent review. Standard library only.
//!
//! `harness runner ...` is a runner of the users' platform; `harness SCENARIO` starts the project's
//! store, runners and daemons as processes, plays a case and judges it.

mod case_ahead;
mod case_cold;
mod case_followers;
mod case_stop;
mod fleet;
mod http;
mod runner;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.first().map(String::as_str) {
        Some("runner") => runner::main(&arguments[1..]),
        Some("ahead") => case_ahead::main(),
        Some("cold") => case_cold::main(),
        Some("followers") => case_followers::main(),
        Some("stop") => case_stop::main(),
        _ => {
            eprintln!("usage: harness runner|CASE");
            2
        }
    };
    exit(code);
}
