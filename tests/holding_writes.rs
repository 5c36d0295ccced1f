//! Tests of a daemon's behaviour while an unanswered write may still take effect.

use std::time::Duration;

use primrosehoist::coordination::holding::{Context, Decision, Holdings, Spec, Written};
use primrosehoist::coordination::promise::{Answer, Holding};
use primrosehoist::state::name;
use tokio::time::Instant;

fn host(name: &str) -> name::Host {
    name::Host::try_from(name.to_owned()).unwrap()
}

fn upstream() -> name::Upstream {
    name::Upstream::try_from("u0".to_owned()).unwrap()
}

/// Returns the next decision of `holdings`; `draining` makes it release its upstreams.
fn decide(holdings: &mut Holdings, now: Instant, draining: bool) -> Decision {
    let upstreams = [upstream()];
    let daemons = [host("h0"), host("h1")];
    let candidates = &daemons[if draining { 1..2 } else { 0..1 }];
    holdings.decide(&Context {
        now,
        upstreams: &upstreams,
        daemons: &daemons,
        candidates,
        draining,
        is_alive: &|_| true,
        is_gone: &|_| false,
        is_settled: &|_, _, _| true,
        in_flight: &|_| 0,
    })
}

/// Returns the holdings of `h0` once it holds the upstream, with the object, its version and the
/// time.
fn holder(start: Instant) -> (Holdings, Spec, String, Instant) {
    let mut holdings = Holdings::new(host("h0"), start);
    let mut now = start + Duration::from_secs(5);
    let mut spec = Spec::default();
    let mut version: Option<u64> = None;
    for _ in 0..10 {
        let read = version.map(|version| version.to_string());
        holdings.record_read(spec.clone(), read, now, now);
        if let Some(write) = decide(&mut holdings, now, false).write {
            let next = version.unwrap_or(0) + 1;
            holdings.record_write(Written::Done(next.to_string()), now, now);
            (spec, version) = (write.spec, Some(next));
        }
        now += Duration::from_millis(600);
    }
    assert!(holdings.leases()[&upstream()].permits_sending(now));
    (holdings, spec, version.unwrap().to_string(), now)
}

#[test]
fn an_unanswered_release_is_not_cancelled_until_the_object_has_changed() {
    let (mut holdings, spec, version, mut now) = holder(Instant::now());
    let release = decide(&mut holdings, now, true).write.expect("a release");
    assert_eq!(release.version.as_ref(), Some(&version));
    holdings.record_write(Written::Unknown, now, now + Duration::from_secs(1));

    // The object still has the old content; the write may take effect after this read.
    now += Duration::from_secs(9);
    holdings.record_read(spec.clone(), Some(version), now, now);
    decide(&mut holdings, now, false);
    now += Duration::from_secs(1);
    let read = Answer {
        agreed: vec![upstream()],
        platform_age_ms: Some(0),
        holdings: vec![Holding {
            upstream: upstream(),
            epoch: 1,
        }],
    };
    holdings.extend_by_relay(&read, now);
    holdings.extend_by_promises(&[(host("h1"), read)], now);
    let leases = holdings.leases();
    let lease = leases.get(&upstream());
    assert!(
        lease.is_none_or(|lease| !lease.permits_sending(now)),
        "sends while its own write may still release the upstream to another daemon"
    );
}
