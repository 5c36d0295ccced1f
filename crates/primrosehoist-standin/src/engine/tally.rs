//! Counters of an engine, which outlive its crashes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::engine::owner::Owner;
use crate::reply;

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// It waits or runs.
    Running,
    /// All its tokens were made.
    Completed,
    /// It was cancelled.
    Cancelled,
    /// Nobody read it for the grace time.
    Dropped,
    /// It was lost in a crash.
    Crashed,
    /// It was received beyond what the engine bears.
    Overload,
    /// Its fencing epoch was old.
    Stale,
    /// It was refused and ran nothing.
    Refused,
}

/// One request that reached the engine.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Attempt {
    /// The id of the attempt.
    pub(crate) id: Arc<str>,
    /// The time of its arrival, in milliseconds since the Unix epoch.
    pub(crate) at_ms: u64,
    /// What became of it.
    pub(crate) state: State,
}

/// The kinds of orders.
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

/// An order that was carried out.
#[derive(Debug, Serialize)]
pub(crate) struct Order {
    /// What was ordered.
    pub(crate) kind: Kind,
    /// The model, adapter or role.
    pub(crate) argument: String,
    /// Who ordered it.
    #[serde(flatten)]
    pub(crate) owner: Owner,
}

/// The counters.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Tally {
    /// Requests accepted or overloading.
    pub(crate) received: u64,
    /// Requests whose tokens were all made.
    pub(crate) completed: u64,
    /// Requests cancelled or dropped.
    pub(crate) cancelled: u64,
    /// Requests received beyond what the engine bears.
    pub(crate) overloads: u64,
    /// The most concurrent requests.
    pub(crate) max_in_flight: u64,
    /// The most requests beyond what the engine bears.
    pub(crate) max_over_limit: u64,
    /// Crashes for any reason.
    pub(crate) crashes: u64,
    /// Requests refused for their fencing epoch.
    pub(crate) stale_refused: u64,
    /// Requests and orders taken although their fencing epoch was old.
    pub(crate) stale_taken: u64,
    /// Requests refused for other reasons.
    pub(crate) refused: u64,
    /// Orders carried out.
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

    /// Records what became of an attempt.
    pub(crate) fn end(&mut self, attempt: usize, state: State) {
        self.attempts[attempt].state = state;
        match state {
            State::Completed => self.completed += 1,
            State::Cancelled | State::Dropped => self.cancelled += 1,
            _ => {}
        }
    }
}
