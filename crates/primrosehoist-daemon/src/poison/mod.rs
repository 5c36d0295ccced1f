//! Requests that end the upstreams that run them: who runs where, who is suspected, who is barred.
//!
//! The decisions are those of `primrosehoist::coordination::poison`.

mod gossip;
mod record;
mod running;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use primrosehoist::coordination::poison::{Ledger, Standing};
use primrosehoist::protocol::wire;
use primrosehoist::state::fleet::{Fingerprint, Fleet};
use tokio::sync::Notify;
use tokio::time::Instant;

pub(crate) use self::running::{Running, check_upstream};

use crate::node::Node;

/// What this daemon knows of requests that end upstreams.
#[derive(Debug)]
pub(crate) struct Poison {
    enabled: bool,
    /// Whether the ledger holds anything, so that most requests take no lock.
    active: AtomicBool,
    ledger: Mutex<Ledger>,
    /// Wakes the task that tells other daemons.
    news: Notify,
    /// Wakes the task that records quarantines.
    quarantined: Notify,
}

impl Poison {
    /// Creates an empty record; one that is not `enabled` stays empty.
    pub(crate) fn new(enabled: bool) -> Self {
        Self {
            enabled,
            active: AtomicBool::new(false),
            ledger: Mutex::default(),
            news: Notify::new(),
            quarantined: Notify::new(),
        }
    }

    /// Returns whether a request must not run.
    pub(crate) fn is_quarantined(&self, fleet: &Fleet, fingerprint: &str) -> bool {
        if !self.is_active() {
            return fleet.quarantine.contains_key(fingerprint);
        }
        self.lock().is_quarantined(fleet, fingerprint)
    }

    /// Returns whether a request must run alone.
    pub(crate) fn is_suspect(&self, fingerprint: &str) -> bool {
        self.is_active() && self.lock().is_suspect(fingerprint, Instant::now())
    }

    /// Records that a request was completed.
    pub(crate) fn completed(&self, fingerprint: &str) {
        if self.is_active() {
            self.change(|ledger| ledger.completed(fingerprint));
        }
    }

    /// Records a suspicion that came with a request, or what its holder found.
    pub(crate) fn record_standing(
        &self,
        fingerprint: &Fingerprint,
        standing: Standing,
        fleet: &Fleet,
    ) {
        if !self.enabled {
            return;
        }
        let report = wire::Report {
            fingerprint: fingerprint.clone(),
            standing,
        };
        let now = Instant::now();
        if self.change(|ledger| ledger.merge(&report, fleet, now)) {
            self.news.notify_one();
        }
    }

    /// Records that an upstream died while it ran these requests.
    fn upstream_died(&self, running: &[Fingerprint]) {
        if !self.enabled {
            return;
        }
        let now = Instant::now();
        let found = self.change(|ledger| ledger.upstream_crashed(running, now));
        if let Some(fingerprint) = found {
            log::warn!(fingerprint = fingerprint.as_str(); "request quarantined");
            self.quarantined.notify_one();
        }
        self.news.notify_one();
    }

    /// Forgets the pending quarantines that are part of the configuration now.
    pub(crate) fn confirm(&self, fleet: &Fleet) {
        if self.is_active() {
            self.change(|ledger| ledger.confirm(fleet));
        }
    }

    fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    fn change<C, T>(&self, change: C) -> T
    where
        C: FnOnce(&mut Ledger) -> T,
    {
        let mut ledger = self.lock();
        let changed = change(&mut ledger);
        self.active.store(!ledger.is_empty(), Ordering::Release);
        changed
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the tasks that tell other daemons and record quarantines.
pub(crate) fn start(node: &Arc<Node>) {
    if node.poison.enabled {
        tokio::spawn(gossip::run(Arc::clone(node)));
        tokio::spawn(record::run(Arc::clone(node)));
    }
}

/// Takes the reports of another daemon.
pub(crate) fn handle_reports(node: &Node, told: &wire::Poison) -> wire::Reply {
    let fleet = node.fleet.load();
    // A daemon that is behind may hold for pending what was recorded and lifted since.
    if told.version >= fleet.version {
        for report in &told.reports {
            node.poison
                .record_standing(&report.fingerprint, report.standing, &fleet);
        }
    }
    wire::Reply::Acknowledged
}
