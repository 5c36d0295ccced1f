//! Short days of real processes; `primrosehoist-standin day` plays longer ones by hand.
//!
//! `PRIMROSEHOIST_DAY_SEED` sets the seed.

mod common;

use std::process::Command;

use common::process::program;

const SECONDS: &str = "60";

/// Plays the day of a seed, or of the one in the environment.
fn play(seed: &str) {
    let seed = std::env::var("PRIMROSEHOIST_DAY_SEED").unwrap_or_else(|_| seed.to_owned());
    let own = std::process::id();
    let logs = std::env::temp_dir().join(format!("primrosehoist-day-soak-{own}-{seed}"));
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

#[test]
fn overlapping_restarts_leave_no_process_ended_or_idle() {
    play("2");
}

#[test]
fn roll_of_all_hosts_without_the_store_goes_on_serving() {
    play("115");
}

#[test]
fn odd_objects_beside_kills_of_all_hosts_keep_nobody_from_serving() {
    play("21");
}
