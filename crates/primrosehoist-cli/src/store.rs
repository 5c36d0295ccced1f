//! The configuration in the platform: changes and the snapshot.

use std::net::SocketAddr;

use oxhttp::model::Method;
use primrosehoist::protocol::platform::{
    CHANGES, HOSTS, Host, List, Metadata, Object, PREFIX, SNAPSHOT, SNAPSHOTS, change_name,
};
use primrosehoist::state::change::Change;
use primrosehoist::state::fleet::{Fleet, Version};
use serde::de::DeserializeOwned;

use crate::backoff::Backoff;
use crate::error::Error;
use crate::http::{Call, Peer, encode};

/// How often a read is tried.
const READ_TRIES: usize = 5;

/// The configuration as the platform keeps it.
#[derive(Debug)]
pub(crate) struct Store {
    peer: Peer,
}

/// What became of one try to create an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Created {
    /// The object was created.
    Yes,
    /// An object of the name exists already.
    Exists,
}

impl Store {
    /// Creates a store at the address of the platform.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let peer = Peer {
            address,
            token: None,
        };
        Self { peer }
    }

    /// Reads the newest configuration: the snapshot and the changes after it.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or answers anything unexpected.
    pub(crate) fn fleet(&self) -> Result<Fleet, Error> {
        let mut fleet = self.snapshot()?.unwrap_or_default();
        while let Some(change) = self.change(fleet.version + 1)? {
            if !fleet.apply(&change) {
                let cause = format!("the change to {} names another version", fleet.version + 1);
                return Err(Error::Missing(cause));
            }
        }
        Ok(fleet)
    }

    /// Reads the change that leads to `version`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or answers anything unexpected.
    pub(crate) fn change(&self, version: Version) -> Result<Option<Change>, Error> {
        let path = format!("{PREFIX}/{CHANGES}/{}", change_name(version));
        let object = self.get::<Object>("read a change", &path)?;
        object
            .map(|object| self.spec("read a change", object))
            .transpose()
    }

    /// Creates the object of a change.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives or for an unexpected status; the object may exist then.
    pub(crate) fn create(&self, change: &Change) -> Result<Created, Error> {
        let step = "create a change";
        let object = object(change_name(change.version), String::new(), change)?;
        let path = format!("{PREFIX}/{CHANGES}");
        let answer = self.peer.call(Call {
            step,
            method: Method::POST,
            path: &path,
            body: encode(&object)?,
        })?;
        match answer.status {
            200 | 201 => Ok(Created::Yes),
            409 => Ok(Created::Exists),
            _ => Err(self.peer.unexpected(step, &answer)),
        }
    }

    /// Writes the snapshot, unless one as new is there. A lost race is no failure.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub(crate) fn write_snapshot(&self, fleet: &Fleet) -> Result<(), Error> {
        let step = "write the snapshot";
        let collection = format!("{PREFIX}/{SNAPSHOTS}");
        let path = format!("{collection}/{SNAPSHOT}");
        let known = self.get::<Object>(step, &path)?;
        let (method, path, resource_version) = match known {
            None => (Method::POST, collection, String::new()),
            Some(known) => {
                let resource_version = known.metadata.resource_version.clone();
                let newest: Fleet = self.spec(step, known)?;
                if newest.version >= fleet.version {
                    return Ok(());
                }
                (Method::PUT, path, resource_version)
            }
        };
        let object = object(SNAPSHOT.to_owned(), resource_version, fleet)?;
        let call = Call {
            step,
            method,
            path: &path,
            body: encode(&object)?,
        };
        self.peer.call(call).map(drop)
    }

    /// Reads the list of hosts. It lags.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer, or answers anything unexpected.
    pub(crate) fn hosts(&self) -> Result<Vec<Host>, Error> {
        let step = "list the hosts";
        let path = format!("{PREFIX}/{HOSTS}");
        let Some(list) = self.get::<List>(step, &path)? else {
            return Ok(Vec::new());
        };
        let items = list.items.into_iter();
        items.map(|object| self.spec(step, object)).collect()
    }

    /// Reads a document; tries again when no answer arrives, as a read changes nothing.
    fn get<T>(&self, step: &'static str, path: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let mut backoff = Backoff::new();
        for _ in 1..READ_TRIES {
            match self.peer.get(step, path) {
                Err(error) if error.is_transient() => backoff.sleep(),
                result => return result,
            }
        }
        self.peer.get(step, path)
    }

    fn snapshot(&self) -> Result<Option<Fleet>, Error> {
        let step = "read the snapshot";
        let path = format!("{PREFIX}/{SNAPSHOTS}/{SNAPSHOT}");
        let object = self.get::<Object>(step, &path)?;
        object.map(|object| self.spec(step, object)).transpose()
    }

    fn spec<T>(&self, step: &'static str, object: Object) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_value(object.spec)
            .map_err(|error| Error::Decode(step, self.peer.address.to_string(), error))
    }
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
