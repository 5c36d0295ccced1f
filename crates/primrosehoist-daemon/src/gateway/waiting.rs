//! Requests that wait until an upstream has room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The order in which requests are woken: by rank, then by the time of their objective.
pub(crate) type Rank = (u64, Instant, u64);

/// The waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    entries: Mutex<BTreeMap<Rank, Arc<Notify>>>,
    next: AtomicU64,
}

/// A place in the queue; leaves it when dropped.
#[derive(Debug)]
pub(crate) struct Ticket<'a> {
    waiting: &'a Waiting,
    rank: Rank,
    notify: Arc<Notify>,
}

impl Waiting {
    /// Enters the queue with `priority`, before those whose objective is later than `due`.
    pub(crate) fn enter(&self, priority: u64, due: Instant) -> Ticket<'_> {
        let rank = (priority, due, self.next.fetch_add(1, Ordering::Relaxed));
        let notify = Arc::new(Notify::new());
        self.entries.lock().insert(rank, Arc::clone(&notify));
        Ticket {
            waiting: self,
            rank,
            notify,
        }
    }

    /// Lets all waiting requests look for a place again, in their order.
    pub(crate) fn wake(&self) {
        for notify in self.entries.lock().values() {
            notify.notify_one();
        }
    }
}

impl Ticket<'_> {
    /// Waits until a place may have become free.
    pub(crate) async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.waiting.entries.lock().remove(&self.rank);
    }
}
