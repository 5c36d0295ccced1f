//! Tests which daemons a start asks for state, how long it waits for them, and what they send.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::coordination::gossip::Info;
use primrosehoist::coordination::seeds::{
    RESPONSE_TIMEOUT, Round, SEEDS_MAX, SETTLE_TIME, last_contact, retry_delay, targets,
};
use primrosehoist::protocol::snapshot::{Fleet, Seed, Snapshot};
use primrosehoist::state::versions::Versions;
use primrosehoist_property::check;
use tokio::time::Instant;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, last], 8229))
}

/// The silence of a seed that hears from others.
const FRESH: Duration = Duration::from_millis(200);

#[test]
fn neither_the_own_host_nor_one_daemon_twice_is_asked() {
    let own = address(4).ip();
    let listed = [4, 5, 5, 6].map(address);
    assert_eq!(targets(&listed, own), [5, 6].map(address));
    let many: Vec<_> = (10..20).map(address).collect();
    assert_eq!(targets(&many, own), many[..SEEDS_MAX]);
    assert!(targets(&[], own).is_empty());
}

#[test]
fn round_ends_soon_after_the_first_response_and_never_late() {
    let now = Instant::now();
    let mut round = Round::new(now);
    assert_eq!(round.ends_at(), now + RESPONSE_TIMEOUT);
    round.record_response(FRESH, now);
    assert_eq!(round.ends_at(), now + SETTLE_TIME);
    round.record_response(FRESH, now + SETTLE_TIME / 2);
    assert_eq!(round.ends_at(), now + SETTLE_TIME);
    let mut late = Round::new(now);
    late.record_response(FRESH, now + RESPONSE_TIMEOUT);
    assert_eq!(late.ends_at(), now + RESPONSE_TIMEOUT);
}

#[test]
fn seed_that_was_cut_off_does_not_end_the_wait_for_others() {
    let now = Instant::now();
    let mut round = Round::new(now);
    round.record_response(Duration::from_millis(3001), now);
    assert_eq!(round.ends_at(), now + RESPONSE_TIMEOUT);
    round.record_response(Duration::from_secs(3), now);
    assert_eq!(round.ends_at(), now + SETTLE_TIME);
}

#[test]
fn delays_grow_up_to_a_bound() {
    let delays: Vec<_> = (0..40).map(retry_delay).collect();
    assert!(delays.is_sorted() && delays[0] > Duration::ZERO);
    assert_eq!(delays[39], Duration::from_secs(2));
    assert_eq!(retry_delay(u32::MAX), Duration::from_secs(2));
}

#[test]
fn silence_of_others_is_passed_on() {
    let now = Instant::now();
    let silences = [40, 7].map(Duration::from_secs);
    assert_eq!(last_contact(silences, now), Some(now - silences[1]));
    assert_eq!(last_contact([], now), None);
    assert!(last_contact([Duration::MAX], now).is_some());
}

fn seed() -> Seed {
    let member = |last: u8| -> (IpAddr, Arc<str>, Arc<str>) {
        (
            address(last).ip(),
            Arc::from(format!("host-{last}")),
            Arc::from("zone-a"),
        )
    };
    Seed {
        snapshot: Snapshot {
            versions: Versions::default(),
            configuration: None,
            upstreams: Some(Vec::new()),
            missing: vec![(Arc::from("upstream"), Duration::from_millis(300))],
            evacuated: Some(vec![Arc::from("zone-b")]),
        },
        fleet: Fleet {
            members: (1..9).map(member).collect(),
            info: Info::default(),
            silence: Duration::from_millis(70),
        },
    }
}

#[test]
fn state_for_a_start_is_a_snapshot_for_former_builds_and_can_be_extended() {
    let seed = seed();
    let mut bytes = seed.encode().expect("it can be encoded");
    let snapshot = Snapshot::try_from(bytes.as_slice());
    assert_eq!(snapshot, Ok(seed.snapshot.clone()));
    bytes.extend([1, 2, 3]);
    assert_eq!(Seed::try_from(bytes.as_slice()), Ok(seed.clone()));
    let plain = seed.snapshot.encode().expect("it can be encoded");
    assert!(Seed::try_from(plain.as_slice()).is_err());
}

#[test]
fn arbitrary_bytes_from_a_seed_never_panic() {
    let whole = seed().encode().expect("it can be encoded");
    check(2000, |random| {
        let mut bytes = whole.clone();
        let changed = random.choose_index(bytes.len())?;
        bytes[changed] = random.arbitrary()?;
        bytes.truncate(random.choose_index(whole.len())?);
        assert!(Seed::try_from(bytes.as_slice()).is_err());
        drop(Seed::try_from(random.arbitrary::<Vec<u8>>()?.as_slice()));
        Ok(())
    });
}
