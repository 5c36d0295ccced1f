//! Objects of the platform's API, which follows the conventions of the Kubernetes API.
//!
//! A collection has the path `/apis/primrosehoist/v1/<kind>` and an object the path
//! `/apis/primrosehoist/v1/<kind>/<name>`.
//!
//! - `POST <collection>` creates an object, or answers 409 if the name exists.
//! - `PUT <object>` replaces the object if `metadata.resourceVersion` is current, and answers 409
//!   otherwise.
//! - `GET <collection>?watch=true&resourceVersion=N` answers a stream of [`Event`] as JSON lines,
//!   or 410 if `N` is too old.
//! - `GET <collection>?limit=N&continue=TOKEN` answers a page of a list.
//! - `DELETE <object>?resourceVersion=N` removes the object if it is at that version.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The path prefix of all objects.
pub const PREFIX: &str = "/apis/primrosehoist/v1";

/// The collection of configuration changes, named by [`change_name`].
pub const CHANGES: &str = "changes";
/// The collection of configuration snapshots, whose only object is [`SNAPSHOT`].
pub const SNAPSHOTS: &str = "snapshots";
/// The name of the latest configuration snapshot.
pub const SNAPSHOT: &str = "current";
/// The collection of hosts. The platform writes it, with a delay.
pub const HOSTS: &str = "hosts";
/// The collection of holdings: which daemon holds which upstream, one object per zone.
pub const HOLDINGS: &str = "holdings";
/// The collection of idempotency claims.
pub const CLAIMS: &str = "claims";

/// Returns the object name of the change that results in `version`.
pub fn change_name(version: u64) -> String {
    format!("{version:012}")
}

/// An object with its metadata.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Name and version of the object.
    pub metadata: Metadata,
    /// The content, whose schema depends on the kind.
    pub spec: Value,
}

/// Name and version of an object.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// The name, unique within the kind.
    pub name: String,
    /// Increases with every write to any object. Kubernetes declares it opaque to clients; this API
    /// orders it.
    #[serde(default)]
    pub resource_version: String,
}

/// The response to a list request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The version of the list.
    pub metadata: ListMetadata,
    /// The objects, ordered by name.
    pub items: Vec<Object>,
}

/// The version of a list, and the token of its next page.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListMetadata {
    /// The version to start a watch from.
    pub resource_version: String,
    /// The token that requests the next page. Empty on the last page.
    #[serde(default, rename = "continue", skip_serializing_if = "String::is_empty")]
    pub continue_at: String,
}

/// One line of a watch stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// `ADDED`, `MODIFIED`, `DELETED` or `BOOKMARK`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The object after the event.
    pub object: Object,
}

impl Event {
    /// Returns whether the event only confirms that the watch is alive and at which version.
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
    /// `entry` for a host of a daemon, `upstream` for a host of an upstream.
    pub role: String,
    /// The address of the daemon's peer port or of the upstream.
    pub address: String,
    /// `live` or `leaving`.
    pub state: String,
    /// The address of the daemon's admin port, if the platform knows it.
    #[serde(default)]
    pub admin: Option<String>,
}
