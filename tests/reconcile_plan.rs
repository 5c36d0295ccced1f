//! Tests which listed resources of an engine its holder counts and releases.

use std::time::Duration;

use primrosehoist::coordination::reconcile::{
    Abandoned, Allocation, Context, Listing, Plan, RECLAIM_GRACE, Resource, Stream, plan,
};
use primrosehoist_property::arbitrary::{Result, Unstructured};
use primrosehoist_property::check;
use tokio::time::Instant;

/// The fencing token of the holder under test.
const EPOCH: u64 = 5;

fn stream(id: &str, epoch: u64, tokens_out: u64, connected: bool) -> Stream {
    Stream {
        id: id.to_owned(),
        holder: "former".to_owned(),
        epoch,
        prompt_tokens: 100,
        tokens_out,
        connected,
    }
}

fn allocation(id: &str, holder: &str, epoch: u64) -> Allocation {
    Allocation {
        id: id.to_owned(),
        holder: holder.to_owned(),
        epoch,
        tokens: 1000,
    }
}

/// Plans twice from the same listing: at first, and after `later`. Attempts with an `own-` id
/// belong to this process; `alive` is a previous holder that may still run requests.
fn plan_twice(listing: &Listing, later: Duration) -> (Plan, Plan) {
    plan_from(Instant::now(), listing, later)
}

fn plan_from(start: Instant, listing: &Listing, later: Duration) -> (Plan, Plan) {
    let context = |now| Context {
        epoch: EPOCH,
        is_own: &|id| id.starts_with("own-"),
        may_act: &|host| host == "alive",
        now,
    };
    let first = plan(listing, &context(start), &Abandoned::default());
    let second = plan(listing, &context(start + later), &first.abandoned);
    (first, second)
}

#[test]
fn streams_count_at_once_and_are_released_when_they_cannot_be_resumed() {
    let short = RECLAIM_GRACE.mul_f64(0.99);
    let cases = [
        (
            "own",
            stream("own-1", EPOCH, 3, false),
            0,
            false,
            false,
            false,
        ),
        (
            "own of an earlier epoch",
            stream("own-1", 2, 3, false),
            0,
            false,
            false,
            false,
        ),
        (
            "connected to a previous holder",
            stream("x", 4, 3, true),
            1,
            false,
            false,
            false,
        ),
        ("resumable", stream("x", 4, 3, false), 1, false, false, true),
        (
            "unknown to the process that created it",
            stream("x", EPOCH, 3, false),
            1,
            false,
            false,
            true,
        ),
        (
            "without output",
            stream("x", 4, 0, false),
            1,
            true,
            true,
            true,
        ),
        (
            "of a newer holder",
            stream("x", 6, 0, false),
            1,
            false,
            false,
            false,
        ),
    ];
    for (name, stream, requests, immediately, before, after) in cases {
        let listing = Listing {
            streams: vec![stream],
            ..Listing::default()
        };
        let (first, early) = plan_twice(&listing, short);
        let (_, late) = plan_twice(&listing, RECLAIM_GRACE);
        assert_eq!(first.foreign.requests, requests, "{name}");
        let reclaimed = [
            !first.reclaim.is_empty(),
            !early.reclaim.is_empty(),
            !late.reclaim.is_empty(),
        ];
        assert_eq!(reclaimed, [immediately, before, after], "{name}");
    }
}

#[test]
fn allocations_count_at_once_and_are_released_after_the_grace_period() {
    let cases = [
        ("own", allocation("own-1", "former", 4), 0, false),
        (
            "of a dead previous holder",
            allocation("x", "former", 4),
            2000,
            true,
        ),
        (
            "unknown to the process that created it",
            allocation("x", "self", EPOCH),
            2000,
            true,
        ),
        (
            "of a previous holder that may act",
            allocation("x", "alive", 4),
            2000,
            false,
        ),
        (
            "of a newer holder",
            allocation("x", "former", 6),
            2000,
            false,
        ),
    ];
    for (name, allocation, memory_tokens, after) in cases {
        let id = allocation.id.clone();
        let listing = Listing {
            reservations: vec![allocation.clone()],
            exports: vec![allocation],
            ..Listing::default()
        };
        let (first, early) = plan_twice(&listing, RECLAIM_GRACE / 2);
        let (_, late) = plan_twice(&listing, RECLAIM_GRACE);
        assert_eq!(first.foreign.memory_tokens, memory_tokens, "{name}");
        assert!(
            first.reclaim.is_empty() && early.reclaim.is_empty(),
            "{name}"
        );
        let expected = [Resource::Reservation(id.clone()), Resource::Export(id)];
        assert_eq!(
            late.reclaim,
            if after { &expected[..] } else { &[] },
            "{name}"
        );
    }
}

