//! What daemons tell each other about themselves and their zone.

use serde::{Deserialize, Serialize};

use crate::state::fleet::Version;
use crate::state::name;
use crate::state::view::{Advert, Member};

/// What a daemon knows and others should.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who sends.
    pub host: name::Host,
    /// The sender's zone.
    pub zone: name::Zone,
    /// Where the sender's peer port listens.
    pub address: String,
    /// Drawn at the start of the process, so that a restart is noticed.
    pub incarnation: u64,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// Whether the sender shuts down and takes no new work.
    pub draining: bool,
    /// Milliseconds since the sender last read the platform, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// The upstreams that the sender holds; absent when this heartbeat leaves them out.
    pub adverts: Option<Vec<Advert>>,
    /// The digest of the daemons that the sender knows to be alive in its zone.
    pub digest: u64,
    /// These daemons, if the digest of the receiver differed.
    pub members: Vec<Member>,
    /// Whether the answer shall hold [`Heartbeat::relays`].
    pub wants_relays: bool,
    /// What the sender knows of the other daemons of its zone, for a daemon of another zone.
    pub relays: Vec<Relay>,
}

/// What a daemon last heard from another daemon of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The other daemon.
    pub member: Member,
    /// The configuration version in force there.
    pub version: Version,
    /// Whether it shuts down.
    pub draining: bool,
    /// Milliseconds since it was heard.
    pub age_ms: u64,
    /// The upstreams that it holds.
    pub adverts: Vec<Advert>,
}
