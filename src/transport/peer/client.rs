//! The client of peer links: one connection per peer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use h2::client::SendRequest;
use rand::RngExt;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::protocol::{codec, wire};
use crate::state::map::Map;
use crate::state::name;
use crate::state::view::Member;
use crate::transport::peer::exchange::{Exchange, Upload};
use crate::transport::peer::partition::Partition;
use crate::transport::peer::socket::Socket;
use crate::transport::peer::{
    CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, Error, Identity, STREAM_WINDOW_BYTES, STREAMS_MAX,
    frames, handshake, keepalive,
};
use crate::transport::socket;

/// The upper bound of the random backoff after the first failure. Doubles with each failure.
const BACKOFF_BASE: Duration = Duration::from_millis(50);

/// The maximum backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// A client that opens exchanges with peers. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Client {
    identity: Identity,
    endpoints: Arc<ArcSwap<Map<String, Arc<Endpoint>>>>,
}

/// The connection to one address and the state of its backoff.
#[derive(Debug, Default)]
struct Endpoint {
    link: ArcSwapOption<Link>,
    backoff: Mutex<Backoff>,
}

/// The backoff after failed attempts to connect.
#[derive(Debug, Default)]
struct Backoff {
    /// Failures since the last success.
    failures: u32,
    retry_at: Option<Instant>,
}

/// An authenticated `h2` connection.
#[derive(Debug)]
struct Link {
    peer: name::Host,
    sender: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
}

impl Client {
    /// Creates a client that authenticates as `identity`.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            endpoints: Arc::default(),
        }
    }

    /// Returns the injected partition, shared with the identity of the client.
    pub fn partition(&self) -> &Partition {
        &self.identity.partition
    }

    /// Opens an exchange with `member`. The body, if any, is sent as the server reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was not sent. The server then has not received it.
    pub async fn open(
        &self,
        member: &Member,
        request: &wire::Request,
        body: Option<Upload>,
    ) -> Result<Exchange, Error> {
        let link = self.link(&member.address, Some(&member.host)).await?;
        open_exchange(&link, request, body).await
    }

    /// Opens an exchange with any daemon that listens on `address`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::open`].
    pub async fn open_address(
        &self,
        address: &str,
        request: &wire::Request,
    ) -> Result<Exchange, Error> {
        let link = self.link(address, None).await?;
        open_exchange(&link, request, None).await
    }

    /// Closes the connections to all addresses for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.endpoints.rcu(|endpoints| {
            let mut kept = Map::clone(endpoints);
            kept.retain(|address, _| keep(address));
            kept
        });
    }

    async fn link(&self, address: &str, host: Option<&name::Host>) -> Result<Arc<Link>, Error> {
        let endpoint = self.endpoint(address);
        if let Some(link) = endpoint.open_link(host) {
            return Ok(link);
        }
        let mut backoff = endpoint.backoff.lock().await;
        if let Some(link) = endpoint.open_link(host) {
            return Ok(link);
        }
        backoff.check(address)?;
        match connect(&self.identity, address, host).await {
            Ok(link) => {
                *backoff = Backoff::default();
                let link = Arc::new(link);
                endpoint.link.store(Some(Arc::clone(&link)));
                Ok(link)
            }
            Err(error) => {
                backoff.record_failure();
                Err(error)
            }
        }
    }

    fn endpoint(&self, address: &str) -> Arc<Endpoint> {
        if let Some(endpoint) = self.endpoints.load().get(address) {
            return Arc::clone(endpoint);
        }
        let new = Arc::new(Endpoint::default());
        self.endpoints.rcu(|endpoints| {
            let mut endpoints = Map::clone(endpoints);
            endpoints
                .entry(address.to_owned())
                .or_insert_with(|| Arc::clone(&new));
            endpoints
        });
        self.endpoints.load().get(address).cloned().unwrap_or(new)
    }
}

impl Endpoint {
    fn open_link(&self, host: Option<&name::Host>) -> Option<Arc<Link>> {
        let link = self.link.load_full()?;
        let closed = link.closed.load(Ordering::Acquire);
        let matches_host = host.is_none_or(|host| *host == link.peer);
        (!closed && matches_host).then_some(link)
    }
}

