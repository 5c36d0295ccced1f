//! The server of peer links.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::SendStream;
use h2::server::SendResponse;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::protocol::{codec, wire};
use crate::state::name;
use crate::state::sampler::Sampler;
use crate::transport::peer::frames::{self, Reader};
use crate::transport::peer::socket::Socket;
use crate::transport::peer::{
    CONNECTION_WINDOW_BYTES, Error, Identity, STREAM_WINDOW_BYTES, STREAMS_MAX, handshake,
    keepalive,
};
use crate::transport::socket::Refusals;

/// The maximum number of concurrent handshakes.
const HANDSHAKES_MAX: usize = 128;

/// The timeout for the handshake, for the `h2` preface, and for the first frame of an exchange.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// The delay after a failure to accept, for example because no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts peer connections. Dropping it closes the listener; open connections stay open.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and serves it as [`Server::start`] does.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if listening on the address fails.
    pub async fn bind<F, R>(address: &str, identity: Identity, handler: F) -> Result<Self, Error>
    where
        F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let bind_error = |cause| Error::Connect {
            peer: address.to_owned(),
            cause,
        };
        let listener = TcpListener::bind(address).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        Ok(Self::start(listener, address, identity, handler))
    }

    /// Serves `listener`, which listens on `address`, and runs `handler` for each exchange of an
    /// authenticated peer.
    pub fn start<F, R>(
        listener: TcpListener,
        address: SocketAddr,
        identity: Identity,
        handler: F,
    ) -> Self
    where
        F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let accept_task = tokio::spawn(accept(listener, identity, Arc::new(handler)));
        Self {
            address,
            accept_task,
        }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until no more connections are accepted, which happens only if the server panics.
    pub async fn ended(&mut self) {
        let _panicked = (&mut self.accept_task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

/// The raw body that follows a request frame.
#[derive(Debug)]
pub struct Body {
    reader: Reader,
}

impl Body {
    /// Returns the next chunk, or `None` at the end. Reading releases flow-control capacity to the
    /// sender.
    ///
    /// # Errors
    ///
    /// Returns an error if the client reset the stream or the link failed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        self.reader.chunk().await
    }
}

/// Sends the replies of an exchange. Dropping it before the last reply resets the stream.
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

    /// Sends a reply, waiting for capacity in the flow-control window of the client.
    ///
    /// # Errors
    ///
    /// Returns an error if the client reset the stream or the link failed.
    pub async fn send(&mut self, reply: &wire::Reply) -> Result<(), Error> {
        let frame = codec::encode(reply).map_err(|cause| Error::Frame {
            peer: self.peer.to_string(),
            cause,
        })?;
        frames::send(&mut self.stream, frame, reply.is_last())
            .await
            .map_err(|cause| Error::Lost {
                operation: "replying",
                peer: self.peer.to_string(),
                cause: cause.to_string(),
            })
    }

    /// Waits until the client resets the stream or the link fails. Returns whether the stream was
    /// reset.
    pub async fn closed(&mut self) -> bool {
        poll_fn(|cx| self.stream.poll_reset(cx)).await.is_ok()
    }
}

/// Bounds how often rejections are logged, whose rate the peers decide.
#[derive(Debug)]
struct Rejections(Mutex<Sampler>);

impl Rejections {
    fn new() -> Self {
        Self(Mutex::new(Sampler::new(Instant::now())))
    }

    fn report(&self, rejected: &str, error: &Error) {
        let mut sampler = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let unlogged = sampler.record(Instant::now());
        drop(sampler);
        if let Some(unlogged) = unlogged {
            log::warn!(unlogged; "rejected peer {rejected}: {error}");
        }
    }
}

async fn accept<F, R>(listener: TcpListener, identity: Identity, handler: Arc<F>)
where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let handshakes = Arc::new(Semaphore::new(HANDSHAKES_MAX));
    let rejections = Arc::new(Rejections::new());
    let port = listener.local_addr().map_or(0, |address| address.port());
    let mut refusals = Refusals::new(port);
    loop {
        let permit = Arc::clone(&handshakes).acquire_owned().await;
        let (stream, remote) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                refusals.report(&error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let identity = identity.clone();
        let handler = Arc::clone(&handler);
        let rejections = Arc::clone(&rejections);
        tokio::spawn(async move {
            let authenticated = authenticate(stream, remote, &identity).await;
            drop(permit);
            match authenticated {
                Ok((socket, peer)) => serve(socket, peer, handler, rejections).await,
                Err(error) => rejections.report("connection", &error),
            }
        });
    }
}

async fn authenticate(
    mut stream: TcpStream,
    remote: SocketAddr,
    identity: &Identity,
) -> Result<(Socket, name::Host), Error> {
    let handshake = handshake::accept(&mut stream, &identity.host, &identity.secret);
    let peer = tokio::time::timeout(FIRST_FRAME_TIMEOUT, handshake)
        .await
        .map_err(|_elapsed| Error::Timeout {
            operation: "authenticating",
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
    let socket = Socket::new(stream, peer.clone(), identity.partition.clone());
    Ok((socket, peer))
}

async fn serve<F, R>(socket: Socket, peer: name::Host, handler: Arc<F>, rejections: Arc<Rejections>)
where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(STREAMS_MAX)
        .max_send_buffer_size(STREAM_WINDOW_BYTES as usize)
        .handshake::<_, Bytes>(socket);
    let Ok(Ok(mut connection)) = tokio::time::timeout(FIRST_FRAME_TIMEOUT, handshake).await else {
        return;
    };
    let pings = connection.ping_pong().expect("`ping_pong` is called once");
    let exchanges = async {
        while let Some(Ok((request, response))) = connection.accept().await {
            let handler = Arc::clone(&handler);
            let peer = peer.clone();
            let reader = Reader::new(request.into_body(), peer.to_string());
            let rejections = Arc::clone(&rejections);
            tokio::spawn(async move {
                serve_exchange(reader, response, peer, &*handler, &rejections).await;
            });
        }
    };
    tokio::select! {
        () = exchanges => {}
        () = keepalive::watch(pings) => log::warn!("peer {peer} stopped responding to pings"),
    }
}

async fn serve_exchange<F, R>(
    mut reader: Reader,
    mut response: SendResponse<Bytes>,
    peer: name::Host,
    handler: &F,
    rejections: &Rejections,
) where
    F: Fn(wire::Request, Body, Responder) -> R + Send + Sync + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let first = tokio::time::timeout(FIRST_FRAME_TIMEOUT, reader.frame()).await;
    let request = match first {
        Ok(Ok(Some(request))) => request,
        Ok(Err(error)) => {
            rejections.report("exchange", &error);
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
