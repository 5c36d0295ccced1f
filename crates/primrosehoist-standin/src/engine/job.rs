//! Accepted requests.

use std::sync::Arc;

use tokio::time::Instant;

use crate::engine::cache::Prefix;
use crate::engine::owner::Owner;
use crate::engine::record::Record;

/// The processing phase of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for memory.
    Waiting,
    /// Its prompt is being processed.
    Prefill,
    /// Its tokens are being generated.
    Decode,
}

/// An accepted request and the memory that it holds.
#[derive(Debug)]
pub(crate) struct Job {
    /// The sequence number of its arrival.
    pub(crate) arrival: u64,
    /// The priority; 0 is most urgent.
    pub(crate) priority: u32,
    /// The owner.
    pub(crate) owner: Owner,
    /// The prompt tokens that this engine processes: its shard of the prompt.
    pub(crate) prompt_tokens: u64,
    /// The prompt tokens not processed yet.
    pub(crate) prefill_left: u64,
    /// The memory held, in tokens.
    pub(crate) held_tokens: u64,
    /// The current phase.
    pub(crate) phase: Phase,
    /// The cacheable prefixes of the body, shortest first.
    pub(crate) prefixes: Vec<Prefix>,
    /// The index of its attempt in the tally.
    pub(crate) attempt: usize,
    /// The generated response.
    pub(crate) record: Arc<Record>,
}

impl Job {
    /// Returns the memory that the request needs to run, in tokens.
    pub(crate) fn required_tokens(&self) -> u64 {
        self.prompt_tokens + self.record.prompt.max_tokens
    }

    /// Returns the key by which requests are scheduled.
    pub(crate) fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            arrival: self.arrival,
        }
    }
}

/// A completed request whose response can still be read.
#[derive(Debug)]
pub(crate) struct Ended {
    /// The time of completion.
    pub(crate) at: Instant,
    /// The generated response.
    pub(crate) record: Arc<Record>,
}

/// The scheduling order of requests: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    arrival: u64,
}
