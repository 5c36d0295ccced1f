//! Tests what upstreams say of themselves in answers: that they are about to leave, and until when they
//! want no requests.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::{Map, Set};
use primrosehoist::state::occupancy::Key;
use primrosehoist::state::rate::{Limit, Notice};
use primrosehoist::state::roster::{Phase, Roster, Upstream};
use primrosehoist_property::{arbitrary, check};
use tokio::time::Instant;

fn upstream(id: &str, started_ms: u64) -> Upstream {
    Upstream {
        id: Arc::from(id),
        service: Arc::from("model"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from("z"),
        slots: 16,
        phase: Phase::Ready,
        cold_ms: 0,
        started_ms: Some(started_ms),
    }
}

#[test]
fn a_process_that_is_about_to_leave_stays_closed_although_its_entry_ends() {
    let now = Instant::now();
    let mut roster = Roster::default();
    let first = upstream("a", 1);
    roster.upsert(first.clone(), now);
    assert!(roster.mark_leaving(&first));
    assert!(!roster.mark_leaving(&first), "this is no news");
    assert!(!roster.is_routable(&first, now));
    let changed = Upstream {
        slots: 8,
        ..first.clone()
    };
    roster.upsert(changed.clone(), now);
    roster.replace(vec![changed.clone()], false, now);
    roster.restore(vec![changed.clone()], &[], now);
    assert!(!roster.is_routable(&changed, now));
    let next = upstream("a", 2);
    roster.upsert(next.clone(), now);
    assert!(roster.is_routable(&next, now), "another process");
    assert!(!roster.mark_leaving(&first), "the process has ended");
    assert!(roster.is_routable(&next, now));
    roster.mark_leaving(&next);
    roster.discard("a");
    assert!(roster.leaving().is_empty());
    roster.upsert(next.clone(), now);
    assert!(!roster.is_routable(&next, now), "the process has said it");
    assert_eq!(roster.leaving(), [(Key::from("a"), 2)]);
    let last = upstream("a", 3);
    roster.upsert(last.clone(), now);
    assert!(roster.is_routable(&last, now), "another process");
    roster.upsert(first.clone(), now);
    assert!(!roster.is_routable(&first, now), "it is the first process");
}

#[test]
fn reports_of_other_daemons_concern_one_process() {
    let now = Instant::now();
    let mut told = Roster::default();
    told.upsert(upstream("a", 1), now);
    told.mark_leaving(&upstream("a", 1));
    let report = told.leaving();
    let mut roster = Roster::default();
    roster.upsert(upstream("a", 2), now);
    roster.upsert(upstream("b", 1), now);
    assert!(roster.apply_leaving(&report).is_empty());
    assert!(roster.apply_leaving(&[(Key::from("c"), 1)]).is_empty());
    assert!(roster.is_routable(&upstream("a", 2), now));
    roster.upsert(upstream("a", 1), now);
    let news = roster.apply_leaving(&report);
    assert_eq!(news.len(), 1);
    assert!(roster.apply_leaving(&report).is_empty());
    assert!(!roster.is_routable(&upstream("a", 1), now));
    assert_eq!(roster.leaving(), report, "it is reported on");
}

#[test]
fn deferrals_end_by_themselves_and_the_longest_counts() {
    let now = Instant::now();
    let after = |seconds| now + Duration::from_secs(seconds);
    let mut roster = Roster::default();
    let (a, b) = (upstream("a", 1), upstream("b", 1));
    roster.upsert(a.clone(), now);
    roster.upsert(b.clone(), now);
    roster.defer(&a, after(5));
    roster.defer(&a, after(3));
    assert!(!roster.is_routable(&a, after(4)));
    assert!(roster.is_routable(&a, after(5)));
    assert_eq!(roster.reopens_at("model", now), None, "the other is open");
    roster.defer(&b, after(2));
    assert_eq!(roster.reopens_at("model", now), Some(after(2)));
    assert_eq!(roster.reopens_at("other", now), None);
    // One that is about to leave does not reopen.
    roster.mark_leaving(&b);
    assert_eq!(roster.reopens_at("model", now), Some(after(5)));
    roster.defer(&upstream("a", 2), after(60));
    assert!(roster.is_routable(&a, after(5)), "another process deferred");
}

#[test]
fn a_limit_holds_for_one_process_and_closes_a_service_only_while_no_permit_is_near() {
    let now = Instant::now();
    let after = |seconds| now + Duration::from_secs(seconds);
    let limit = |per_second| Notice::Limited(Limit::try_from(per_second).expect("a limit"));
    let mut roster = Roster::default();
    let (a, b) = (upstream("a", 1), upstream("b", 1));
    roster.upsert(a.clone(), now);
    roster.upsert(b.clone(), now);
    assert!(roster.note_limit(&a, limit(2.0), now, now));
    assert!(
        !roster.note_limit(&a, limit(2.0), now, now),
        "this is no news"
    );
    assert!(!roster.note_limit(&upstream("a", 2), limit(1.0), now, now));
    let slower = Upstream {
        slots: 8,
        ..a.clone()
    };
    roster.upsert(slower.clone(), now);
    assert!(roster.limit(&slower, now).is_some());
    let patience = Duration::from_secs(1);
    roster.expect_permit(&slower, after(5));
    assert!(
        roster.is_routable(&slower, now),
        "a request may have a permit"
    );
    assert_eq!(
        roster.permits_at("model", patience, now),
        None,
        "the other has no limit"
    );
    roster.note_limit(&b, limit(1.0), now, now);
    assert_eq!(roster.permits_at("model", patience, now), None);
    roster.expect_permit(&b, after(3));
    assert_eq!(roster.permits_at("model", patience, now), Some(after(2)));
    assert!(roster.note_limit(&b, limit(4.0), now, now));
    assert_eq!(
        roster.permits_at("model", patience, now),
        None,
        "the limit has risen"
    );
    assert!(roster.is_limit_confirmed("b", now));
    assert!(
        !roster.is_limit_confirmed("b", after(2)),
        "it is asked again"
    );
    // What is known is reported and taken over, but not repeated.
    let reports = roster.recent_limits(now);
    assert_eq!(reports.len(), 2);
    let mut other = Roster::default();
    other.upsert(upstream("a", 2), now);
    other.upsert(b.clone(), now);
    let changed = other.apply_limits(&reports, now);
    assert_eq!(
        changed
            .iter()
            .map(|upstream| &upstream.id)
            .collect::<Vec<_>>(),
        [&b.id]
    );
    assert!(other.recent_limits(now).is_empty());
    roster.upsert(upstream("a", 2), now);
    assert!(
        roster.limit(&upstream("a", 2), now).is_none(),
        "another process"
    );
}

/// What should be known of a process that was registered.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    leaving: bool,
    deferred_until: Option<Instant>,
}

