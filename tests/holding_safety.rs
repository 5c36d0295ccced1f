//! Tests that at most one daemon may send to an upstream under arbitrary faults.

mod simulation;

use std::time::Duration;

use primrosehoist_property::check;
use rand::RngExt;
use simulation::World;

const STEPS: u64 = 600;
const RECOVERY_STEPS: u64 = 900;

/// Randomly injects or clears a fault, or does nothing.
fn inject_fault(world: &mut World, daemons: usize) {
    let index = world.rng.random_range(0..daemons);
    let other = world.rng.random_range(0..daemons);
    match world.rng.random_range(0..120) {
        0 | 1 => drop(world.platform.unreachable.insert(index)),
        2 => world.platform.unreachable = (0..daemons).collect(),
        3 | 4 => drop(world.platform.answers_lost.insert(index)),
        5 | 6 => drop(world.network.cuts.insert((index, other))),
        7 => {
            for other in 0..daemons {
                world.network.cuts.insert((index, other));
                world.network.cuts.insert((other, index));
            }
        }
        8 | 9 => world.daemons[index].paused = true,
        10 => world.restart(index),
        11 | 12 => world.daemons[index].paused = false,
        13 | 14 => world.clear_faults(),
        15 => world.platform.clear_faults(),
        16 => world.network.clear_faults(),
        17 => world.daemons[index].draining = !world.daemons[index].draining,
        18 | 19 => world.replace(index),
        20..26 => {
            let upstream = world.upstreams[other % world.upstreams.len()].clone();
            let requests = world.rng.random_range(0..3);
            world.daemons[index].in_flight.insert(upstream, requests);
        }
        _ => {}
    }
}

/// Runs the simulation for `seed`, first with faults and then without, and checks its invariants.
///
/// Returns the number of senders, summed over all upstreams and all steps with faults.
fn run(seed: u64, daemons: usize) -> u64 {
    let mut world = World::new(seed, daemons);
    let mut served = 0;
    for step in 0..STEPS {
        inject_fault(&mut world, daemons);
        if step == STEPS / 2 && seed.is_multiple_of(3) {
            world.kill(0);
        }
        world.advance();
        if let Some(conflict) = world.conflict() {
            panic!("seed {seed} of {daemons}: step {step}: several senders: {conflict:?}");
        }
        let senders = world
            .upstreams
            .iter()
            .map(|upstream| world.senders(upstream).len());
        served += senders.sum::<usize>() as u64;
    }
    world.clear_faults();
    world.platform.is_responsive = true;
    for daemon in &mut world.daemons {
        daemon.draining = false;
        daemon.in_flight.clear();
    }
    for step in 0..RECOVERY_STEPS {
        world.advance();
        assert!(
            world.conflict().is_none(),
            "seed {seed} of {daemons}: recovery step {step}"
        );
    }
    assert!(
        world.is_placed(),
        "seed {seed} of {daemons}: not placed: {:?}",
        world.platform.spec
    );
    served
}

#[test]
fn at_most_one_daemon_sends_under_arbitrary_faults() {
    for (daemons, runs) in [(2, 450), (3, 300), (5, 150)] {
        check(runs, |u| {
            let seed = u.arbitrary()?;
            run(seed, daemons);
            Ok(())
        });
    }
}

#[test]
fn fixed_seeds_stay_safe() {
    let served: u64 = (0..60).map(|seed| run(seed, 3)).sum();
    let most = 60 * STEPS * 4;
    println!("{served} of {most} steps had a sender while faults went on");
    // Never sending would be safe too, so check that upstreams are served.
    assert!(served > most / 10);
}

#[test]
fn holders_keep_serving_through_a_platform_outage_of_an_hour() {
    let mut world = World::new(7, 3);
    for _ in 0..200 {
        world.advance();
    }
    assert!(world.is_placed());
    world.platform.unreachable = (0..3).collect();
    for _ in 0..36_000 {
        world.advance();
        assert!(world.is_placed(), "an upstream is not served by its owner");
    }
}

#[test]
fn an_upstream_of_a_dead_holder_is_taken_over() {
    let mut world = World::new(8, 3);
    for _ in 0..200 {
        world.advance();
    }
    world.kill(1);
    let mut steps = 0;
    while !world.is_placed() {
        world.advance();
        steps += 1;
        assert!(steps < 200, "no takeover: {:?}", world.platform.spec);
    }
    // A takeover always waits for the lease and the clock margin.
    assert!(simulation::STEP * steps > Duration::from_millis(3500));
}

#[test]
fn an_outage_right_after_the_first_write_ends_no_holding() {
    let mut world = World::new(9, 2);
    while !world.is_placed() {
        world.advance();
    }
    world.platform.unreachable = (0..2).collect();
    // The lease may expire once, before the first promises arrive.
    for _ in 0..60 {
        world.advance();
    }
    for _ in 0..600 {
        world.advance();
        assert!(world.is_placed(), "an upstream is not served by its owner");
    }
}

/// Regression test for a seed found by a random run: a holder that had released an upstream
/// extended its lease by reads of other daemons, whose answers contained the epoch but not that
/// the upstream was free.
#[test]
fn a_released_upstream_is_not_extended_by_relayed_reads() {
    run(14_938_652_490_347_643_694, 3);
}

/// Regression test for a seed found by a random run: a daemon whose takeover was recorded without
/// its knowledge recorded another one, and did not wait for agreement although the first holder
/// might still have promises.
#[test]
fn a_second_takeover_waits_for_promises_to_the_first_holder() {
    run(1718, 3);
}

/// Regression test for a seed found by a random run: the platform answered two reads in a row after
/// their timeout in the last steps, when all faults had been cleared.
#[test]
fn upstreams_are_placed_once_the_platform_answers_in_time() {
    run(8_230_087_304_943_843_903, 2);
}
