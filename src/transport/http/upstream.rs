//! HTTP client for upstreams: a small connection pool per upstream, and a check of the permission
//! to send immediately before bytes are written.

use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::transport::http::{BoxError, Payload};
use crate::transport::socket;

/// The maximum number of idle connections per upstream.
const IDLE_MAX: usize = 16;

/// The maximum number of received bytes that a connection buffers. It limits the head of a response,
/// and of its chunks and trailers, which may be without an end.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;

/// How long an idle connection is kept unless its upstream specifies a shorter timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of the next connection of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

quick_error! {
    /// An error from a call to an upstream.
    #[derive(Debug)]
    pub enum Error {
        /// The connection could not be established.
        Connect(peer: SocketAddr, source: io::Error) {
            display("connect to upstream {}: {}", peer, source)
        }
        /// The connection failed before the head of the response was complete.
        Send(peer: SocketAddr, source: hyper::Error) {
            display("send to upstream {}: {}", peer, source)
        }
    }
}

impl Error {
    /// Returns whether this host lacked descriptors, ports or memory for a connection, which shows nothing of
    /// the upstream.
    pub fn is_own_shortage(&self) -> bool {
        let Self::Connect(_, source) = self else {
            return false;
        };
        let shortages = [
            Errno::MFILE,
            Errno::NFILE,
            Errno::ADDRNOTAVAIL,
            Errno::NOBUFS,
            Errno::NOMEM,
        ];
        Errno::from_io_error(source).is_some_and(|errno| shortages.contains(&errno))
    }
}

/// Returns whether a new connection to `address` is refused, because no process listens there.
pub async fn refuses_connections(address: SocketAddr, connect_timeout: Duration) -> bool {
    let connected = timeout(connect_timeout, socket::connect(address, None)).await;
    let is_refusal = |error: &io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    matches!(connected, Ok(Err(error)) if is_refusal(&error))
}

/// Checks before each write whether bytes of a request may be sent, and records whether any were.
pub struct Gate {
    /// Held across the check and the write, so that a process that is paused between the two sends
    /// at most one write to the upstream afterwards.
    write_lock: Arc<Mutex<()>>,
    may_write: Box<dyn Fn(bool) -> bool + Send + Sync>,
    sent: AtomicBool,
    denied: AtomicBool,
    closed: AtomicBool,
    /// Whether the whole body was taken from its source.
    taken: AtomicBool,
    /// Whether the whole request was written to the connection.
    written: AtomicBool,
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("sent", &self.sent)
            .field("denied", &self.denied)
            .field("closed", &self.closed)
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// Creates a gate that calls `may_write` before each write, with whether any byte of the
    /// request was sent before. Gates of the same upstream share `write_lock`.
    pub fn new<A>(write_lock: Arc<Mutex<()>>, may_write: A) -> Self
    where
        A: Fn(bool) -> bool + Send + Sync + 'static,
    {
        Self {
            write_lock,
            may_write: Box::new(may_write),
            sent: AtomicBool::new(false),
            denied: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            taken: AtomicBool::new(false),
            written: AtomicBool::new(false),
        }
    }

    /// Denies all further writes, and returns whether any byte of the request was sent.
    ///
    /// A dropped call may still be written by another thread, which drives its connection.
    pub fn close(&self) -> bool {
        let _guard = self.lock();
        self.closed.store(true, Ordering::Release);
        self.has_sent()
    }

    /// Returns whether a write was denied, so that the failure of the request says nothing about its
    /// upstream.
    pub fn has_denied(&self) -> bool {
        self.denied.load(Ordering::Acquire)
    }

    /// Returns whether any byte of the request was sent so far. Only [`Gate::close`] makes it final.
    fn has_sent(&self) -> bool {
        self.sent.load(Ordering::Acquire)
    }

    /// Records that everything taken so far was written.
    fn record_flush(&self) {
        if self.taken.load(Ordering::Acquire) {
            self.written.store(true, Ordering::Release);
        }
    }

    /// Returns whether the request was written only in part.
    fn is_part_written(&self) -> bool {
        self.has_sent() && !self.written.load(Ordering::Acquire)
    }

