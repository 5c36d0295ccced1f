//! Tests of suspicion and quarantine of poison requests.

use std::time::Duration;

use primrosehoist::coordination::poison::{
    Ledger, PENDING_MAX, REMOTE_RECORD_DELAY, REPORT_AGE_MAX, REPORTS_MAX, Report, SUSPECTS_MAX,
    SUSPICION_AGE_MAX, Standing,
};
use primrosehoist::state::fleet::Fleet;
use primrosehoist_property::{arbitrary, check};
use tokio::time::Instant;

fn fingerprints(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn second_crash_of_a_request_that_ran_alone_quarantines_it() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    assert_eq!(
        ledger.upstream_crashed(&fingerprints(&["a", "b"]), now),
        None
    );
    assert!(ledger.is_suspect("a", now) && ledger.is_suspect("b", now));
    ledger.completed("b");
    assert!(!ledger.is_suspect("b", now));
    let quarantined = ledger.upstream_crashed(&fingerprints(&["a"]), now);
    assert_eq!(quarantined.as_deref(), Some("a"));
    assert!(ledger.is_quarantined(&Fleet::default(), "a"));
}

#[test]
fn operator_can_release_a_quarantined_request() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.upstream_crashed(&fingerprints(&["a"]), now);
    ledger.upstream_crashed(&fingerprints(&["a"]), now);
    let mut fleet = Fleet::default();
    fleet.quarantine.insert("a".to_owned(), String::new());
    ledger.confirm(&fleet);
    assert!(ledger.pending().is_empty() && ledger.is_quarantined(&fleet, "a"));
    let released = Fleet::default();
    assert!(!ledger.is_quarantined(&released, "a") && !ledger.is_suspect("a", now));
}

#[test]
fn suspicion_expires() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.add_suspect(&"a".to_owned(), now);
    ledger.add_suspect(&"a".to_owned(), now);
    let later = now + SUSPICION_AGE_MAX;
    assert!(ledger.is_suspect("a", now) && !ledger.is_suspect("a", later));
    assert_eq!(ledger.upstream_crashed(&fingerprints(&["a"]), later), None);
}

#[test]
fn request_is_quarantined_only_if_it_crashes_an_upstream_alone() {
    check(7_000, |u| {
        let mut now = Instant::now();
        let mut ledger = Ledger::default();
        for _ in 0..50 {
            now += Duration::from_secs(u.int_in_range(0..=600)?);
            let count = u.int_in_range(0..=3)?;
            let running: Vec<String> = (0..count)
                .map(|_| Ok(u.int_in_range(0..=5)?.to_string()))
                .collect::<arbitrary::Result<_>>()?;
            let suspected = running.iter().all(|name| ledger.is_suspect(name, now));
            let found = ledger.upstream_crashed(&running, now);
            assert_eq!(found.is_some(), running.len() == 1 && suspected);
        }
        Ok(())
    });
}

#[test]
fn repeated_report_changes_nothing() {
    let now = Instant::now();
    let fleet = Fleet::default();
    let report = |standing| Report {
        fingerprint: "a".to_owned(),
        standing,
    };
    let mut ledger = Ledger::default();
    assert!(ledger.merge(&report(Standing::Suspect), &fleet, now));
    assert!(!ledger.merge(&report(Standing::Suspect), &fleet, now));
    assert_eq!(ledger.reports(now), [report(Standing::Suspect)]);
    assert!(ledger.reports(now + REPORT_AGE_MAX).is_empty());
    assert!(ledger.merge(&report(Standing::Quarantined), &fleet, now));
    assert!(!ledger.merge(&report(Standing::Quarantined), &fleet, now));
    assert!(!ledger.merge(&report(Standing::Suspect), &fleet, now));
    assert_eq!(
        ledger.reports(now + SUSPICION_AGE_MAX),
        [report(Standing::Quarantined)]
    );
    let mut recorded = Fleet::default();
    recorded.quarantine.insert("a".to_owned(), String::new());
    ledger.confirm(&recorded);
    assert!(!ledger.merge(&report(Standing::Quarantined), &recorded, now));
    assert!(ledger.reports(now).is_empty() && ledger.is_empty());
}

#[test]
fn daemon_that_finds_a_quarantine_records_it_first() {
    let now = Instant::now();
    let mut origin = Ledger::default();
    origin.upstream_crashed(&fingerprints(&["a"]), now);
    origin.upstream_crashed(&fingerprints(&["a"]), now);
    assert_eq!(origin.due(now), ["a"]);
    let mut other = Ledger::default();
    for report in origin.reports(now) {
        other.merge(&report, &Fleet::default(), now);
    }
    assert!(other.due(now).is_empty());
    assert_eq!(other.due(now + REMOTE_RECORD_DELAY), ["a"]);
}

#[test]
fn ledger_size_is_bounded() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for index in 0..SUSPECTS_MAX + 10 {
        let at = now + Duration::from_millis(index as u64);
        ledger.add_suspect(&index.to_string(), at);
    }
    assert_eq!(ledger.len(), SUSPECTS_MAX);
    assert!(!ledger.is_suspect("9", now) && ledger.is_suspect("10", now));
    for index in 0..PENDING_MAX + 10 {
        ledger.upstream_crashed(
            &fingerprints(&[&format!("p{index}")]),
            now + Duration::from_secs(60),
        );
        ledger.upstream_crashed(
            &fingerprints(&[&format!("p{index}")]),
            now + Duration::from_secs(60),
        );
    }
    assert_eq!(ledger.pending().len(), PENDING_MAX);
    assert_eq!(ledger.reports(now).len(), REPORTS_MAX);
}
