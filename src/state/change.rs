//! Accepted changes to the configuration.
//!
//! The configuration is a log of changes. Change `n` is the object created with the number `n`.
//! Creation is conditional: of two racing operators, exactly one obtains the number, and the other
//! learns whose change has it. The log also serves as the audit trail.

use serde::{Deserialize, Serialize};

use crate::state::fleet::{Fingerprint, Fleet, Lifecycle, Service, Upstream, Version, Workspace};
use crate::state::name;

/// One accepted change: the step from version `version - 1` to `version`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version that results from this change.
    pub version: Version,
    /// The operator who made the change.
    pub author: String,
    /// Why the author made the change.
    pub reason: String,
    /// The time of the change by the author's clock, in milliseconds since the Unix epoch.
    /// Informational only.
    pub time_ms: u64,
    /// Identifies this write attempt, so that the author can tell whether it succeeded if the
    /// response was lost.
    pub nonce: String,
    /// The steps of the change, in order.
    pub entries: Vec<Entry>,
}

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Adds or replaces a service.
    PutService(Service),
    /// Removes a service.
    RemoveService(name::Service),
    /// Adds or replaces a workspace.
    PutWorkspace(Workspace),
    /// Removes a workspace.
    RemoveWorkspace(name::Workspace),
    /// Adds or replaces an upstream.
    PutUpstream(Upstream),
    /// Removes an upstream.
    RemoveUpstream(name::Upstream),
    /// Starts or stops draining an upstream.
    SetUpstream(name::Upstream, Lifecycle),
    /// Takes a zone out of service.
    ZoneOut(name::Zone),
    /// Brings a zone back into service.
    ZoneIn(name::Zone),
    /// Quarantines a request, with the reason.
    Quarantine(Fingerprint, String),
    /// Releases a request from quarantine.
    Release(Fingerprint),
}

impl Fleet {
    /// Applies `change` if it is the next one, and returns whether it was.
    ///
    /// A change that was already applied, or one that skips a version, leaves the fleet unchanged.
    ///
    /// ```
    /// use primrosehoist::state::change::{Change, Entry};
    /// use primrosehoist::state::fleet::Fleet;
    /// use primrosehoist::state::name::Zone;
    ///
    /// let zone = Zone::try_from("zone-a")?;
    /// let change = Change {
    ///     version: 1,
    ///     author: "ada".to_owned(),
    ///     reason: "power work".to_owned(),
    ///     time_ms: 0,
    ///     nonce: "5f3a".to_owned(),
    ///     entries: vec![Entry::ZoneOut(zone.clone())],
    /// };
    /// let mut fleet = Fleet::default();
    /// assert!(fleet.apply(&change));
    /// assert!(fleet.zones_out.contains(&zone));
    /// assert!(!fleet.apply(&change), "a change applies once");
    /// # Ok::<(), primrosehoist::state::name::Error>(())
    /// ```
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.version != self.version + 1 {
            return false;
        }
        for entry in &change.entries {
            self.apply_entry(entry);
        }
        self.version = change.version;
        true
    }

    fn apply_entry(&mut self, entry: &Entry) {
        match entry {
            Entry::PutService(service) => {
                self.services.insert(service.name.clone(), service.clone());
            }
            Entry::RemoveService(name) => {
                self.services.remove(name);
            }
            Entry::PutWorkspace(workspace) => {
                self.workspaces
                    .insert(workspace.name.clone(), workspace.clone());
            }
            Entry::RemoveWorkspace(name) => {
                self.workspaces.remove(name);
            }
            Entry::PutUpstream(upstream) => {
                self.upstreams
                    .insert(upstream.name.clone(), upstream.clone());
            }
            Entry::RemoveUpstream(name) => {
                self.upstreams.remove(name);
            }
            Entry::SetUpstream(name, state) => {
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.state = *state;
                }
            }
            Entry::ZoneOut(zone) => {
                self.zones_out.insert(zone.clone());
            }
            Entry::ZoneIn(zone) => {
                self.zones_out.remove(zone);
            }
            Entry::Quarantine(fingerprint, reason) => {
                self.quarantine.insert(fingerprint.clone(), reason.clone());
            }
            Entry::Release(fingerprint) => {
                self.quarantine.remove(fingerprint);
            }
        }
    }
}
