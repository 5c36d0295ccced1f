//! Tests which connections make room for others, and the shares of memory and descriptors.

use std::time::Duration;

use primrosehoist::state::crowd::{Bounds, CONNECTION_BYTES, Crowd, HEAD_FACTOR, STALLED_AFTER};
use primrosehoist::state::memory::{Connections, Memory};
use primrosehoist_property::check;
use tokio::time::Instant;

fn crowd(connections: usize, bytes: u64) -> Crowd {
    Crowd::new(Bounds { connections, bytes })
}

#[test]
fn the_longest_stalled_part_of_a_request_makes_room_first() {
    let start = Instant::now();
    let mut crowd = crowd(4, u64::MAX);
    for number in 0..4 {
        crowd.enter(number, start);
    }
    crowd.rest(0, start);
    crowd.run(1, start);
    crowd.receive(2, 10, start + Duration::from_millis(2));
    crowd.receive(3, 10, start + Duration::from_millis(1));
    let now = start + 2 * STALLED_AFTER;
    let order: Vec<u64> = (4..8)
        .flat_map(|number| {
            crowd.enter(number, now);
            crowd.make_room(now)
        })
        .collect();
    assert_eq!(order[..3], [3, 2, 0]);
    assert!(order[3] >= 4, "a request that runs stays: {order:?}");
}

#[test]
fn an_idle_connection_stays_while_others_stall_with_large_heads() {
    let start = Instant::now();
    let head = 1000;
    let each = CONNECTION_BYTES + HEAD_FACTOR * head;
    let mut crowd = crowd(usize::MAX, 2 * each + CONNECTION_BYTES);
    crowd.enter(0, start);
    crowd.rest(0, start);
    for number in 1..10 {
        crowd.enter(number, start);
        crowd.receive(number, head, start);
    }
    let removed = crowd.make_room(start + STALLED_AFTER);
    assert_eq!(removed.len(), 7);
    assert!(!removed.contains(&0));
}

#[test]
fn a_crowd_stays_within_its_bounds_and_keeps_what_runs() {
    check(5_000, |u| {
        let mut now = Instant::now();
        let bounds = Bounds {
            connections: u.int_in_range(1..=8)?,
            bytes: u.int_in_range(CONNECTION_BYTES..=10 * CONNECTION_BYTES)?,
        };
        let mut crowd = Crowd::new(bounds);
        let mut running = Vec::new();
        for _ in 0..200 {
            now += Duration::from_millis(u.int_in_range(0..=100)?);
            let number: u64 = u.int_in_range(0..=20)?;
            match u.int_in_range(0..=4)? {
                0 => {
                    crowd.enter(number, now);
                    running.retain(|other| *other != number);
                }
                1 => crowd.receive(number, u.int_in_range(0..=20_000)?, now),
                2 => {
                    let before = crowd.len();
                    crowd.leave(number);
                    if crowd.len() < before {
                        running.retain(|other| *other != number);
                    }
                }
                3 => {
                    crowd.rest(number, now);
                    running.retain(|other| *other != number);
                }
                _ => {
                    crowd.run(number, now);
                    running.push(number);
                }
            }
            let removed = crowd.make_room(now);
            assert!(removed.iter().all(|number| !running.contains(number)));
            assert!(!crowd.is_over() || crowd.len() <= running.len());
            assert!(crowd.bytes() >= crowd.len() as u64 * CONNECTION_BYTES);
        }
        Ok(())
    });
}

#[test]
fn the_shares_stay_within_memory_and_descriptors() {
    const LARGEST: Connections = Connections {
        clients: 2500,
        handovers: 512,
        internal: 64,
    };
    for memory_mb in [32, 40, 112, 260, 4096] {
        let memory = Memory::of(memory_mb);
        let sum = memory.connections + memory.bodies + memory.answers;
        assert!(sum < memory_mb << 20, "{memory:?}");
    }
    for fds_max in [300, 400, 1000, 2870, 4096, 65_536] {
        let connections = Connections::of(fds_max, &LARGEST);
        let sum = connections.clients + connections.handovers + 3 * connections.internal;
        assert!(sum < fds_max - 200, "{connections:?}");
    }
    assert_eq!(Connections::of(65_536, &LARGEST), LARGEST);
}

#[test]
fn limits_without_bound_do_not_overflow_the_shares() {
    let largest = Connections {
        clients: 2500,
        handovers: 512,
        internal: 64,
    };
    let memory = Memory::of(u64::MAX);
    assert!(memory.bodies > Memory::of(260).bodies, "{memory:?}");
    assert_eq!(Connections::of(usize::MAX, &largest), largest);
}
