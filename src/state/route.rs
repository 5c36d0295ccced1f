//! The routing table: maps a request to a service, checks access and holds the request limits.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use strum::Display;

use crate::state::engine::Engine;
use crate::state::map::Map;

/// The shortest silence after which clients abandon a stream, as specified by the platform.
const ABANDON_MIN: Duration = Duration::from_secs(2);

/// The silence that clients tolerate, as a multiple of the latency target.
const ABANDON_TARGETS: u32 = 4;

/// The silence that clients tolerate, as a multiple of the longest allowed pause between events.
const ABANDON_PAUSES: u32 = 8;

/// The kind of a route, which decides whether its requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The answer is a stream of events. A request runs at most once unless the stream is
    /// resumable.
    Stream,
}

/// The share of a route's requests that one service receives.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The name of the service.
    pub service: Arc<str>,
    /// The weight relative to the other shares of the route.
    pub weight: f64,
}

/// Maps requests for a host and a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name of the route.
    pub name: Arc<str>,
    /// The host in the requests of clients.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether requests may be retried.
    pub kind: Kind,
    /// The services among which requests are split.
    pub shares: Vec<Share>,
    /// The longest time that a client waits for an answer.
    pub timeout: Duration,
    /// The latency target of the answer or, for a stream, of its first event.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream before the later one counts as late.
    pub pause_max: Option<Duration>,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// The largest number of upstreams to which one request may be sent.
    pub attempts_max: u64,
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Whether a stream may be resumed on another upstream.
    pub resumable: bool,
}

impl Route {
    /// Returns the silence after which a client abandons a stream, including the wait for its first
    /// event, or `None` if the answer is not a stream.
    pub fn abandoned_after(&self) -> Option<Duration> {
        let target_silence = self.latency_target * ABANDON_TARGETS;
        let pause_silence = self.pause_max.unwrap_or_default() * ABANDON_PAUSES;
        let silence = ABANDON_MIN.max(target_silence).max(pause_silence);
        (self.kind == Kind::Stream).then_some(silence)
    }

    /// Returns whether a request that may already have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the service for the request with this hash, or `None` if the route has no shares.
    pub fn pick_service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        let mut point = (hash % 1_000_000) as f64 / 1_000_000.0 * total;
        for share in &self.shares {
            point -= share.weight;
            if point < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}

/// A set of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: Arc<str>,
    /// The largest number of connections that one upstream accepts from all callers together.
    pub connections_max: u64,
    /// Requests per second that a cold upstream can handle; zero if its upstreams are never cold.
    pub cold_rate: f64,
    /// The performance model of the engine, if the service generates tokens.
    pub engine: Option<Engine>,
}

/// A customer and its API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: Arc<str>,
    /// The API keys of its clients.
    pub keys: Vec<Arc<str>>,
    /// The priority of its requests, if it overrides that of the route.
    pub priority: Option<u64>,
}

/// The limits on the size and timing of client requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// The largest size of a request head, in bytes.
    pub header_bytes_max: u64,
    /// The largest size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// The longest time to receive a request head.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
}

/// The result of an access check.
#[derive(Debug, Clone, PartialEq)]
pub enum Access {
    /// No key is needed: the route is open, or the configuration has no list of workspaces.
    Open,
    /// The key belongs to this workspace.
    Workspace(Arc<Workspace>),
    /// The key belongs to a workspace that cannot be served.
    Unusable,
    /// The key is missing or belongs to no workspace.
    Unknown,
}

/// The routing table of one configuration version.
#[derive(Debug)]
pub struct Table {
    version: u64,
    /// The routes by host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: Map<Arc<str>, Arc<Service>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    workspaces: HashMap<Arc<str>, Arc<Workspace>>,
    /// The keys of workspaces that cannot be served.
    unusable_keys: HashSet<Arc<str>>,
    requires_key: bool,
    limits: Limits,
}

impl Table {
    /// Creates a routing table. Without `workspaces`, no key is needed; with an empty list of them, no key
    /// is valid.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        workspaces: Option<Vec<Workspace>>,
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
        let by_name = |service: Service| (Arc::clone(&service.name), Arc::new(service));
        let requires_key = workspaces.is_some();
        let mut keys = HashMap::new();
        let mut by_workspace = HashMap::new();
        for workspace in workspaces.into_iter().flatten() {
            let workspace = Arc::new(workspace);
            for key in &workspace.keys {
                keys.insert(Arc::clone(key), Arc::clone(&workspace));
            }
            by_workspace.insert(Arc::clone(&workspace.name), workspace);
        }
        Self {
            version,
            hosts,
            services: services.into_iter().map(by_name).collect(),
            keys,
            workspaces: by_workspace,
            unusable_keys: HashSet::new(),
            requires_key,
            limits,
        }
    }

    /// Adds a workspace that cannot be served, with those of its keys that are known. Like any other one, it makes
    /// routes require a key.
    #[must_use]
    pub fn with_unusable_workspace<K>(mut self, keys: K) -> Self
    where
        K: IntoIterator<Item = Arc<str>>,
    {
        self.requires_key = true;
        self.unusable_keys.extend(keys);
        self
    }

    /// Returns the configuration version; higher versions are newer.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on client requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the route for a request to `path` on `host`, which may include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let without_port = host.rsplit_once(':').map(|(host, _port)| host);
        let find = |host| {
            let routes = self.hosts.get(host)?;
            routes
                .iter()
                .find(|route| path.starts_with(route.prefix.as_ref()))
        };
        // A host that is configured with a port is for that port only.
        find(host.as_str()).or_else(|| without_port.and_then(find))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(name)
    }

    /// Checks whether a client with `key` may use `route`.
    pub fn access(&self, route: &Route, key: Option<&str>) -> Access {
        if route.open || !self.requires_key {
            return Access::Open;
        }
        let Some(key) = key else {
            return Access::Unknown;
        };
        match self.keys.get(key) {
            Some(workspace) => Access::Workspace(Arc::clone(workspace)),
            None if self.unusable_keys.contains(key) => Access::Unusable,
            None => Access::Unknown,
        }
    }
}
