//! The HTTP/1.1 server for callers and operators.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

use crate::state::crowd::Bounds;
use crate::transport::http::BoxError;
use crate::transport::http::places::Places;
use crate::transport::http::read_timeout::{Activity, Timeout as ReadTimeout, TrackedBody};
use crate::transport::http::write_timeout::Timeout as WriteTimeout;
use crate::transport::socket::{self, Refusals};

/// How long a stopping server waits for the first request on a connection, so that a request sent
/// before the stop can arrive despite the network delay.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// The delay after a failure to accept, for example because no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a stopping server waits for the end of TCP handshakes that are in progress.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest number of connections that were told to make room and are not closed yet.
const CLOSING_MAX: usize = 16;

/// The largest number of requests in a row that a client may send ahead of the answers. Then its
/// connection is closed after an answer.
const REQUESTS_AHEAD_MAX: usize = 16;

/// The interval between log lines about connections that had to make room.
const CLOSED_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The interval between checks for connections whose handshake has ended.
const HANDSHAKE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limits on the connections of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The maximum number of concurrent connections.
    pub connections: usize,
    /// The largest memory of all connections, without bodies, in bytes.
    pub connection_bytes: u64,
    /// Counts the connections that had to make room for others.
    pub closed: Arc<AtomicU64>,
    /// The maximum number of headers in a request.
    pub headers: usize,
    /// The maximum size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// The maximum time to receive the head of a request.
    pub head_timeout: Duration,
    /// The maximum idle time between two requests on a connection.
    pub idle_timeout: Duration,
    /// The maximum time without progress in writing a response.
    pub write_timeout: Duration,
}

/// The receipt of a request, an extension of each request.
#[derive(Debug, Clone)]
pub struct Receipt(Activity);

impl Receipt {
    /// Records that the whole request has been received. Until then, its connection may be closed to
    /// make room for others.
    pub fn complete(&self) {
        self.0.run();
    }
}

/// The address of the client, an extension of each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer(pub SocketAddr);

/// Serves connections with `handler` until `stop` becomes true, then lets open connections finish
/// their current request. Returns when all connections are closed.
///
/// Each request has the address of its client as the extension [`Peer`]. `limits` is called for each
/// connection. Connections in the accept queue when `stop` becomes true
/// are also served.
pub async fn serve<L, H, F, B>(
    listener: TcpListener,
    limits: L,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    L: Fn() -> Limits + Send,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    let first = limits();
    let places = Places::new(Bounds {
        connections: first.connections,
        bytes: first.connection_bytes,
    });
    let capacity = (first.connections + CLOSING_MAX).min(Semaphore::MAX_PERMITS);
    let permits = Arc::new(Semaphore::new(capacity));
    let mut stopped = stop.clone();
    let serve_one = |stream, peer| {
        // A connection above the limit is closed immediately if no other can make room.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            return;
        };
        let Some(place) = places.take() else {
            return;
        };
        let activity = Activity::new(place.clone());
        let (limits, stop, handler) = (limits(), stop.clone(), handler.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, peer, activity, limits, stop, handler) => {}
                () = place.called() => {}
            }
            drop(permit);
        });
    };
    let local_port = listener.local_addr().map_or(0, |address| address.port());
    let mut refusals = Refusals::new(local_port);
    let mut logged_at: Option<Instant> = None;
    let mut closed = 0;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, peer)) => {
                serve_one(stream, Peer(peer));
                let closed_now = places.take_closed();
                first.closed.fetch_add(closed_now, Ordering::Relaxed);
                closed += closed_now;
                if closed > 0 && logged_at.is_none_or(|at| at.elapsed() >= CLOSED_LOG_INTERVAL) {
                    log::warn!(port = local_port, connections = closed; "connections closed to make room");
                    logged_at = Some(Instant::now());
                    closed = 0;
                }
                if closed_now > 0 {
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                refusals.report(&error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drain(listener, serve_one).await;
    // The semaphore is never closed, so acquiring all permits cannot fail.
    let _all = permits.acquire_many(capacity as u32).await;
}

/// Passes the connections to `serve_one` that the kernel has accepted or is about to accept, then
/// closes the listener.
///
/// Closing a listener resets the connections in its accept queue, whose clients may already have
/// sent a request. So new handshakes are ignored first; their clients try again and are refused.
async fn drain<S>(listener: TcpListener, serve_one: S)
where
    S: Fn(TcpStream, Peer),
{
    let end = match socket::ignore_handshakes(&listener) {
        Ok(()) => Instant::now() + HANDSHAKE_TIMEOUT,
        Err(error) => {
            log::debug!("cannot ignore handshakes: {error}");
            Instant::now()
        }
    };
    // The runtime's listener does not report a connection that arrived since the runtime last polled
    // the socket.
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!("cannot drain the accept queue: {error}");
            return;
        }
    };
    loop {
        let accepted = listener.accept().and_then(|(stream, peer)| {
            stream.set_nonblocking(true)?;
            Ok((TcpStream::from_std(stream)?, Peer(peer)))
        });
        match accepted {
            Ok((stream, peer)) => serve_one(stream, peer),
            Err(_) if Instant::now() >= end => return,
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    log::debug!("cannot accept a connection: {error}");
                }
                sleep(HANDSHAKE_POLL_INTERVAL).await;
            }
        }
    }
}

async fn serve_connection<H, F, B>(
    stream: TcpStream,
    peer: Peer,
    activity: Activity,
    limits: Limits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<BoxError>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot configure a client connection: {error}");
        return;
    }
    let shutdown_activity = activity.clone();
    let stream = WriteTimeout::new(stream, limits.write_timeout);
    let stream = ReadTimeout::new(
        stream,
        activity.clone(),
        limits.idle_timeout,
        limits.head_timeout,
    );
    let service = service_fn(move |mut request: Request<Incoming>| {
        let active = activity.begin();
        request.extensions_mut().insert(peer);
        request.extensions_mut().insert(Receipt(activity.clone()));
        if request.body().is_end_stream() {
            activity.run();
        }
        let sent_ahead = activity.ahead() >= REQUESTS_AHEAD_MAX;
        // Boxed, so that a connection without a request does not take the memory of one.
        let response = Box::pin(handler(request));
        async move {
            let mut response = response.await;
            if sent_ahead {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, active)))
        }
    });
    let connection = http1::Builder::new()
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = Box::pin(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    // `graceful_shutdown` closes a connection without a request immediately, even if a request is
    // on its way.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = shutdown_activity.first_request() => {}
        () = sleep(FIRST_REQUEST_TIMEOUT) => {}
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!("client connection failed: {error}");
    }
}
