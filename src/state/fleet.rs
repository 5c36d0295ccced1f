//! The configuration: services, workspaces, upstreams and availability zones.
//!
//! A [`Fleet`] is the result of applying all accepted changes in order. It is immutable once
//! published within a process: a new version replaces the old one as a whole.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::state::map::{Map, Set};
use crate::state::name;

/// The number of accepted changes that a configuration results from. Never decreases.
pub type Version = u64;

/// The configuration of the whole fleet at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The number of changes applied so far.
    pub version: Version,
    /// All services by name.
    pub services: Map<name::Service, Service>,
    /// All workspaces by name.
    pub workspaces: Map<name::Workspace, Workspace>,
    /// All upstreams by name.
    pub upstreams: Map<name::Upstream, Upstream>,
    /// The zones that operators have taken out of service. All other zones are in service.
    pub zones_out: Set<name::Zone>,
    /// The fingerprints of requests that must not run, with the reason.
    pub quarantine: Map<Fingerprint, String>,
}

impl Fleet {
    /// Returns whether `upstream` is a model engine.
    pub fn is_engine(&self, upstream: &Upstream) -> bool {
        let service = self.services.get(&upstream.service);
        service.is_some_and(|service| matches!(service.kind, Kind::Engine(_)))
    }
}

/// A set of interchangeable upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: name::Service,
    /// The half of the organisation that the service belongs to.
    pub half: name::Half,
    /// The kind of the service's upstreams.
    pub kind: Kind,
    /// The time limit of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Whether a request without an idempotency key may run more than once.
    pub repeatable: bool,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
}

/// The kind of a service's upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that serve this model through the OpenAI-compatible API.
    Engine(name::Model),
    /// Plain HTTP services, reached under `/services/<name>/`.
    Plain,
}

/// A customer with keys and a weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: name::Workspace,
    /// The half of the organisation that the workspace belongs to.
    pub half: name::Half,
    /// The SHA-256 digests of the bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
    /// The share of a contended upstream, relative to the weights of other workspaces.
    pub weight: u32,
}

/// One back end of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: name::Upstream,
    /// The service that the upstream is part of.
    pub service: name::Service,
    /// The half of the organisation that may use the upstream.
    pub half: name::Half,
    /// The availability zone that the upstream runs in.
    pub zone: name::Zone,
    /// The address that the upstream listens on.
    pub address: SocketAddr,
    /// The number of concurrent requests that the upstream can handle during a cold start.
    pub cold_requests: u32,
    /// The number of concurrent requests that the upstream can handle when warm.
    pub warm_requests: u32,
    /// The capacity of the KV cache, in tokens. Zero for plain services.
    pub memory_tokens: u64,
    /// Whether the upstream rejects orders and requests with a stale fencing token.
    pub fencing: bool,
    /// Whether the upstream accepts new requests.
    pub state: Lifecycle,
}

/// Whether an upstream accepts new requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Lifecycle {
    /// The upstream accepts new requests.
    #[default]
    Live,
    /// The upstream completes its requests in flight and receives no new ones.
    Leaving,
}

/// Identifies a request by its content: a SHA-256 digest in lower-case hexadecimal.
pub type Fingerprint = String;
