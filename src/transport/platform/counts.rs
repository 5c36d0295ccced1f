//! Counts the calls to the platform.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{Display, EnumCount, EnumIter};

/// The kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "lowercase")]
pub enum Call {
    /// Reads an object.
    Get,
    /// Reads a collection.
    List,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Replace,
    /// Removes an object.
    Delete,
    /// Waits for events.
    Watch,
}

/// The calls made since the start, by kind.
#[derive(Debug, Default)]
pub struct Counts {
    calls: [AtomicU64; Call::COUNT],
}

impl Counts {
    /// Returns how many calls of this kind were made.
    pub fn get(&self, call: Call) -> u64 {
        self.calls[call as usize].load(Ordering::Relaxed)
    }

    pub(crate) fn add(&self, call: Call) {
        self.calls[call as usize].fetch_add(1, Ordering::Relaxed);
    }
}
