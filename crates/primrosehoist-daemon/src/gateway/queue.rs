//! The queue of requests that wait for upstream capacity.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use primrosehoist::coordination::turn::{Rank, Round};
use primrosehoist::coordination::waiting::Place;
use primrosehoist::state::map::Map;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// The longest time between two selections of a queued request. Reports of other daemons and the
/// passage of time also free capacity, without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A priority queue of waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    /// The requests that wait for the upstreams of each service.
    lines: Mutex<Map<Arc<str>, Line>>,
    next_number: AtomicU64,
}

type Line = Round<Rank, Arc<Notify>>;

/// A request's entry in the queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct Entry<'a> {
    queue: &'a Queue,
    service: Arc<str>,
    rank: Rank,
    notify: Arc<Notify>,
}

impl Queue {
    /// Inserts a request for `service`, which may be `overdue`, in the order of [`Rank`].
    pub(crate) fn insert(
        &self,
        service: &Arc<str>,
        overdue: bool,
        priority: u64,
        handed_over: bool,
        due: Instant,
    ) -> Entry<'_> {
        let rank = Rank {
            overdue,
            priority,
            handed_over,
            due,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
        };
        let notify = Arc::new(Notify::new());
        let mut lines = self.lines.lock();
        let line = lines.entry(Arc::clone(service)).or_default();
        line.insert(rank, Arc::clone(&notify));
        Entry {
            queue: self,
            service: Arc::clone(service),
            rank,
            notify,
        }
    }

    /// Returns the number of requests that wait for `service`, and of those that would go before a new one
    /// that is due at `due`.
    pub(crate) fn counts(&self, service: &str, priority: u64, due: Instant) -> (usize, usize) {
        let rank = Rank {
            overdue: false,
            priority,
            handed_over: false,
            due,
            number: u64::MAX,
        };
        let lines = self.lines.lock();
        lines.get(service).map_or((0, 0), |line| line.counts(rank))
    }

    /// Begins a round for each service, since capacity may have become free.
    pub(crate) fn wake_all(&self) {
        for line in self.lines.lock().values_mut() {
            notify(line.restart());
        }
    }
}

impl Entry<'_> {
    /// Returns the place of the request in the queue.
    pub(crate) fn place(&self) -> Place {
        let lines = self.queue.lines.lock();
        let line = lines.get(&self.service);
        Place {
            has_turn: line.is_none_or(|line| line.has_turn(self.rank)),
            is_first: line.is_none_or(|line| line.is_first(self.rank)),
        }
    }

    /// Lets the next request look for capacity, since this one found none.
    pub(crate) fn end_turn(&self) {
        if let Some(line) = self.queue.lines.lock().get_mut(&self.service) {
            notify(line.end_turn(self.rank));
        }
    }

    /// Begins a round, since this request found capacity that those ahead of it have not seen.
    pub(crate) fn restart_round(&self) {
        if let Some(line) = self.queue.lines.lock().get_mut(&self.service) {
            notify(line.restart());
        }
    }

    /// Waits until it is the request's turn, but at most for [`POLL_INTERVAL`]; returns whether it
    /// was notified.
    pub(crate) async fn woken(&self) -> bool {
        timeout(POLL_INTERVAL, self.notify.notified()).await.is_ok()
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let mut lines = self.queue.lines.lock();
        let Some(line) = lines.get_mut(&self.service) else {
            return;
        };
        notify(line.remove(self.rank));
        if line.is_empty() {
            lines.remove(&self.service);
        }
    }
}

fn notify(next: Option<&Arc<Notify>>) {
    if let Some(next) = next {
        next.notify_one();
    }
}
