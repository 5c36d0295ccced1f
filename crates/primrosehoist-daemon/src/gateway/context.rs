//! State shared by the tasks of the gateway.
//!
//! It is split into small parts, each with one writer where possible.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use primrosehoist::coordination::allowance::Allowance;
use primrosehoist::coordination::gossip::{Exchange, Own, Update};
use primrosehoist::coordination::share::Ledger;
use primrosehoist::coordination::shutdown::Phase;
use primrosehoist::coordination::watchers::{Member, Status};
use primrosehoist::protocol::snapshot::Compressed;
use primrosehoist::state::bounds::Bounds;
use primrosehoist::state::crash::Crashes;
use primrosehoist::state::health::Health;
use primrosehoist::state::map::{Map, Set};
use primrosehoist::state::memory::Memory;
use primrosehoist::state::occupancy::Occupancy;
use primrosehoist::state::partition::{Detector, Hop};
use primrosehoist::state::rate;
use primrosehoist::state::reach;
use primrosehoist::state::roster::{Roster, Upstream};
use primrosehoist::state::route::Table;
use primrosehoist::state::versions::{Revision, Versions};
use primrosehoist::transport::http::body::Budget;
use primrosehoist::transport::http::upstream::Pool;
use primrosehoist_platform::settings::Settings;
use primrosehoist_platform::store::Freshness;
use primrosehoist_platform::{header, store};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, OnceCell, Semaphore, watch};
use tokio::time::Instant;

use super::gossip;
use super::obstacles::Obstacles;
use super::pause::Monitor;
use super::permit::Permits;
use super::queue::Queue;
use super::rejections::{Reason, Rejections};
use super::returns::Returns;
use super::stopping::Stopping;
use super::store_ping::{Outage, Silence};
use super::takeover;
use super::takeover::HANDOVERS_MAX;
use crate::metrics::Metrics;

/// The share of the memory for bodies that only small ones may use.
const SMALL_BODY_SHARE: f64 = 0.25;

/// The size up to which responses are buffered even if the budget is exhausted, in bytes.
const RESPONSE_EXEMPT_BYTES: u64 = 32 * 1024;

/// The longest time by which a deferral of requests is extended, so that the daemons do not all come
/// back at once.
const DEFERRAL_JITTER_MAX: Duration = Duration::from_millis(300);

