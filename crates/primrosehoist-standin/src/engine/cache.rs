//! The prefix cache and its events.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use primrosehoist::state::map::Map;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::time::Instant;

use crate::engine::settings::Settings;
use crate::reply::hex;

/// The number of body bytes per block.
const BLOCK_BYTES: usize = 1024;
/// The number of tokens per block.
const BLOCK_TOKENS: u64 = 256;
/// The number of leading hash bytes that identify a prefix.
const PREFIX_BYTES: usize = 8;
/// The maximum number of retained events.
const EVENTS_LIMIT: usize = 20_000;

/// The identifier of a prefix.
pub(crate) type Prefix = Arc<str>;

/// Returns the identifiers of the prefixes of a body, shortest first.
pub(crate) fn prefixes(body: &[u8]) -> Vec<Prefix> {
    let mut names = Vec::with_capacity(body.len() / BLOCK_BYTES);
    let mut previous: Option<[u8; 32]> = None;
    for block in body.chunks_exact(BLOCK_BYTES) {
        let mut digest = Sha256::new();
        if let Some(previous) = previous {
            digest.update(previous);
        }
        digest.update(block);
        let hash: [u8; 32] = digest.finalize().into();
        names.push(Prefix::from(hex(&hash[..PREFIX_BYTES])));
        previous = Some(hash);
    }
    names
}

/// An insertion into the cache or an eviction from it.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Event {
    seq: u64,
    kind: &'static str,
    prefix: Prefix,
    tokens: u64,
    #[serde(skip)]
    at: Option<Instant>,
}

/// The events from a sequence number on.
#[derive(Debug, Serialize)]
pub(crate) struct Page {
    events: Vec<Event>,
    next: u64,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    used: u64,
    /// The length of the whole prefix, in tokens.
    tokens: u64,
}

/// An LRU cache of prefixes.
#[derive(Debug)]
pub(crate) struct Cache {
    blocks: Map<Prefix, Block>,
    by_use: BTreeMap<u64, Prefix>,
    uses: u64,
    seq: u64,
    events: VecDeque<Event>,
    random: StdRng,
    lag: Duration,
    gap_percent: u32,
}

impl Cache {
    /// Creates an empty cache.
    pub(crate) fn new(settings: &Settings) -> Cache {
        Cache {
            blocks: Map::default(),
            by_use: BTreeMap::new(),
            uses: 0,
            seq: 0,
            events: VecDeque::new(),
            random: StdRng::seed_from_u64(settings.seed),
            lag: settings.cache_event_lag,
            gap_percent: settings.cache_gap_percent,
        }
    }

    /// Returns the memory in use, in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.blocks.len() as u64 * BLOCK_TOKENS
    }

    /// Returns the number of cached tokens of a prefix chain and marks those blocks as used.
    pub(crate) fn hit(&mut self, prefixes: &[Prefix]) -> u64 {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.blocks.contains_key(*prefix))
            .count();
        // The longest prefix is marked first, so that eviction starts at the end of a chain.
        for prefix in prefixes[..cached].iter().rev() {
            self.touch(prefix);
        }
        cached as u64 * BLOCK_TOKENS
    }

    /// Stores the prefixes that fit into `limit` tokens and evicts others down to that limit.
    pub(crate) fn store(&mut self, prefixes: &[Prefix], limit: u64, now: Instant) {
        let room = (limit / BLOCK_TOKENS) as usize;
        let fitting = &prefixes[..prefixes.len().min(room)];
        // As in a hit, the longest prefix is marked first.
        for (index, prefix) in fitting.iter().enumerate().rev() {
            if !self.blocks.contains_key(prefix) {
                let tokens = (index as u64 + 1) * BLOCK_TOKENS;
                let block = Block { used: 0, tokens };
                self.blocks.insert(Arc::clone(prefix), block);
                self.publish("stored", prefix, tokens, now);
            }
            self.touch(prefix);
        }
        self.shrink(limit, now);
    }

    /// Evicts the least recently used prefixes until the cache holds at most `limit` tokens.
    pub(crate) fn shrink(&mut self, limit: u64, now: Instant) {
        while self.tokens() > limit {
            let Some((_, prefix)) = self.by_use.pop_first() else {
                return;
            };
            if let Some(block) = self.blocks.remove(&prefix) {
                self.publish("evicted", &prefix, block.tokens, now);
            }
        }
    }

    /// Returns the events from `since` on that are at least as old as the event lag.
    pub(crate) fn page(&self, since: u64, now: Instant) -> Page {
        let ready = |event: &&Event| event.at.is_none_or(|at| now.duration_since(at) >= self.lag);
        let later = self.events.iter().filter(|event| event.seq >= since);
        let events: Vec<Event> = later.take_while(ready).cloned().collect();
        let next = events.last().map_or(since, |event| event.seq + 1);
        Page { events, next }
    }

    fn touch(&mut self, prefix: &Prefix) {
        let Some(block) = self.blocks.get_mut(prefix) else {
            return;
        };
        self.by_use.remove(&block.used);
        self.uses += 1;
        block.used = self.uses;
        self.by_use.insert(self.uses, Arc::clone(prefix));
    }

    fn publish(&mut self, kind: &'static str, prefix: &Prefix, tokens: u64, now: Instant) {
        let seq = self.seq;
        self.seq += 1;
        if self.random.random_range(0..100) < self.gap_percent {
            return;
        }
        self.events.push_back(Event {
            seq,
            kind,
            prefix: Arc::clone(prefix),
            tokens,
            at: Some(now),
        });
        if self.events.len() > EVENTS_LIMIT {
            self.events.pop_front();
        }
    }
}
