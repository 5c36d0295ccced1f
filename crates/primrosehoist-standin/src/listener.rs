//! A TCP listener that waits for its address and can simulate outages.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{self, Instant};

use crate::connection;
use crate::reply::Answer;

/// The interval between attempts to bind the address.
const BIND_PERIOD: Duration = Duration::from_millis(20);

/// The delay after a connection that could not be accepted.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// The interval between log lines with the same error.
const REPORT_PERIOD: Duration = Duration::from_secs(10);

/// A request to close the listener and all connections and to listen again later.
#[derive(Debug)]
pub(crate) struct Outage {
    /// The time until the listener is bound again.
    pub(crate) duration: Duration,
}

/// Serves connections on `address`, for which it waits.
///
/// # Errors
///
/// Fails if the address is not permitted.
pub(crate) async fn serve<Handler, Handling>(
    address: SocketAddr,
    handler: Handler,
    mut outages: mpsc::UnboundedReceiver<Outage>,
) -> io::Result<()>
where
    Handler: Fn(Request<Incoming>) -> Handling + Send + Sync + 'static,
    Handling: Future<Output = Answer> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        let listener = bind(address).await?;
        let outage = accept(listener, &handler, &mut outages).await;
        time::sleep(outage.duration).await;
    }
}

/// Binds the address, which a former process may hold for a while.
///
/// # Errors
///
/// Fails if the address is not permitted.
pub(crate) async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut reported: Option<(io::ErrorKind, Instant)> = None;
    loop {
        let error = match TcpListener::bind(address).await {
            Ok(listener) => {
                log::info!("listening on {address}");
                return Ok(listener);
            }
            Err(error) => error,
        };
        let kind = error.kind();
        if kind == io::ErrorKind::PermissionDenied {
            let reason = format!("listening on {address}: {error}");
            return Err(io::Error::new(kind, reason));
        }
        if reported.is_none_or(|(last, at)| last != kind || at.elapsed() >= REPORT_PERIOD) {
            log::warn!("waiting to listen on {address}: {error}");
            reported = Some((kind, Instant::now()));
        }
        time::sleep(BIND_PERIOD).await;
    }
}

async fn accept<Handler, Handling>(
    listener: TcpListener,
    handler: &Arc<Handler>,
    outages: &mut mpsc::UnboundedReceiver<Outage>,
) -> Outage
where
    Handler: Fn(Request<Incoming>) -> Handling + Send + Sync + 'static,
    Handling: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let outage = loop {
        tokio::select! {
            Some(outage) = outages.recv() => break outage,
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    connections.spawn(connection::serve(socket, Arc::clone(handler)));
                }
                Err(error) => {
                    log::warn!("accepting a connection: {error}");
                    // Without a delay, a lack of descriptors would be met again at once.
                    time::sleep(ACCEPT_DELAY).await;
                }
            },
        }
    };
    drop(listener);
    connections.shutdown().await;
    outage
}
