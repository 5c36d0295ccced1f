//! Decides which of the requests that wait for capacity may use it next.
//!
//! Requests differ in what they need, so one that finds too little must not hold up those behind it.
//! When capacity may have become free, a round begins: each request has a turn, in the order of
//! rank, to look for capacity. One that looked outside its turn could take what a request ahead of
//! it has not seen yet.

use std::collections::BTreeMap;
use std::ops::Bound;

use tokio::time::Instant;

/// The requests that wait, each with a handle by which it is notified, and a round of turns.
#[derive(Debug)]
pub struct Round<R, H> {
    waiting: BTreeMap<R, H>,
    /// The last request that had its turn, unless the round has just begun.
    passed: Option<R>,
}

/// The place of a request in the queue. The order of the fields is that of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it missed its latency objective. Those that can still meet theirs go first.
    pub overdue: bool,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// Whether another daemon handed it over.
    pub handed_over: bool,
    /// When it misses its latency objective.
    pub due: Instant,
    /// The number of its arrival.
    pub number: u64,
}

/// What decides whether a request that waits looks for capacity, and whether it uses what it finds.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "they are independent of each other"
)]
pub struct Look {
    /// Whether all requests ahead of it have had their turn in this round.
    pub has_turn: bool,
    /// Whether no request is ahead of it.
    pub is_first: bool,
    /// Whether it woke up by itself. What it finds then has become free unnoticed.
    pub polls: bool,
    /// Whether it has left capacity to those ahead of it for as long as it may.
    pub has_waited: bool,
    /// Whether its time to wait is over, so that it is refused unless it uses what it finds.
    pub is_last: bool,
}

impl Look {
    /// Returns whether the request looks for capacity at all.
    pub fn is_due(self) -> bool {
        self.has_turn || self.polls || self.is_last
    }

    /// Returns whether the request uses the capacity that it finds, rather than leave it to those
    /// ahead of it.
    pub fn may_use(self) -> bool {
        let at_turn = self.has_turn && (!self.polls || self.is_first);
        at_turn || self.has_waited || self.is_last
    }
}

impl<R, H> Default for Round<R, H> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            passed: None,
        }
    }
}

impl<R, H> Round<R, H>
where
    R: Ord + Copy,
{
    /// Adds a request, ahead of those with a greater rank. It has a turn at once if no request
    /// ahead of it is still to have one.
    pub fn insert(&mut self, rank: R, handle: H) {
        self.waiting.insert(rank, handle);
    }

    /// Removes a request. Returns the one whose turn it becomes by that, if any.
    pub fn remove(&mut self, rank: R) -> Option<&H> {
        let had_turn = self.next().is_some_and(|(next, _)| next == rank);
        self.waiting.remove(&rank);
        if had_turn {
            self.next().map(|(_, handle)| handle)
        } else {
            None
        }
    }

    /// Begins a round. Returns the request whose turn it is.
    pub fn restart(&mut self) -> Option<&H> {
        self.passed = None;
        self.next().map(|(_, handle)| handle)
    }

    /// Returns whether a request may look for capacity: all requests ahead of it have had their
    /// turn.
    pub fn has_turn(&self, rank: R) -> bool {
        self.next().is_none_or(|(next, _)| rank <= next)
    }

    /// Ends the turn of a request that found no capacity. Returns the one whose turn it becomes, if
    /// any. Does nothing if it is not the request's turn.
    pub fn end_turn(&mut self, rank: R) -> Option<&H> {
        if self.next().is_none_or(|(next, _)| next != rank) {
            return None;
        }
        self.passed = Some(rank);
        self.next().map(|(_, handle)| handle)
    }

    /// Returns whether no request is ahead of this one.
    pub fn is_first(&self, rank: R) -> bool {
        self.waiting.range(..rank).next().is_none()
    }

    /// Returns the number of requests that wait, and of those ahead of `rank`.
    pub fn counts(&self, rank: R) -> (usize, usize) {
        (self.waiting.len(), self.waiting.range(..rank).count())
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the first request that has not had its turn.
    fn next(&self) -> Option<(R, &H)> {
        let after = self.passed.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.waiting.range((after, Bound::Unbounded));
        rest.next().map(|(rank, handle)| (*rank, handle))
    }
}
