//! Tests that a request is either sent or cancelled.

use std::sync::Barrier;

use primrosehoist::state::handoff::Handoff;

#[test]
fn handoff_that_has_started_cannot_be_cancelled() {
    let handoff = Handoff::default();
    assert!(handoff.start() && handoff.start());
    assert!(!handoff.cancel());
}

#[test]
fn cancelled_handoff_cannot_start() {
    let handoff = Handoff::default();
    assert!(handoff.cancel() && handoff.cancel());
    assert!(!handoff.start());
}

#[test]
fn one_of_two_threads_wins() {
    for _ in 0..1000 {
        let (handoff, barrier) = (Handoff::default(), Barrier::new(2));
        let (started, cancelled) = std::thread::scope(|scope| {
            let starting = scope.spawn(|| {
                barrier.wait();
                handoff.start()
            });
            barrier.wait();
            let cancelled = handoff.cancel();
            (starting.join().expect("does not panic"), cancelled)
        });
        assert_ne!(started, cancelled);
    }
}
