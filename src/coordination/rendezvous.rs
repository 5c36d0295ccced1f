//! Rendezvous hashing: every daemon ranks the same hosts in the same order for a key.
//!
//! When a host joins or leaves, only the keys for which it ranks first are reassigned.

use crate::state::name;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Returns the weight of `host` for `key`. The host with the highest weight ranks first.
pub fn weight(key: &str, host: &str) -> u64 {
    let bytes = key.bytes().chain([0]).chain(host.bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    mix(hash)
}

/// Returns the host with the highest weight for `key`, or `None` if there are no hosts.
pub fn first<'a, I>(key: &str, hosts: I) -> Option<&'a name::Host>
where
    I: IntoIterator<Item = &'a name::Host>,
{
    hosts
        .into_iter()
        .max_by_key(|host| (weight(key, host.as_str()), host.as_str()))
}

/// Returns the zero-based rank of `host` for `key`.
pub fn rank<'a, I>(key: &str, host: &name::Host, hosts: I) -> usize
where
    I: IntoIterator<Item = &'a name::Host>,
{
    let own = (weight(key, host.as_str()), host.as_str());
    hosts
        .into_iter()
        .filter(|other| (weight(key, other.as_str()), other.as_str()) > own)
        .count()
}

/// Distributes the entropy of `hash` over all bits (the finalizer of `SplitMix64`).
fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 30;
    hash = hash.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash ^= hash >> 27;
    hash = hash.wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
