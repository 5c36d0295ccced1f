//! The slots of a runner and the requests that wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time;

/// The slots of a runner.
#[derive(Debug)]
pub(crate) struct Queue {
    slots: Arc<Semaphore>,
    slot_count: usize,
    waiting_max: usize,
    waiting: AtomicUsize,
}

/// Counts a waiting request until dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Queue {
    /// Creates the queue of a runner that serves `slot_count` requests at once, while at most
    /// `waiting_max` wait.
    pub(crate) fn new(slot_count: usize, waiting_max: usize) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(slot_count)),
            slot_count,
            waiting_max,
            waiting: AtomicUsize::new(0),
        }
    }

    /// Waits for a slot for at most `patience`. Returns `None` if there is none, or if the queue is
    /// full.
    pub(crate) async fn enter(&self, patience: Duration) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
            return Some(slot);
        }
        let waiting = Waiting(&self.waiting);
        if self.waiting.fetch_add(1, Ordering::AcqRel) >= self.waiting_max {
            return None;
        }
        let slot = time::timeout(patience, Arc::clone(&self.slots).acquire_owned()).await;
        drop(waiting);
        slot.ok()?.ok()
    }

    /// Returns the numbers of running requests, waiting requests and slots, separated by commas.
    pub(crate) fn load(&self) -> String {
        let running = self.slot_count - self.slots.available_permits();
        let waiting = self.waiting.load(Ordering::Acquire);
        format!("{running},{waiting},{}", self.slot_count)
    }
}
