//! The client for reads and conditional writes of objects.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::platform::{List, Metadata, Object, PREFIX};
use crate::state::name;
use crate::transport::platform::endpoint::{Endpoint, check_status};
use crate::transport::platform::{CALL_TIMEOUT, Call, Counts, Error, Target, Watch, target, watch};

const HEADER_CLIENT: &str = "x-client";
const HEADER_ZONE: &str = "x-client-zone";

/// A client of the platform. Clones share connections and counters.
#[derive(Debug, Clone)]
pub struct Client {
    endpoint: Endpoint,
    counts: Arc<Counts>,
}

impl Client {
    /// Creates a client that identifies itself by `host` and `zone`.
    pub fn new(address: &str, host: &name::Host, zone: &name::Zone) -> Self {
        let mut headers = HeaderMap::new();
        // Names contain only characters that are valid in a header value.
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

    /// Returns the call counters.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Reads the object `name` of `kind`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotFound`] if it does not exist, or another error if the call failed.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object, Error> {
        self.counts.add(Call::Get);
        let operation = format!("get {kind}/{name}");
        let target = object_target(&operation, kind, name)?;
        self.call(operation, Method::GET, &target, Bytes::new())
            .await
    }

    /// Reads all objects of `kind`.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn list(&self, kind: &str) -> Result<List, Error> {
        self.counts.add(Call::List);
        let operation = format!("list {kind}");
        let target = kind_target(&operation, kind)?;
        self.call(operation, Method::GET, &target, Bytes::new())
            .await
    }

    /// Reads a page of at most `limit` objects of `kind`. `position` is the continuation token of
    /// the previous page, or empty for the first page.
    ///
    /// # Errors
    ///
    /// Returns an error if the call failed.
    pub async fn list_page(&self, kind: &str, limit: u32, position: &str) -> Result<List, Error> {
        self.counts.add(Call::List);
        let operation = format!("list {kind}");
        let target = kind_target(&operation, kind)?
            .option("limit", limit)
            .option("continue", position);
        self.call(operation, Method::GET, &target, Bytes::new())
            .await
    }

    /// Deletes the object named in `metadata` if it is at the version in `metadata`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it is not, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may have been deleted.
    pub async fn delete(&self, kind: &str, metadata: &Metadata) -> Result<Object, Error> {
        self.counts.add(Call::Delete);
        let operation = format!("delete {kind}/{}", metadata.name);
        let target = object_target(&operation, kind, &metadata.name)?
            .option("resourceVersion", &metadata.resource_version);
        self.call(operation, Method::DELETE, &target, Bytes::new())
            .await
    }

    /// Creates the object `name` of `kind`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it already exists, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may have been created.
    pub async fn create<S>(&self, kind: &str, name: &str, spec: &S) -> Result<Object, Error>
    where
        S: Serialize,
    {
        self.counts.add(Call::Create);
        let operation = format!("create {kind}/{name}");
        let metadata = Metadata {
            name: name.to_owned(),
            resource_version: String::new(),
        };
        let body = encode(&operation, metadata, spec)?;
        let target = kind_target(&operation, kind)?;
        self.call(operation, Method::POST, &target, body).await
    }

    /// Replaces the object named in `metadata` if it is at the version in `metadata`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if it is not, or another error if the call failed. If
    /// [`Error::is_uncertain`], the object may have been replaced.
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
        let operation = format!("replace {kind}/{}", metadata.name);
        let target = object_target(&operation, kind, &metadata.name)?;
        let body = encode(&operation, metadata.clone(), spec)?;
        self.call(operation, Method::PUT, &target, body).await
    }

    /// Watches events of `kind` after `resource_version`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gone`] if the version is too old, or another error if the call failed.
    pub async fn watch(&self, kind: &str, resource_version: &str) -> Result<Watch, Error> {
        self.counts.add(Call::Watch);
        let operation = format!("watch {kind}");
        let target = kind_target(&operation, kind)?
            .option("watch", true)
            .option("resourceVersion", resource_version);
        let call = self
            .endpoint
            .send(&operation, Method::GET, &target, Bytes::new(), CALL_TIMEOUT);
        let (response, connection) = call.await?;
        let (head, body) = response.into_parts();
        check_status(&operation, &head)?;
        Ok(watch::Watch::new(operation, body, connection))
    }

    async fn call<M>(
        &self,
        operation: String,
        method: Method,
        target: &Target,
        body: Bytes,
    ) -> Result<M, Error>
    where
        M: DeserializeOwned,
    {
        let call = self
            .endpoint
            .call(&operation, method, target, body, CALL_TIMEOUT);
        let response = call.await?;
        serde_json::from_slice(&response).map_err(|cause| Error::Malformed {
            operation,
            cause: cause.to_string(),
        })
    }
}

/// Returns the target of calls for all objects of `kind`.
fn kind_target(operation: &str, kind: &str) -> Result<Target, Error> {
    let target = Target::new(PREFIX).segment(kind);
    target.map_err(|cause| invalid(operation, &cause))
}

/// Returns the target of calls for the object `name` of `kind`.
fn object_target(operation: &str, kind: &str, name: &str) -> Result<Target, Error> {
    let target = kind_target(operation, kind)?.segment(name);
    target.map_err(|cause| invalid(operation, &cause))
}

fn invalid(operation: &str, cause: &target::Error) -> Error {
    Error::Invalid {
        operation: operation.to_owned(),
        cause: cause.to_string(),
    }
}

fn encode<S>(operation: &str, metadata: Metadata, spec: &S) -> Result<Bytes, Error>
where
    S: Serialize,
{
    let encode_error = |cause: serde_json::Error| Error::Unreachable {
        operation: operation.to_owned(),
        cause: cause.to_string(),
    };
    let spec = serde_json::to_value(spec).map_err(encode_error)?;
    let body = serde_json::to_vec(&Object { metadata, spec }).map_err(encode_error)?;
    Ok(Bytes::from(body))
}
