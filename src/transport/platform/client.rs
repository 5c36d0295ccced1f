//! Reads and conditional writes of objects.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::platform::{List, Metadata, Object, PREFIX};
use crate::state::name;
use crate::transport::platform::endpoint::{Endpoint, check};
use crate::transport::platform::{CALL_TIMEOUT, Call, Counts, Error, Watch, watch};

const HEADER_CLIENT: &str = "x-client";
const HEADER_ZONE: &str = "x-client-zone";

/// Calls the platform. Clones share connections and counts.
#[derive(Debug, Clone)]
pub struct Client {
    endpoint: Endpoint,
    counts: Arc<Counts>,
}

impl Client {
    /// Creates a client that names itself by `host` and `zone`.
    pub fn new(address: &str, host: &name::Host, zone: &name::Zone) -> Self {
        let mut headers = HeaderMap::new();
        // Names hold only characters that a header may hold.
        for (name, value) in [(HEADER_CLIENT, host.as_str()), (HEADER_ZONE, zone.as_str())] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
        Self {
            endpoint: Endpoint::new(address, headers),
            counts: Arc::default(),
        }
    }

    /// Returns the calls made so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Reads the object `name` of `kind`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if there is none, or another error if the call failed.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object, Error> {
        self.counts.add(Call::Get);
        let step = format!("get {kind}/{name}");
        let path = format!("{PREFIX}/{kind}/{name}");
        self.call(step, Method::GET, &path, Bytes::new()).await
    }

    /// Reads all objects of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn list(&self, kind: &str) -> Result<List, Error> {
        self.counts.add(Call::List);
        let step = format!("list {kind}");
        let path = format!("{PREFIX}/{kind}");
        self.call(step, Method::GET, &path, Bytes::new()).await
    }

    /// Reads at most `limit` objects of `kind`, from where the page that named `position` ended;
    /// an empty position is the start.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn list_page(&self, kind: &str, limit: u32, position: &str) -> Result<List, Error> {
        self.counts.add(Call::List);
        let step = format!("list {kind}");
        let path = format!("{PREFIX}/{kind}?limit={limit}&continue={position}");
        self.call(step, Method::GET, &path, Bytes::new()).await
    }

    /// Removes the object that `metadata` names if it is still at that version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it is not, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may be gone now.
    pub async fn delete(&self, kind: &str, metadata: &Metadata) -> Result<Object, Error> {
        self.counts.add(Call::Delete);
        let step = format!("delete {kind}/{}", metadata.name);
        let version = &metadata.resource_version;
        let path = format!(
            "{PREFIX}/{kind}/{}?resourceVersion={version}",
            metadata.name
        );
        self.call(step, Method::DELETE, &path, Bytes::new()).await
    }

    /// Creates the object `name` of `kind`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it exists, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may exist now.
    pub async fn create<S>(&self, kind: &str, name: &str, spec: &S) -> Result<Object, Error>
    where
        S: Serialize,
    {
        self.counts.add(Call::Create);
        let step = format!("create {kind}/{name}");
        let metadata = Metadata {
            name: name.to_owned(),
            resource_version: String::new(),
        };
        let body = encode(&step, metadata, spec)?;
        let path = format!("{PREFIX}/{kind}");
        self.call(step, Method::POST, &path, body).await
    }

    /// Replaces the object that `metadata` names if it is still at that version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it is not, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may be replaced now.
    pub async fn replace<S>(
        &self,
        kind: &str,
        metadata: &Metadata,
        spec: &S,
    ) -> Result<Object, Error>
    where
        S: Serialize,
    {
        self.counts.add(Call::Replace);
        let step = format!("replace {kind}/{}", metadata.name);
        let path = format!("{PREFIX}/{kind}/{}", metadata.name);
        let body = encode(&step, metadata.clone(), spec)?;
        self.call(step, Method::PUT, &path, body).await
    }

    /// Waits for events of `kind` after `resource_version`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if the version is too old, or another error if the call failed.
    pub async fn watch(&self, kind: &str, resource_version: &str) -> Result<Watch, Error> {
        self.counts.add(Call::Watch);
        let step = format!("watch {kind}");
        let path = format!("{PREFIX}/{kind}?watch=true&resourceVersion={resource_version}");
        let sent = self
            .endpoint
            .send(&step, Method::GET, &path, Bytes::new(), CALL_TIMEOUT);
        let (response, connection) = sent.await?;
        let (head, body) = response.into_parts();
        check(&step, &head)?;
        Ok(watch::Watch::new(step, body, connection))
    }

    async fn call<M>(
        &self,
        step: String,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<M, Error>
    where
        M: DeserializeOwned,
    {
        let called = self.endpoint.call(&step, method, path, body, CALL_TIMEOUT);
        let answer = called.await?;
        serde_json::from_slice(&answer).map_err(|cause| Error::Malformed {
            step,
            cause: cause.to_string(),
        })
    }
}

fn encode<S>(step: &str, metadata: Metadata, spec: &S) -> Result<Bytes, Error>
where
    S: Serialize,
{
    let unsent = |cause: serde_json::Error| Error::Unreachable {
        step: step.to_owned(),
        cause: cause.to_string(),
    };
    let spec = serde_json::to_value(spec).map_err(unsent)?;
    let body = serde_json::to_vec(&Object { metadata, spec }).map_err(unsent)?;
    Ok(Bytes::from(body))
}