    fn lock(&self) -> MutexGuard<'_, ()> {
        self.write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `write` if the request may be sent.
    fn try_write<W>(&self, write: W) -> Poll<io::Result<usize>>
    where
        W: FnOnce() -> Poll<io::Result<usize>>,
    {
        let _guard = self.lock();
        let sent_before = self.has_sent();
        if self.closed.load(Ordering::Acquire) || !(self.may_write)(sent_before) {
            self.denied.store(true, Ordering::Release);
            return Poll::Ready(Err(io::ErrorKind::PermissionDenied.into()));
        }
        // Set before the write, because a failed write may have sent bytes.
        self.sent.store(true, Ordering::Release);
        let written = write();
        if written.is_pending() && !sent_before {
            self.sent.store(false, Ordering::Release);
        }
        written
    }
}

/// The body of a request, which tells the gate when the whole of it was taken.
struct Upload {
    body: Payload,
    gate: Arc<Gate>,
}

impl Upload {
    fn new(body: Payload, gate: Arc<Gate>) -> Self {
        gate.taken.store(body.is_end_stream(), Ordering::Release);
        Self { body, gate }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        let is_end = match &frame {
            Poll::Ready(None) => true,
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_end {
            self.gate.taken.store(true, Ordering::Release);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The gate of the current request on a connection, if any.
type CurrentGate = Arc<Mutex<Option<Arc<Gate>>>>;

/// A stream whose writes are subject to the gate of the current request. Its end is an error while the
/// request is written in part, since a response without a length would then look complete.
struct GatedStream {
    stream: TcpStream,
    current_gate: CurrentGate,
}

impl GatedStream {
    fn gate(&self) -> Option<Arc<Gate>> {
        self.current_gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Checks that the end of the stream may be the end of a response.
    fn check_end(&self) -> io::Result<()> {
        let Some(gate) = self.gate() else {
            return Ok(());
        };
        if gate.is_part_written() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        // A reset that follows the end of the peer is reported only here.
        match SockRef::from(&self.stream).take_error()? {
            Some(error) if gate.has_sent() => Err(error),
            _ => Ok(()),
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let is_full = buf.remaining() == 0;
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) && !is_full && buf.filled().len() == filled {
            self.check_end()?;
        }
        read
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match self.gate() {
            Some(gate) => gate.try_write(|| Pin::new(&mut self.stream).poll_write(cx, buf)),
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match self.gate() {
            Some(gate) => {
                gate.try_write(|| Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))
            }
            None => Poll::Ready(Err(io::ErrorKind::PermissionDenied.into())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if let (Poll::Ready(Ok(())), Some(gate)) = (&flushed, self.gate()) {
            gate.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The task that drives a connection. Dropping it closes the connection immediately.
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A pooled connection that serves one request at a time.
struct Connection {
    sender: http1::SendRequest<Payload>,
    current_gate: CurrentGate,
    _driver: Driver,
    idle_since: Instant,
    idle_timeout: Duration,
    /// The number of the connection in this process.
    number: u64,
    /// The number of requests sent on it.
    requests: u64,
}

impl Connection {
    fn is_reusable(&self, idle_max: Duration, now: Instant) -> bool {
        let limit = self.idle_timeout.min(idle_max);
        self.sender.is_ready() && now.saturating_duration_since(self.idle_since) < limit
    }
}

/// Connection options for a request.
#[derive(Debug, Clone)]
pub struct Options {
    /// The maximum time to connect.
    pub connect_timeout: Duration,
    /// The maximum idle time of a connection that is reused.
    pub idle_max: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            idle_max: IDLE_TIMEOUT,
        }
    }
}

impl Options {
    /// Returns the options of a request that gets a connection of its own. Use them if the response has
    /// no id of the request, since it could then be that of an earlier one, and do not release the
    /// connection.
    pub fn single_use() -> Self {
        Self {
            idle_max: Duration::ZERO,
            ..Self::default()
        }
    }
}

/// A pool of connections to one upstream.
pub struct Pool {
    address: SocketAddr,
    /// The local address of the connections; `None` if the system chooses it.
    source: Option<IpAddr>,
    idle: Mutex<Vec<Connection>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

/// A response and the connection to release to the pool afterwards.
pub struct Exchange {
    /// The response.
    pub response: Response<Incoming>,
    connection: Connection,
}

impl Exchange {
    /// Returns the number of the connection in this process, and of the request on it.
    pub fn number(&self) -> (u64, u64) {
        (self.connection.number, self.connection.requests)
    }

    /// Sets how long the connection may stay idle in the pool.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.connection.idle_timeout = timeout;
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
            source: None,
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Creates a pool of connections to `address` from the local address `source`, by which the peer
    /// knows this host.
    pub fn bound_to(address: SocketAddr, source: IpAddr) -> Self {
        Self {
            source: Some(source),
            ..Self::new(address)
        }
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends `request` through `gate` with the default options and waits for the head of the
    /// response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the gate denies a write. [`Gate::close`] tells
    /// whether any byte was sent.
    pub async fn send(
        &self,
        request: Request<Payload>,
        gate: &Arc<Gate>,
    ) -> Result<Exchange, Error> {
        self.send_with(&Options::default(), request, gate).await
    }

    /// Sends `request` through `gate` with `options` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the gate denies a write. [`Gate::close`] tells
    /// whether any byte was sent.
    pub async fn send_with(
        &self,
        options: &Options,
        request: Request<Payload>,
        gate: &Arc<Gate>,
    ) -> Result<Exchange, Error> {
        let mut request = request.map(|body| Upload::new(body, Arc::clone(gate)).boxed_unsync());
        loop {
            let (mut connection, is_new) = match self.take_idle(options.idle_max) {
                Some(connection) => (connection, false),
                None => (self.connect(options.connect_timeout).await?, true),
            };
            *connection
                .current_gate
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(gate));
            connection.requests += 1;
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(Exchange {
                        response,
                        connection,
                    });
                }
                // The idle connection was closed before any byte of the request was written.
                Err(mut error) => match error.take_message() {
                    Some(unsent) if !is_new && !gate.has_sent() => request = unsent,
                    _ => return Err(Error::Send(self.address, error.into_error())),
                },
            }
        }
    }

    /// Returns the connection of an exchange to the pool after its response was read to the end.
    ///
    /// The connection is closed unless the response is a success. A refusal may come twice, and its
    /// copy has the id of the request that was refused, so it could be taken for the answer if the
    /// request came again on the connection, for whatever reason.
    pub fn release(&self, exchange: Exchange) {
        if !exchange.response.status().is_success() {
            return;
        }
        let mut connection = exchange.connection;
        connection.idle_since = Instant::now();
        *connection
            .current_gate
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = None;
        self.keep(connection);
    }

    /// Makes a connection and keeps it for a later request, unless there is an idle one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn open_idle(&self, connect_timeout: Duration) -> Result<(), Error> {
        let mut connection = self.connect(connect_timeout).await?;
        // The upstream may already have closed it, for instance if it has too many.
        if connection.sender.ready().await.is_ok() {
            connection.idle_since = Instant::now();
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            if idle.is_empty() {
                idle.push(connection);
            }
        }
        Ok(())
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if !connection.sender.is_closed() && idle.len() < IDLE_MAX {
            idle.push(connection);
        }
    }

    fn take_idle(&self, idle_max: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| connection.is_reusable(IDLE_TIMEOUT, now));
        // The most recently used connection is the least likely to be closed by its upstream.
        idle.pop_if(|connection| connection.is_reusable(idle_max, now))
    }

    async fn connect(&self, connect_timeout: Duration) -> Result<Connection, Error> {
        let failed = |source| Error::Connect(self.address, source);
        let stream = timeout(connect_timeout, socket::connect(self.address, self.source))
            .await
            .map_err(|_source| failed(io::ErrorKind::TimedOut.into()))?
            .map_err(failed)?;
        socket::configure(&stream).map_err(failed)?;
        let current_gate = CurrentGate::default();
        let stream = GatedStream {
            stream,
            current_gate: Arc::clone(&current_gate),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| Error::Send(self.address, source))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream connection failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            current_gate,
            _driver: Driver(driver.abort_handle()),
            idle_since: Instant::now(),
            idle_timeout: IDLE_TIMEOUT,
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            requests: 0,
        })
    }
}
