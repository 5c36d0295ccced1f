//! Counts the requests that earlier holders left running at an engine.
//!
//! A newly held engine gets no work before the first count, and then leaves room for as many
//! requests as are counted, until the last of them has ended. An engine that does not list what it
//! runs, and a plain service, are taken to run nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use primrosehoist::coordination::lease::{Lease, REMAINS_UNKNOWN};
use primrosehoist::state::fleet::Kind;
use primrosehoist::state::name;
use quick_error::quick_error;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::cluster::{Cluster, lock};
use crate::node::Leases;

/// The pause between two counts.
const INTERVAL: Duration = Duration::from_millis(500);

/// The time that one count may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The longest accepted list, in bytes.
const LIST_BYTES_MAX: usize = 4 << 20;

quick_error! {
    /// Says why an engine's requests were not counted.
    #[derive(Debug)]
    enum Error {
        Connect(source: std::io::Error) { from() display("connect: {}", source) }
        Exchange(source: hyper::Error) { from() display("exchange: {}", source) }
        Request(source: http::Error) { from() display("request: {}", source) }
        List(cause: String) { display("list: {}", cause) }
        Timeout { display("timed out") }
    }
}

#[derive(Debug, Deserialize)]
struct Running {
    streams: Vec<Stream>,
}

#[derive(Debug, Deserialize)]
struct Stream {
    epoch: u64,
}

impl Cluster {
    /// Starts to count for those of `leases` that are new.
    pub(super) fn count_remains(&self, leases: &Leases) {
        let mut counted = lock(&self.counted);
        for (upstream, lease) in leases {
            let known = counted.get(upstream);
            if !known.is_some_and(|known| Arc::ptr_eq(known, lease)) {
                self.start_count(upstream, lease);
            }
        }
        counted.clone_from(leases);
    }

    fn start_count(&self, upstream: &name::Upstream, lease: &Arc<Lease>) {
        let fleet = self.node.fleet.load();
        let Some(known) = fleet.upstreams.get(upstream) else {
            return;
        };
        let service = fleet.services.get(&known.service);
        if service.is_none_or(|service| service.kind == Kind::Plain) {
            return;
        }
        lease.set_remains(REMAINS_UNKNOWN);
        tokio::spawn(follow(known.address, Arc::clone(lease)));
    }
}

/// Counts until nothing is left, or the lease has been given up.
async fn follow(address: SocketAddr, lease: Arc<Lease>) {
    while !lease.is_released() {
        let counted = tokio::time::timeout(TIMEOUT, count(address, lease.epoch())).await;
        match counted.unwrap_or(Err(Error::Timeout)) {
            Ok(0) => {
                lease.set_remains(0);
                return;
            }
            Ok(requests) => lease.set_remains(requests),
            Err(error) => log::debug!("requests running at {address}: {error}"),
        }
        tokio::time::sleep_until(Instant::now() + INTERVAL).await;
    }
}

/// Returns how many requests of earlier epochs the engine runs.
async fn count(address: SocketAddr, epoch: u64) -> Result<u32, Error> {
    let stream = TcpStream::connect(address).await?;
    let (mut requests, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let serving = tokio::spawn(connection);
    let request = Request::get("/admin/running")
        .header("host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = requests.send_request(request).await?;
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    let body = Limited::new(response.into_body(), LIST_BYTES_MAX);
    let list = body
        .collect()
        .await
        .map_err(|cause| Error::List(cause.to_string()))?;
    serving.abort();
    let running: Running =
        serde_json::from_slice(&list.to_bytes()).map_err(|cause| Error::List(cause.to_string()))?;
    let earlier = running.streams.iter().filter(|stream| stream.epoch < epoch);
    Ok(earlier.count() as u32)
}