/// The shared state of the gateway.
pub(crate) struct Context {
    /// The settings read at startup. Fields that cannot change at run time are read from here.
    pub(crate) settings: Settings,
    /// The active bounds.
    pub(crate) bounds: ArcSwap<Bounds>,
    /// The active configuration. Written by the store's watch and by peer synchronization.
    pub(crate) table: ArcSwapOption<Table>,
    /// The known upstreams. Written by the store's watch and by peer synchronization.
    pub(crate) roster: Mutex<Roster>,
    /// The messages to and from the other daemons. Locked before `roster`, and that before
    /// `occupancy`.
    pub(crate) exchange: Mutex<Exchange>,
    /// Changes to upstreams that the daemons of the zone are still to be told of.
    pub(crate) updates: Mutex<Vec<Update>>,
    /// Notified when a message comes from an address at which no daemon is known.
    pub(crate) unknown_sender: Notify,
    /// The load on each upstream.
    pub(crate) occupancy: Mutex<Occupancy>,
    /// This daemon's shares of fleet-wide limits.
    pub(crate) allowance: Mutex<Allowance>,
    /// The socket for gossip, once its port is bound.
    pub(crate) gossip: OnceCell<UdpSocket>,
    /// The permits for requests to upstreams that name a limit.
    pub(crate) permits: Permits,
    /// Recent failures of upstreams.
    pub(crate) health: Mutex<Health>,
    /// Recent failures to reach other availability zones.
    pub(crate) partitions: Mutex<Detector>,
    /// Whether this host can reach upstreams at all.
    pub(crate) reach: Mutex<reach::Detector>,
    /// Notified when upstreams may have to be probed.
    pub(crate) reach_doubted: Notify,
    /// Whether this host is cut off from the upstreams.
    pub(crate) cut_off: watch::Sender<bool>,
    /// Requests that may have crashed upstreams.
    pub(crate) crashes: Mutex<Crashes>,
    /// The connection pools of the upstreams.
    pub(crate) pools: Mutex<Map<SocketAddr, Arc<Pool>>>,
    /// The connection pools of the daemons to which requests are handed.
    handover_pools: Mutex<Map<IpAddr, Arc<Pool>>>,
    /// The requests that wait for upstream capacity.
    pub(crate) queue: Queue,
    /// The times at which refused callers come again.
    pub(crate) returns: Mutex<Returns>,
    /// The recent engine time of workspaces.
    pub(crate) shares: Mutex<Ledger>,
    /// The versions of platform state that this daemon has applied.
    pub(crate) versions: Mutex<Versions>,
    /// Whether a list of upstreams has been received.
    pub(crate) upstreams_listed: AtomicBool,
    /// Whether the evacuated zones are known.
    pub(crate) evacuations_listed: AtomicBool,
    /// What keeps lists of the store from being read.
    pub(crate) obstacles: Obstacles,
    /// Detects pauses of the process.
    pub(crate) pauses: Monitor,
    /// Whether the daemon is shutting down.
    pub(crate) draining: AtomicBool,
    /// The progress of a shutdown.
    pub(crate) stopping: Mutex<Stopping>,
    /// Whether the daemon refuses new requests.
    pub(crate) closing: AtomicBool,
    /// Set when requests whose answer has not begun must be answered before the process exits.
    pub(crate) expiring: watch::Sender<bool>,
    /// The number of requests in progress.
    pub(crate) in_progress: AtomicUsize,
    /// Permits for requests that other daemons hand over.
    pub(crate) handovers: Arc<Semaphore>,
    /// Notified when this daemon's load on upstreams changes.
    pub(crate) changed: Notify,
    /// Notified when other daemons must learn of a change immediately.
    pub(crate) urgent: Notify,
    /// The newest versions that other daemons have reported.
    pub(crate) peer_versions: watch::Sender<Versions>,
    /// Whether the registered daemons have been listed.
    joined: watch::Sender<bool>,
    /// Whether this daemon started by the state of other daemons.
    started_by_seeds: AtomicBool,
    /// Whether this daemon is assigned to follow the store.
    follows_store: watch::Sender<bool>,
    /// Whether the store responds to this daemon.
    store_reachable: watch::Sender<bool>,
    /// The time in which the store has not responded to pings, if it does not now.
    pub(crate) store_silence: Mutex<Option<Silence>>,
    /// The last outage of the store that is over. Calls made before its end, or before another notice,
    /// may never get a response.
    pub(crate) store_recoveries: watch::Sender<Option<Outage>>,
    /// The active configuration in the store's format, for daemons that do not read the store.
    pub(crate) configuration: Mutex<Compressed>,
    /// The latest era of the store that this daemon knows of.
    pub(crate) store_era: watch::Sender<u64>,
    /// The latest revision of the store that this daemon knows of.
    pub(crate) store_revision: watch::Sender<Revision>,
    /// When the store last told its latest revision.
    store_revision_at: Mutex<Instant>,
    /// When the store or another daemon was last heard from.
    pub(crate) last_contact: Mutex<Instant>,
    /// The memory budget for request bodies.
    pub(crate) body_budget: Budget,
    /// The memory budget for responses that are not streamed.
    pub(crate) response_budget: Budget,
    /// The client for the platform's store.
    pub(crate) store: ArcSwap<store::Client>,
    /// The requests that were not admitted.
    rejections: Rejections,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
}

