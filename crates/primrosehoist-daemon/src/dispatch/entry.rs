//! State shared by all requests that enter at this daemon.

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

/// The shared state of requests that enter at this daemon.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The memory budget of request bodies.
    pub(crate) bodies: body::Budget,
    policy: Policy,
    /// The round-robin counter. Every request writes it, so it is padded against false sharing.
    next_turn: CachePadded<AtomicU64>,
    budgets: Mutex<Map<name::Service, Budget>>,
}

impl Entry {
    /// Creates the state with a budget of `body_bytes` bytes for request bodies.
    pub(crate) fn new(body_bytes: u64, policy: Policy) -> Self {
        Self {
            bodies: body::Budget::new(body_bytes),
            policy,
            next_turn: CachePadded::new(AtomicU64::new(0)),
            budgets: Mutex::default(),
        }
    }

    /// Returns the placement policy.
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the number that selects among upstreams under `policy`: a counter for round robin,
    /// random otherwise.
    pub(crate) fn selector(&self, policy: Policy) -> u64 {
        match policy {
            Policy::RoundRobin => self.next_turn.fetch_add(1, Ordering::Relaxed),
            _ => rand::random(),
        }
    }

    /// Records a first attempt of `service`, which adds `percent` hundredths of a retry to its
    /// budget.
    pub(crate) fn record_attempt(&self, service: &name::Service, percent: u32, now: Instant) {
        self.with_budget(service, now, |budget| {
            budget.set_percent(percent);
            budget.deposit();
        });
    }

    /// Returns whether the budget of `service` permits a retry after an attempt that got as far as
    /// `reach`.
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
