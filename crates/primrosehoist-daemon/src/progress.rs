//! Counts requests in progress, so that a shutdown can wait for them.

use tokio::sync::watch;

/// The number of requests in progress.
#[derive(Debug)]
pub(crate) struct Progress {
    running: watch::Sender<usize>,
}

/// A guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    running: watch::Sender<usize>,
}

impl Default for Progress {
    fn default() -> Self {
        Self {
            running: watch::Sender::new(0),
        }
    }
}

impl Progress {
    /// Counts a request as in progress until the returned guard is dropped.
    pub(crate) fn enter(&self) -> Guard {
        self.running.send_modify(|running| *running += 1);
        Guard {
            running: self.running.clone(),
        }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn count(&self) -> usize {
        *self.running.borrow()
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_idle(&self) {
        let mut running = self.running.subscribe();
        // `self` owns the sender, so the wait cannot fail.
        let _idle = running.wait_for(|running| *running == 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.running.send_modify(|running| *running -= 1);
    }
}
