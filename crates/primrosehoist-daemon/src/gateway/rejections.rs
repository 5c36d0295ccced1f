//! Counts the requests that end before they are admitted, the invalid datagrams and the malformed entries in the
//! platform's store, and bounds how often they are logged.

use parking_lot::Mutex;
use primrosehoist::state::map::Map;
use primrosehoist::state::sampler::Sampler;
use strum::Display;
use tokio::time::Instant;

use crate::metrics::Metrics;

/// Why a request is not admitted, a datagram is dropped, or an entry is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    /// Its path has no route.
    NoRoute,
    /// A header is missing or malformed.
    BadHeader,
    /// Its key is not known.
    UnknownKey,
    /// Its key is that of a workspace that cannot be served.
    UnusableWorkspace,
    /// Its body could not be read.
    Body,
    /// The active configuration has no service for its route.
    NoService,
    /// It came to the port for other daemons from none of them.
    UnknownDaemon,
    /// Another daemon handed it over in a form that cannot be understood.
    Handover,
    /// The datagram is no gossip of a supported version.
    Gossip,
    /// The entry of an upstream in the platform's store is malformed.
    Upstream,
    /// The entry of a daemon in the platform's store is malformed.
    Daemon,
}

/// The requests that were not admitted, the datagrams that were dropped, and the entries that were skipped.
#[derive(Debug, Default)]
pub(crate) struct Rejections {
    samplers: Mutex<Map<Reason, Sampler>>,
}

impl Rejections {
    /// Counts a rejection. If it is to be logged, returns how many of its kind before it were not.
    pub(crate) fn record(&self, reason: Reason, metrics: &Metrics) -> Option<u64> {
        metrics.rejected(reason);
        let now = Instant::now();
        let mut samplers = self.samplers.lock();
        let sampler = samplers.entry(reason);
        sampler.or_insert_with(|| Sampler::new(now)).record(now)
    }
}
