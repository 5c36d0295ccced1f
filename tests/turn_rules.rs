//! Tests in which order requests that wait for capacity may look for it.

use std::collections::BTreeSet;
use std::time::Duration;

use primrosehoist::coordination::turn::{Look, Rank, Round};
use primrosehoist_property::check;
use tokio::time::Instant;

fn round(ranks: &[u8]) -> Round<u8, u8> {
    let mut round = Round::default();
    for rank in ranks {
        round.insert(*rank, *rank);
    }
    round
}

#[test]
fn requests_have_turns_in_the_order_of_rank() {
    let mut round = round(&[5, 2, 9]);
    assert_eq!(round.restart(), Some(&2));
    for (rank, next) in [(2, Some(&5)), (5, Some(&9)), (9, None)] {
        assert!(round.has_turn(rank));
        assert_eq!(round.is_first(rank), rank == 2);
        assert_eq!(round.end_turn(rank), next);
    }
    // Those that have had their turn have one until the next round.
    assert!(round.has_turn(9));
}

#[test]
fn overdue_request_goes_behind_all_that_can_still_meet_their_objective() {
    let overdue = Rank {
        overdue: true,
        priority: 1,
        handed_over: false,
        due: Instant::now(),
        number: 0,
    };
    for priority in [0, 1, 1_500, u64::MAX] {
        let timely = Rank {
            overdue: false,
            priority,
            handed_over: true,
            due: overdue.due + Duration::from_secs(1),
            number: 1,
        };
        assert!(timely < overdue, "{timely:?}");
    }
}

#[test]
fn request_that_wakes_up_by_itself_does_not_overtake_one_ahead_of_it() {
    let mut round = round(&[2, 5]);
    round.restart();
    assert!(!round.has_turn(5));
    // The end of a turn that it does not have changes nothing.
    assert_eq!(round.end_turn(5), None);
    assert!(!round.has_turn(5));
    round.end_turn(2);
    assert!(round.has_turn(5));
    // Capacity becomes free before it runs.
    assert_eq!(round.restart(), Some(&2));
    assert!(!round.has_turn(5));
}

#[test]
fn request_that_arrives_waits_only_for_those_ahead_of_it() {
    let mut round = round(&[2, 5]);
    round.restart();
    round.insert(1, 1);
    round.insert(7, 7);
    assert!(round.has_turn(1));
    assert!(!round.has_turn(7));
    assert_eq!(round.end_turn(1), Some(&2));
    round.end_turn(2);
    round.end_turn(5);
    assert!(round.has_turn(7));
    round.end_turn(7);
    round.insert(9, 9);
    assert!(round.has_turn(9), "the round is complete");
}

#[test]
fn request_that_leaves_passes_its_turn_on() {
    let mut round = round(&[2, 5, 9]);
    round.restart();
    assert_eq!(round.remove(5), None);
    assert_eq!(round.remove(2), Some(&9));
    assert_eq!(round.remove(9), None);
    assert!(round.is_empty());
}

/// A look for capacity by a request that was notified at its turn.
const AT_TURN: Look = Look {
    has_turn: true,
    is_first: false,
    polls: false,
    has_waited: false,
    is_last: false,
};

#[test]
fn request_uses_what_it_finds_at_its_turn() {
    assert!(AT_TURN.is_due() && AT_TURN.may_use());
    let woken_early = Look {
        has_turn: false,
        ..AT_TURN
    };
    assert!(!woken_early.is_due());
}

#[test]
fn request_that_polls_leaves_what_it_finds_to_those_ahead_of_it() {
    let poll = Look {
        polls: true,
        ..AT_TURN
    };
    for has_turn in [false, true] {
        let poll = Look { has_turn, ..poll };
        assert!(poll.is_due() && !poll.may_use());
        let has_waited = true;
        assert!(Look { has_waited, ..poll }.may_use());
    }
    let is_first = true;
    assert!(Look { is_first, ..poll }.may_use());
}

#[test]
fn request_about_to_be_refused_uses_what_is_free() {
    for (has_turn, polls) in [(false, false), (false, true), (true, false), (true, true)] {
        let last = Look {
            has_turn,
            polls,
            is_last: true,
            ..AT_TURN
        };
        assert!(last.is_due() && last.may_use(), "{last:?}");
    }
}

#[test]
fn no_request_overtakes_another_and_each_round_reaches_all() {
    check(1_500, |random| {
        let mut round = Round::default();
        let mut notified = BTreeSet::new();
        let mut waiting = BTreeSet::new();
        // Those that have looked for capacity since it last became free.
        let mut looked = BTreeSet::new();
        for _ in 0..random.int_in_range(1..=60)? {
            let rank = random.int_in_range(0..=15)?;
            match random.int_in_range(0..=5)? {
                0 | 1 if waiting.insert(rank) => {
                    round.insert(rank, rank);
                    run(&mut round, rank, &waiting, &mut looked, &mut notified);
                }
                2 if waiting.remove(&rank) => {
                    looked.remove(&rank);
                    notified.remove(&rank);
                    notified.extend(round.remove(rank));
                }
                3 => {
                    looked.clear();
                    notified.extend(round.restart());
                }
                _ => {
                    // Any of those that are waiting may wake up by itself as well.
                    notified.remove(&rank);
                    if waiting.contains(&rank) {
                        run(&mut round, rank, &waiting, &mut looked, &mut notified);
                    }
                }
            }
        }
        while let Some(rank) = notified.pop_first() {
            run(&mut round, rank, &waiting, &mut looked, &mut notified);
        }
        assert_eq!(looked, waiting);
        Ok(())
    });
}

/// Runs a request that was notified.
fn run(
    round: &mut Round<u8, u8>,
    rank: u8,
    waiting: &BTreeSet<u8>,
    looked: &mut BTreeSet<u8>,
    notified: &mut BTreeSet<u8>,
) {
    if !round.has_turn(rank) {
        return;
    }
    let ahead = waiting.range(..rank).find(|other| !looked.contains(other));
    assert_eq!(ahead, None, "{rank} overtakes another request");
    looked.insert(rank);
    notified.extend(round.end_turn(rank));
}
