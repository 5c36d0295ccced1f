//! Claims grouped in shard objects.
//!
//! A daemon collects claims for a short time and writes all that fall into one shard by one
//! conditional update of it. When the update conflicts, the daemon reads the shard and merges the
//! same claims again; a merge is idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::claim::{Record, State};

/// The number of shards.
pub const SHARDS: u32 = 256;

/// The largest number of claims in a shard. Its JSON stays below a megabyte.
pub const CLAIMS_MAX: usize = 2_000;

/// A claim with its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of the claim.
    pub name: String,
    /// The record to write.
    pub record: Record,
}

/// What became of a claim in a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Merged {
    /// The claim is made once the shard is written.
    Claimed,
    /// Another claim stands.
    Exists(Record),
    /// The shard has no room. The claim is not made.
    Full,
}

/// The claims in one object of the platform.
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

    /// Returns the record of a claim.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.claims.get(name)
    }

    /// Removes expired claims and adds new ones, in order. Answers one result for each.
    pub fn merge(&mut self, entries: &[Entry], now_ms: u64) -> Vec<Merged> {
        self.claims.retain(|_, record| !record.is_expired(now_ms));
        entries.iter().map(|entry| self.claim(entry)).collect()
    }

    /// Replaces a claim by the record of its end. Returns whether the claim was the same one.
    pub fn end(&mut self, entry: &Entry) -> bool {
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

/// Returns the shard that a claim falls into.
///
/// The name is a digest, so its first two digits spread evenly. A name that is no digest falls
/// into shard zero.
pub fn index(name: &str) -> u32 {
    let digits = name.get(..2).unwrap_or_default();
    u32::from_str_radix(digits, 16).unwrap_or(0) % SHARDS
}
