//! Tests of when a lease permits sending.

use std::time::Duration;

use primrosehoist::coordination::lease::Lease;
use tokio::time::Instant;

#[test]
fn a_lease_permits_sending_until_it_expires() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let lease = Lease::new(3, start, at(3));
    let cases = [(0, true), (2, true), (3, false), (60, false)];
    for (seconds, permitted) in cases {
        assert_eq!(
            lease.permits_sending(at(seconds)),
            permitted,
            "after {seconds} s"
        );
    }
    lease.extend(at(5));
    lease.extend(at(4));
    assert!(
        lease.permits_sending(at(4)),
        "an earlier expiry has no effect"
    );
    assert!(!lease.permits_sending(at(5)));
    assert_eq!(lease.epoch(), 3);
}

#[test]
fn an_extension_does_not_revive_a_released_lease() {
    let start = Instant::now();
    let lease = Lease::new(1, start, start + Duration::from_secs(3));
    lease.release();
    lease.extend(start + Duration::from_secs(9));
    assert!(!lease.permits_sending(start));
}

#[test]
fn a_lease_created_expired_can_be_extended() {
    let start = Instant::now();
    let lease = Lease::new(1, start, start);
    assert!(!lease.permits_sending(start));
    lease.extend(start + Duration::from_secs(1));
    assert!(lease.permits_sending(start));
}
