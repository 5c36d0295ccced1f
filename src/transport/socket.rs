//! TCP socket options that detect an unresponsive peer, the ports of connections, and the accept queues of
//! listeners.
//!
//! A host that lost power or is behind a partition sends no reset, so a connection to it would stay
//! open for as long as the operating system retransmits. Keep-alive probes detect this on an idle
//! connection, and the user timeout while sent bytes are unacknowledged.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockFilter, SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream, lookup_host};
use tokio::time::Instant;

/// Idle time before the first keep-alive probe, and the interval between probes. One second is the
/// smallest value that the options accept.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may remain unacknowledged. Long enough for a link that loses a few packets
/// in a row.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// The length of accept queues, in connections. The kernel drops the handshakes beyond it, and their
/// clients try again after a second.
const ACCEPT_QUEUE: u32 = 1024;

/// The interval between log lines about connections that cannot be accepted.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Reserves `address` for a listener. Until it listens, connections are refused.
///
/// # Errors
///
/// Returns an error if the operating system rejects the address.
pub fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = reusable(address.ip())?;
    socket.bind(address)?;
    Ok(socket)
}

/// Connects to `address` from `source`, or from the address that the route there selects.
///
/// The operating system holds the port of a closed connection for a minute. As the port may be one that the
/// next process of this host listens on, the connection is made so that it usually does not prevent that. It is
/// not bound to a port before: bound sockets share no ports, and a host would run out of them.
///
/// # Errors
///
/// Returns an error if the connection cannot be made.
pub async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = reusable(address.ip())?;
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.connect(address).await
}

/// Connects as [`connect`] does, from `source`, to the first of the addresses of `host`, a name or an address
/// with a port, that accepts.
///
/// # Errors
///
/// Returns an error if no address is known, or the last one if no connection can be made.
pub async fn connect_to(host: &str, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let mut last = io::Error::from(io::ErrorKind::AddrNotAvailable);
    for address in lookup_host(host).await? {
        match connect(address, source).await {
            Ok(stream) => return Ok(stream),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Creates a socket that may be bound to a port of closed connections.
fn reusable(address: IpAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        IpAddr::V4(_) => TcpSocket::new_v4(),
        IpAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Listens on a bound socket, with an accept queue for a burst of connections.
///
/// # Errors
///
/// Returns an error if another socket listens on its address.
pub fn listen(socket: TcpSocket) -> io::Result<TcpListener> {
    socket.listen(ACCEPT_QUEUE)
}

/// Logs that connections cannot be accepted, which nothing else shows: their clients wait.
#[derive(Debug)]
pub struct Refusals {
    port: u16,
    count: u64,
    logged_at: Option<Instant>,
}

impl Refusals {
    /// Creates the log of the listener on `port`.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            count: 0,
            logged_at: None,
        }
    }

    /// Records a failure to accept a connection; logs it if none was logged for a while.
    pub fn report(&mut self, error: &io::Error) {
        self.count += 1;
        if self
            .logged_at
            .is_none_or(|at| at.elapsed() >= REFUSAL_LOG_INTERVAL)
        {
            log::warn!(port = self.port, failures = self.count, error:%; "cannot accept connections");
            self.logged_at = Some(Instant::now());
            self.count = 0;
        }
    }
}

/// Disables Nagle's algorithm on `stream` and makes it fail a few seconds after its peer stops
/// responding.
///
/// # Errors
///
/// Returns an error if the operating system rejects an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// A classic BPF program that drops TCP segments which begin a handshake and passes all others.
const DROP_SYN: [SockFilter; 5] = {
    /// Loads the byte at an offset into the segment.
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ]
};

/// Makes the kernel ignore new connections to `listener`. Handshakes in progress can still end.
///
/// # Errors
///
/// Returns an error if the operating system does not support socket filters.
pub fn ignore_handshakes(listener: &TcpListener) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&DROP_SYN)
}
