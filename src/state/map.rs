//! Hash collections with a fast, non-keyed hasher.
//!
//! The keys are names and identifiers chosen by operators or by this system, so resistance to hash
//! flooding is not needed. Maps keyed by caller input must not use these aliases.

use rustc_hash::FxBuildHasher;

/// A hash map with a fast, non-keyed hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast, non-keyed hasher.
pub type Set<K> = std::collections::HashSet<K, FxBuildHasher>;
