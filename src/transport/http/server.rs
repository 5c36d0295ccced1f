//! The server that callers and operators connect to.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;

use crate::transport::http::BoxError;
use crate::transport::http::stall::Stall;

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
    /// The longest time for the head of a request, the wait for it included.
    pub head: Duration,
    /// The longest time in which a connection takes no byte of an answer.
    pub write: Duration,
}

/// Serves connections with `handler` until `stop` turns true, then lets those open finish their
/// request. Returns when all connections are closed.
pub async fn serve<H, F, B>(
    listener: TcpListener,
    limits: Limits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    let capacity = limits.connections.min(Semaphore::MAX_PERMITS);
    let places = Arc::new(Semaphore::new(capacity));
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        let Ok((stream, _peer)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A connection above the cap is closed at once.
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let connection = connect(stream, limits.clone(), stop.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(place);
        });
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
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head)
        .max_headers(limits.headers)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(Stall::new(stream, limits.write)), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    if let Err(error) = connection.await {
        log::debug!("connection of a caller ended: {error}");
    }
}