impl Backoff {
    fn check(&self, address: &str) -> Result<(), Error> {
        let retry_after = self
            .retry_at
            .map(|at| at.saturating_duration_since(Instant::now()));
        match retry_after {
            Some(retry_after) if !retry_after.is_zero() => Err(Error::Backoff {
                peer: address.to_owned(),
                retry_after,
            }),
            _ => Ok(()),
        }
    }

    fn record_failure(&mut self) {
        let limit = BACKOFF_BASE * 2_u32.saturating_pow(self.failures.min(10));
        let limit = limit.min(BACKOFF_MAX);
        self.failures += 1;
        self.retry_at = Some(Instant::now() + rand::rng().random_range(Duration::ZERO..=limit));
    }
}

async fn connect(
    identity: &Identity,
    address: &str,
    host: Option<&name::Host>,
) -> Result<Link, Error> {
    tokio::time::timeout(
        CONNECT_TIMEOUT,
        connect_without_timeout(identity, address, host),
    )
    .await
    .unwrap_or_else(|_elapsed| {
        Err(Error::Timeout {
            operation: "connecting",
            peer: address.to_owned(),
        })
    })
}

async fn connect_without_timeout(
    identity: &Identity,
    address: &str,
    host: Option<&name::Host>,
) -> Result<Link, Error> {
    if host.is_some_and(|host| identity.partition.blocks_connection(host)) {
        return std::future::pending().await;
    }
    let handshake_error = |cause| Error::Refused {
        peer: address.to_owned(),
        cause,
    };
    let connect_error = |cause| Error::Connect {
        peer: address.to_owned(),
        cause,
    };
    let mut stream = socket::connect_to(address, None)
        .await
        .map_err(connect_error)?;
    stream.set_nodelay(true).map_err(connect_error)?;
    let peer = handshake::connect(&mut stream, &identity.host, &identity.secret)
        .await
        .map_err(handshake_error)?;
    if identity.partition.blocks_connection(&peer) {
        return std::future::pending().await;
    }
    if host.is_some_and(|host| *host != peer) {
        return Err(handshake_error(handshake::Error::Host(peer)));
    }
    let socket = Socket::new(stream, peer.clone(), identity.partition.clone());
    start_link(socket, peer).await
}

async fn start_link(socket: Socket, peer: name::Host) -> Result<Link, Error> {
    let closed = socket.closed();
    let (sender, mut connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .initial_max_send_streams(STREAMS_MAX as usize)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .enable_push(false)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(|cause| Error::Lost {
            operation: "starting the link",
            peer: peer.to_string(),
            cause: cause.to_string(),
        })?;
    let pings = connection.ping_pong().expect("`ping_pong` is called once");
    let is_closed = Arc::clone(&closed);
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = keepalive::watch(pings) => {}
        }
        is_closed.store(true, Ordering::Release);
    });
    Ok(Link {
        peer,
        sender,
        closed,
    })
}

async fn open_exchange(
    link: &Link,
    request: &wire::Request,
    body: Option<Upload>,
) -> Result<Exchange, Error> {
    let frame = codec::encode(request).map_err(|cause| Error::Frame {
        peer: link.peer.to_string(),
        cause,
    })?;
    let lost = |cause: h2::Error| Error::Lost {
        operation: "sending a request",
        peer: link.peer.to_string(),
        cause: cause.to_string(),
    };
    let mut sender = link.sender.clone().ready().await.map_err(lost)?;
    let head = http::Request::post("http://peer/")
        .body(())
        .expect("the request head is constant and valid");
    let (response, mut stream) = sender.send_request(head, false).map_err(lost)?;
    let mut exchange = Exchange::new(link.peer.clone(), response);
    frames::send(&mut stream, frame, body.is_none())
        .await
        .map_err(lost)?;
    if let Some(body) = body {
        exchange.upload(stream, body);
    }
    Ok(exchange)
}
