//! Suspicion, isolation and quarantine of requests.

use std::time::Duration;

use arbtest::arbtest;
use primrosehoist::coordination::poison::{
    HEARD_PATIENCE, Ledger, PENDING_MAX, REPORT_MAX, REPORTS_MAX, Report, SUSPECTS_MAX,
    SUSPICION_MAX, Standing,
};
use primrosehoist::state::fleet::Fleet;
use tokio::time::Instant;

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn the_second_death_alone_quarantines() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    assert_eq!(ledger.upstream_died(&names(&["a", "b"]), now), None);
    assert!(ledger.is_suspect("a", now) && ledger.is_suspect("b", now));
    ledger.completed("b");
    assert!(!ledger.is_suspect("b", now));
    let quarantined = ledger.upstream_died(&names(&["a"]), now);
    assert_eq!(quarantined.as_deref(), Some("a"));
    assert!(ledger.is_quarantined(&Fleet::default(), "a"));
}

#[test]
fn an_operator_can_release() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.upstream_died(&names(&["a"]), now);
    ledger.upstream_died(&names(&["a"]), now);
    let mut fleet = Fleet::default();
    fleet.quarantine.insert("a".to_owned(), String::new());
    ledger.confirm(&fleet);
    assert!(ledger.pending().is_empty() && ledger.is_quarantined(&fleet, "a"));
    let released = Fleet::default();
    assert!(!ledger.is_quarantined(&released, "a") && !ledger.is_suspect("a", now));
}

#[test]
fn suspicion_passes_with_time() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    ledger.suspect(&"a".to_owned(), now);
    ledger.suspect(&"a".to_owned(), now);
    let later = now + SUSPICION_MAX;
    assert!(ledger.is_suspect("a", now) && !ledger.is_suspect("a", later));
    assert_eq!(ledger.upstream_died(&names(&["a"]), later), None);
}

#[test]
fn a_request_is_quarantined_only_after_a_death_alone() {
    arbtest(|u| {
        let mut now = Instant::now();
        let mut ledger = Ledger::default();
        for _ in 0..50 {
            now += Duration::from_secs(u.int_in_range(0..=600)?);
            let count = u.int_in_range(0..=3)?;
            let running: Vec<String> = (0..count)
                .map(|_| Ok(u.int_in_range(0..=5)?.to_string()))
                .collect::<arbtest::arbitrary::Result<_>>()?;
            let suspected = running.iter().all(|name| ledger.is_suspect(name, now));
            let found = ledger.upstream_died(&running, now);
            assert_eq!(found.is_some(), running.len() == 1 && suspected);
        }
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn a_report_is_news_once() {
    let now = Instant::now();
    let fleet = Fleet::default();
    let report = |standing| Report {
        fingerprint: "a".to_owned(),
        standing,
    };
    let mut ledger = Ledger::default();
    assert!(ledger.hear(&report(Standing::Suspect), &fleet, now));
    assert!(!ledger.hear(&report(Standing::Suspect), &fleet, now));
    assert_eq!(ledger.reports(now), [report(Standing::Suspect)]);
    assert!(ledger.reports(now + REPORT_MAX).is_empty());
    assert!(ledger.hear(&report(Standing::Quarantined), &fleet, now));
    assert!(!ledger.hear(&report(Standing::Quarantined), &fleet, now));
    assert!(!ledger.hear(&report(Standing::Suspect), &fleet, now));
    assert_eq!(
        ledger.reports(now + SUSPICION_MAX),
        [report(Standing::Quarantined)]
    );
    let mut recorded = Fleet::default();
    recorded.quarantine.insert("a".to_owned(), String::new());
    ledger.confirm(&recorded);
    assert!(!ledger.hear(&report(Standing::Quarantined), &recorded, now));
    assert!(ledger.reports(now).is_empty() && ledger.is_empty());
}

#[test]
fn the_finder_records_a_quarantine_first() {
    let now = Instant::now();
    let mut finder = Ledger::default();
    finder.upstream_died(&names(&["a"]), now);
    finder.upstream_died(&names(&["a"]), now);
    assert_eq!(finder.due(now), ["a"]);
    let mut other = Ledger::default();
    for report in finder.reports(now) {
        other.hear(&report, &Fleet::default(), now);
    }
    assert!(other.due(now).is_empty());
    assert_eq!(other.due(now + HEARD_PATIENCE), ["a"]);
}

#[test]
fn the_ledger_is_bounded() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for index in 0..SUSPECTS_MAX + 10 {
        let at = now + Duration::from_millis(index as u64);
        ledger.suspect(&index.to_string(), at);
    }
    assert_eq!(ledger.len(), SUSPECTS_MAX);
    assert!(!ledger.is_suspect("9", now) && ledger.is_suspect("10", now));
    for index in 0..PENDING_MAX + 10 {
        ledger.upstream_died(
            &names(&[&format!("p{index}")]),
            now + Duration::from_secs(60),
        );
        ledger.upstream_died(
            &names(&[&format!("p{index}")]),
            now + Duration::from_secs(60),
        );
    }
    assert_eq!(ledger.pending().len(), PENDING_MAX);
    assert_eq!(ledger.reports(now).len(), REPORTS_MAX);
}
