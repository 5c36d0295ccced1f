//! Objects of the platform's API, in the conventions of the Kubernetes API.
//!
//! Paths: `/apis/primrosehoist/v1/<kind>` for a collection and `/apis/primrosehoist/v1/<kind>/<name>`
//! for an object. `POST` to the collection creates and answers 409 if the name exists. `PUT` to
//! the object replaces it if `metadata.resourceVersion` is current and answers 409 otherwise.
//! `GET <collection>?watch=true&resourceVersion=N` answers a stream of [`Event`] as JSON lines,
//! or 410 when `N` is too old. `GET <collection>?limit=N&continue=TOKEN` answers a page of a list.
//! `DELETE <object>?resourceVersion=N` removes the object if it is at that version.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The path prefix of all objects.
pub const PREFIX: &str = "/apis/primrosehoist/v1";

/// The collection of configuration changes, named by [`change_name`].
pub const CHANGES: &str = "changes";
/// The collection that holds the snapshot object, named [`SNAPSHOT`].
pub const SNAPSHOTS: &str = "snapshots";
/// The name of the newest snapshot of the configuration.
pub const SNAPSHOT: &str = "current";
/// The collection of hosts. Written by the platform itself; lags.
pub const HOSTS: &str = "hosts";
/// The collection of holdings of upstreams, one object per zone.
pub const HOLDINGS: &str = "holdings";
/// The collection of idempotency claims.
pub const CLAIMS: &str = "claims";

/// Returns the object name of the change that leads to `version`.
pub fn change_name(version: u64) -> String {
    format!("{version:012}")
}

/// An object with its metadata.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name and version of the object.
    pub metadata: Metadata,
    /// The content, whose form depends on the kind.
    pub spec: Value,
}

/// Name and version of an object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: String,
    /// Changes with every write of any object; opaque to clients but ordered here.
    #[serde(default)]
    pub resource_version: String,
}

/// A collection as answered to a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Holds the resource version to watch from.
    pub metadata: ListMetadata,
    /// The objects, by name.
    pub items: Vec<Object>,
}

/// The version of a list, and where its next page begins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListMetadata {
    /// The version to watch from.
    pub resource_version: String,
    /// The token to ask for the next page with. Empty on the last page.
    #[serde(default, rename = "continue", skip_serializing_if = "String::is_empty")]
    pub continue_at: String,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// `ADDED`, `MODIFIED`, `DELETED` or `BOOKMARK`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The object after the event.
    pub object: Object,
}

impl Event {
    /// Returns whether the event tells only that the watch is alive and how far it is.
    pub fn is_bookmark(&self) -> bool {
        self.kind == "BOOKMARK"
    }

    /// Returns whether the object was deleted.
    pub fn is_deleted(&self) -> bool {
        self.kind == "DELETED"
    }
}

/// The content of an object in [`HOSTS`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The availability zone.
    pub zone: String,
    /// `entry` for hosts of daemons, `upstream` for hosts of upstreams.
    pub role: String,
    /// The address of the daemon's peer port or of the upstream.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The address of the daemon's admin port, if the platform knows it.
    #[serde(default)]
    pub admin: Option<String>,
}
