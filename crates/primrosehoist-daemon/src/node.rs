//! The state shared by the tasks of the daemon.
//!
//! State on the request path is read through an `ArcSwap` or an atomic; writers replace the whole
//! value. Each value is written by one task, or by tasks that a lock serializes.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use opentelemetry_sdk::error::OTelSdkError;
use primrosehoist::coordination::lease::Lease;
use primrosehoist::state::fleet::Fleet;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use primrosehoist::state::placement::Policy;
use primrosehoist::state::view::{Advert, View};
use primrosehoist::transport::peer::{self, Identity};
use primrosehoist::transport::platform;
use tokio::time::Instant;

use crate::caller::IndexCache;
use crate::clock::unix_ms;
use crate::dispatch::Entry;
use crate::holder::Holder;
use crate::metrics::Metrics;
use crate::poison::Poison;
use crate::progress::Progress;
use crate::settings::{Mechanisms, Placement, Settings};

/// The leases of the upstreams that this daemon may send work to.
pub(crate) type Leases = Map<name::Upstream, Arc<Lease>>;

/// The shared state of the daemon.
pub(crate) struct Node {
    /// The name of this host.
    pub(crate) host: name::Host,
    /// The zone of this host.
    pub(crate) zone: name::Zone,
    /// The configuration in force. Written by the configuration task.
    pub(crate) fleet: ArcSwap<Fleet>,
    /// The known state of other daemons. Written by the heartbeat task.
    pub(crate) view: ArcSwap<View>,
    /// The upstreams held here. Written by the holding tasks.
    pub(crate) leases: ArcSwap<Leases>,
    /// Whether the daemon is shutting down.
    pub(crate) draining: AtomicBool,
    /// Mechanisms that comparison runs can disable.
    pub(crate) mechanisms: Mechanisms,
    /// The secret that daemons and operators share.
    pub(crate) secret: Arc<[u8]>,
    /// Increases with each start of a daemon on this host.
    pub(crate) incarnation: u64,
    /// The client of the platform.
    pub(crate) platform: platform::Client,
    /// The client for connections to other daemons.
    pub(crate) peers: peer::Client,
    /// Lookup tables derived from the configuration.
    pub(crate) keys: IndexCache,
    /// The entry side of requests.
    pub(crate) entry: Entry,
    /// The schedulers of the held upstreams.
    pub(crate) holder: Holder,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// Tracks requests that crash upstreams.
    pub(crate) poison: Poison,
    /// Requests in progress, on the entry side and on the holder side.
    pub(crate) progress: Progress,
}

impl Node {
    /// Creates the state of a daemon without any configuration or peers.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub(crate) fn new(settings: &Settings, secret: &[u8]) -> Result<Self, OTelSdkError> {
        let identity = Identity::new(settings.host.clone(), secret);
        let policy = match settings.policy.placement {
            Placement::LongConfined => Policy::LongConfined,
            Placement::LeastLoad => Policy::LeastLoad,
            Placement::RoundRobin => Policy::RoundRobin,
        };
        Ok(Self {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            fleet: ArcSwap::default(),
            view: ArcSwap::default(),
            leases: ArcSwap::default(),
            draining: AtomicBool::new(false),
            mechanisms: settings.mechanisms.clone(),
            secret: Arc::from(secret),
            incarnation: unix_ms(),
            platform: platform::Client::new(
                &settings.platform.address.to_string(),
                &settings.host,
                &settings.zone,
            ),
            peers: peer::Client::new(identity),
            keys: IndexCache::default(),
            entry: Entry::new(settings.limits.body_budget, policy),
            holder: Holder::new(&settings.mechanisms),
            metrics: Metrics::new()?,
            poison: Poison::new(settings.mechanisms.poison),
            progress: Progress::default(),
        })
    }

    /// Returns the adverts of the upstreams held here.
    pub(crate) fn adverts(&self, now: Instant) -> Vec<Advert> {
        let fleet = self.fleet.load();
        let leases = self.leases.load();
        self.holder.adverts(&fleet, &leases, now)
    }

    /// Returns whether the daemon is shutting down.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("host", &self.host)
            .field("zone", &self.zone)
            .field("draining", &self.draining)
            .finish_non_exhaustive()
    }
}
