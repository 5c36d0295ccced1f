//! The queue of requests that wait for upstream capacity.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use primrosehoist::coordination::turn::Round;
use primrosehoist::state::map::Map;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// The longest time between two rounds of a service's queue. Reports of other daemons and the
/// passage of time also free capacity, without a wake-up.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// The order of the queue: by priority, requests of other daemons last, then by the time of the latency
/// objective, then by arrival.
type Rank = (u64, bool, Instant, u64);

/// A priority queue of waiting requests, with a line for each service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    lines: Mutex<Map<Arc<str>, Line>>,
    next_number: AtomicU64,
}

/// The requests that wait for the upstreams of a service.
#[derive(Debug)]
struct Line {
    round: Round<Rank, Arc<Notify>>,
    /// When the round began.
    since: Instant,
}

/// A request's entry in the queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(crate) struct Entry<'a> {
    queue: &'a Queue,
    service: Arc<str>,
    rank: Rank,
    notify: Arc<Notify>,
}

impl Queue {
    /// Inserts a request for `service` with `priority`, ahead of those of the same priority that are
    /// due later or, if it is not, `handed_over` by other daemons.
    pub(crate) fn insert(
        &self,
        service: &Arc<str>,
        priority: u64,
        handed_over: bool,
        due: Instant,
    ) -> Entry<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let rank = (priority, handed_over, due, number);
        let notify = Arc::new(Notify::new());
        let mut lines = self.lines.lock();
        let line = lines.entry(Arc::clone(service)).or_insert_with(|| Line {
            round: Round::default(),
            since: Instant::now(),
        });
        line.round.insert(rank, Arc::clone(&notify));
        Entry {
            queue: self,
            service: Arc::clone(service),
            rank,
            notify,
        }
    }

    /// Begins a round for each service, since capacity may have become free.
    pub(crate) fn wake_all(&self) {
        for line in self.lines.lock().values_mut() {
            line.restart();
        }
    }
}

impl Line {
    fn restart(&mut self) {
        self.since = Instant::now();
        notify(self.round.restart());
    }
}

impl Entry<'_> {
    /// Returns whether the request may look for capacity.
    pub(crate) fn has_turn(&self) -> bool {
        let lines = self.queue.lines.lock();
        let line = lines.get(&self.service);
        line.is_none_or(|line| line.round.has_turn(self.rank))
    }

    /// Lets the next request look for capacity, since this one found none.
    pub(crate) fn end_turn(&self) {
        if let Some(line) = self.queue.lines.lock().get_mut(&self.service) {
            notify(line.round.end_turn(self.rank));
        }
    }

    /// Waits for the request's turn, but at most for [`POLL_INTERVAL`].
    pub(crate) async fn woken(&self) {
        if timeout(POLL_INTERVAL, self.notify.notified()).await.is_ok() {
            return;
        }
        if let Some(line) = self.queue.lines.lock().get_mut(&self.service)
            && line.round.is_complete()
            && line.since.elapsed() >= POLL_INTERVAL
        {
            line.restart();
        }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        let mut lines = self.queue.lines.lock();
        let Some(line) = lines.get_mut(&self.service) else {
            return;
        };
        notify(line.round.remove(self.rank));
        if line.round.is_empty() {
            lines.remove(&self.service);
        }
    }
}

fn notify(next: Option<&Arc<Notify>>) {
    if let Some(next) = next {
        next.notify_one();
    }
}
