//! Decides how a daemon that starts without the platform's store asks other daemons for their state.
//!
//! The settings name some daemons, the seeds, which may be stale or down. All of them are asked at once
//! and again until the store or one of them answers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::time::Instant;

/// The largest number of daemons that are asked.
pub const SEEDS_MAX: usize = 3;

/// The time for which a start relies on the store alone, which usually answers within milliseconds. All hosts
/// may be restarting, and the last one that knows anything may end soon.
pub const STORE_PATIENCE: Duration = Duration::from_millis(250);

/// The timeout for the response of a seed, whose link may be slow.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a start waits for newer state of other seeds after the first response.
pub const SETTLE_TIME: Duration = Duration::from_millis(150);

/// The longest silence of a seed whose state may be used at once. One that has been cut off for longer may
/// lack changes that the others know.
const FRESH_SILENCE_MAX: Duration = Duration::from_secs(3);

/// The delay after the first round that brought nothing, before jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(200);

/// The longest delay between two rounds, before jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// The longest silence that a daemon tells of. Callers whose keys are unknown are told to come again
/// after a much shorter one.
const SILENCE_MAX: Duration = Duration::from_secs(60);

/// Returns the daemons to ask: those in `listed` but for duplicates and the own host, at most
/// [`SEEDS_MAX`].
pub fn targets(listed: &[SocketAddr], own: IpAddr) -> Vec<SocketAddr> {
    let mut targets = Vec::with_capacity(SEEDS_MAX);
    for address in listed {
        if address.ip() != own && !targets.contains(address) && targets.len() < SEEDS_MAX {
            targets.push(*address);
        }
    }
    targets
}

/// Returns the delay before the next round, before jitter, after `failures` rounds that brought nothing.
pub fn retry_delay(failures: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures.saturating_sub(1));
    RETRY_DELAY_MIN.saturating_mul(factor).min(RETRY_DELAY_MAX)
}

/// A round of requests, one to each seed.
#[derive(Debug, Clone, Copy)]
pub struct Round {
    ends_at: Instant,
}

impl Round {
    /// Starts a round.
    pub fn new(now: Instant) -> Self {
        Self {
            ends_at: now + RESPONSE_TIMEOUT,
        }
    }

    /// Records a valid response of a seed that last heard from others `silence` ago. After a fresh one, others
    /// that take long are not waited for.
    pub fn record_response(&mut self, silence: Duration, now: Instant) {
        if silence <= FRESH_SILENCE_MAX {
            self.ends_at = self.ends_at.min(now + SETTLE_TIME);
        }
    }

    /// Returns when the round ends, although some seeds have not responded.
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }
}

/// Returns when a daemon that knows only what others told it counts as having last heard from the
/// platform: as long ago as the one of them that was silent for the shortest time.
pub fn last_contact<I>(silences: I, now: Instant) -> Option<Instant>
where
    I: IntoIterator<Item = Duration>,
{
    let silence = silences.into_iter().min()?.min(SILENCE_MAX);
    now.checked_sub(silence)
}
