//! Accepts connections of peers and hands their exchanges to a handler.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::protocol::{codec, wire};
use crate::state::name;
use crate::transport::peer::frames::{self, Reader};
use crate::transport::peer::gate::Gate;
use crate::transport::peer::{
    CONNECTION_WINDOW_BYTES, Error, Identity, STREAM_WINDOW_BYTES, STREAMS_MAX, handshake,
    keepalive,
};

/// Connections that may be unauthenticated at once.
const HANDSHAKES_MAX: usize = 128;

/// The time that a peer has for its proof, and for the first frame of an exchange.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause after the listener failed to accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens for peers. Dropping it closes the listener; open connections go on.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and runs `handler` for each exchange of an authenticated peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the address cannot be listened on.
    pub async fn bind<F, R>(address: &str, identity: Identity, handler: F) -> Result<Self, Error>
    where
        F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let unbound = |cause| Error::Connect {
            peer: address.to_owned(),
            cause,
        };
        let listener = TcpListener::bind(address).await.map_err(unbound)?;
        let address = listener.local_addr().map_err(unbound)?;
        let accepting = tokio::spawn(accept(listener, identity, Arc::new(handler)));
        Ok(Self { address, accepting })
    }

    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// The raw body that follows a request frame.
#[derive(Debug)]
pub struct Body {
    reader: Reader,
}

impl Body {
    /// Returns the next bytes, or `None` at the end. The sender's window opens as they are taken.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller reset the exchange or the link broke.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        self.reader.chunk().await
    }
}

/// Answers an exchange. Dropping it before the last reply resets the stream.
#[derive(Debug)]
pub struct Responder {
    stream: SendStream<Bytes>,
    peer: name::Host,
}

impl Responder {
    /// Returns the authenticated host that opened the exchange.
    pub fn peer(&self) -> &name::Host {
        &self.peer
    }

    /// Sends a reply, waiting until the caller's window has room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller reset the exchange or the link broke.
    pub async fn send(&mut self, reply: &wire::Reply) -> Result<(), Error> {
        let frame = codec::encode(reply).map_err(|cause| Error::Frame {
            peer: self.peer.to_string(),
            cause,
        })?;
        frames::send(&mut self.stream, frame, reply.is_last())
            .await
            .map_err(|cause| Error::Lost {
                step: "replying",
                peer: self.peer.to_string(),
                cause: cause.to_string(),
            })
    }

    /// Returns when the caller has reset the exchange or the link broke; tells whether it was
    /// reset.
    pub async fn closed(&mut self) -> bool {
        poll_fn(|cx| self.stream.poll_reset(cx)).await.is_ok()
    }
}

async fn accept<F, R>(listener: TcpListener, identity: Identity, handler: Arc<F>)
where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    loop {
        let permit = Arc::clone(&handshakes).acquire_owned().await;
        let Ok((stream, remote)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let identity = identity.clone();
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let link = authenticate(stream, remote, &identity).await;
            drop(permit);
            match link {
                Ok((gate, peer)) => serve(gate, peer, handler).await,
                Err(error) => log::warn!("refused a peer: {error}"),
            }
        });
    }
}

async fn authenticate(
    mut stream: TcpStream,
    remote: SocketAddr,
    identity: &Identity,
) -> Result<(Gate, name::Host), Error> {
    let proof = handshake::accept(&mut stream, &identity.host, &identity.secret);
    let peer = tokio::time::timeout(FIRST_FRAME_TIMEOUT, proof)
        .await
        .map_err(|_elapsed| Error::Timeout {
            step: "authenticating",
            peer: remote.to_string(),
        })?
        .map_err(|cause| Error::Refused {
            peer: remote.to_string(),
            cause,
        })?;
    stream.set_nodelay(true).map_err(|cause| Error::Connect {
        peer: remote.to_string(),
        cause,
    })?;
    let gate = Gate::new(stream, peer.clone(), identity.partition.clone());
    Ok((gate, peer))
}

async fn serve<F, R>(gate: Gate, peer: name::Host, handler: Arc<F>)
where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .handshake::<_, Bytes>(gate);
    let Ok(Ok(mut connection)) = tokio::time::timeout(FIRST_FRAME_TIMEOUT, handshake).await else {
        return;
    };
    let pings = connection.ping_pong().expect("pings are taken once");
    let exchanges = async {
        while let Some(Ok((request, response))) = connection.accept().await {
            let handler = Arc::clone(&handler);
            let peer = peer.clone();
            tokio::spawn(exchange(request.into_body(), response, peer, handler));
        }
    };
    tokio::select! {
        () = exchanges => {}
        () = keepalive::watch(pings) => log::warn!("peer {peer} no longer answers"),
    }
}

async fn exchange<F, R>(
    stream: RecvStream,
    mut response: SendResponse<Bytes>,
    peer: name::Host,
    handler: Arc<F>,
) where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let mut reader = Reader::new(stream, peer.to_string());
    let first = tokio::time::timeout(FIRST_FRAME_TIMEOUT, reader.frame()).await;
    let request = match first {
        Ok(Ok(Some(request))) => request,
        Ok(Err(error)) => {
            log::warn!("refused an exchange: {error}");
            response.send_reset(h2::Reason::PROTOCOL_ERROR);
            return;
        }
        Ok(Ok(None)) | Err(_) => {
            response.send_reset(h2::Reason::CANCEL);
            return;
        }
    };
    if let Ok(stream) = response.send_response(http::Response::new(()), false) {
        let responder = Responder { stream, peer };
        handler(request, Body { reader }, responder).await;
    }
}
