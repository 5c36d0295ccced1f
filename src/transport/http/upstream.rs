//! The client towards upstreams: a small pool of connections each, and the check of the right
//! to send right before bytes go out.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::transport::http::Payload;
use crate::transport::socket;

/// Connections without a request that are kept per upstream.
const IDLE_MAX: usize = 16;

/// How long a connection without a request is kept unless its upstream names another time.
const IDLE_TIME: Duration = Duration::from_secs(30);

quick_error! {
    /// Says at which step a call to an upstream failed.
    #[derive(Debug)]
    pub enum Error {
        /// No connection was made.
        Connect(peer: SocketAddr, source: io::Error) {
            display("connect to upstream {}: {}", peer, source)
        }
        /// The connection failed before the head of the answer was whole.
        Send(peer: SocketAddr, source: hyper::Error) {
            display("send to upstream {}: {}", peer, source)
        }
    }
}

/// Decides whether bytes of one request may go out, and notes whether any did.
pub struct Gate {
    /// Held between the check and the write, so that a process that was paused in between sends
    /// at most one piece to the upstream afterwards.
    turn: Arc<Mutex<()>>,
    allowed: Box<dyn Fn(bool) -> bool + Send + Sync>,
    handed: AtomicBool,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("handed", &self.handed)
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// Creates a gate that asks `allowed` before each write, telling it whether a byte of the
    /// request was handed over before. Gates of the same upstream share
    /// `turn`.
    pub fn new<A>(turn: Arc<Mutex<()>>, allowed: A) -> Self
    where
        A: Fn(bool) -> bool + Send + Sync + 'static,
    {
        Self {
            turn,
            allowed: Box::new(allowed),
            handed: AtomicBool::new(false),
        }
    }

    /// Returns whether a byte of the request was handed to the upstream.
    pub fn has_sent(&self) -> bool {
        self.handed.load(Ordering::Acquire)
    }

    /// Runs `write` if the request may go out.
    fn pass<W>(&self, write: W) -> Poll<io::Result<usize>>
    where
        W: FnOnce() -> Poll<io::Result<usize>>,
    {
        let _turn = self.turn.lock().unwrap_or_else(PoisonError::into_inner);
        let before = self.has_sent();
        if !(self.allowed)(before) {
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        // Set before the write: a write that fails may have handed bytes over.
        self.handed.store(true, Ordering::Release);
        let written = write();
        if written.is_pending() && !before {
            self.handed.store(false, Ordering::Release);
        }
        written
    }
}

type Slot = Arc<Mutex<Option<Arc<Gate>>>>;

/// A connection whose writes pass the gate of the current request.
struct Guarded {
    stream: TcpStream,
    slot: Slot,
}

impl Guarded {
    fn gate(&self) -> Option<Arc<Gate>> {
        self.slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate() {
            Some(gate) => gate.pass(|| Pin::new(&mut self.stream).poll_write(cx, buf)),
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.gate() {
            Some(gate) => gate.pass(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)),
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The task that drives a connection. Dropping it closes the connection at once.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection that may be used for one request after the other.
struct Connection {
    sender: http1::SendRequest<Payload>,
    slot: Slot,
    _driver: Driver,
    idle_since: Instant,
    idle_time: Duration,
}

impl Connection {
    fn is_fresh(&self, idle_max: Duration, now: Instant) -> bool {
        let limit = self.idle_time.min(idle_max);
        self.sender.is_ready() && now.saturating_duration_since(self.idle_since) < limit
    }
}

/// How a request may be sent.
#[derive(Debug, Clone)]
pub struct Options {
    /// The longest time to connect.
    pub connect_timeout: Duration,
    /// The longest time for which a connection that is used again may have been idle.
    pub idle_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            idle_max: IDLE_TIME,
        }
    }
}

/// Connections to one upstream.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// The head of an answer with its body, and the connection to give back afterwards.
pub struct Exchange {
    /// The answer.
    pub response: Response<Incoming>,
    connection: Connection,
}

impl Exchange {
    /// Sets for how long the connection may be idle after it was given back.
    pub fn set_idle_timeout(&mut self, time: Duration) {
        self.connection.idle_time = time;
    }
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("response", &self.response)
            .finish_non_exhaustive()
    }
}

impl Pool {
    /// Creates a pool of connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `request` through `gate` on the default options and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the gate refuses; `gate` tells whether a byte
    /// was handed over.
    pub async fn send(
        &self,
        request: Request<Payload>,
        gate: &Arc<Gate>,
    ) -> Result<Exchange, Error> {
        self.send_with(&Options::default(), request, gate).await
    }

    /// Sends `request` through `gate` on `options` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the gate refuses; `gate` tells whether a byte
    /// was handed over.
    pub async fn send_with(
        &self,
        options: &Options,
        request: Request<Payload>,
        gate: &Arc<Gate>,
    ) -> Result<Exchange, Error> {
        let mut request = request;
        loop {
            let (mut connection, fresh) = match self.take_idle(options.idle_max) {
                Some(connection) => (connection, false),
                None => (self.connect(options.connect_timeout).await?, true),
            };
            *connection
                .slot
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(gate));
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Exchange {
                        response,
                        connection,
                    });
                }
                // An idle connection was closed before anything was written to it.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !fresh && !gate.has_sent() => request = unsent,
                    _ => return Err(Error::Send(self.address, error.into_error())),
                },
            }
        }
    }

    /// Gives the connection of a whole answer back.
    pub fn release(&self, exchange: Exchange) {
        let mut connection = exchange.connection;
        connection.idle_since = Instant::now();
        *connection
            .slot
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = None;
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !connection.sender.is_closed() && idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    fn take_idle(&self, idle_max: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.is_fresh(IDLE_TIME, now));
        // The one used last is the least likely to be closed by its upstream.
        idle.pop_if(|connection| connection.is_fresh(idle_max, now))
    }

    async fn connect(&self, limit: Duration) -> Result<Connection, Error> {
        let failed = |source| Error::Connect(self.address, source);
        let stream = timeout(limit, TcpStream::connect(self.address))
            .await
            .map_err(|_source| failed(io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        socket::configure(&stream).map_err(failed)?;
        let slot = Slot::default();
        let guarded = Guarded {
            stream,
            slot: Arc::clone(&slot),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(guarded))
            .await
            .map_err(|source| Error::Send(self.address, source))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to an upstream ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            slot,
            _driver: Driver(driver.abort_handle()),
            idle_since: Instant::now(),
            idle_time: IDLE_TIME,
        })
    }
}
