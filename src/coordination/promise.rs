//! Questions and answers between the daemons of a zone about its holdings.

use serde::{Deserialize, Serialize};

use crate::state::name;

/// Asks not to take upstreams from their holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
    /// The holder that asks.
    pub holder: name::Host,
    /// How long the promise lasts, in milliseconds from its receipt.
    pub duration_ms: u64,
    /// The upstreams with the epochs that the asker holds them by.
    pub holdings: Vec<Holding>,
}

/// An upstream with the epoch of its holding.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The upstream.
    pub upstream: name::Upstream,
    /// The fencing number.
    pub epoch: u64,
}

/// Asks about, or tells of, the takeover of upstreams from a holder that is not heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Takeover {
    /// Who takes over.
    pub taker: name::Host,
    /// From whom.
    pub from: name::Host,
    /// Whether the taker only asks if the callee does not hear the holder either. Otherwise the
    /// takeover is recorded, and the callee is asked to give the holder no further promise.
    pub probe: bool,
    /// The upstreams with their new epochs.
    pub holdings: Vec<Holding>,
}

/// Answers a [`Promise`] or a [`Takeover`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The upstreams for which the callee gives the promise or accepts the takeover.
    pub agreed: Vec<name::Upstream>,
    /// Milliseconds since the callee began its last read of the zone's holdings, if it ever did.
    pub platform_age_ms: Option<u64>,
    /// What the callee last read of the upstreams asked about: those that the asker held, and
    /// those that were taken at a higher epoch.
    pub holdings: Vec<Holding>,
}
