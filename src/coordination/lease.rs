//! The right to send work to an upstream, read on the request path.
//!
//! The holding loop extends a lease each time it learns that the holding still stands. Senders
//! read it without a lock right before the first byte goes out. A process that was paused finds
//! the lease lapsed, because the clock went on.
//!
//! ```
//! use std::time::Duration;
//! use primrosehoist::coordination::lease::Lease;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let lease = Lease::new(7, now, now + Duration::from_secs(3));
//! assert!(lease.holds(now + Duration::from_secs(2)));
//! assert!(!lease.holds(now + Duration::from_secs(4)));
//! lease.release();
//! assert!(!lease.holds(now));
//! ```

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// A lease on one upstream.
#[derive(Debug)]
pub struct Lease {
    base: Instant,
    epoch: u64,
    /// Milliseconds after `base` at which the lease lapses.
    until_ms: AtomicU64,
    released: AtomicBool,
    reserve: AtomicU32,
}

impl Lease {
    /// Creates a lease with the fencing number `epoch` that lapses at `until`.
    pub fn new(epoch: u64, now: Instant, until: Instant) -> Self {
        let lease = Self {
            base: now,
            epoch,
            until_ms: AtomicU64::new(0),
            released: AtomicBool::new(false),
            reserve: AtomicU32::new(0),
        };
        lease.extend(until);
        lease
    }

    /// Returns the fencing number.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the requests that earlier holders may still have at the upstream.
    ///
    /// The holder must leave room for them below the limit of the upstream.
    pub fn reserve(&self) -> u32 {
        self.reserve.load(Ordering::Acquire)
    }

    /// Sets the requests that earlier holders may still have at the upstream.
    pub fn set_reserve(&self, requests: u32) {
        self.reserve.store(requests, Ordering::Release);
    }

    /// Lets the lease last until `until`, unless it lasts longer already or was given up.
    pub fn extend(&self, until: Instant) {
        let millis = until.saturating_duration_since(self.base).as_millis() as u64;
        self.until_ms.fetch_max(millis, Ordering::AcqRel);
    }

    /// Gives the lease up for good; a later extension has no effect.
    pub fn release(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// Returns whether work that was begun may go on at `now`, also after the lease was given up.
    pub fn covers(&self, now: Instant) -> bool {
        let until = Duration::from_millis(self.until_ms.load(Ordering::Acquire));
        now.saturating_duration_since(self.base) < until
    }

    /// Returns whether work may be sent at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        let until = Duration::from_millis(self.until_ms.load(Ordering::Acquire));
        let released = self.released.load(Ordering::Acquire);
        !released && now.saturating_duration_since(self.base) < until
    }
}
