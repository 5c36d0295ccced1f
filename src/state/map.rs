//! Hash collections with a fast hasher.
//!
//! Keys are names and identifiers that operators or this system chose, so resistance against
//! crafted collisions is not needed. Maps keyed by caller input must not use these aliases.

use rustc_hash::FxBuildHasher;

/// A hash map with a fast, non-keyed hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, non-keyed hasher.
pub type Set<K> = std::collections::HashSet<K, FxBuildHasher>;
