//! Opens exchanges with peers over one connection each.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use h2::client::SendRequest;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::protocol::{codec, wire};
use crate::state::map::Map;
use crate::state::name;
use crate::state::view::Member;
use crate::transport::peer::exchange::{Exchange, Upload};
use crate::transport::peer::gate::Gate;
use crate::transport::peer::partition::Partition;
use crate::transport::peer::{
    CONNECT_TIMEOUT, CONNECTION_WINDOW_BYTES, Error, Identity, STREAM_WINDOW_BYTES, STREAMS_MAX,
    frames, handshake, keepalive,
};

const BACKOFF_FIRST: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Opens exchanges with peers. Clones share the connections.
#[derive(Debug, Clone)]
pub struct Client {
    identity: Identity,
    slots: Arc<ArcSwap<Map<String, Arc<Slot>>>>,
}

/// The connection to one address.
#[derive(Debug, Default)]
struct Slot {
    link: ArcSwapOption<Link>,
    attempts: Mutex<Attempts>,
}

/// Failed attempts to connect since the last success.
#[derive(Debug, Default)]
struct Attempts {
    failed: u32,
    next_at: Option<Instant>,
}

/// An authenticated connection.
#[derive(Debug)]
struct Link {
    peer: name::Host,
    requests: SendRequest<Bytes>,
    closed: Arc<AtomicBool>,
}

impl Client {
    /// Creates a client that is `identity` to its peers.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            slots: Arc::default(),
        }
    }

    /// Returns the peers that the client is cut off from, shared with its identity.
    pub fn partition(&self) -> &Partition {
        &self.identity.partition
    }

    /// Opens an exchange with `member`; a body follows the request frame as the callee reads it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request was not handed over. The callee then has not seen it.
    pub async fn open(
        &self,
        member: &Member,
        request: &wire::Request,
        body: Option<Upload>,
    ) -> Result<Exchange, Error> {
        let link = self.link(&member.address, Some(&member.host)).await?;
        start(&link, request, body).await
    }

    /// Opens an exchange with whichever daemon listens on `address`.
    ///
    /// # Errors
    ///
    /// As [`Client::open`].
    pub async fn open_address(
        &self,
        address: &str,
        request: &wire::Request,
    ) -> Result<Exchange, Error> {
        let link = self.link(address, None).await?;
        start(&link, request, None).await
    }

    /// Closes the connections to all addresses but those that `keep` returns true for.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.slots.rcu(|slots| {
            let mut kept = Map::clone(slots);
            kept.retain(|address, _| keep(address));
            kept
        });
    }

    async fn link(&self, address: &str, host: Option<&name::Host>) -> Result<Arc<Link>, Error> {
        let slot = self.slot(address);
        if let Some(link) = slot.open_link(host) {
            return Ok(link);
        }
        let mut attempts = slot.attempts.lock().await;
        if let Some(link) = slot.open_link(host) {
            return Ok(link);
        }
        attempts.check(address)?;
        match connect(&self.identity, address, host).await {
            Ok(link) => {
                *attempts = Attempts::default();
                let link = Arc::new(link);
                slot.link.store(Some(Arc::clone(&link)));
                Ok(link)
            }
            Err(error) => {
                attempts.record_failure();
                Err(error)
            }
        }
    }

    fn slot(&self, address: &str) -> Arc<Slot> {
        if let Some(slot) = self.slots.load().get(address) {
            return Arc::clone(slot);
        }
        let new = Arc::new(Slot::default());
        self.slots.rcu(|slots| {
            let mut slots = Map::clone(slots);
            slots
                .entry(address.to_owned())
                .or_insert_with(|| Arc::clone(&new));
            slots
        });
        self.slots.load().get(address).cloned().unwrap_or(new)
    }
}

impl Slot {
    fn open_link(&self, host: Option<&name::Host>) -> Option<Arc<Link>> {
        let link = self.link.load_full()?;
        let closed = link.closed.load(Ordering::Acquire);
        let expected = host.is_none_or(|host| *host == link.peer);
        (!closed && expected).then_some(link)
    }
}

impl Attempts {
    fn check(&self, address: &str) -> Result<(), Error> {
        let retry_after = self
            .next_at
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
        let limit = BACKOFF_FIRST * 2_u32.saturating_pow(self.failed.min(10));
        let limit = limit.min(BACKOFF_MAX);
        self.failed += 1;
        self.next_at = Some(Instant::now() + rand::rng().random_range(Duration::ZERO..=limit));
    }
}

async fn connect(
    identity: &Identity,
    address: &str,
    host: Option<&name::Host>,
) -> Result<Link, Error> {
    tokio::time::timeout(CONNECT_TIMEOUT, connect_untimed(identity, address, host))
        .await
        .unwrap_or_else(|_elapsed| {
            Err(Error::Timeout {
                step: "connecting",
                peer: address.to_owned(),
            })
        })
}

async fn connect_untimed(
    identity: &Identity,
    address: &str,
    host: Option<&name::Host>,
) -> Result<Link, Error> {
    if host.is_some_and(|host| identity.partition.blocks_connection(host)) {
        return std::future::pending().await;
    }
    let refused = |cause| Error::Refused {
        peer: address.to_owned(),
        cause,
    };
    let unconnected = |cause| Error::Connect {
        peer: address.to_owned(),
        cause,
    };
    let mut stream = TcpStream::connect(address).await.map_err(unconnected)?;
    stream.set_nodelay(true).map_err(unconnected)?;
    let peer = handshake::connect(&mut stream, &identity.host, &identity.secret)
        .await
        .map_err(refused)?;
    if identity.partition.blocks_connection(&peer) {
        return std::future::pending().await;
    }
    if host.is_some_and(|host| *host != peer) {
        return Err(refused(handshake::Error::Host(peer)));
    }
    let gate = Gate::new(stream, peer.clone(), identity.partition.clone());
    start_link(gate, peer).await
}

async fn start_link(gate: Gate, peer: name::Host) -> Result<Link, Error> {
    let closed = gate.closed();
    let (requests, mut connection) = h2::client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .initial_max_send_streams(STREAMS_MAX as usize)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .enable_push(false)
        .handshake::<_, Bytes>(gate)
        .await
        .map_err(|cause| Error::Lost {
            step: "starting the link",
            peer: peer.to_string(),
            cause: cause.to_string(),
        })?;
    let pings = connection.ping_pong().expect("pings are taken once");
    let ended = Arc::clone(&closed);
    tokio::spawn(async move {
        tokio::select! {
            _ = connection => {}
            () = keepalive::watch(pings) => {}
        }
        ended.store(true, Ordering::Release);
    });
    Ok(Link {
        peer,
        requests,
        closed,
    })
}

async fn start(
    link: &Link,
    request: &wire::Request,
    body: Option<Upload>,
) -> Result<Exchange, Error> {
    let frame = codec::encode(request).map_err(|cause| Error::Frame {
        peer: link.peer.to_string(),
        cause,
    })?;
    let lost = |cause: h2::Error| Error::Lost {
        step: "sending a request",
        peer: link.peer.to_string(),
        cause: cause.to_string(),
    };
    let mut requests = link.requests.clone().ready().await.map_err(lost)?;
    let head = http::Request::post("http://peer/")
        .body(())
        .expect("the head of a request is constant");
    let (response, mut stream) = requests.send_request(head, false).map_err(lost)?;
    let mut exchange = Exchange::new(link.peer.clone(), response);
    frames::send(&mut stream, frame, body.is_none())
        .await
        .map_err(lost)?;
    if let Some(body) = body {
        exchange.upload(stream, body);
    }
    Ok(exchange)
}
