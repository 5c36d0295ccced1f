//! Claims grouped into shard objects.
//!
//! A daemon collects claims for a short time and writes all claims of one shard in a single
//! conditional update. If the update conflicts, the daemon reads the shard and merges the same
//! claims again; merging is idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::claim::{Record, State};

/// The number of shards.
pub const SHARDS: u32 = 256;

/// The maximum number of claims in a shard. Keeps its JSON below one megabyte.
pub const CLAIMS_MAX: usize = 2_000;

/// A named claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of the claim.
    pub name: String,
    /// The record to write.
    pub record: Record,
}

/// The result of merging one claim into a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merged {
    /// The claim takes effect once the shard is written.
    Claimed,
    /// Another request has claimed the key.
    Exists(Record),
    /// The shard is full, and the claim was not added.
    Full,
}

/// The claims in one platform object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    claims: BTreeMap<String, Record>,
}

impl Shard {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the record of the claim `name`.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.claims.get(name)
    }

    /// Removes expired claims and adds `entries` in order. Returns one result for each entry.
    pub fn merge(&mut self, entries: &[Entry], now_ms: u64) -> Vec<Merged> {
        self.claims.retain(|_, record| !record.is_expired(now_ms));
        entries.iter().map(|entry| self.claim(entry)).collect()
    }

    /// Replaces a claim with the record of its end, if the nonces match. Returns whether they did.
    pub fn finish(&mut self, entry: &Entry) -> bool {
        match self.claims.get_mut(&entry.name) {
            Some(record) if record.nonce == entry.record.nonce => {
                *record = entry.record.clone();
                true
            }
            _ => false,
        }
    }

    fn claim(&mut self, entry: &Entry) -> Merged {
        match self.claims.get(&entry.name) {
            Some(record) if record.nonce == entry.record.nonce => return Merged::Claimed,
            Some(record) if record.state != State::Released => {
                return Merged::Exists(record.clone());
            }
            None if self.claims.len() >= CLAIMS_MAX => return Merged::Full,
            Some(_) | None => {}
        }
        self.claims.insert(entry.name.clone(), entry.record.clone());
        Merged::Claimed
    }
}

/// Returns the index of the shard of a claim.
///
/// The name is a hexadecimal digest, so its first two digits are evenly distributed. A name that
/// is not one maps to shard zero.
pub fn index(name: &str) -> u32 {
    let digits = name.get(..2).unwrap_or_default();
    u32::from_str_radix(digits, 16).unwrap_or(0) % SHARDS
}
