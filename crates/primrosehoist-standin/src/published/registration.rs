//! The entry of a runner in the object store.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use primrosehoist::transport::platform::Target;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time;

use crate::caller::connection::{Exchange, Payload};
use crate::published::deployment;
use crate::reply;

/// The path of the entries.
const PATH: &str = "/primrosehoist/objects/servers";

/// The number of attempts to remove the entry, one per heartbeat interval.
const REMOVAL_ATTEMPTS: u32 = 5;

/// What a runner says of itself in the store.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    /// The address of the store.
    pub(crate) store: SocketAddr,
    /// The id of the runner.
    pub(crate) id: String,
    /// The address of the runner.
    pub(crate) address: SocketAddr,
    /// Its service.
    pub(crate) service: String,
    /// Its availability zone.
    pub(crate) zone: String,
    /// The number of requests that it serves at once.
    pub(crate) slots: usize,
    /// The value of an unknown field, as JSON text.
    pub(crate) field: Option<String>,
    /// The interval between two writes.
    pub(crate) heartbeat: Duration,
    /// The time for which it serves after the store has accepted that it leaves.
    pub(crate) drain: Duration,
}

impl Entry {
    /// Writes the entry periodically until `leaving` is notified, then announces that the runner
    /// leaves, waits and removes the entry.
    pub(crate) async fn maintain(&self, leaving: &Notify) {
        let born = reply::unix_ms();
        let mut sequence = 0;
        let mut next = |state: &str| {
            sequence += 1;
            json!({"Service": self.service, "Address": self.address.to_string(), "Zone": self.zone,
                   "Version": "v1", "Slots": self.slots, "State": state, "ColdLeftMs": 0,
                   "Sequence": sequence, "born": born})
        };
        loop {
            self.write(&next("ready")).await;
            if time::timeout(self.heartbeat, leaving.notified())
                .await
                .is_ok()
            {
                break;
            }
        }
        while !self.write(&next("draining")).await {
            time::sleep(self.heartbeat).await;
        }
        time::sleep(self.drain).await;
        let Some(target) = self.target() else { return };
        for _ in 0..REMOVAL_ATTEMPTS {
            if let Some(StatusCode::OK | StatusCode::NOT_FOUND) =
                self.call(Method::DELETE, &target, "").await
            {
                break;
            }
            time::sleep(self.heartbeat).await;
        }
    }

    /// Replaces or creates the entry; returns whether the store accepted it.
    async fn write(&self, spec: &Value) -> bool {
        let object = deployment::object(&self.id, spec, self.field.as_deref());
        let Some(target) = self.target() else {
            return false;
        };
        let status = match self.call(Method::PUT, &target, &object).await {
            Some(StatusCode::NOT_FOUND) => {
                let target = Target::new(PATH);
                self.call(Method::POST, &target, &object).await
            }
            status => status,
        };
        status == Some(StatusCode::OK)
    }

    /// Returns the target of calls for the entry.
    fn target(&self) -> Option<Target> {
        let target = Target::new(PATH).segment(&self.id);
        target.inspect_err(|error| log::error!("{error}")).ok()
    }

    /// Returns the status of a call, or `None` if there is no response.
    async fn call(&self, method: Method, target: &Target, object: &str) -> Option<StatusCode> {
        let called = time::timeout(self.heartbeat, self.exchange(&method, target, object)).await;
        match called.unwrap_or_else(|elapsed| Err(io::Error::other(elapsed))) {
            Ok(status) => Some(status),
            Err(error) => {
                log::warn!("{method} {target}: {error}");
                None
            }
        }
    }

    async fn exchange(
        &self,
        method: &Method,
        target: &Target,
        object: &str,
    ) -> io::Result<StatusCode> {
        let body: Payload = Full::from(object.to_owned()).boxed_unsync();
        let request = Request::builder()
            .method(method)
            .uri(target.as_str())
            .header(http::header::HOST, self.store.to_string())
            .body(body)
            .map_err(io::Error::other)?;
        let exchange = Exchange::start(self.store, request).await?;
        Ok(exchange.response.status())
    }
}
