//! The attempts that this process has in its charge at one upstream.

use std::sync::{Mutex, MutexGuard, PoisonError};

use primrosehoist::state::map::{Map, Set};

/// Attempts, each with the number of its registrations.
///
/// A stream that is resumed while its former registration still counts has two.
#[derive(Debug, Default)]
pub(crate) struct Attempts(Mutex<Map<String, u32>>);

impl Attempts {
    /// Adds a registration of `attempt`.
    pub(crate) fn add(&self, attempt: &str) {
        *self.lock().entry(attempt.to_owned()).or_default() += 1;
    }

    /// Takes a registration of `attempt` away.
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

    /// Returns the number of registrations of `attempt`.
    pub(crate) fn registrations(&self, attempt: &str) -> u32 {
        self.lock().get(attempt).copied().unwrap_or(0)
    }

    /// Returns all attempts that have a registration.
    pub(crate) fn all(&self) -> Set<String> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Map<String, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
