//! Reads and conditional writes of objects.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::protocol::platform::{List, Metadata, Object, PREFIX};
use crate::state::name;
use crate::transport::platform::connection::{Connection, Failure, Pool};
use crate::transport::platform::{
    ANSWER_BYTES_MAX, CALL_TIMEOUT, Call, Counts, Error, Watch, watch,
};

const HEADER_CLIENT: &str = "x-client";
const HEADER_ZONE: &str = "x-client-zone";

/// The pause that is asked for when the platform names none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Calls the platform. Clones share connections and counts.
#[derive(Debug, Clone)]
pub struct Client {
    address: Arc<str>,
    host: name::Host,
    zone: name::Zone,
    pool: Pool,
    counts: Arc<Counts>,
}

impl Client {
    /// Creates a client that names itself by `host` and `zone`.
    pub fn new(address: &str, host: name::Host, zone: name::Zone) -> Self {
        Self {
            address: Arc::from(address),
            host,
            zone,
            pool: Pool::new(address),
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
        let (response, connection) = self.send(&step, Method::GET, &path, Bytes::new()).await?;
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
        let answered = async {
            let (response, connection) = self.send(&step, method, path, body).await?;
            let (head, body) = response.into_parts();
            let answer = read(&step, body).await?;
            self.pool.put_idle(connection);
            check(&step, &head)?;
            serde_json::from_slice(&answer).map_err(|cause| Error::Malformed {
                step: step.clone(),
                cause: cause.to_string(),
            })
        };
        tokio::time::timeout(CALL_TIMEOUT, answered)
            .await
            .unwrap_or_else(|elapsed| {
                Err(Error::Lost {
                    step: step.clone(),
                    cause: elapsed.to_string(),
                })
            })
    }

    async fn send(
        &self,
        step: &str,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(Response<Incoming>, Connection), Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.as_ref())
            .header(header::CONTENT_TYPE, "application/json")
            .header(HEADER_CLIENT, self.host.as_str())
            .header(HEADER_ZONE, self.zone.as_str())
            .body(Full::new(body))
            .map_err(|cause| Error::Unreachable {
                step: step.to_owned(),
                cause: cause.to_string(),
            })?;
        let sent = tokio::time::timeout(CALL_TIMEOUT, self.pool.send(request)).await;
        let step = step.to_owned();
        match sent {
            Ok(Ok(answered)) => Ok(answered),
            Ok(Err(Failure::Unsent(cause))) => Err(Error::Unreachable { step, cause }),
            Ok(Err(Failure::Sent(cause))) => Err(Error::Lost { step, cause }),
            Err(elapsed) => Err(Error::Lost {
                step,
                cause: elapsed.to_string(),
            }),
        }
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

fn check(step: &str, head: &Parts) -> Result<(), Error> {
    let step = step.to_owned();
    match head.status {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict { step }),
        StatusCode::NOT_FOUND => Err(Error::NotFound { step }),
        StatusCode::GONE => Err(Error::Gone { step }),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::RateLimited {
            step,
            retry_after: retry_after(head),
        }),
        status => Err(Error::Status {
            step,
            status: status.as_u16(),
        }),
    }
}

fn retry_after(head: &Parts) -> Duration {
    let value = head.headers.get(header::RETRY_AFTER);
    let seconds = value.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(RETRY_AFTER, Duration::from_secs)
}

async fn read(step: &str, body: Incoming) -> Result<Bytes, Error> {
    let body = Limited::new(body, ANSWER_BYTES_MAX);
    let whole = body.collect().await.map_err(|cause| Error::Lost {
        step: step.to_owned(),
        cause: cause.to_string(),
    })?;
    Ok(whole.to_bytes())
}
