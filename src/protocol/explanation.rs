//! Where a request would go now, as a daemon tells an operator.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::assign::explain::Cost;

/// The path at which a daemon explains placements.
pub const PATH: &str = "/explain";

/// The request that is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The host in the client's request.
    pub host: String,
    /// Its path.
    pub path: String,
    /// The id of the client's attempt, which decides where a route has several services.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// The name of the client's workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<String>,
    /// Prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The expected number of answer tokens.
    #[serde(default)]
    pub answer_tokens: u64,
}

/// Where a request would go now, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The host of the daemon.
    pub host: Arc<str>,
    /// The version of the configuration in force.
    pub version: u64,
    /// The route of the request.
    pub route: Arc<str>,
    /// The service that serves it.
    pub service: Arc<str>,
    /// The priority; 0 is the highest.
    pub priority: u64,
    /// The time until the first event misses its objective, in milliseconds.
    pub objective_ms: f64,
    /// How far the workspace is over its fair share, from 0 to 1.
    pub over_share: f64,
    /// The share of such requests that is refused on arrival.
    pub refused_on_arrival: f64,
    /// The requests for this service that wait on this daemon.
    pub waiting: usize,
    /// Those of them that go before a new request.
    pub ahead: usize,
    /// Whether only the upstreams of the daemon's zone were considered.
    pub zone_only: bool,
    /// Where the request would go.
    pub decision: Decision,
    /// The upstreams among which it is chosen.
    pub candidates: Vec<Candidate>,
    /// The upstreams of the service that are not considered.
    pub left_out: Vec<LeftOut>,
}

/// Where a request would go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Decision {
    /// To an upstream.
    Send {
        /// The upstream that answers.
        upstream: Arc<str>,
        /// Those that prefill parts of the prompt.
        helpers: Vec<Arc<str>>,
        /// The expected time until the prompt is prefilled, in milliseconds.
        ready_ms: f64,
    },
    /// Into the queue of the daemon.
    Wait {
        /// What it lacks.
        reason: String,
    },
    /// To another daemon, since this host is cut off from the upstreams.
    HandOver,
}

/// An upstream among which a request is chosen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Its slots.
    pub slots: u64,
    /// The requests that are expected to run there.
    pub running: u32,
    /// The requests that were told to run there.
    pub told: u32,
    /// The age of what was told, in milliseconds.
    pub news_age_ms: u64,
    /// The prefill that it still has to do, in milliseconds.
    pub prefill_ms: f64,
    /// What the request would cost there.
    pub cost: Cost,
}

/// An upstream that is not considered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeftOut {
    /// The upstream.
    pub upstream: Arc<str>,
    /// Why.
    pub reason: String,
}
