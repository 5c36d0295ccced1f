//! Reading what another daemon sent never panics and takes no more memory than a state may have.

use std::sync::Arc;
use std::time::Duration;

use primrosehoist::protocol::gossip::Error;
use primrosehoist::protocol::snapshot::{Compressed, Snapshot};
use primrosehoist::state::roster::{Phase, Upstream};
use primrosehoist::state::versions::Versions;
use primrosehoist_property::check;

fn snapshot(upstreams: usize) -> Snapshot {
    let upstream = |number: usize| Upstream {
        id: Arc::from(format!("i-{number}")),
        service: Arc::from("chat"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: Arc::from("zone-a"),
        slots: 16,
        phase: Phase::Ready,
        cold_ms: 0,
        started_ms: None,
    };
    Snapshot {
        versions: Versions::default(),
        configuration: Some(Compressed::default()),
        upstreams: Some((0..upstreams).map(upstream).collect()),
        missing: vec![(Arc::from("i-1"), Duration::from_secs(1))],
        evacuated: Some(vec![Arc::from("zone-b")]),
    }
}

#[test]
fn states_with_any_bytes_changed_never_panic() {
    let bytes = snapshot(20).encode().expect("it is encoded");
    assert_eq!(Snapshot::try_from(bytes.as_slice()), Ok(snapshot(20)));
    check(2000, |random| {
        let mut changed = bytes.clone();
        for _ in 0..random.int_in_range(1..=4)? {
            let at = random.int_in_range(0..=changed.len() - 1)?;
            changed[at] = random.arbitrary()?;
        }
        changed.truncate(random.int_in_range(0..=changed.len())?);
        if let Ok(read) = Snapshot::try_from(changed.as_slice()) {
            let configuration = read.configuration.unwrap_or_default();
            // Whatever it says, only an error or a text may come of it.
            drop(configuration.text());
        }
        Ok(())
    });
}

#[test]
fn a_list_that_claims_more_than_it_holds_is_an_error() {
    let bytes = snapshot(0).encode().expect("it is encoded");
    // The count of upstreams follows the versions and the configuration; every byte is tried as the
    // start of the largest count.
    for at in 0..bytes.len() {
        let largest = [&bytes[..at], &[253, 255, 255, 255, 255, 255, 255, 255, 255]].concat();
        assert!(Snapshot::try_from(largest.as_slice()).is_err(), "{at}");
    }
}

#[test]
fn a_configuration_that_claims_to_be_larger_than_a_state_is_an_error() {
    for claimed in [u32::MAX, 1 << 30, 100 << 20] {
        let bytes = [&claimed.to_le_bytes()[..], &[0x10, b'x']].concat();
        let received = serde_json::to_value(bytes).and_then(serde_json::from_value::<Compressed>);
        let received = received.expect("bytes are read as they come");
        assert!(received.text().is_err());
    }
}

#[test]
fn state_that_no_daemon_accepts_is_not_sent() {
    let large = snapshot(400_000).encode();
    assert!(matches!(large, Err(Error::TooLarge(_))));
}