#[test]
fn reconnected_stream_restarts_the_grace_period() {
    let mut listing = Listing {
        streams: vec![stream("x", 4, 3, false)],
        ..Listing::default()
    };
    let (first, _) = plan_twice(&listing, RECLAIM_GRACE);
    listing.streams[0].connected = true;
    let context = Context {
        epoch: EPOCH,
        is_own: &|_| false,
        may_act: &|_| false,
        now: Instant::now() + RECLAIM_GRACE,
    };
    let reconnected = plan(&listing, &context, &first.abandoned);
    assert!(reconnected.reclaim.is_empty() && reconnected.abandoned.is_empty());
}

fn arbitrary_listing(u: &mut Unstructured<'_>) -> Result<Listing> {
    const IDS: &[&str] = &["own-1", "own-2", "a", "b", "c"];
    const HOSTS: &[&str] = &["alive", "former", "self"];
    let mut listing = Listing::default();
    for _ in 0..u.int_in_range(0..=6)? {
        let id = *u.choose(IDS)?;
        let holder = *u.choose(HOSTS)?;
        let epoch = u.int_in_range(3..=6)?;
        match u.int_in_range(0..=2)? {
            0 => listing.streams.push(Stream {
                holder: holder.to_owned(),
                ..stream(id, epoch, u.int_in_range(0..=2)?, u.arbitrary()?)
            }),
            1 => listing.reservations.push(allocation(id, holder, epoch)),
            _ => listing.exports.push(allocation(id, holder, epoch)),
        }
    }
    Ok(listing)
}

#[test]
fn exactly_the_abandoned_resources_are_released() {
    check(1_500, |u| {
        let listing = arbitrary_listing(u)?;
        let start = Instant::now();
        let (first, late) = plan_from(start, &listing, RECLAIM_GRACE);
        let (_, again) = plan_from(start, &listing, RECLAIM_GRACE);
        assert_eq!(late, again, "the plan is not deterministic");
        let allocations = || listing.reservations.iter().chain(&listing.exports);
        let newer = listing.streams.iter().any(|s| s.epoch > EPOCH)
            || allocations().any(|c| c.epoch > EPOCH);
        for resource in first.reclaim.iter().chain(&late.reclaim) {
            let (Resource::Stream(id) | Resource::Reservation(id) | Resource::Export(id)) =
                resource;
            assert!(!newer, "released despite a newer holder: {resource:?}");
            assert!(!id.starts_with("own-"), "{resource:?}");
        }
        let foreign = |id: &str| !id.starts_with("own-");
        let unread = listing
            .streams
            .iter()
            .filter(|s| foreign(&s.id) && !s.connected);
        let unowned = allocations().filter(|c| foreign(&c.id) && c.holder != "alive");
        let expected = if newer {
            0
        } else {
            unread.count() + unowned.count()
        };
        assert_eq!(late.reclaim.len(), expected);
        let streams = listing.streams.iter().filter(|s| foreign(&s.id)).count();
        assert_eq!(late.foreign.requests as usize, streams);
        Ok(())
    });
}

#[test]
fn listing_with_impossible_sizes_does_not_end_the_reconciliation() {
    let huge = Stream {
        prompt_tokens: u64::MAX,
        ..stream("x", 4, u64::MAX, true)
    };
    let kept = Allocation {
        tokens: u64::MAX,
        ..allocation("y", "alive", 4)
    };
    let listing = Listing {
        streams: vec![huge],
        reservations: vec![kept.clone()],
        exports: vec![kept],
    };
    let (plan, _later) = plan_twice(&listing, RECLAIM_GRACE);
    assert_eq!(plan.foreign.memory_tokens, u64::MAX);
}
