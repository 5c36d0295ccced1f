//! What all requests that enter at this daemon share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use primrosehoist::coordination::retry;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use primrosehoist::state::placement::Policy;
use primrosehoist::transport::http::body;

/// Shared state of the entry's side.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Memory for the bodies of requests.
    pub(crate) bodies: body::Budget,
    policy: Policy,
    turn: AtomicU64,
    budgets: Mutex<Map<name::Service, Arc<retry::Budget>>>,
}

impl Entry {
    /// Creates the state, with `body_bytes` bytes for bodies.
    pub(crate) fn new(body_bytes: u64, policy: Policy) -> Self {
        Self {
            bodies: body::Budget::new(body_bytes),
            policy,
            turn: AtomicU64::new(0),
            budgets: Mutex::default(),
        }
    }

    /// Returns how upstreams are chosen.
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the number that a choice under `policy` is made by.
    pub(crate) fn dice(&self, policy: Policy) -> u64 {
        match policy {
            Policy::RoundRobin => self.turn.fetch_add(1, Ordering::Relaxed),
            _ => rand::random(),
        }
    }

    /// Returns the retry budget of `service`.
    pub(crate) fn budget(&self, service: &name::Service) -> Arc<retry::Budget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(budgets.entry(service.clone()).or_default())
    }
}
