//! Poison requests, which crash the upstreams that run them: tracks running requests, suspects and
//! quarantines.
//!
//! `primrosehoist::coordination::poison` makes the decisions; this module performs them.

mod gossip;
mod record;
mod running;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use primrosehoist::coordination::poison::{Ledger, Standing};
use primrosehoist::protocol::wire;
use primrosehoist::state::fleet::{Fingerprint, Fleet};
use tokio::sync::Notify;
use tokio::time::Instant;

pub(crate) use self::running::{Running, check_upstream};

use crate::node::Node;
use crate::tasks::Supervisor;

/// The suspects and quarantines that this daemon knows.
#[derive(Debug)]
pub(crate) struct Poison {
    enabled: bool,
    /// Whether the ledger is not empty. While it is empty, requests take no lock.
    active: AtomicBool,
    ledger: Mutex<Ledger>,
    /// Wakes the task that sends reports to other daemons.
    changed: Notify,
    /// Wakes the task that records quarantines.
    quarantined: Notify,
}

impl Poison {
    /// Creates an empty state. If `enabled` is false, it remains empty.
    pub(crate) fn new(enabled: bool) -> Self {
        Self {
            enabled,
            active: AtomicBool::new(false),
            ledger: Mutex::default(),
            changed: Notify::new(),
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

    /// Records that a request completed.
    pub(crate) fn completed(&self, fingerprint: &str) {
        if self.is_active() {
            self.change(|ledger| ledger.completed(fingerprint));
        }
    }

    /// Records a suspicion that arrived with a request, or the standing reported by its holder.
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
            self.changed.notify_one();
        }
    }

    /// Records that an upstream crashed while it ran the requests `running`.
    fn upstream_crashed(&self, running: &[Fingerprint]) {
        if !self.enabled {
            return;
        }
        let now = Instant::now();
        let quarantined = self.change(|ledger| ledger.upstream_crashed(running, now));
        if let Some(fingerprint) = quarantined {
            log::warn!(fingerprint = fingerprint.as_str(); "request quarantined");
            self.quarantined.notify_one();
        }
        self.changed.notify_one();
    }

    /// Removes the pending quarantines that `fleet` contains.
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
        let result = change(&mut ledger);
        self.active.store(!ledger.is_empty(), Ordering::Release);
        result
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the tasks that report to other daemons and record quarantines.
pub(crate) fn start(tasks: &Supervisor<Node>, node: &Node) {
    if node.poison.enabled {
        tasks.spawn("report_quarantines", gossip::run);
        tasks.spawn("record_quarantines", record::run);
    }
}

/// Handles the reports of another daemon.
pub(crate) fn handle_reports(node: &Node, message: &wire::Poison) -> wire::Reply {
    let fleet = node.fleet.load();
    // A daemon with an older configuration may report a quarantine as pending that has since been
    // recorded and lifted.
    if message.version >= fleet.version {
        for report in &message.reports {
            node.poison
                .record_standing(&report.fingerprint, report.standing, &fleet);
        }
    }
    wire::Reply::Acknowledged
}
