//! The response of a daemon's admin port to `GET /admin/status`.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::name;

/// The state of a daemon and its view of the other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// Its availability zone.
    pub zone: name::Zone,
    /// The daemon's configuration version.
    pub version: Version,
    /// Whether the daemon is shutting down.
    pub draining: bool,
    /// The time since the daemon last read from the platform, in milliseconds, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that the daemon holds.
    pub holdings: Vec<Holding>,
    /// The other daemons known to this one.
    pub members: Vec<Member>,
    /// The number of suspected requests whose quarantine is not yet in effect everywhere.
    pub quarantine_pending: u64,
}

/// An upstream that the daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing token.
    pub epoch: u64,
    /// The maximum number of requests that the daemon admits concurrently.
    pub limit: u32,
    /// The number of requests in flight at the upstream.
    pub in_flight: u32,
    /// The number of queued requests.
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
    /// The time since the daemon was last heard from, directly or through another daemon, in
    /// milliseconds.
    pub age_ms: u64,
}
