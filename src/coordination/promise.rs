//! Messages between the daemons of a zone about its holdings.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Requests a promise not to agree to a takeover of upstreams from their holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The holder that requests the promise.
    pub holder: name::Host,
    /// The duration of the promise from the receipt of this message, in milliseconds.
    pub duration_ms: u64,
    /// The upstreams with the epochs at which the sender holds them.
    pub holdings: Vec<Holding>,
}

/// An upstream and the epoch of its holding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing token.
    pub epoch: u64,
}

/// Announces the takeover of upstreams from a silent holder, or asks whether it is silent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Takeover {
    /// The daemon that takes over.
    pub taker: name::Host,
    /// The former holder.
    pub from: name::Host,
    /// Whether this message only asks if the holder is silent for the receiver too. Otherwise the
    /// takeover is recorded, and the receiver is asked to give the holder no further promise.
    pub probe: bool,
    /// The upstreams with their new epochs, or in a probe with their current ones.
    pub holdings: Vec<Holding>,
}

/// Answers a [`Promise`] or a [`Takeover`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The upstreams for which the responder gives the promise or accepts the takeover.
    pub agreed: Vec<name::Upstream>,
    /// Milliseconds since the responder began its last read of the zone's holdings, if any.
    pub platform_age_ms: Option<u64>,
    /// The requested upstreams as last read by the responder: those held by the sender of the
    /// request, and those with a higher epoch than the one requested.
    pub holdings: Vec<Holding>,
}
