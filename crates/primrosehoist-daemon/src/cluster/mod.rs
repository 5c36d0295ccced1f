//! The tasks that coordinate the daemons of a fleet.
//!
//! The decisions are made in `primrosehoist::coordination`; the tasks here exchange messages, read
//! the platform and publish the results in the [`Node`].

mod configuration;
pub(crate) mod cuts;
mod heartbeat;
mod holding;
mod hosts;
mod status;

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use primrosehoist::coordination::holding::Holdings;
use primrosehoist::coordination::membership::{Local, Membership};
use primrosehoist::coordination::replica::Replica;
use primrosehoist::protocol::wire;
use primrosehoist::state::map::Set;
use primrosehoist::state::name;
use primrosehoist::state::view::{Advert, Member};
use primrosehoist::transport::{peer, platform};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::node::Node;
use crate::tasks::Supervisor;

/// Callbacks from the cluster tasks to the rest of the daemon.
pub(crate) struct Hooks {
    /// Returns the adverts of the upstreams held here.
    pub(crate) adverts: Box<dyn Fn() -> Vec<Advert> + Send + Sync>,
    /// Returns the number of requests of this daemon in flight at an upstream.
    pub(crate) in_flight: Box<dyn Fn(&name::Upstream) -> u32 + Send + Sync>,
    /// Called after a new configuration comes into force.
    pub(crate) fleet_changed: Box<dyn Fn() + Send + Sync>,
}

/// The shared state of the tasks that communicate with other daemons and the platform.
pub(crate) struct Cluster {
    node: Arc<Node>,
    own: Member,
    seeds: Vec<String>,
    peers: peer::Client,
    platform: platform::Client,
    hooks: Hooks,
    membership: Mutex<Membership>,
    replica: Mutex<Replica>,
    holdings: Mutex<Holdings>,
    /// The addresses of upstreams whose hosts are leaving according to the platform.
    leaving: Mutex<Set<String>>,
    /// When the platform last answered a call.
    platform_answered_at: Mutex<Option<Instant>>,
    /// Wakes the task that reads configuration changes from the platform.
    changes: Notify,
    /// Wakes the task that reads the holdings.
    holdings_changed: Notify,
    traffic: status::Traffic,
}

impl Cluster {
    /// Creates the cluster state of the daemon `own`. No task runs until [`Cluster::start`].
    pub(crate) fn new(
        node: Arc<Node>,
        own: Member,
        seeds: Vec<String>,
        peers: peer::Client,
        platform: platform::Client,
        hooks: Hooks,
    ) -> Arc<Self> {
        let membership = Membership::new(own.clone(), heartbeat::incarnation());
        let holdings = Holdings::new(own.host.clone(), Instant::now());
        Arc::new(Self {
            node,
            own,
            seeds,
            peers,
            platform,
            hooks,
            membership: Mutex::new(membership),
            replica: Mutex::default(),
            holdings: Mutex::new(holdings),
            leaving: Mutex::default(),
            platform_answered_at: Mutex::default(),
            changes: Notify::new(),
            holdings_changed: Notify::new(),
            traffic: status::Traffic::default(),
        })
    }

    /// Starts the tasks. They run until the process ends.
    pub(crate) fn start(self: &Arc<Self>) {
        let tasks = Supervisor::new(self, self.node.metrics.task_restarts());
        tasks.spawn("heartbeat", heartbeat::run);
        tasks.spawn("follow_hosts", hosts::run);
        tasks.spawn("poll_configuration", configuration::poll);
        tasks.spawn("watch_configuration", configuration::watch);
        tasks.spawn("follow_configuration_peers", configuration::follow_peers);
        tasks.spawn("read_holdings", holding::read);
        tasks.spawn("decide_holdings", holding::decide);
    }

    /// Returns the reply to a request of the authenticated daemon `peer`; `None` for a dispatch,
    /// which is not handled here, and for a request that names another daemon as its sender.
    pub(crate) fn answer(&self, peer: &name::Host, request: &wire::Request) -> Option<wire::Reply> {
        match request {
            wire::Request::Heartbeat(heartbeat) if heartbeat.host == *peer => {
                Some(wire::Reply::Heartbeat(self.answer_heartbeat(heartbeat)))
            }
            wire::Request::Changes(version) => Some(self.answer_changes(*version)),
            wire::Request::Promise(promise) if promise.holder == *peer => {
                let answer = lock(&self.holdings).handle_promise(promise, Instant::now());
                Some(wire::Reply::Answer(answer))
            }
            wire::Request::Takeover(takeover) if takeover.taker == *peer => {
                Some(wire::Reply::Answer(self.answer_takeover(takeover)))
            }
            _ => None,
        }
    }

    fn answer_takeover(&self, takeover: &wire::Takeover) -> wire::Answer {
        let now = Instant::now();
        let holder_alive = lock(&self.membership).is_alive(&takeover.from, now);
        lock(&self.holdings).handle_takeover(takeover, holder_alive, now)
    }

    fn local(&self) -> Local {
        let mut adverts = (self.hooks.adverts)();
        adverts.extend(self.released_adverts());
        let platform_answered_at = *lock(&self.platform_answered_at);
        Local {
            version: lock(&self.replica).version(),
            draining: self.node.draining.load(Ordering::Acquire),
            platform_age_ms: platform_answered_at.map(|at| at.elapsed().as_millis() as u64),
            adverts,
        }
    }

    fn record_platform_answer(&self) {
        *lock(&self.platform_answered_at) = Some(Instant::now());
    }
}

/// Locks `mutex`, even if it is poisoned: each critical section leaves consistent state on panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
