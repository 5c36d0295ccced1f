//! Tests what a holder counts and ends of what an engine lists.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use primrosehoist::coordination::reconcile::{
    Abandoned, Claim, GRACE, Knowledge, Listing, Plan, Stream, Thing, plan,
};
use tokio::time::Instant;

/// The fencing number of the holder under test.
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

fn claim(id: &str, holder: &str, epoch: u64) -> Claim {
    Claim {
        id: id.to_owned(),
        holder: holder.to_owned(),
        epoch,
        tokens: 1000,
    }
}

/// Plans twice: when the list is first seen, and `later`. `own-…` ids are in charge; `alive` is
/// a predecessor that may act.
fn plan_twice(listing: &Listing, later: Duration) -> (Plan, Plan) {
    plan_from(Instant::now(), listing, later)
}

fn plan_from(start: Instant, listing: &Listing, later: Duration) -> (Plan, Plan) {
    let knowledge = |now| Knowledge {
        epoch: EPOCH,
        is_own: &|id| id.starts_with("own-"),
        may_act: &|host| host == "alive",
        now,
    };
    let first = plan(listing, &knowledge(start), &Abandoned::default());
    let second = plan(listing, &knowledge(start + later), &first.abandoned);
    (first, second)
}

#[test]
fn streams_are_counted_at_once_and_ended_when_nobody_can_come_back_for_them() {
    let short = GRACE.mul_f64(0.99);
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
            "own of an earlier holding",
            stream("own-1", 2, 3, false),
            0,
            false,
            false,
            false,
        ),
        (
            "read by a predecessor",
            stream("x", 4, 3, true),
            1,
            false,
            false,
            false,
        ),
        ("resumable", stream("x", 4, 3, false), 1, false, false, true),
        (
            "unknown to its own process",
            stream("x", EPOCH, 3, false),
            1,
            false,
            false,
            true,
        ),
        (
            "without an answer",
            stream("x", 4, 0, false),
            1,
            true,
            true,
            true,
        ),
        (
            "of a successor",
            stream("x", 6, 0, false),
            1,
            false,
            false,
            false,
        ),
    ];
    for (name, stream, requests, at_once, before, after) in cases {
        let listing = Listing {
            streams: vec![stream],
            ..Listing::default()
        };
        let (first, early) = plan_twice(&listing, short);
        let (_, late) = plan_twice(&listing, GRACE);
        assert_eq!(first.foreign.requests, requests, "{name}");
        let ended = [
            !first.end.is_empty(),
            !early.end.is_empty(),
            !late.end.is_empty(),
        ];
        assert_eq!(ended, [at_once, before, after], "{name}");
    }
}

#[test]
fn reservations_and_exports_are_counted_at_once_and_released_after_the_grace() {
    let cases = [
        ("own", claim("own-1", "former", 4), 0, false),
        ("of a dead predecessor", claim("x", "former", 4), 2000, true),
        (
            "unknown to its own process",
            claim("x", "self", EPOCH),
            2000,
            true,
        ),
        (
            "of a predecessor that may act",
            claim("x", "alive", 4),
            2000,
            false,
        ),
        ("of a successor", claim("x", "former", 6), 2000, false),
    ];
    for (name, claim, memory_tokens, after) in cases {
        let id = claim.id.clone();
        let listing = Listing {
            reservations: vec![claim.clone()],
            exports: vec![claim],
            ..Listing::default()
        };
        let (first, early) = plan_twice(&listing, GRACE / 2);
        let (_, late) = plan_twice(&listing, GRACE);
        assert_eq!(first.foreign.memory_tokens, memory_tokens, "{name}");
        assert!(first.end.is_empty() && early.end.is_empty(), "{name}");
        let expected = [Thing::Reservation(id.clone()), Thing::Export(id)];
        assert_eq!(late.end, if after { &expected[..] } else { &[] }, "{name}");
    }
}

#[test]
fn a_stream_that_is_read_again_starts_its_grace_anew() {
    let mut listing = Listing {
        streams: vec![stream("x", 4, 3, false)],
        ..Listing::default()
    };
    let (first, _) = plan_twice(&listing, GRACE);
    listing.streams[0].connected = true;
    let knowledge = Knowledge {
        epoch: EPOCH,
        is_own: &|_| false,
        may_act: &|_| false,
        now: Instant::now() + GRACE,
    };
    let read = plan(&listing, &knowledge, &first.abandoned);
    assert!(read.end.is_empty() && read.abandoned.is_empty());
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
            1 => listing.reservations.push(claim(id, holder, epoch)),
            _ => listing.exports.push(claim(id, holder, epoch)),
        }
    }
    Ok(listing)
}

#[test]
fn nothing_is_ended_that_is_owned_read_or_of_a_successor_and_the_rest_is() {
    arbtest(|u| {
        let listing = arbitrary_listing(u)?;
        let start = Instant::now();
        let (first, late) = plan_from(start, &listing, GRACE);
        let (_, again) = plan_from(start, &listing, GRACE);
        assert_eq!(late, again, "a plan depends on what it is given alone");
        let claims = || listing.reservations.iter().chain(&listing.exports);
        let newer =
            listing.streams.iter().any(|s| s.epoch > EPOCH) || claims().any(|c| c.epoch > EPOCH);
        for thing in first.end.iter().chain(&late.end) {
            let (Thing::Stream(id) | Thing::Reservation(id) | Thing::Export(id)) = thing;
            assert!(!newer, "a successor acts: {thing:?}");
            assert!(!id.starts_with("own-"), "{thing:?}");
        }
        let foreign = |id: &str| !id.starts_with("own-");
        let unread = listing
            .streams
            .iter()
            .filter(|s| foreign(&s.id) && !s.connected);
        let unowned = claims().filter(|c| foreign(&c.id) && c.holder != "alive");
        let expected = if newer {
            0
        } else {
            unread.count() + unowned.count()
        };
        assert_eq!(late.end.len(), expected);
        let streams = listing.streams.iter().filter(|s| foreign(&s.id)).count();
        assert_eq!(late.foreign.requests as usize, streams);
        Ok(())
    });
}
