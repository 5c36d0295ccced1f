//! Status figures of the cluster tasks.

use std::sync::atomic::{AtomicU64, Ordering};

use primrosehoist::protocol::codec;
use primrosehoist::state::name;
use primrosehoist::transport::platform;
use serde::Serialize;
use tokio::time::Instant;

use crate::cluster::{Cluster, lock};

/// Encoded bytes of the heartbeats of this daemon, without the overhead of the connections.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    pub(crate) fn sent<M>(&self, message: &M)
    where
        M: Serialize,
    {
        add(&self.sent_bytes, message);
    }

    pub(crate) fn received<M>(&self, message: &M)
    where
        M: Serialize,
    {
        add(&self.received_bytes, message);
    }

    /// Returns the total bytes of heartbeats sent.
    pub(crate) fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the total bytes of heartbeats received.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }
}

fn add<M>(counter: &AtomicU64, message: &M)
where
    M: Serialize,
{
    let bytes = codec::encode(message).map_or(0, |frame| frame.len());
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}

impl Cluster {
    /// Returns the heartbeat traffic.
    pub(crate) fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the counts of platform calls.
    pub(crate) fn platform_calls(&self) -> &platform::Counts {
        self.platform.counts()
    }

    /// Returns the milliseconds since the platform last responded, if it ever did.
    pub(crate) fn platform_age_ms(&self) -> Option<u64> {
        let at = *lock(&self.platform_answered_at);
        at.map(|at| Instant::now().saturating_duration_since(at).as_millis() as u64)
    }

    /// Returns the milliseconds since the last heartbeat of `host`, received directly or through
    /// another daemon.
    pub(crate) fn heartbeat_age_ms(&self, host: &name::Host) -> Option<u64> {
        let age = lock(&self.membership).age(host, Instant::now());
        age.map(|age| age.as_millis() as u64)
    }
}
