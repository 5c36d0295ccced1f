//! Heartbeats, by which daemons exchange state about themselves and their zone.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::name;
use crate::state::view::{Advert, Member};

/// The state that a daemon sends to other daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host of the sender.
    pub host: name::Host,
    /// The sender's zone.
    pub zone: name::Zone,
    /// The address of the sender's peer port.
    pub address: String,
    /// A number chosen at process start, by which a restart is detected.
    pub incarnation: u64,
    /// The configuration version active at the sender.
    pub version: Version,
    /// Whether the sender is shutting down and accepts no new work.
    pub draining: bool,
    /// Milliseconds since the sender last read the platform, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that the sender holds; absent if this heartbeat omits them.
    pub adverts: Option<Vec<Advert>>,
    /// A digest of the daemons that the sender considers alive in its zone.
    pub digest: u64,
    /// The daemons covered by the digest, if the receiver's digest differed.
    pub members: Vec<Member>,
    /// Whether the response should contain [`Heartbeat::relays`].
    pub wants_relays: bool,
    /// The state of the other daemons of the sender's zone, sent to daemons of other zones.
    pub relays: Vec<Relay>,
}

/// The state that a daemon last received from another daemon of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The other daemon.
    pub member: Member,
    /// The configuration version active there.
    pub version: Version,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Milliseconds since its last heartbeat.
    pub age_ms: u64,
    /// The upstreams that it holds.
    pub adverts: Vec<Advert>,
}
