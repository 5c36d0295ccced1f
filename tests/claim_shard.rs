//! Tests of sharded claims: each key has one owner, and shards are bounded.

use std::collections::BTreeMap;

use primrosehoist::coordination::claim::shard::{CLAIMS_MAX, Entry, Merged, Shard};
use primrosehoist::coordination::claim::{End, RETENTION, Record, State};
use primrosehoist::state::name;
use primrosehoist_property::check;

fn record(nonce: &str) -> Record {
    Record {
        nonce: nonce.to_owned(),
        host: name::Host::try_from("a1").unwrap(),
        incarnation: 7,
        state: State::Claimed,
        body: "body".to_owned(),
        time_ms: 1_000,
    }
}

#[test]
fn merges_give_each_key_to_one_owner() {
    check(5_000, |u| {
        let mut shard = Shard::default();
        let mut owners: BTreeMap<String, String> = BTreeMap::new();
        for nonce in 0..60 {
            let entry = Entry {
                name: u.int_in_range(0..=5)?.to_string(),
                record: record(&nonce.to_string()),
            };
            let batch = [entry.clone(), entry.clone()];
            let merged = shard.merge(&batch, 2_000);
            assert_eq!(merged[0], merged[1], "a merge is idempotent");
            if merged[0] == Merged::Claimed {
                assert_eq!(
                    owners.insert(entry.name.clone(), entry.record.nonce.clone()),
                    None
                );
            }
            let released = Entry {
                record: entry.record.ended(End::NotRun),
                ..entry
            };
            if u.ratio(1, 4)? && shard.finish(&released) {
                owners.remove(&released.name);
            }
        }
        Ok(())
    });
}

#[test]
fn a_shard_is_bounded_and_drops_expired_claims() {
    let mut shard = Shard::default();
    let entry = |number: usize| Entry {
        name: format!("{number:064}"),
        record: Record {
            nonce: format!("{number:032}"),
            host: name::Host::try_from("h".repeat(name::LENGTH_BYTES_MAX)).unwrap(),
            incarnation: u64::MAX,
            body: "b".repeat(64),
            state: State::Done { status: 200 },
            time_ms: 1_700_000_000_000,
        },
    };
    let entries: Vec<Entry> = (0..=CLAIMS_MAX).map(entry).collect();
    let now_ms = entries[0].record.time_ms;
    let merged = shard.merge(&entries, now_ms);
    assert_eq!(merged[CLAIMS_MAX], Merged::Full);
    assert_eq!(shard.len(), CLAIMS_MAX);
    assert!(serde_json::to_vec(&shard).unwrap().len() < 1_000_000);
    let kept_ms = now_ms + RETENTION.as_millis() as u64;
    shard.merge(&[], kept_ms);
    assert_eq!(shard.len(), CLAIMS_MAX);
    shard.merge(&[], kept_ms + 1);
    assert!(shard.is_empty());
}
