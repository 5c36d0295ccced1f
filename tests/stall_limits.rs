//! Tests of the timeout for the first event.

use std::time::Duration;

use primrosehoist::coordination::stall::{self, Expectation};
use primrosehoist::state::bounds::Bounds;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn bounds() -> Bounds {
    Bounds {
        settle_time: ms(3000),
        drain_max: ms(2000),
        shutdown_grace: ms(8000),
        config_apply_max: ms(2000),
        evacuation_max: ms(5000),
        retry_ratio: 0.2,
        retry_window: ms(10_000),
        retry_slack: 106.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        stall_max: ms(1500),
        reservation_max: ms(20_000),
        reservation_idle: ms(9000),
    }
}

#[test]
fn timeout_follows_from_the_expectation() {
    // Expected time, split, lease, may repeat, timeout.
    let cases = [
        (20, false, None, true, Some(1500)),
        (150, false, None, true, Some(1500)),
        (1000, false, None, true, Some(2000)),
        (1000, true, None, true, Some(3500)),
        // The last attempt may run until its deadline.
        (1000, true, None, false, None),
        // Reserved memory is released in time in any case.
        (1000, true, Some(3000), true, Some(3500)),
        (1000, true, Some(3000), false, Some(3500)),
        (4000, true, Some(3000), false, Some(6000)),
    ];
    for (ready, is_split, lease, may_retry, expected) in cases {
        let expectation = Expectation {
            ready: ms(ready),
            is_split,
            lease: lease.map(ms),
            may_retry,
        };
        let timeout = stall::first_event_timeout(&expectation, &bounds());
        assert_eq!(timeout, expected.map(ms), "{expectation:?}");
    }
}
