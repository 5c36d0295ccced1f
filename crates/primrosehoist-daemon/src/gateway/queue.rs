//! The queue of requests that wait for upstream capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The order of the queue: by priority, requests of other daemons last, then by the time of the latency
/// objective, then by arrival.
pub(crate) type Rank = (u64, bool, Instant, u64);

/// A priority queue of waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: Mutex<BTreeMap<Rank, Arc<Notify>>>,
    next_number: AtomicU64,
}

/// A request's entry in the queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct Entry<'a> {
    queue: &'a Queue,
    rank: Rank,
    notify: Arc<Notify>,
}

impl Queue {
    /// Inserts a request with `priority`, ahead of those of the same priority that are due later or, if
    /// it is not, `handed_over` by other daemons.
    pub(crate) fn insert(&self, priority: u64, handed_over: bool, due: Instant) -> Entry<'_> {
        let rank = (
            priority,
            handed_over,
            due,
            self.next_number.fetch_add(1, Ordering::Relaxed),
        );
        let notify = Arc::new(Notify::new());
        self.entries.lock().insert(rank, Arc::clone(&notify));
        Entry {
            queue: self,
            rank,
            notify,
        }
    }

    /// Wakes all waiting requests in the order of the queue, so that they retry the selection.
    pub(crate) fn wake_all(&self) {
        for notify in self.entries.lock().values() {
            notify.notify_one();
        }
    }
}

impl Entry<'_> {
    /// Waits until capacity may have become available.
    pub(crate) async fn woken(&self) {
        self.notify.notified().await;
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.queue.entries.lock().remove(&self.rank);
    }
}
