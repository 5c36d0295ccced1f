//! Detects that the process did not run for some time, so that what it knows may be outdated.
//!
//! A process that was stopped, suspended or starved acts as if no time had passed: it would send to
//! an upstream that has left or accept a key that was withdrawn meanwhile. So it first asks another
//! daemon what has changed.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::context::Context;
use super::{peer_sync, suspension};

/// The shortest pause after which the state of the platform is refreshed. Half of the shortest bound
/// on outdated state remains.
const PAUSE_MIN: Duration = Duration::from_millis(900);

/// The interval at which the process shows that it runs.
const PULSE_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time for which requests wait for the refresh. A daemon that reaches no other one goes
/// on with what it knows, as it does in a network partition.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(800);

/// Whether the process may have been paused since its state was last refreshed.
#[derive(Debug)]
pub(crate) struct Monitor {
    /// When the process last ran, and for how long the host had been suspended by then.
    last_run: Mutex<(Instant, Duration)>,
    outdated: watch::Sender<bool>,
}

impl Default for Monitor {
    fn default() -> Self {
        Self {
            last_run: Mutex::new((Instant::now(), suspension::total())),
            outdated: watch::Sender::new(false),
        }
    }
}

impl Monitor {
    /// Returns whether the state may be outdated because of a pause.
    pub(crate) fn is_outdated(&self) -> bool {
        let now = (Instant::now(), suspension::total());
        let last = std::mem::replace(&mut *self.last_run.lock(), now);
        let stopped = now.0.saturating_duration_since(last.0);
        let pause = stopped.max(now.1.saturating_sub(last.1));
        if pause >= PAUSE_MIN {
            log::warn!(pause_ms = pause.as_millis() as u64; "process was paused; refreshing state");
            self.outdated.send_replace(true);
        }
        *self.outdated.borrow()
    }

    /// Waits until the state has been refreshed after a pause, if there was one.
    pub(crate) async fn wait_current(&self) {
        if !self.is_outdated() {
            return;
        }
        let mut outdated = self.outdated.subscribe();
        // The sender lives as long as `self`.
        let _closed = outdated.wait_for(|outdated| !outdated).await.is_err();
    }
}

/// Refreshes the state after each pause, for as long as the process runs.
pub(crate) async fn watch(context: Arc<Context>) {
    loop {
        if context.pauses.is_outdated() {
            // Watches that were pending may have been lost.
            context.store_recoveries.send_modify(|_outage| {});
            let refreshed = timeout(REFRESH_TIMEOUT, peer_sync::refresh(&context)).await;
            log::info!(refreshed = refreshed.is_ok(); "state refreshed after a pause");
            context.pauses.outdated.send_replace(false);
        }
        sleep(PULSE_INTERVAL).await;
    }
}
