//! TCP socket options that detect an unresponsive peer.
//!
//! A host that lost power or is behind a partition sends no reset, so a connection to it would stay
//! open for as long as the operating system retransmits. Keep-alive probes detect this on an idle
//! connection, and the user timeout while sent bytes are unacknowledged.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time before the first keep-alive probe, and the interval between probes. One second is the
/// smallest value that the options accept.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may remain unacknowledged. Long enough for a link that loses a few packets
/// in a row.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

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
