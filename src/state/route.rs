//! The routing table: which service answers a request, for whom, and within which bounds.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;

use crate::state::engine::Engine;
use crate::state::map::Map;

/// The shortest silence after which clients abandon a stream, as the platform states it.
const ABANDON_MIN: Duration = Duration::from_secs(2);

/// How many times the latency objective clients bear as silence.
const ABANDON_TARGETS: u32 = 4;

/// How many times the longest timely pause clients bear as silence.
const ABANDON_PAUSES: u32 = 8;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events; runs at most once unless it may be resumed.
    Stream,
}

/// A share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The service that answers.
    pub service: Arc<str>,
    /// The share relative to the others of the route.
    pub weight: f64,
}

/// Where requests for a host and a path prefix go.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host that clients name.
    pub host: Arc<str>,
    /// The start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// The services that answer.
    pub shares: Vec<Share>,
    /// The longest time that a client is kept waiting.
    pub timeout: Duration,
    /// The latency objective: of the answer, or of a stream's first event.
    pub target: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub pause: Option<Duration>,
    /// The rank; 0 is the highest.
    pub priority: u64,
    /// Upstreams to which one request may be sent.
    pub attempts_max: u64,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns the silence after which a client abandons a stream, also before its first event;
    /// for other answers, nothing.
    pub fn abandoned_after(&self) -> Option<Duration> {
        let of_target = self.target * ABANDON_TARGETS;
        let of_pause = self.pause.unwrap_or_default() * ABANDON_PAUSES;
        let after = ABANDON_MIN.max(of_target).max(of_pause);
        (self.kind == Kind::Stream).then_some(after)
    }

    /// Returns whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the service that answers the request whose hash is `dice`.
    pub fn service(&self, dice: u64) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = (dice % 1_000_000) as f64 / 1_000_000.0 * total;
        for share in &self.shares {
            point -= share.weight;
            if point < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// A service: a set of upstreams that answer alike.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Arc<str>,
    /// Connections that one upstream accepts from all callers together.
    pub connections_max: u64,
    /// Requests per second that a cold upstream bears; zero if its upstreams are never cold.
    pub cold_rate: f64,
    /// The rates of the engine, if the service generates.
    pub engine: Option<Engine>,
}

/// A workspace: a customer with keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: Arc<str>,
    /// The keys of its clients.
    pub keys: Vec<Arc<str>>,
    /// The rank of its requests, if it goes before the route's.
    pub priority: Option<u64>,
}

/// What a client may send, and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The size of the head of a request.
    pub header_bytes: u64,
    /// The size of a body.
    pub body_bytes: u64,
    /// The longest time for the head of a request.
    pub header: Duration,
    /// The longest time between two requests on a connection.
    pub idle: Duration,
}

/// Whether a client may use a route.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// The route is open, or there are no workspaces.
    Open,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// No workspace has the key.
    Unknown,
}

/// One version of the configuration.
#[derive(Debug)]
pub struct Table {
    version: u64,
    /// Longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: Map<Arc<str>, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    closed: bool,
    limits: Limits,
}

impl Table {
    /// Creates a table.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Vec<Workspace>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::from(route.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let named = |service: Service| (Arc::clone(&service.name), Arc::new(service));
        let closed = !workspaces.is_empty();
        let mut keys = HashMap::new();
        for workspace in workspaces {
            let workspace = Arc::new(workspace);
            for key in &workspace.keys {
                keys.insert(Arc::clone(key), Arc::clone(&workspace));
            }
        }
        Self {
            version,
            hosts,
            services: services.into_iter().map(named).collect(),
            keys,
            closed,
            limits,
        }
    }

    /// Returns the version; a higher one is newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on clients.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route for a request to `host`, which may name a port, and `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(host, _port)| host);
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns whether a client with `key` may use `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if route.open || !self.closed {
            return Access::Open;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(workspace) => Access::Workspace(Arc::clone(workspace)),
            None => Access::Unknown,
        }
    }
}
