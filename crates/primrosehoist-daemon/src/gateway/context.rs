//! What the tasks of the gateway share, in small parts with one writer each where possible.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use parking_lot::Mutex;
use primrosehoist::coordination::allowance::Allowance;
use primrosehoist::coordination::watchers::{Member, Status};
use primrosehoist::protocol::gossip::Versions;
use primrosehoist::state::bounds::Bounds;
use primrosehoist::state::crash::Crashes;
use primrosehoist::state::health::Health;
use primrosehoist::state::map::Map;
use primrosehoist::state::occupancy::Occupancy;
use primrosehoist::state::partition::{Detector, Hop};
use primrosehoist::state::roster::Roster;
use primrosehoist::state::route::Table;
use primrosehoist::transport::http::body::Budget;
use primrosehoist::transport::http::upstream::Pool;
use primrosehoist_platform::settings::Settings;
use primrosehoist_platform::store;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::waiting::Waiting;
use crate::metrics::Metrics;

/// The part of the process's memory that request bodies may take: a half, in bytes per megabyte.
const BODY_BYTES_PER_MB: u64 = 512 * 1024;

/// The shared state of the gateway.
pub(crate) struct Context {
    /// The settings at the start of the process: what cannot change while it runs.
    pub(crate) settings: Settings,
    /// The bounds in force.
    pub(crate) bounds: ArcSwap<Bounds>,
    /// The configuration in force. Written by the store's watch and by links.
    pub(crate) table: ArcSwapOption<Table>,
    /// The upstreams. Written by the store's watch and by links.
    pub(crate) roster: Mutex<Roster>,
    /// What runs on the upstreams.
    pub(crate) occupancy: Mutex<Occupancy>,
    /// The shares of common limits.
    pub(crate) allowance: Mutex<Allowance>,
    /// Recent failures of upstreams.
    pub(crate) trust: Mutex<Health>,
    /// Recent failures to reach other availability zones.
    pub(crate) paths: Mutex<Detector>,
    /// Requests that upstreams died of.
    pub(crate) crashes: Mutex<Crashes>,
    /// Connections to upstreams.
    pub(crate) pools: Mutex<Map<SocketAddr, Arc<Pool>>>,
    /// Requests that wait for a place.
    pub(crate) waiting: Waiting,
    /// How new the picture of the platform is.
    pub(crate) horizon: Mutex<Versions>,
    /// Whether the whole list of upstreams was read.
    pub(crate) listed: AtomicBool,
    /// Whether the daemon shuts down.
    pub(crate) draining: AtomicBool,
    /// Whether the daemon takes no new requests any more.
    pub(crate) closing: AtomicBool,
    /// Requests in progress.
    pub(crate) in_progress: AtomicUsize,
    /// Told when the own work on upstreams changed.
    pub(crate) changed: Notify,
    /// Told when others must know of a change at once.
    pub(crate) urgent: Notify,
    /// The newest horizon that another daemon named, for the watches of the store.
    pub(crate) heard: watch::Sender<Versions>,
    /// Whether this daemon is to follow the store.
    follows: watch::Sender<bool>,
    /// Whether the store answers this daemon.
    store_answers: AtomicBool,
    /// How often the store answered again after a silence. Calls from before may never be answered.
    pub(crate) store_returns: watch::Sender<u64>,
    /// The configuration in force as the store holds it, for daemons that cannot read it there.
    pub(crate) configuration: Mutex<Arc<str>>,
    /// When the store last answered or another daemon was last heard.
    pub(crate) contact: Mutex<Instant>,
    /// Memory for request bodies.
    pub(crate) bodies: Budget,
    /// The platform's store.
    pub(crate) store: ArcSwap<store::Client>,
    /// The instruments.
    pub(crate) metrics: Metrics,
    /// When the process started, in Unix milliseconds.
    pub(crate) started_ms: u64,
}

