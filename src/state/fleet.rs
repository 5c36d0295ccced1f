//! The configuration in force: services, workspaces, upstreams and availability zones.
//!
//! A [`Fleet`] is what results from applying all accepted changes in order. It is immutable once
//! published inside a process: a new version replaces the old one as a whole.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::state::map::{Map, Set};
use crate::state::name;

/// Counts the accepted changes that lead to a configuration. Never decreases.
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
    /// The zones that operators have taken out of service. A zone that is absent is in service.
    pub zones_out: Set<name::Zone>,
    /// Fingerprints of requests that must not run, with the reason.
    pub quarantine: Map<Fingerprint, String>,
}

impl Fleet {
    /// Returns whether `upstream` is a model engine.
    pub fn is_engine(&self, upstream: &Upstream) -> bool {
        let service = self.services.get(&upstream.service);
        service.is_some_and(|service| matches!(service.kind, Kind::Engine(_)))
    }
}

/// A set of upstreams that answer alike.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: name::Service,
    /// The half of the organisation that the service belongs to.
    pub half: name::Half,
    /// What the upstreams of the service are.
    pub kind: Kind,
    /// The longest time a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Whether a request without an idempotency key may run more than once.
    pub repeatable: bool,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
}

/// What the upstreams of a service are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Model engines that answer the OpenAI-compatible dialect for this model.
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
    /// SHA-256 digests of the bearer keys, in lower-case hexadecimal.
    pub key_digests: Vec<String>,
    /// The share of a contended upstream, relative to other workspaces.
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
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Requests that the upstream bears at once in cold start.
    pub cold_requests: u32,
    /// Requests that the upstream bears at once when warm.
    pub warm_requests: u32,
    /// KV cache memory in tokens. Zero for plain services.
    pub memory_tokens: u64,
    /// Whether the upstream refuses orders and requests with an old fencing number.
    pub fencing: bool,
    /// Whether the upstream takes new work.
    pub state: Presence,
}

/// Whether an upstream takes new work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Presence {
    /// The upstream takes new work.
    #[default]
    Live,
    /// The upstream finishes what it has and gets nothing new.
    Leaving,
}

/// Identifies a request by its content: a SHA-256 digest in lower-case hexadecimal.
pub type Fingerprint = String;
