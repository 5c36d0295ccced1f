//! The places of connections in the crowd of a server, and the call to give one up.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::state::crowd::{Bounds, Crowd};
use crate::state::map::Map;

/// The places of a server. Clones share them.
#[derive(Debug, Clone)]
pub struct Places(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    crowd: Crowd,
    calls: Map<u64, Arc<Notify>>,
    next_number: u64,
    closed: u64,
}

impl Inner {
    /// Calls the connections that make room for others.
    fn make_room(&mut self) {
        for number in self.crowd.make_room(Instant::now()) {
            if let Some(call) = self.calls.remove(&number) {
                self.closed += 1;
                call.notify_one();
            }
        }
    }
}

impl Places {
    /// Creates places within `bounds`.
    pub fn new(bounds: Bounds) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            crowd: Crowd::new(bounds),
            calls: Map::default(),
            next_number: 0,
            closed: 0,
        })))
    }

    /// Takes a place for a new connection, for which another may have to leave. Returns `None` if
    /// none can.
    pub fn take(&self) -> Option<Place> {
        let mut inner = self.lock();
        let number = inner.next_number;
        inner.next_number += 1;
        let call = Arc::new(Notify::new());
        inner.calls.insert(number, Arc::clone(&call));
        inner.crowd.enter(number, Instant::now());
        inner.make_room();
        let taken = inner.calls.contains_key(&number);
        drop(inner);
        taken.then(|| {
            Place(Arc::new(Held {
                places: self.clone(),
                number,
                call,
            }))
        })
    }

    /// Returns the number of connections that had to make room since the last call.
    pub fn take_closed(&self) -> u64 {
        std::mem::take(&mut self.lock().closed)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct Held {
    places: Places,
    number: u64,
    call: Arc<Notify>,
}

impl fmt::Debug for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Held")
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut inner = self.places.lock();
        inner.crowd.leave(self.number);
        inner.calls.remove(&self.number);
    }
}

/// The place of a connection. It is free when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Place(Arc<Held>);

impl Place {
    /// Waits until the connection has to make room.
    pub async fn called(&self) {
        self.0.call.notified().await;
    }

    /// Records that `head_bytes` more bytes of a head have been received, or another part of a
    /// request.
    pub fn receive(&self, head_bytes: u64) {
        let mut inner = self.0.places.lock();
        inner
            .crowd
            .receive(self.0.number, head_bytes, Instant::now());
        if inner.crowd.is_over() {
            inner.make_room();
        }
    }

    /// Records that a whole request has been received.
    pub fn run(&self) {
        let mut inner = self.0.places.lock();
        inner.crowd.run(self.0.number, Instant::now());
    }

    /// Records that the request has been answered.
    pub fn rest(&self) {
        let mut inner = self.0.places.lock();
        inner.crowd.rest(self.0.number, Instant::now());
    }
}
