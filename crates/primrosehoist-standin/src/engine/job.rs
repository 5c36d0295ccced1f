//! Requests in the engine.

use std::sync::Arc;

use tokio::time::Instant;

use crate::engine::cache::Prefix;
use crate::engine::owner::Owner;
use crate::engine::record::Record;

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It waits for memory.
    Waiting,
    /// Its prompt is processed.
    Prefill,
    /// Its tokens are made.
    Decode,
}

/// A request with the memory it holds.
#[derive(Debug)]
pub(crate) struct Job {
    /// The order of arrival.
    pub(crate) arrival: u64,
    /// The priority; 0 is most urgent.
    pub(crate) priority: u32,
    /// The owner.
    pub(crate) owner: Owner,
    /// The tokens of the prompt that this engine takes.
    pub(crate) prompt_tokens: u64,
    /// The prompt tokens that are still to be processed.
    pub(crate) prefill_left: u64,
    /// The memory held, in tokens.
    pub(crate) held_tokens: u64,
    /// Where the request is.
    pub(crate) phase: Phase,
    /// The prefixes of its body.
    pub(crate) prefixes: Vec<Prefix>,
    /// The index of its attempt in the tally.
    pub(crate) attempt: usize,
    /// Its answer.
    pub(crate) record: Arc<Record>,
}

impl Job {
    /// Returns the memory that the request needs to run, in tokens.
    pub(crate) fn need_tokens(&self) -> u64 {
        self.prompt_tokens + self.record.prompt.max_tokens
    }

    /// Returns the key by which requests are ordered.
    pub(crate) fn rank(&self) -> Rank {
        Rank {
            priority: self.priority,
            arrival: self.arrival,
        }
    }
}

/// A request whose answer is complete and can still be read.
#[derive(Debug)]
pub(crate) struct Ended {
    /// The time of its end.
    pub(crate) at: Instant,
    /// Its answer.
    pub(crate) record: Arc<Record>,
}

/// The order of requests: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    priority: u32,
    arrival: u64,
}
