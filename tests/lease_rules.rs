//! Tests when a lease lets work be sent.

use std::time::Duration;

use primrosehoist::coordination::lease::Lease;
use tokio::time::Instant;

#[test]
fn a_lease_holds_until_its_end_and_not_at_it() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let lease = Lease::new(3, start, at(3));
    let cases = [(0, true), (2, true), (3, false), (60, false)];
    for (seconds, holds) in cases {
        assert_eq!(lease.holds(at(seconds)), holds, "after {seconds} s");
    }
    lease.extend(at(5));
    lease.extend(at(4));
    assert!(lease.holds(at(4)), "a shorter extension takes nothing away");
    assert!(!lease.holds(at(5)));
    assert_eq!(lease.epoch(), 3);
}

#[test]
fn an_extension_does_not_revive_a_released_lease() {
    let start = Instant::now();
    let lease = Lease::new(1, start, start + Duration::from_secs(3));
    lease.release();
    lease.extend(start + Duration::from_secs(9));
    assert!(!lease.holds(start));
}

#[test]
fn a_lease_that_was_given_out_lapsed_can_be_extended() {
    let start = Instant::now();
    let lease = Lease::new(1, start, start);
    assert!(!lease.holds(start));
    lease.extend(start + Duration::from_secs(1));
    assert!(lease.holds(start));
}
