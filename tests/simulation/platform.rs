//! The simulated platform: one object with conditional writes.

use std::collections::BTreeSet;

use primrosehoist::coordination::holding::{Spec, Write};

/// The platform and its faults.
#[derive(Default)]
pub struct Platform {
    pub spec: Spec,
    pub version: u64,
    /// Daemons whose calls do not arrive.
    pub unreachable: BTreeSet<usize>,
    /// Daemons whose calls take effect but are not answered.
    pub answers_lost: BTreeSet<usize>,
    /// Whether answers to reads always arrive within the timeout.
    pub is_responsive: bool,
}

impl Platform {
    pub fn read(&self) -> (Spec, Option<String>) {
        let version = (self.version > 0).then(|| self.version.to_string());
        (self.spec.clone(), version)
    }

    pub fn write(&mut self, write: Write) -> Option<String> {
        if write.version != self.read().1 {
            return None;
        }
        for (upstream, entry) in &self.spec.holdings {
            let epoch = write.spec.holdings[upstream].epoch;
            assert!(epoch >= entry.epoch, "the epoch of {upstream} decreased");
        }
        self.spec = write.spec;
        self.version += 1;
        Some(self.version.to_string())
    }

    pub fn clear_faults(&mut self) {
        self.unreachable.clear();
        self.answers_lost.clear();
    }
}
