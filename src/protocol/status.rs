//! The answer of a daemon's admin port to `GET /admin/status`.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::name;

/// What a daemon knows of itself and of the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The configuration version in force.
    pub version: Version,
    /// Whether the daemon shuts down.
    pub draining: bool,
    /// Milliseconds since the daemon last read the platform, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that the daemon holds.
    pub holdings: Vec<Holding>,
    /// Other daemons that the daemon hears of.
    pub members: Vec<Member>,
    /// Requests that are suspected and not yet quarantined everywhere.
    pub quarantine_pending: u64,
}

/// An upstream that the daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing number.
    pub epoch: u64,
    /// Requests that the daemon admits at once.
    pub limit: u32,
    /// Requests in flight at the upstream.
    pub in_flight: u32,
    /// Requests in the queue.
    pub queued: u32,
}

/// Another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The configuration version that it last reported.
    pub version: Version,
    /// Milliseconds since it was last heard of.
    pub age_ms: u64,
}
