//! Whether a request was sent or cancelled, whichever came first.

use std::sync::atomic::{AtomicU8, Ordering};

const PENDING: u8 = 0;
const STARTED: u8 = 1;
const CANCELLED: u8 = 2;

/// The handoff of a request to upstreams, which starts or is cancelled, but not both.
#[derive(Debug, Default)]
pub struct Handoff(AtomicU8);

impl Handoff {
    /// Starts the handoff; returns `false` if it was cancelled, so that nothing may be sent.
    pub fn start(&self) -> bool {
        self.enter(STARTED)
    }

    /// Cancels the handoff; returns `false` if it has started, so that the request may have run.
    pub fn cancel(&self) -> bool {
        self.enter(CANCELLED)
    }

    /// Enters `state` from [`PENDING`]; returns whether the handoff is in `state` then.
    fn enter(&self, state: u8) -> bool {
        let entered = self
            .0
            .compare_exchange(PENDING, state, Ordering::AcqRel, Ordering::Acquire);
        entered.map_or_else(|current| current == state, |_pending| true)
    }
}