impl Context {
    /// Creates the state of a gateway that knows nothing yet.
    pub(crate) fn new(settings: Settings, metrics: Metrics, started_ms: u64) -> Self {
        Self {
            table: ArcSwapOption::empty(),
            roster: Mutex::default(),
            occupancy: Mutex::default(),
            allowance: Mutex::new(Allowance::new(
                Arc::clone(&settings.host),
                settings.bounds.clone(),
            )),
            trust: Mutex::default(),
            paths: Mutex::default(),
            crashes: Mutex::default(),
            pools: Mutex::default(),
            waiting: Waiting::default(),
            horizon: Mutex::default(),
            listed: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            changed: Notify::new(),
            urgent: Notify::new(),
            heard: watch::Sender::new(Versions::default()),
            follows: watch::Sender::new(true),
            store_answers: AtomicBool::new(true),
            store_returns: watch::Sender::new(0),
            configuration: Mutex::new(Arc::from("")),
            contact: Mutex::new(Instant::now()),
            bodies: Budget::new(settings.memory_mb * BODY_BYTES_PER_MB),
            store: ArcSwap::from_pointee(store::Client::new(&settings.store.to_string())),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            metrics,
            started_ms,
            settings,
        }
    }

    /// Returns whether the daemon shuts down.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether the daemon takes no new requests any more.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Records that the store answered or another daemon was heard.
    pub(crate) fn in_contact(&self) {
        *self.contact.lock() = Instant::now();
    }

    /// Returns whether neither the store nor another daemon was heard for so long that the
    /// configuration may have changed unnoticed.
    pub(crate) fn is_isolated(&self, silence_max: Duration) -> bool {
        self.contact.lock().elapsed() > silence_max
    }

    /// Returns whether this daemon is to follow the store.
    pub(crate) fn follows(&self) -> bool {
        *self.follows.borrow()
    }

    /// Sets whether this daemon is to follow the store.
    pub(crate) fn set_follows(&self, follows: bool) {
        let changed = self.follows.send_if_modified(|before| {
            let changed = *before != follows;
            *before = follows;
            changed
        });
        if changed {
            log::info!(follows; "duty to follow the store changed");
        }
    }

    /// Waits until this daemon is to follow the store, or is not.
    pub(crate) async fn follows_is(&self, wanted: bool) {
        let mut follows = self.follows.subscribe();
        // The sender lives as long as `self`.
        let _closed = follows
            .wait_for(|follows| *follows == wanted)
            .await
            .is_err();
    }

    /// Sets whether the store answers this daemon.
    pub(crate) fn set_store_answers(&self, answers: bool) {
        self.store_answers.store(answers, Ordering::Release);
    }

    /// Returns this daemon as others see it.
    pub(crate) fn member(&self) -> Member {
        let status = match (self.follows(), self.store_answers.load(Ordering::Acquire)) {
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

    /// Returns whether clients may be sent to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.listed.load(Ordering::Acquire) && self.table.load().is_some()
    }

    /// Returns the hop from this daemon to upstreams of `zone`.
    pub(crate) fn hop_to(&self, zone: &Arc<str>) -> Hop {
        (Arc::clone(&self.settings.zone), Arc::clone(zone))
    }

    /// Returns the connections to the upstream at `address`.
    pub(crate) fn pool(&self, address: SocketAddr) -> Arc<Pool> {
        let mut pools = self.pools.lock();
        let pool = pools.entry(address);
        Arc::clone(pool.or_insert_with(|| Arc::new(Pool::new(address))))
    }

    /// Puts `table` into force if it is newer than the one in force; returns whether it was.
    /// `text` is the same in the format of the store.
    pub(crate) fn accept_table(&self, table: Table, text: Arc<str>) -> bool {
        let current = self.table.load();
        let version = table.version();
        if current.as_ref().is_some_and(|now| now.version() >= version) {
            return false;
        }
        self.table.store(Some(Arc::new(table)));
        *self.configuration.lock() = text;
        self.horizon.lock().configuration = version;
        self.metrics.version(version);
        self.urgent.notify_one();
        self.changed.notify_one();
        self.waiting.wake();
        true
    }
}
