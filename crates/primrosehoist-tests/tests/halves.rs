//! Tests that move upstreams from one half of the organisation to the other.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use common::load::{Load, Plan, Record, assert_correct};
use common::{Fleet, Layout, counts};

/// The time within which a change must be in force, in milliseconds.
const IN_FORCE_WITHIN_MS: u64 = 4000;

/// The time that an engine takes for one token, in milliseconds.
const DECODE_MS: u64 = 20;

/// The tokens of an answer for north: many, so that requests are in flight during the change.
const NORTH_TOKENS: usize = 100;

/// The tokens of an answer for south: few, so that some caller is always about to send.
const SOUTH_TOKENS: usize = 10;

const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// A request that an engine ran.
#[derive(Debug)]
struct Run {
    south: bool,
    at_ms: u64,
}

/// Returns the requests that the engine at `address` completed, by arrival time.
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
    /// Returns the earliest possible end: the arrival plus the time of the tokens after the first.
    fn earliest_end_ms(&self) -> u64 {
        let tokens = if self.south {
            SOUTH_TOKENS
        } else {
            NORTH_TOKENS
        };
        self.at_ms + DECODE_MS * (tokens as u64 - 1)
    }
}

fn halves(records: &[Record]) -> HashMap<String, bool> {
    let requests = records.iter().filter_map(|record| {
        let request = record.answer.request_id.clone()?;
        Some((request, record.key == "key-south"))
    });
    requests.collect()
}

/// Returns the number of requests that began while one of the other half was certainly running.
fn mixed(runs: &[Run]) -> usize {
    let starts = runs.iter().enumerate();
    starts
        .filter(|(index, run)| {
            runs[..*index]
                .iter()
                .any(|other| other.south != run.south && run.at_ms < other.earliest_end_ms())
        })
        .count()
}

#[test]
fn an_upstream_moved_under_load_never_serves_both_halves_at_once() {
    let mut fleet = Fleet::start(Layout {
        any_model: true,
        // North leaves slots free and south lacks them, so south uses a moved engine immediately.
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
        "the new half uses the engine, and only after the change"
    );
    assert!(
        last_north.is_some_and(|at| at <= in_force_by),
        "the former half used the engine, and stopped in time"
    );
    assert_eq!(mixed(&moved), 0, "requests of both halves at the same time");
    for engine in &fleet.engines[1..] {
        let own = engine.half == "south";
        let completed = runs(&engine.address, &halves);
        assert!(
            completed.iter().all(|run| run.south == own),
            "{} served both halves",
            engine.name
        );
    }
    assert_eq!(fleet.engine_sum("overloads"), 0);
}
