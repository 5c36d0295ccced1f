//! The server that callers and operators connect to.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::transport::http::BoxError;
use crate::transport::http::read_timeout::{Activity, Timeout as ReadTimeout, TrackedBody};
use crate::transport::http::write_timeout::Timeout as WriteTimeout;

/// How long a server that stops waits for the first request of a connection. What was sent before
/// the stop arrives within the delay of the network.
const FIRST_REQUEST_MAX: Duration = Duration::from_millis(250);

/// How long accepting pauses after it failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on the connections of a server.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Headers in one request.
    pub headers: usize,
    /// The size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest time for the head of a request.
    pub head_timeout: Duration,
    /// The longest time between two requests on a connection.
    pub idle_timeout: Duration,
    /// The longest time in which a connection takes no byte of an answer.
    pub write_timeout: Duration,
}

/// Serves connections with `handler` until `stop` turns true, then lets those open finish their
/// request. Returns when all connections are closed.
///
/// `limits` is asked anew for each connection. Connections that were waiting to be accepted when
/// `stop` turned true are served too.
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
    let capacity = limits().connections.min(Semaphore::MAX_PERMITS);
    let places = Arc::new(Semaphore::new(capacity));
    let mut stopped = stop.clone();
    let serve_one = |stream| {
        // A connection above the cap is closed at once.
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            return;
        };
        let connection = connect(stream, limits(), stop.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(place);
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, _peer)) => serve_one(stream),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // Dropping the listener resets connections that nobody accepted, although their clients may
    // have sent a request.
    while let Some(Ok((stream, _peer))) = listener.accept().now_or_never() {
        serve_one(stream);
    }
    drop(listener);
    // The semaphore is never closed, so waiting for all places cannot fail.
    let _closed = places.acquire_many(capacity as u32).await;
}

async fn connect<H, F, B>(
    stream: TcpStream,
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
        log::debug!("connection of a client cannot be used: {error}");
        return;
    }
    let activity = Activity::default();
    let first = activity.clone();
    let stalling = WriteTimeout::new(stream, limits.write_timeout);
    let stream = ReadTimeout::new(
        stalling,
        activity.clone(),
        limits.idle_timeout,
        limits.head_timeout,
    );
    let service = service_fn(move |request| {
        let answering = activity.begin();
        let answer = handler(request);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, answering)))
        }
    });
    let connection = http1::Builder::new()
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    // A connection without a request is closed at once, although its client may just have sent
    // one.
    tokio::select! {
        _ = connection.as_mut() => return,
        () = first.first_request() => {}
        () = sleep(FIRST_REQUEST_MAX) => {}
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!("connection of a client ended: {error}");
    }
}
