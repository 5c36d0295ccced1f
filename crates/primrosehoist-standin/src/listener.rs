//! A TCP listener that stops on a signal and can simulate outages.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time;

use crate::connection;
use crate::reply::Answer;

/// The interval between attempts to bind the address again.
const REBIND_PERIOD: Duration = Duration::from_millis(20);

/// A request to close the listener and all connections and to listen again later.
#[derive(Debug)]
pub(crate) struct Outage {
    /// The time until the listener is bound again.
    pub(crate) duration: Duration,
}

enum Event {
    Signal,
    Outage(Outage),
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Serves connections on `address` until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed or the address cannot be bound at the start.
pub(crate) async fn serve<Handler, Handling>(
    address: SocketAddr,
    handler: Handler,
    mut outages: mpsc::UnboundedReceiver<Outage>,
) -> io::Result<()>
where
    Handler: Fn(Request<Incoming>) -> Handling + Send + Sync + 'static,
    Handling: Future<Output = Answer> + Send + 'static,
{
    let mut signals = Signals::new()?;
    let handler = Arc::new(handler);
    let mut listener = TcpListener::bind(address).await?;
    log::info!("listening on {address}");
    loop {
        let event = accept(listener, &handler, &mut signals, &mut outages).await;
        let Event::Outage(outage) = event else {
            return Ok(());
        };
        tokio::select! {
            () = signals.next() => return Ok(()),
            () = time::sleep(outage.duration) => {}
        }
        listener = rebind(address).await;
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("binding {address} again: {error}"),
        }
        time::sleep(REBIND_PERIOD).await;
    }
}

async fn accept<Handler, Handling>(
    listener: TcpListener,
    handler: &Arc<Handler>,
    signals: &mut Signals,
    outages: &mut mpsc::UnboundedReceiver<Outage>,
) -> Event
where
    Handler: Fn(Request<Incoming>) -> Handling + Send + Sync + 'static,
    Handling: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let event = loop {
        tokio::select! {
            () = signals.next() => break Event::Signal,
            Some(outage) = outages.recv() => break Event::Outage(outage),
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    connections.spawn(connection::serve(socket, Arc::clone(handler)));
                }
                Err(error) => log::warn!("accepting a connection: {error}"),
            },
        }
    };
    drop(listener);
    connections.shutdown().await;
    event
}