impl Context {
    /// Creates the state of a gateway that has no platform state yet.
    pub(crate) fn new(settings: Settings, metrics: Metrics, started_ms: u64) -> Self {
        let memory = Memory::of(settings.memory_mb);
        let own = Own {
            host: Arc::clone(&settings.host),
            zone: Arc::clone(&settings.zone),
            address: settings.address,
            started_ms,
        };
        Self {
            table: ArcSwapOption::empty(),
            exchange: Mutex::new(Exchange::new(own)),
            updates: Mutex::default(),
            unknown_sender: Notify::new(),
            roster: Mutex::default(),
            occupancy: Mutex::default(),
            allowance: Mutex::new(Allowance::new(
                Arc::clone(&settings.host),
                settings.bounds.clone(),
            )),
            gossip: OnceCell::new(),
            permits: Permits::default(),
            health: Mutex::default(),
            partitions: Mutex::default(),
            reach: Mutex::default(),
            reach_doubted: Notify::new(),
            cut_off: watch::Sender::new(false),
            crashes: Mutex::default(),
            pools: Mutex::default(),
            handover_pools: Mutex::default(),
            queue: Queue::default(),
            returns: Mutex::default(),
            shares: Mutex::new(Ledger::new(Instant::now())),
            versions: Mutex::default(),
            upstreams_listed: AtomicBool::new(false),
            evacuations_listed: AtomicBool::new(false),
            obstacles: Obstacles::default(),
            pauses: Monitor::default(),
            draining: AtomicBool::new(false),
            stopping: Mutex::default(),
            closing: AtomicBool::new(false),
            expiring: watch::Sender::new(false),
            in_progress: AtomicUsize::new(0),
            handovers: Arc::new(Semaphore::new(HANDOVERS_MAX)),
            changed: Notify::new(),
            urgent: Notify::new(),
            peer_versions: watch::Sender::new(Versions::default()),
            joined: watch::Sender::new(false),
            started_by_seeds: AtomicBool::new(false),
            follows_store: watch::Sender::new(true),
            store_reachable: watch::Sender::new(true),
            store_silence: Mutex::default(),
            store_recoveries: watch::Sender::new(None),
            store_era: watch::Sender::new(0),
            store_revision: watch::Sender::new(Revision::default()),
            store_revision_at: Mutex::new(Instant::now()),
            configuration: Mutex::default(),
            last_contact: Mutex::new(Instant::now()),
            body_budget: Budget::new(memory.bodies).keeping_for_small(SMALL_BODY_SHARE),
            response_budget: Budget::with_exemption(memory.answers, RESPONSE_EXEMPT_BYTES),
            store: ArcSwap::from_pointee(store::Client::new(&settings.store.to_string())),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            rejections: Rejections::default(),
            metrics,
            started_ms,
            settings,
        }
    }

    /// Returns whether the daemon is shutting down.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the daemon refuses new requests.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Counts a request that is not admitted. If it is to be logged, returns how many of its kind before it
    /// were not.
    pub(crate) fn reject(&self, reason: Reason) -> Option<u64> {
        self.rejections.record(reason, &self.metrics)
    }

    /// Returns whether this host is cut off from the upstreams, so that failures to reach them say
    /// nothing of them.
    pub(crate) fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Records a message from the store or another daemon.
    pub(crate) fn record_contact(&self) {
        *self.last_contact.lock() = Instant::now();
    }

    /// Records that other daemons last heard from the platform at `at`, unless this daemon has heard from the
    /// store itself.
    pub(crate) fn record_contact_of_others(&self, at: Instant) {
        if *self.store_revision.borrow() == Revision::default() && !self.has_joined() {
            *self.last_contact.lock() = at;
        }
    }

    /// Records an era of the store.
    pub(crate) fn record_era(&self, era: u64) {
        self.store_era.send_if_modified(|latest| {
            let is_later = *latest < era;
            *latest = era.max(*latest);
            is_later
        });
    }

    /// Returns the latest era of the store that this daemon knows of.
    pub(crate) fn store_era(&self) -> u64 {
        *self.store_era.borrow()
    }

    /// Records a revision of the store that a response has told, as recent as `freshness` says.
    pub(crate) fn record_revision(&self, revision: Revision, freshness: Freshness) {
        self.record_era(revision.era);
        if freshness == Freshness::Latest {
            *self.store_revision_at.lock() = Instant::now();
        }
        self.store_revision.send_if_modified(|latest| {
            let is_later = *latest < revision;
            *latest = revision.max(*latest);
            is_later
        });
    }

    /// Returns the time since the store last told its latest revision.
    pub(crate) fn store_revision_age(&self) -> Duration {
        self.store_revision_at.lock().elapsed()
    }

    /// Waits until the store is known to have a later revision than `revision`.
    pub(crate) async fn wait_later_revision(&self, revision: Revision) {
        let mut latest = self.store_revision.subscribe();
        // The sender lives as long as `self`.
        let _closed = latest.wait_for(|latest| *latest > revision).await.is_err();
    }

    /// Waits until the store is known to be in a later era than `era`.
    pub(crate) async fn wait_later_era(&self, era: u64) {
        let mut latest = self.store_era.subscribe();
        // The sender lives as long as `self`.
        let _closed = latest.wait_for(|latest| *latest > era).await.is_err();
    }

