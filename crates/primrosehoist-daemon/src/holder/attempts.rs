//! The attempts that this process runs at one upstream.

use std::sync::{Mutex, MutexGuard, PoisonError};

use primrosehoist::state::map::{Map, Set};

/// Attempts with their registration counts.
///
/// A stream that is resumed before its former registration has ended has two.
#[derive(Debug, Default)]
pub(crate) struct Attempts(Mutex<Map<String, u32>>);

impl Attempts {
    /// Increments the registration count of `attempt`.
    pub(crate) fn add(&self, attempt: &str) {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
    }

    /// Decrements the registration count of `attempt`.
    pub(crate) fn remove(&self, attempt: &str) {
        let mut attempts = self.lock();
        let Some(registrations) = attempts.get_mut(attempt) else {
            return;
        };
        *registrations -= 1;
        if *registrations == 0 {
            attempts.remove(attempt);
        }
    }

    /// Returns the registration count of `attempt`.
    pub(crate) fn registrations(&self, attempt: &str) -> u32 {
        self.lock().get(attempt).copied().unwrap_or(0)
    }

    /// Returns all registered attempts.
    pub(crate) fn all(&self) -> Set<String> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
