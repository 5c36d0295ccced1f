//! Tests of the picture of what runs on upstreams.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::watchers::Status;
use primrosehoist::protocol::notice::{Horizon, Notice};
use primrosehoist::protocol::picture::Picture;
use primrosehoist::state::crash::{Crashes, DEATHS_MAX};
use primrosehoist::state::occupancy::{Load, Occupancy, Pace, REPORT_MAX, Work};
use primrosehoist::state::trust::{Ending, Trust};
use tokio::time::Instant;

fn load(pace: Option<Pace>, reading_ms: f32, memory_tokens: u32) -> Load {
    Load {
        pace,
        weight: if pace.is_some() { 2.0 } else { 0.0 },
        reading_ms,
        memory_tokens,
    }
}

#[test]
fn whatever_begins_and_ends_nothing_is_left() {
    arbtest::arbtest(|u| {
        let mut occupancy = Occupancy::default();
        let upstream: Arc<str> = Arc::from("u");
        let mut open = Vec::new();
        for _ in 0..u.int_in_range(0..=60)? {
            if open.is_empty() || u.arbitrary()? {
                let pace = *u.choose(&[
                    None,
                    Some(Pace::Strict),
                    Some(Pace::Even),
                    Some(Pace::Loose),
                ])?;
                let load = load(
                    pace,
                    u.int_in_range(1..=5000_u16)?.into(),
                    u.int_in_range(0..=500_000)?,
                );
                occupancy.begin(&upstream, &load);
                open.push((load, true));
            } else {
                let index = u.choose_index(open.len())?;
                if open[index].1 && u.arbitrary()? {
                    occupancy.read(&upstream, &open[index].0);
                    open[index].1 = false;
                } else {
                    let (load, reading) = open.swap_remove(index);
                    occupancy.end(&upstream, &load, reading);
                }
            }
        }
        let running = open.iter().filter(|(load, _)| load.pace.is_some()).count();
        assert_eq!(occupancy.work(&upstream).running() as usize, running);
        for (load, reading) in open {
            occupancy.end(&upstream, &load, reading);
        }
        assert_eq!(occupancy.work(&upstream).running(), 0);
        assert!(occupancy.work(&upstream).reading_ms < 0.5);
        Ok(())
    })
    .budget_ms(800);
}

#[test]
fn reports_of_others_add_up_and_are_replaced() {
    let now = Instant::now();
    let upstream: Arc<str> = Arc::from("u");
    let mut other = Occupancy::default();
    other.begin(&upstream, &load(Some(Pace::Strict), 20.0, 5000));
    let mut own = Occupancy::default();
    own.begin(&upstream, &load(Some(Pace::Even), 270.0, 45_000));
    own.hear(&Arc::from("b"), (1, 1), other.report(Vec::new()), now);
    own.hear(&Arc::from("c"), (1, 1), other.report(Vec::new()), now);
    let work = own.work(&upstream);
    assert_eq!(work.counts, [2, 1, 0]);
    assert!((work.reading_ms - 310.0).abs() < 0.1);
    own.hear(&Arc::from("b"), (1, 2), Vec::new(), now);
    assert_eq!(own.work(&upstream).counts, [1, 1, 0]);
    own.hear(&Arc::from("b"), (1, 1), other.report(Vec::new()), now);
    assert_eq!(
        own.work(&upstream).counts,
        [1, 1, 0],
        "an older report came late"
    );
    own.hear(&Arc::from("b"), (2, 1), other.report(Vec::new()), now);
    assert_eq!(
        own.work(&upstream).counts,
        [2, 1, 0],
        "the daemon started again"
    );
}

#[test]
fn a_silent_daemon_is_forgotten() {
    let now = Instant::now();
    let mut own = Occupancy::default();
    let work = Work {
        counts: [3, 0, 0],
        ..Work::default()
    };
    own.hear(&Arc::from("b"), (1, 1), vec![(Arc::from("u"), work)], now);
    own.expire(now + REPORT_MAX);
    assert_eq!(own.work("u").running(), 3);
    own.expire(now + REPORT_MAX + Duration::from_millis(1));
    assert_eq!(own.work("u").running(), 0);
}

