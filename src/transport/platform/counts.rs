//! Counters of calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{Display, EnumCount, EnumIter};

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Call {
    /// Reads an object.
    Get,
    /// Lists objects.
    List,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Replace,
    /// Deletes an object.
    Delete,
    /// Watches events.
    Watch,
}

/// The number of calls since the start, by kind.
#[derive(Debug, Default)]
pub struct Counts {
    calls: [AtomicU64; Call::COUNT],
}

impl Counts {
    /// Returns the number of calls of this kind.
    pub fn get(&self, call: Call) -> u64 {
        self.calls[call as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, call: Call) {
        self.calls[call as usize].fetch_add(1, Ordering::Relaxed);
    }
}