    /// Returns whether neither the store nor another daemon has been heard from for more than
    /// `silence_max`, so that the configuration may have changed unnoticed.
    pub(crate) fn is_isolated(&self, silence_max: Duration) -> bool {
        self.last_contact.lock().elapsed() > silence_max
    }

    /// Returns whether this daemon is assigned to follow the store.
    pub(crate) fn follows_store(&self) -> bool {
        *self.follows_store.borrow()
    }

    /// Records that the registered daemons have been listed.
    pub(crate) fn set_joined(&self) {
        self.assign_store(Instant::now());
        self.joined.send_replace(true);
        self.urgent.notify_one();
    }

    /// Returns whether the registered daemons have been listed.
    pub(crate) fn has_joined(&self) -> bool {
        *self.joined.borrow()
    }

    /// Records that this daemon starts by the state of other daemons.
    pub(crate) fn set_started_by_seeds(&self) {
        self.started_by_seeds.store(true, Ordering::Release);
    }

    /// Returns whether this daemon started by the state of other daemons, because the store did not answer.
    pub(crate) fn has_started_by_seeds(&self) -> bool {
        self.started_by_seeds.load(Ordering::Acquire)
    }

    /// Waits until the registered daemons have been listed.
    pub(crate) async fn wait_joined(&self) {
        let mut joined = self.joined.subscribe();
        // The sender lives as long as `self`.
        let _closed = joined.wait_for(|joined| *joined).await.is_err();
    }

    /// Assigns this daemon to follow the store, or not, by the daemons that it knows.
    pub(crate) fn assign_store(&self, now: Instant) {
        let follows = gossip::should_follow(self, now);
        let changed = self.follows_store.send_if_modified(|current| {
            let changed = *current != follows;
            *current = follows;
            changed
        });
        if changed {
            log::info!(follows; "assignment to follow the store changed");
            self.tell_roster_of_store();
        }
    }

    /// Waits until the assignment to follow the store equals `wanted`.
    pub(crate) async fn wait_follows_store(&self, wanted: bool) {
        let mut follows = self.follows_store.subscribe();
        // The sender lives as long as `self`.
        let _closed = follows
            .wait_for(|follows| *follows == wanted)
            .await
            .is_err();
    }

    /// Sets whether the store responds to this daemon, and tells the others of a change.
    pub(crate) fn set_store_reachable(&self, reachable: bool) {
        if self.store_reachable.send_replace(reachable) != reachable {
            self.tell_roster_of_store();
            self.urgent.notify_one();
        }
    }

    /// Tells the roster whether this daemon learns of upstreams that return. One that does not follow the
    /// store learns of them from others.
    fn tell_roster_of_store(&self) {
        let is_reachable = !self.follows_store() || *self.store_reachable.borrow();
        let mut roster = self.roster.lock();
        roster.set_platform_reachable(is_reachable, Instant::now());
    }

    /// Waits until the store does not respond to this daemon.
    pub(crate) async fn wait_store_unreachable(&self) {
        let mut reachable = self.store_reachable.subscribe();
        // The sender lives as long as `self`.
        let _closed = reachable.wait_for(|reachable| !reachable).await.is_err();
    }

    /// Returns this daemon's own entry in the fleet.
    pub(crate) fn member(&self) -> Member {
        let status = match (self.follows_store(), *self.store_reachable.borrow()) {
            (false, _) => Status::Idle,
            (true, true) => Status::Following,
            (true, false) => Status::Disconnected,
        };
        Member {
            host: Arc::clone(&self.settings.host),
            zone: Arc::clone(&self.settings.zone),
            status,
        }
    }

