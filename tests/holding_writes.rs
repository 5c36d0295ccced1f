//! Tests of what a daemon does while a write that got no answer may still take effect.

use std::time::Duration;

use primrosehoist::coordination::holding::{Decision, Holdings, Spec, Surroundings, Written};
use primrosehoist::coordination::promise::{Answer, Holding};
use primrosehoist::state::name;
use tokio::time::Instant;

fn host(name: &str) -> name::Host {
    name::Host::try_from(name.to_owned()).unwrap()
}

fn upstream() -> name::Upstream {
    name::Upstream::try_from("u0".to_owned()).unwrap()
}

/// Lets `holdings` decide; `draining` makes it give its upstreams back.
fn decide(holdings: &mut Holdings, now: Instant, draining: bool) -> Decision {
    let upstreams = [upstream()];
    let daemons = [host("h0"), host("h1")];
    let candidates = &daemons[if draining { 1..2 } else { 0..1 }];
    holdings.decide(&Surroundings {
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

/// Returns the holdings of `h0` once it holds the upstream, the object, and its version.
fn holder(start: Instant) -> (Holdings, Spec, String, Instant) {
    let mut holdings = Holdings::new(host("h0"), start);
    let mut now = start + Duration::from_secs(5);
    let mut spec = Spec::default();
    let mut version: Option<u64> = None;
    for _ in 0..10 {
        let read = version.map(|version| version.to_string());
        holdings.read(spec.clone(), read, now, now);
        if let Some(write) = decide(&mut holdings, now, false).write {
            let next = version.unwrap_or(0) + 1;
            holdings.wrote(Written::Done(next.to_string()), now, now);
            (spec, version) = (write.spec, Some(next));
        }
        now += Duration::from_millis(600);
    }
    assert!(holdings.leases()[&upstream()].holds(now));
    (holdings, spec, version.unwrap().to_string(), now)
}

#[test]
fn an_unanswered_return_is_not_revived_until_the_object_has_changed() {
    let (mut holdings, spec, version, mut now) = holder(Instant::now());
    let returned = decide(&mut holdings, now, true).write.expect("gives back");
    assert_eq!(returned.version.as_ref(), Some(&version));
    holdings.wrote(Written::Unknown, now, now + Duration::from_secs(1));

    // The object still shows the old content; the write may be carried out after this read.
    now += Duration::from_secs(9);
    holdings.read(spec.clone(), Some(version), now, now);
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
    holdings.relayed(&read, now);
    holdings.promised(&[(host("h1"), read)], now);
    let leases = holdings.leases();
    let lease = leases.get(&upstream());
    assert!(
        lease.is_none_or(|lease| !lease.holds(now)),
        "sends while its own write may still give the upstream to another daemon"
    );
}
