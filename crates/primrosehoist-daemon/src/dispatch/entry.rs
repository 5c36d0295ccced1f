//! What all requests that enter at this daemon share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use crossbeam::utils::CachePadded;
use primrosehoist::coordination::retry::{self, Reach};
use primrosehoist::state::budget::Budget;
use primrosehoist::state::map::Map;
use primrosehoist::state::name;
use primrosehoist::state::placement::Policy;
use primrosehoist::transport::http::body;
use tokio::time::Instant;

/// Shared state of the entry's side.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Memory for the bodies of requests.
    pub(crate) bodies: body::Budget,
    policy: Policy,
    /// Written by all requests, so it has a cache line of its own.
    next_turn: CachePadded<AtomicU64>,
    budgets: Mutex<Map<name::Service, Budget>>,
}

impl Entry {
    /// Creates the state, with `body_bytes` bytes for bodies.
    pub(crate) fn new(body_bytes: u64, policy: Policy) -> Self {
        Self {
            bodies: body::Budget::new(body_bytes),
            policy,
            next_turn: CachePadded::new(AtomicU64::new(0)),
            budgets: Mutex::default(),
        }
    }

    /// Returns how upstreams are chosen.
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the number that a choice under `policy` is made by.
    pub(crate) fn selector(&self, policy: Policy) -> u64 {
        match policy {
            Policy::RoundRobin => self.next_turn.fetch_add(1, Ordering::Relaxed),
            _ => rand::random(),
        }
    }

    /// Records a first attempt of `service`, which earns `percent` hundredths of a retry.
    pub(crate) fn record_attempt(&self, service: &name::Service, percent: u32, now: Instant) {
        self.with_budget(service, now, |budget| {
            budget.set_percent(percent);
            budget.deposit();
        });
    }

    /// Returns whether a request of `service` whose attempt came as far as `reach` may be retried.
    pub(crate) fn may_retry(&self, service: &name::Service, reach: Reach, now: Instant) -> bool {
        self.with_budget(service, now, |budget| retry::may_retry(budget, reach, now))
    }

    fn with_budget<U, T>(&self, service: &name::Service, now: Instant, update: U) -> T
    where
        U: FnOnce(&mut Budget) -> T,
    {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(0, now));
        update(budget)
    }
}