    /// Returns whether the load balancer may route clients to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.is_informed()
    }

    /// Returns whether this daemon takes requests, as other daemons are told.
    pub(crate) fn phase(&self) -> Phase {
        match (self.is_draining(), self.is_informed()) {
            (true, _) => Phase::Stopping,
            (false, true) => Phase::Serving,
            (false, false) => Phase::Starting,
        }
    }

    /// Returns how many other hosts take requests.
    pub(crate) fn serving_hosts(&self) -> usize {
        self.exchange.lock().peers.serving_count(Instant::now())
    }

    /// Tells the other daemons at once that this one shuts down.
    pub(crate) fn announce_shutdown(&self) {
        self.draining.store(true, Ordering::Release);
        self.exchange.lock().request_state();
        self.urgent.notify_one();
    }

    /// Returns whether the daemon has a configuration and lists of upstreams and evacuated zones.
    pub(crate) fn is_informed(&self) -> bool {
        self.has_upstreams() && self.has_evacuations() && self.table.load().is_some()
    }

    /// Returns whether the evacuated zones are known.
    pub(crate) fn has_evacuations(&self) -> bool {
        self.evacuations_listed.load(Ordering::Acquire)
    }

    /// Returns whether a list of upstreams has been received.
    pub(crate) fn has_upstreams(&self) -> bool {
        self.upstreams_listed.load(Ordering::Acquire)
    }

    /// Returns the hop from this daemon's zone to `zone`.
    pub(crate) fn hop_to(&self, zone: &Arc<str>) -> Hop {
        (Arc::clone(&self.settings.zone), Arc::clone(zone))
    }

    /// Records what `upstream` says of itself in an answer to a request that this daemon sent at `sent`.
    pub(crate) fn note_answer(
        &self,
        upstream: &Upstream,
        answer: &header::Response,
        sent: Instant,
    ) {
        self.note_limit(upstream, answer.limit, sent);
        if answer.leaving {
            self.note_leaving(upstream);
        }
        if let Some(deferral) = answer.deferral {
            log::info!(upstream = upstream.id.as_ref(), deferral_ms = deferral.as_millis() as u64; "upstream defers requests");
            let jitter = deferral
                .min(DEFERRAL_JITTER_MAX)
                .mul_f64(rand::random::<f64>());
            let until = Instant::now() + deferral + jitter;
            self.roster.lock().defer(upstream, until);
        }
    }

    /// Records what an answer of `upstream` to a request that was sent at `sent` says of its limit.
    pub(crate) fn note_limit(&self, upstream: &Upstream, notice: rate::Notice, sent: Instant) {
        let now = Instant::now();
        let mut roster = self.roster.lock();
        if roster.note_limit(upstream, notice, sent, now) {
            drop(roster);
            log::info!(upstream = upstream.id.as_ref(), notice:?; "limit of upstream changed");
            self.changed.notify_one();
            self.queue.wake_all();
        }
    }

    /// Records that `upstream` says that it is about to leave.
    pub(crate) fn note_leaving(&self, upstream: &Upstream) {
        if self.roster.lock().mark_leaving(upstream) {
            log::info!(upstream = upstream.id.as_ref(); "upstream says that it is leaving");
            self.changed.notify_one();
        }
    }

    /// Waits until requests whose answer has not begun must be answered before the process exits.
    pub(crate) async fn wait_expiring(&self) {
        let mut expiring = self.expiring.subscribe();
        // The sender lives as long as `self`.
        let _closed = expiring.wait_for(|expiring| *expiring).await.is_err();
    }

    /// Returns the connection pool for `address`, creating it if necessary.
    pub(crate) fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(address);
        Arc::clone(pool.or_insert_with(|| Arc::new(Pool::new(address))))
    }

    /// Returns the connection pool for requests that are handed to the daemon at `address`, creating
    /// it if necessary. That daemon knows this one by the source address.
    pub(crate) fn handover_pool(&self, address: IpAddr) -> Arc<Pool> {
        let port = takeover::port(&self.settings);
        let mut pools = self.handover_pools.lock();
        let create = || Pool::bound_to(SocketAddr::new(address, port), self.settings.address);
        Arc::clone(pools.entry(address).or_insert_with(|| Arc::new(create())))
    }

    /// Returns a daemon that is not in `tried` and to which requests may be handed.
    pub(crate) fn handover_target(&self, tried: &Set<IpAddr>) -> Option<IpAddr> {
        let exchange = self.exchange.lock();
        exchange
            .peers
            .handover_target(tried, rand::random(), Instant::now())
    }

    /// Activates `table` if it is newer than the active one; returns whether it is. `compress`
    /// returns the same configuration in the store's format.
    pub(crate) fn install_table<C>(&self, table: Table, compress: C) -> bool
    where
        C: FnOnce() -> Compressed,
    {
        let current = self.table.load();
        let version = table.version();
        if current
            .as_ref()
            .is_some_and(|active| active.version() >= version)
        {
            return false;
        }
        self.table.store(Some(Arc::new(table)));
        *self.configuration.lock() = compress();
        self.versions.lock().configuration = version;
        self.metrics.version(version);
        self.urgent.notify_one();
        self.changed.notify_one();
        self.queue.wake_all();
        true
    }
}