fn check_history(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    const IDS: [&str; 3] = ["a", "b", "c"];
    let mut now = Instant::now();
    let mut roster = Roster::default();
    // The start times of the processes that are registered.
    let mut registered: Map<&str, u64> = Map::default();
    let mut model: Map<(&str, u64), Known> = Map::default();
    for _ in 0..u.int_in_range(1..=40)? {
        let id = *u.choose(&IDS)?;
        let process = upstream(id, u.int_in_range(1..=2)?);
        let started_ms = process.started_ms.unwrap_or_default();
        let key = (id, started_ms);
        match u.int_in_range(0..=5)? {
            0 => {
                let slots = u.int_in_range(1..=3)?;
                roster.upsert(Upstream { slots, ..process }, now);
                registered.insert(id, started_ms);
                model.entry(key).or_default();
            }
            1 => {
                roster.discard(id);
                registered.remove(id);
            }
            2 => {
                roster.mark_leaving(&process);
                if let Some(known) = model.get_mut(&key) {
                    known.leaving = true;
                }
            }
            3 => {
                let until = now + Duration::from_millis(u.int_in_range(0..=3000)?);
                roster.defer(&process, until);
                if let Some(known) = model.get_mut(&key) {
                    known.deferred_until = known.deferred_until.max(Some(until));
                }
            }
            4 => {
                roster.apply_leaving(&[(Key::from(id), started_ms)]);
                let is_current = registered.get(id) == Some(&started_ms);
                if let Some(known) = model.get_mut(&key).filter(|_| is_current) {
                    known.leaving = true;
                }
            }
            _ => now += Duration::from_millis(u.int_in_range(0..=1000)?),
        }
        let open: Set<&str> = IDS
            .into_iter()
            .filter(|id| {
                let known = registered
                    .get(id)
                    .and_then(|started| model.get(&(*id, *started)));
                known.is_some_and(|known| {
                    !known.leaving && known.deferred_until.is_none_or(|until| until <= now)
                })
            })
            .collect();
        let candidates = roster.candidates("model", now);
        let found: Set<&str> = candidates
            .filter_map(|candidate| IDS.into_iter().find(|id| *id == candidate.id.as_ref()))
            .collect();
        assert_eq!(found, open);
    }
    Ok(())
}

#[test]
fn only_what_the_current_process_said_closes_an_upstream() {
    check(26_000, check_history);
}
