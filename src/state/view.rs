//! What a daemon knows of the other daemons and of the upstreams that they hold.
//!
//! A view is built from heartbeats, so it is late by up to one heartbeat interval. It guides
//! placement only. Whether a request is sent is decided by the holder, which counts exactly.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::map::Map;
use crate::state::name;

/// A snapshot of the daemons and held upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// Daemons that are alive, this one included.
    pub daemons: Map<name::Host, Daemon>,
    /// The holder of each upstream that has one.
    pub holders: Map<name::Upstream, Holder>,
}

/// A daemon that is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Daemon {
    /// Where to reach it.
    pub member: Member,
    /// The configuration version in force there.
    pub version: Version,
    /// Whether it shuts down.
    pub draining: bool,
}

/// The holder of an upstream, with what it advertised last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Where to reach the holder.
    pub member: Member,
    /// The state of the upstream.
    pub advert: Advert,
}

/// A daemon that is known to be alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// Its zone.
    pub zone: name::Zone,
    /// Its peer port, as `ip:port`.
    pub address: String,
}

/// The state of a held upstream, as its holder advertises it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advert {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing number of the holding.
    pub epoch: u64,
    /// Requests that the holder admits at once.
    pub limit: u32,
    /// Requests in flight at the upstream.
    pub in_flight: u32,
    /// Requests in the holder's queue.
    pub queued: u32,
    /// Tokens of prompt and answer that are in flight or queued.
    pub tokens: u64,
    /// Prompt tokens of long requests that are in flight or queued.
    pub long_tokens: u64,
    /// KV memory in tokens that is not reserved.
    pub memory_free: u64,
    /// Prefill speed shown lately, in tokens per second.
    pub prefill_rate: u64,
}
