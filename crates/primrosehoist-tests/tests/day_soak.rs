//! A short day of real processes; `primrosehoist-standin day` plays longer ones and other seeds by hand.
//!
//! `PRIMROSEHOIST_DAY_SEED` sets the seed.

mod common;

use std::process::Command;

use common::process::program;

/// A day on which a roll and a kill overlap with troubles of the store.
const SEED: &str = "2";

const SECONDS: &str = "60";

#[test]
fn day_of_real_processes_ends_without_a_finding() {
    let seed = std::env::var("PRIMROSEHOIST_DAY_SEED").unwrap_or_else(|_| SEED.to_owned());
    let logs = std::env::temp_dir().join(format!("primrosehoist-day-soak-{}", std::process::id()));
    let played = Command::new(program("primrosehoist-standin"))
        .args(["day", "--seed", &seed, "--seconds", SECONDS, "--logs"])
        .arg(&logs)
        .arg("--daemon")
        .arg(program("primrosehoistd"))
        .output()
        .expect("the day is played (build the bins first)");
    let text = common::text(&played);
    assert!(played.status.success(), "logs: {}\n{text}", logs.display());
    println!("{text}");
    std::fs::remove_dir_all(&logs).expect("the logs are removed");
}
