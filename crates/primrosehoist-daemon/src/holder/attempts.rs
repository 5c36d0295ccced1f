//! The attempts that this process has in its charge at one upstream.

use std::sync::{Mutex, MutexGuard, PoisonError};

use primrosehoist::state::map::{Map, Set};

/// Attempts, each with the number of its flights.
///
/// A stream that is resumed while its former flight still counts has two.
#[derive(Debug, Default)]
pub(crate) struct Attempts(Mutex<Map<String, u32>>);

impl Attempts {
    /// Adds a flight of `attempt`.
    pub(crate) fn add(&self, attempt: &str) {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
    }

    /// Takes a flight of `attempt` away.
    pub(crate) fn remove(&self, attempt: &str) {
        let mut attempts = self.lock();
        let Some(flights) = attempts.get_mut(attempt) else {
            return;
        };
        *flights -= 1;
        if *flights == 0 {
            attempts.remove(attempt);
        }
    }

    /// Returns the number of flights of `attempt`.
    pub(crate) fn flights(&self, attempt: &str) -> u32 {
        self.lock().get(attempt).copied().unwrap_or(0)
    }

    /// Returns all attempts that have a flight.
    pub(crate) fn all(&self) -> Set<String> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
