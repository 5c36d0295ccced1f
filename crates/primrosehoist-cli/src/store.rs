//! Access to the configuration stored in the platform: changes and the snapshot.

use std::net::SocketAddr;

use oxhttp::model::Method;
use primrosehoist::protocol::platform::{
    CHANGES, HOSTS, Host, List, Metadata, Object, PREFIX, SNAPSHOT, SNAPSHOTS, change_name,
};
use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::{Fleet, Version};
use primrosehoist::transport::platform::Target;
use serde::de::DeserializeOwned;

use crate::backoff::Backoff;
use crate::error::Error;
use crate::http::{Call, Endpoint, encode};

/// The number of attempts at a read.
const READ_ATTEMPTS: usize = 5;

/// A client for the configuration stored in the platform.
#[derive(Debug)]
pub(crate) struct Store {
    endpoint: Endpoint,
}

/// The outcome of one attempt to create an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Creation {
    /// The object was created.
    Created,
    /// An object with this name already exists.
    Exists,
}

impl Store {
    /// Creates a client for the platform at `address`.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let endpoint = Endpoint {
            address,
            token: None,
        };
        Self { endpoint }
    }

    /// Reads the latest configuration: the snapshot with all later changes applied.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or if its response is unexpected.
    pub(crate) fn fleet(&self) -> Result<Fleet, Error> {
        let mut fleet = self.snapshot()?.unwrap_or_default();
        while let Some(change) = self.change(fleet.version + 1)? {
            if !fleet.apply(&change) {
                let cause = format!("the change to {} names another version", fleet.version + 1);
                return Err(Error::Precondition(cause));
            }
        }
        Ok(fleet)
    }

    /// Reads the change that produced `version`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or if its response is unexpected.
    pub(crate) fn change(&self, version: Version) -> Result<Option<Change>, Error> {
        let operation = "read a change";
        let target = object_target(operation, CHANGES, &change_name(version))?;
        let object = self.get::<Object>(operation, &target)?;
        object
            .map(|object| self.spec(operation, object))
            .transpose()
    }

    /// Creates the object of a change.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives or its status is unexpected; the object may have been created
    /// nevertheless.
    pub(crate) fn create(&self, change: &Change) -> Result<Creation, Error> {
        let operation = "create a change";
        let object = object(change_name(change.version), String::new(), change)?;
        let target = kind_target(operation, CHANGES)?;
        let response = self.endpoint.call(Call {
            operation,
            method: Method::POST,
            target: &target,
            body: encode(&object)?,
        })?;
        match response.status {
            200 | 201 => Ok(Creation::Created),
            409 => Ok(Creation::Exists),
            _ => Err(self.endpoint.unexpected_status(operation, &response)),
        }
    }

    /// Writes the snapshot, unless the stored one is at the same or a later version.
    ///
    /// The status of the write is ignored: a conflict means that another writer came first.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or if the stored snapshot cannot be read.
    pub(crate) fn write_snapshot(&self, fleet: &Fleet) -> Result<(), Error> {
        let operation = "write the snapshot";
        let target = object_target(operation, SNAPSHOTS, SNAPSHOT)?;
        let stored = self.get::<Object>(operation, &target)?;
        let (method, target, resource_version) = match stored {
            None => {
                let collection = kind_target(operation, SNAPSHOTS)?;
                (Method::POST, collection, String::new())
            }
            Some(stored) => {
                let resource_version = stored.metadata.resource_version.clone();
                let current: Fleet = self.spec(operation, stored)?;
                if current.version >= fleet.version {
                    return Ok(());
                }
                (Method::PUT, target, resource_version)
            }
        };
        let object = object(SNAPSHOT.to_owned(), resource_version, fleet)?;
        let call = Call {
            operation,
            method,
            target: &target,
            body: encode(&object)?,
        };
        self.endpoint.call(call).map(drop)
    }

    /// Reads the list of hosts, which may be out of date.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond, or if its response is unexpected.
    pub(crate) fn hosts(&self) -> Result<Vec<Host>, Error> {
        let operation = "list the hosts";
        let target = kind_target(operation, HOSTS)?;
        let Some(list) = self.get::<List>(operation, &target)? else {
            return Ok(Vec::new());
        };
        let items = list.items.into_iter();
        items.map(|object| self.spec(operation, object)).collect()
    }

    /// Reads a document. Retries transient errors, because a read has no side effects.
    fn get<T>(&self, operation: &'static str, target: &Target) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let mut backoff = Backoff::new();
        for _ in 1..READ_ATTEMPTS {
            match self.endpoint.get(operation, target) {
                Err(error) if error.is_transient() => backoff.sleep(),
                result => return result,
            }
        }
        self.endpoint.get(operation, target)
    }

    fn snapshot(&self) -> Result<Option<Fleet>, Error> {
        let operation = "read the snapshot";
        let target = object_target(operation, SNAPSHOTS, SNAPSHOT)?;
        let object = self.get::<Object>(operation, &target)?;
        object
            .map(|object| self.spec(operation, object))
            .transpose()
    }

    fn spec<T>(&self, operation: &'static str, object: Object) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_value(object.spec)
            .map_err(|error| Error::Decode(operation, self.endpoint.address.to_string(), error))
    }
}

/// Returns the target of calls for all objects of `kind`.
fn kind_target(operation: &'static str, kind: &str) -> Result<Target, Error> {
    let target = Target::new(PREFIX).segment(kind);
    target.map_err(|cause| Error::Target(operation, cause))
}

/// Returns the target of calls for the object `name` of `kind`.
fn object_target(operation: &'static str, kind: &str, name: &str) -> Result<Target, Error> {
    let target = kind_target(operation, kind)?.segment(name);
    target.map_err(|cause| Error::Target(operation, cause))
}

fn object<T>(name: String, resource_version: String, spec: &T) -> Result<Object, Error>
where
    T: serde::Serialize,
{
    Ok(Object {
        metadata: Metadata {
            name,
            resource_version,
        },
        spec: serde_json::to_value(spec).map_err(Error::Encode)?,
    })
}
