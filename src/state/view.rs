//! A daemon's view of the other daemons and of the upstreams that they hold.
//!
//! A view is built from heartbeats, so it lags by up to one heartbeat interval. It only guides
//! placement. The holder of an upstream, which has exact counts, decides whether a request is sent.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::map::Map;
use crate::state::name;

/// A snapshot of the live daemons and the held upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The live daemons, including this one.
    pub daemons: Map<name::Host, Daemon>,
    /// The holder of each upstream that has one.
    pub holders: Map<name::Upstream, Holder>,
}

/// A live daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Daemon {
    /// The identity and address of the daemon.
    pub member: Member,
    /// The configuration version in force on the daemon.
    pub version: Version,
    /// Whether the daemon is shutting down.
    pub draining: bool,
}

/// The holder of an upstream and its last advertisement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The identity and address of the holder.
    pub member: Member,
    /// The advertised state of the upstream.
    pub advert: Advert,
}

/// The identity and address of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// The zone of the daemon.
    pub zone: name::Zone,
    /// The address of its peer port, as `ip:port`.
    pub address: String,
}

/// The state of a held upstream as advertised by its holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advert {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing epoch of the holder's lease.
    pub epoch: u64,
    /// The number of requests that the holder currently allows in flight.
    pub limit: u32,
    /// The number of requests in flight on the upstream.
    pub in_flight: u32,
    /// The number of requests in the holder's queue.
    pub queued: u32,
    /// Prompt and answer tokens of requests that are in flight or queued.
    pub tokens: u64,
    /// Prompt tokens of long requests that are in flight or queued.
    pub long_tokens: u64,
    /// Unreserved KV memory, in tokens.
    pub memory_free: u64,
    /// The measured prefill rate in tokens per second; zero if there is none.
    pub prefill_rate: u64,
}
