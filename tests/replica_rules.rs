//! Tests that a configuration replica advances in order and never goes back.

use primrosehoist::coordination::replica::{CHANGES_KEPT, Replica, WATCHERS_PER_ZONE, is_watcher};
use primrosehoist::state::change::{Change, Entry};
use primrosehoist::state::fleet::Version;
use primrosehoist::state::name;
use primrosehoist_property::check;

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
fn changes_apply_once_and_in_order() {
    check(650, |u| {
        let mut replica = Replica::default();
        let mut source = Replica::default();
        source.apply(&changes(1..=40));
        for _ in 0..u.int_in_range(0..=60)? {
            let before = replica.version();
            let first = u.int_in_range(1..=40)?;
            let last = u.int_in_range(1..=40)?;
            if u.ratio(1, 8)? {
                let mut older = Replica::default();
                older.apply(&changes(1..=first));
                replica.restore(older.fleet().as_ref().clone());
            } else {
                replica.apply(&changes(first..=last));
            }
            assert!(replica.version() >= before, "the version decreased");
            // Each change adds one zone, so none was skipped or applied twice.
            assert_eq!(replica.fleet().zones_out.len() as u64, replica.version());
        }
        let delta = source.delta_since(replica.version());
        if let Some(snapshot) = delta.snapshot {
            replica.restore(snapshot.as_ref().clone());
        }
        replica.apply(&delta.changes);
        assert_eq!(replica.fleet(), source.fleet());
        Ok(())
    });
}

#[test]
fn outdated_daemon_gets_a_snapshot() {
    let mut replica = Replica::default();
    let last = CHANGES_KEPT as Version + 10;
    replica.apply(&changes(1..=last));
    let cases = [
        (0, true),
        (9, true),
        (10, false),
        (last, false),
        (last + 5, false),
    ];
    for (version, snapshot) in cases {
        let delta = replica.delta_since(version);
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
fn zone_keeps_two_watchers_after_one_leaves() {
    let zone = name::Zone::try_from("zone-a").unwrap();
    let mut hosts: Vec<name::Host> = (0..9)
        .map(|n| name::Host::try_from(format!("a{n}")).unwrap())
        .collect();
    while hosts.len() > WATCHERS_PER_ZONE {
        let is_selected = |host: &&name::Host| is_watcher(&zone, host, &hosts);
        let watchers: Vec<name::Host> = hosts.iter().filter(is_selected).cloned().collect();
        assert_eq!(watchers.len(), WATCHERS_PER_ZONE);
        hosts.retain(|host| *host != watchers[0]);
    }
}
