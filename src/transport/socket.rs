//! Options of TCP connections that show a silent peer.
//!
//! A host without power, or behind a partition, answers nothing at all, so a connection to it
//! would wait for as long as the operating system retries. Keep-alive probes find it while
//! nothing is sent, the user timeout while sent bytes are not acknowledged.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Silence after which the operating system begins to probe a connection. The smallest value
/// that the option takes.
const PROBE_AFTER: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 2;

/// The longest time for which sent bytes may stay without acknowledgement. It spares a link that
/// loses a few packets in a row.
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(2500);

/// Makes `stream` send at once and fail within a few seconds of its peer's silence.
///
/// # Errors
///
/// Returns an error if the operating system refuses an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_AFTER)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_MAX))
}
