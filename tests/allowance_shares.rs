//! Tests of the fleet-wide limits that are divided among daemons.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::allowance::Allowance;
use primrosehoist::state::bounds::Bounds;
use primrosehoist::state::window::Window;
use primrosehoist_property::check;
use tokio::time::Instant;

fn bounds() -> Bounds {
    Bounds {
        settle_time: Duration::from_secs(3),
        drain_max: Duration::from_secs(2),
        shutdown_grace: Duration::from_secs(8),
        config_apply_max: Duration::from_secs(2),
        evacuation_max: Duration::from_secs(5),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 106.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        stall_max: Duration::from_millis(1500),
        reservation_max: Duration::from_secs(20),
        reservation_idle: Duration::from_secs(9),
    }
}

fn name(daemon: usize) -> Arc<str> {
    Arc::from(format!("d{daemon}"))
}

/// Returns the largest number of `times` within any window of `span`.
fn count_max(times: &[Instant], span: Duration) -> usize {
    let within = |start: &Instant| {
        let inside = times
            .iter()
            .filter(|time| *time >= start && **time < *start + span);
        inside.count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn shares_of_all_daemons_stay_within_the_cold_start_limit() {
    check(2_500, |u| {
        let daemons = u.int_in_range(1..=100_usize)?;
        let rate = f64::from(u.int_in_range(4..=40_u32)?);
        let start = Instant::now();
        let upstream: Arc<str> = Arc::from("u");
        let mut sent = Vec::new();
        for daemon in 0..daemons {
            let mut allowance = Allowance::new(name(daemon), bounds());
            allowance.set_daemons((0..daemons).map(name).collect());
            let mut at = start;
            for _ in 0..60 {
                at += Duration::from_millis(u.int_in_range(0..=40)?);
                if allowance.may_send(&upstream, rate, None, at) {
                    allowance.record_send(&upstream, at);
                    sent.push(at);
                }
            }
        }
        let limit = rate * 1.5 + 5.0;
        let largest = count_max(&sent, Duration::from_secs(1));
        assert!(
            largest as f64 <= limit,
            "{largest} of {limit} with {daemons} daemons"
        );
        Ok(())
    });
}

#[test]
fn unknown_fleet_size_defaults_to_a_large_fleet() {
    let mut alone = Allowance::new(Arc::from("d0"), bounds());
    assert_eq!(alone.guaranteed_sends(&Arc::from("u"), 36.0), 2);
    let mut nine = Allowance::new(Arc::from("d0"), bounds());
    nine.set_daemons((0..9).map(name).collect());
    assert_eq!(nine.guaranteed_sends(&Arc::from("u"), 36.0), 5);
}

#[test]
fn zero_rate_is_unlimited() {
    let mut allowance = Allowance::new(Arc::from("d0"), bounds());
    let upstream: Arc<str> = Arc::from("u");
    let now = Instant::now();
    for _ in 0..1000 {
        assert!(allowance.may_send(&upstream, 0.0, None, now));
        allowance.record_send(&upstream, now);
    }
}

#[test]
fn retries_of_all_daemons_stay_within_the_budget() {
    let daemons = 9;
    let service: Arc<str> = Arc::from("s");
    let start = Instant::now();
    let mut retries = 0;
    let mut requests = 0;
    for daemon in 0..daemons {
        let mut allowance = Allowance::new(name(daemon), bounds());
        allowance.set_daemons((0..daemons).map(name).collect());
        for step in 0..400 {
            let now = start + Duration::from_millis(step * 20);
            allowance.record_request(&service, now);
            requests += 1;
            retries += u32::from(allowance.try_retry(&service, now));
        }
    }
    let limit = f64::from(requests) * 0.2 + 106.0;
    assert!(f64::from(retries) <= limit, "{retries} of {limit}");
    assert!(f64::from(retries) >= limit * 0.8, "{retries} of {limit}");
}

#[test]
fn window_drops_entries_older_than_its_span() {
    let start = Instant::now();
    let mut window = Window::new(Duration::from_secs(1));
    window.add(start);
    window.add(start + Duration::from_millis(500));
    assert_eq!(window.count(start + Duration::from_millis(999)), 2);
    assert_eq!(window.count(start + Duration::from_millis(1100)), 1);
    assert_eq!(window.count(start + Duration::from_millis(1600)), 0);
}

#[test]
fn large_fleet_sends_to_warm_upstreams_by_shared_counts() {
    let upstream: Arc<str> = Arc::from("u");
    let now = Instant::now();
    let owners = |daemons: usize| {
        let owns = |daemon| {
            let mut allowance = Allowance::new(name(daemon), bounds());
            allowance.set_daemons((0..daemons).map(name).collect());
            allowance.guaranteed_sends(&Arc::from("u"), 14.0)
        };
        (0..daemons).map(owns).sum::<u64>()
    };
    // The limit is 14 * 1.5 + 5 = 26 per second, of which 90 % (23) are divided.
    assert_eq!(owners(63), 23);
    assert_eq!(owners(300), 23);
    let mut allowance = Allowance::new(Arc::from("other"), bounds());
    allowance.set_daemons((0..63).map(name).collect());
    let owned = allowance.guaranteed_sends(&upstream, 14.0) > 0;
    let cases = [
        (Some(0), true),
        (Some(14), true),
        (Some(16), owned),
        (None, owned),
    ];
    for (others, expected) in cases {
        assert_eq!(
            allowance.may_send(&upstream, 14.0, others, now),
            expected,
            "{others:?}"
        );
    }
}
