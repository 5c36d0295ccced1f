//! Counters of the engine, which persist across simulated crashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::engine::owner::Owner;
use crate::reply;

/// The state of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// It is waiting or running.
    Running,
    /// All its tokens were generated.
    Completed,
    /// It was cancelled.
    Cancelled,
    /// It had no reader for the resume grace period.
    Dropped,
    /// It was lost in a crash.
    Crashed,
    /// It exceeded the concurrency limit.
    Overload,
    /// Its fencing epoch was stale.
    Stale,
    /// It was refused and did not run.
    Refused,
}

/// One request that reached the engine.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Attempt {
    /// The id of the attempt.
    pub(crate) id: Arc<str>,
    /// The time of its arrival, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// Its state.
    pub(crate) state: State,
}

/// The kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// Loads a model.
    LoadModel,
    /// Loads an adapter.
    LoadAdapter,
    /// Changes the role of the engine.
    SetRole,
}

/// An order that was accepted.
#[derive(Debug, Serialize)]
pub(crate) struct Order {
    /// The kind of the order.
    pub(crate) kind: Kind,
    /// The model, adapter or role.
    pub(crate) argument: String,
    /// The owner that sent it.
    #[serde(flatten)]
    pub(crate) owner: Owner,
}

/// The counters.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Tally {
    /// Requests accepted or received beyond the concurrency limit.
    pub(crate) received: u64,
    /// Requests whose tokens were all generated.
    pub(crate) completed: u64,
    /// Requests cancelled or dropped.
    pub(crate) cancelled: u64,
    /// Requests received beyond the concurrency limit.
    pub(crate) overloads: u64,
    /// The maximum number of concurrent requests.
    pub(crate) max_in_flight: u64,
    /// The maximum number of requests beyond the concurrency limit.
    pub(crate) max_over_limit: u64,
    /// Crashes, whatever the cause.
    pub(crate) crashes: u64,
    /// Requests refused because of a stale fencing epoch.
    pub(crate) stale_refused: u64,
    /// Requests and orders accepted despite a stale fencing epoch.
    pub(crate) stale_taken: u64,
    /// Requests refused for other reasons.
    pub(crate) refused: u64,
    /// Orders accepted.
    pub(crate) orders: Vec<Order>,
    /// All requests that reached the engine.
    pub(crate) attempts: Vec<Attempt>,
}

impl Tally {
    /// Records an attempt and returns its index.
    pub(crate) fn attempt(&mut self, id: &Arc<str>, state: State) -> usize {
        self.attempts.push(Attempt {
            id: Arc::clone(id),
            at_ms: reply::unix_ms(),
            state,
        });
        self.attempts.len() - 1
    }

    /// Records how an attempt ended.
    pub(crate) fn end(&mut self, attempt: usize, state: State) {
        self.attempts[attempt].state = state;
        match state {
            State::Completed => self.completed += 1,
            State::Cancelled | State::Dropped => self.cancelled += 1,
            _ => {}
        }
    }
}
