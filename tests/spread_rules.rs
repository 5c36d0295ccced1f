//! Tests that the configuration advances in order and never goes back.

use primrosehoist::coordination::spread::{CHANGES_KEPT, Spread, WATCHERS, is_watcher};
use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::Version;
use primrosehoist::state::name;

fn change(version: Version) -> Change {
    let zone = name::Zone::try_from(format!("zone-{version}")).unwrap();
    Change {
        version,
        author: String::from("tests"),
        reason: String::new(),
        time_ms: 0,
        nonce: String::new(),
        entries: vec![Entry::ZoneOut(zone)],
    }
}

fn changes(versions: std::ops::RangeInclusive<Version>) -> Vec<Change> {
    versions.map(change).collect()
}

#[test]
fn changes_apply_in_order_whatever_arrives() {
    arbtest::arbtest(|u| {
        let mut spread = Spread::default();
        let mut donor = Spread::default();
        donor.apply(&changes(1..=40));
        for _ in 0..u.int_in_range(0..=60)? {
            let before = spread.version();
            let first = u.int_in_range(1..=40)?;
            let last = u.int_in_range(1..=40)?;
            if u.ratio(1, 8)? {
                let mut older = Spread::default();
                older.apply(&changes(1..=first));
                spread.restore(older.fleet().as_ref().clone());
            } else {
                spread.apply(&changes(first..=last));
            }
            assert!(spread.version() >= before, "the version went down");
            // Each change takes one more zone out, so none is missing and none applied twice.
            assert_eq!(spread.fleet().zones_out.len() as u64, spread.version());
        }
        let delta = donor.since(spread.version());
        if let Some(snapshot) = delta.snapshot {
            spread.restore(snapshot.as_ref().clone());
        }
        spread.apply(&delta.changes);
        assert_eq!(spread.fleet(), donor.fleet());
        Ok(())
    });
}

#[test]
fn a_daemon_far_behind_gets_a_snapshot() {
    let mut spread = Spread::default();
    let last = CHANGES_KEPT as Version + 10;
    spread.apply(&changes(1..=last));
    let cases = [
        (0, true),
        (9, true),
        (10, false),
        (last, false),
        (last + 5, false),
    ];
    for (version, snapshot) in cases {
        let delta = spread.since(version);
        assert_eq!(delta.snapshot.is_some(), snapshot, "from version {version}");
        let expected = if snapshot {
            0
        } else {
            last.saturating_sub(version)
        };
        assert_eq!(
            delta.changes.len() as u64,
            expected,
            "from version {version}"
        );
    }
}

#[test]
fn each_zone_has_two_watchers_also_after_one_is_gone() {
    let zone = name::Zone::try_from("zone-a").unwrap();
    let mut hosts: Vec<name::Host> = (0..9)
        .map(|n| name::Host::try_from(format!("a{n}")).unwrap())
        .collect();
    while hosts.len() > WATCHERS {
        let is_one = |host: &&name::Host| is_watcher(&zone, host, &hosts);
        let watchers: Vec<name::Host> = hosts.iter().filter(is_one).cloned().collect();
        assert_eq!(watchers.len(), WATCHERS);
        hosts.retain(|host| *host != watchers[0]);
    }
}
