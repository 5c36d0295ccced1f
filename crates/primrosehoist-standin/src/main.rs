//! The `primrosehoist-standin` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    primrosehoist_standin::run()
}
