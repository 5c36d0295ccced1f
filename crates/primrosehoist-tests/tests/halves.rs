//! Upstreams that move from one half of the organisation to the other.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::load::{Load, Plan, Record, assert_correct};
use common::{Fleet, Layout, counts};

/// The time within which a change must be in force, in milliseconds.
const IN_FORCE_WITHIN_MS: u64 = 4000;

/// The time that an engine takes for one token, in milliseconds.
const DECODE_MS: u64 = 20;

/// The tokens of an answer for north: it runs for long, so that a change finds it in flight.
const NORTH_TOKENS: usize = 100;

/// The tokens of an answer for south: some caller is always about to ask.
const SOUTH_TOKENS: usize = 10;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// A request that an engine ran.
#[derive(Debug)]
struct Run {
    south: bool,
    at_ms: u64,
}

/// Returns the requests that the engine at `address` took in, by arrival.
fn runs(address: &str, halves: &HashMap<String, bool>) -> Vec<Run> {
    let counts = counts(address);
    let attempts = counts["attempts"].as_array().expect("attempts are listed");
    let ran = attempts.iter().filter(|a| a["state"] == "completed");
    let mut runs: Vec<Run> = ran
        .map(|attempt| {
            let id = attempt["id"].as_str().expect("an attempt has an id");
            let (request, _number) = id.rsplit_once('-').expect("an attempt has a number");
            Run {
                south: halves[request],
                at_ms: attempt["at_ms"].as_u64().expect("an attempt has a time"),
            }
        })
        .collect();
    runs.sort_by_key(|run| run.at_ms);
    runs
}

impl Run {
    /// Returns a time until which it certainly ran: that of its tokens after the first.
    fn least_end_ms(&self) -> u64 {
        let tokens = if self.south {
            SOUTH_TOKENS
        } else {
            NORTH_TOKENS
        };
        self.at_ms + DECODE_MS * (tokens as u64 - 1)
    }
}

fn halves(records: &[Record]) -> HashMap<String, bool> {
    let named = records.iter().filter_map(|record| {
        let request = record.answer.request_id.clone()?;
        Some((request, record.key == "key-south"))
    });
    named.collect()
}

/// Returns the requests that began while one of the other half certainly ran.
fn mixed(runs: &[Run]) -> usize {
    let starts = runs.iter().enumerate();
    starts
        .filter(|(index, run)| {
            runs[..*index]
                .iter()
                .any(|other| other.south != run.south && run.at_ms < other.least_end_ms())
        })
        .count()
}

#[test]
fn an_upstream_changes_halves_under_load_and_never_serves_both() {
    let mut fleet = Fleet::start(Layout {
        any_model: true,
        // North leaves slots free and south lacks them, so south sends wherever it may at once.
        cold_requests: 4,
        warm_requests: 4,
        engine_arguments: vec!["--prefill-rate", "200000", "--decode-ms", "20"],
        ..Layout::default()
    });
    let plan = |half, callers_per_daemon, max_tokens| Plan {
        callers_per_daemon,
        max_tokens,
        half,
        ..Plan::default()
    };
    let north = Load::start(&fleet, &ALL, &plan("north", 1, NORTH_TOKENS));
    let south = Load::start(&fleet, &ALL, &plan("south", 4, SOUTH_TOKENS));
    std::thread::sleep(Duration::from_secs(5));
    assert_eq!(fleet.engines[0].half, "north");
    fleet.engines[0].half = "south";
    let published = fleet.publish_changed("an engine for south");
    std::thread::sleep(Duration::from_millis(IN_FORCE_WITHIN_MS + 4000));
    let mut records = north.stop();
    records.extend(south.stop());

    assert_correct(&records, "all", 100, |_| true);
    let halves = halves(&records);
    let moved = runs(&fleet.engines[0].address, &halves);
    let in_force_by = published + IN_FORCE_WITHIN_MS;
    let first_south = moved.iter().find(|run| run.south).map(|run| run.at_ms);
    let last_north = moved.iter().rfind(|run| !run.south).map(|run| run.at_ms);
    println!(
        "first of south {:?} ms, last of north {:?} ms after the change; {} runs, {} mixed",
        first_south.map(|at| at.cast_signed() - published.cast_signed()),
        last_north.map(|at| at.cast_signed() - published.cast_signed()),
        moved.len(),
        mixed(&moved),
    );
    assert!(
        first_south.is_some_and(|at| at > published),
        "the new half uses it, and only then"
    );
    assert!(
        last_north.is_some_and(|at| at <= in_force_by),
        "the former half used it, and stopped"
    );
    assert_eq!(mixed(&moved), 0, "requests of both halves at the same time");
    for engine in &fleet.engines[1..] {
        let own = engine.half == "south";
        let strays = runs(&engine.address, &halves);
        assert!(
            strays.iter().all(|run| run.south == own),
            "{} served both",
            engine.name
        );
    }
    assert_eq!(fleet.engine_sum("overloads"), 0);
}
