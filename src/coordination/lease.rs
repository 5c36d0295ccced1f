//! Leases: time-limited rights to send work to an upstream.
//!
//! The holding loop extends a lease each time it confirms the holding. Senders check the lease
//! without a lock right before they send the first byte. A process that was paused finds the lease
//! expired, because the clock continued to run.
//!
//! ```
//! use std::time::Duration;
//! use primrosehoist::coordination::lease::Lease;
//! use tokio::time::Instant;
//!
//! let now = Instant::now();
//! let lease = Lease::new(7, now, now + Duration::from_secs(3));
//! assert!(lease.permits_sending(now + Duration::from_secs(2)));
//! assert!(!lease.permits_sending(now + Duration::from_secs(4)));
//! lease.release();
//! assert!(!lease.permits_sending(now));
//! ```

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// A lease on one upstream.
#[derive(Debug)]
pub struct Lease {
    base: Instant,
    epoch: u64,
    /// The expiry, in milliseconds after `base`.
    expires_ms: AtomicU64,
    released: AtomicBool,
    reserve: AtomicU32,
}

impl Lease {
    /// Creates a lease with the fencing token `epoch` that expires at `until`.
    pub fn new(epoch: u64, now: Instant, until: Instant) -> Self {
        let lease = Self {
            base: now,
            epoch,
            expires_ms: AtomicU64::new(0),
            released: AtomicBool::new(false),
            reserve: AtomicU32::new(0),
        };
        lease.extend(until);
        lease
    }

    /// Returns the fencing token.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the number of requests that earlier holders may still have at the upstream.
    ///
    /// The holder must reserve capacity for them below the limit of the upstream.
    pub fn reserve(&self) -> u32 {
        self.reserve.load(Ordering::Acquire)
    }

    /// Sets the number of requests that earlier holders may still have at the upstream.
    pub fn set_reserve(&self, requests: u32) {
        self.reserve.store(requests, Ordering::Release);
    }

    /// Extends the lease to `until`. An earlier time has no effect, and a released lease still does
    /// not permit sending.
    pub fn extend(&self, until: Instant) {
        let millis = until.saturating_duration_since(self.base).as_millis() as u64;
        self.expires_ms.fetch_max(millis, Ordering::AcqRel);
    }

    /// Releases the lease permanently: it never permits sending again, even if it is extended.
    pub fn release(&self) {
        self.released.store(true, Ordering::Release);
    }

    /// Returns whether requests that are already running may continue at `now`. A release does not
    /// affect them.
    pub fn is_unexpired(&self, now: Instant) -> bool {
        let until = Duration::from_millis(self.expires_ms.load(Ordering::Acquire));
        now.saturating_duration_since(self.base) < until
    }

    /// Returns whether new work may be sent at `now`.
    pub fn permits_sending(&self, now: Instant) -> bool {
        let until = Duration::from_millis(self.expires_ms.load(Ordering::Acquire));
        let released = self.released.load(Ordering::Acquire);
        !released && now.saturating_duration_since(self.base) < until
    }
}