#[test]
fn notices_and_pictures_survive_the_wire_and_garbage_is_refused() {
    let notice = Notice {
        host: Arc::from("h"),
        zone: Arc::from("z"),
        standing: Status::Following,
        sequence: (5, 6),
        horizon: Horizon {
            configuration: 7,
            upstreams: 8,
            evacuations: 9,
        },
        report: vec![(Arc::from("u"), Work::default())],
        avoided: vec![Arc::from("u2")],
        deaths: vec![(1, 2)],
    };
    let bytes = notice.encode().expect("a notice can be encoded");
    assert_eq!(Notice::try_from(bytes.as_slice()), Ok(notice));
    let picture = Picture {
        horizon: Horizon::default(),
        configuration: Arc::from("{}"),
        upstreams: Some(Vec::new()),
        evacuated: None,
    };
    let whole = picture.encode().expect("a picture can be encoded");
    assert_eq!(Picture::try_from(whole.as_slice()), Ok(picture));
    arbtest::arbtest(|u| {
        let mut damaged = bytes.clone();
        for _ in 0..u.int_in_range(1..=4)? {
            let index = u.choose_index(damaged.len())?;
            damaged[index] = u.arbitrary()?;
        }
        damaged.truncate(u.int_in_range(0..=damaged.len())?);
        // Whatever the outcome, decoding returns.
        let _notice = Notice::try_from(damaged.as_slice());
        let _picture = Picture::try_from(damaged.as_slice());
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn an_upstream_that_cannot_be_reached_returns_one_request_at_a_time() {
    let now = Instant::now();
    let upstream: Arc<str> = Arc::from("u");
    let mut trust = Trust::default();
    assert_eq!(trust.cost(&upstream, 9, now), Some(0.0));
    trust.record(&upstream, Ending::Unreachable, now);
    assert_eq!(trust.cost(&upstream, 0, now), None);
    let later = now + Duration::from_millis(600);
    assert!(trust.cost(&upstream, 0, later).is_some());
    assert_eq!(
        trust.cost(&upstream, 1, later),
        None,
        "one request shows whether it is back"
    );
    trust.record(&upstream, Ending::Unreachable, later);
    assert_eq!(
        trust.cost(&upstream, 0, later + Duration::from_millis(900)),
        None
    );
    trust.record(&upstream, Ending::Good, later);
    assert!(trust.cost(&upstream, 9, later).is_some());
}

#[test]
fn an_upstream_that_fails_part_of_its_requests_costs_more() {
    let now = Instant::now();
    let (grey, good): (Arc<str>, Arc<str>) = (Arc::from("grey"), Arc::from("good"));
    let mut trust = Trust::default();
    for request in 0..20 {
        trust.record(&good, Ending::Good, now);
        let ending = if request % 2 == 0 {
            Ending::Bad
        } else {
            Ending::Good
        };
        trust.record(&grey, ending, now);
    }
    assert_eq!(trust.cost(&good, 5, now), Some(0.0));
    assert!(trust.cost(&grey, 5, now) > Some(3.0));
    trust.forget(&grey);
    assert_eq!(trust.cost(&grey, 5, now), Some(0.0));
}

#[test]
fn a_request_that_ended_three_upstreams_is_refused_by_all_daemons() {
    let now = Instant::now();
    let mut first = Crashes::default();
    let mut second = Crashes::default();
    for death in 0..DEATHS_MAX as u64 {
        assert!(!first.is_refused(42, now));
        first.record(42, death, now);
        first.record(42, death, now);
    }
    assert!(first.is_refused(42, now));
    assert!(!first.is_refused(43, now));
    for (fingerprint, death) in first.recent(now) {
        second.record(fingerprint, death, now);
    }
    assert!(second.is_refused(42, now));
    second.clear(42);
    assert!(!second.is_refused(42, now));
    assert!(!first.is_refused(42, now + Duration::from_secs(121)));
}

#[test]
fn a_lost_answer_counts_only_if_its_upstream_is_down_soon_after() {
    let now = Instant::now();
    let later = now + Duration::from_millis(800);
    let upstream: Arc<str> = Arc::from("u");
    let deaths = |act: fn(&mut Crashes, Instant), when: Instant| {
        let mut crashes = Crashes::default();
        for loss in 0..DEATHS_MAX as u64 {
            crashes.suspect(42, &upstream, loss, now);
        }
        act(&mut crashes, when);
        crashes.upstream_down(&upstream, when);
        crashes.is_refused(42, when)
    };
    assert!(deaths(|_, _| {}, later));
    assert!(
        !deaths(|_, _| {}, now + Duration::from_secs(5)),
        "too late to be the cause"
    );
    assert!(!deaths(|crashes, _| crashes.upstream_answered("u"), later));
    assert!(!deaths(
        |crashes, now| {
            crashes.upstream_down("other", now);
            crashes.upstream_answered("u");
        },
        later
    ));
}
