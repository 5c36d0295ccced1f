//! Waits for what a daemon needs to start.
//!
//! Ports are still held while a former process shuts down, and files may be written late. A daemon that
//! ended then would have to be started again and again, so it waits and says in the log what for.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use primrosehoist::transport::socket;
use quick_error::quick_error;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::time::{Instant, sleep};

/// The interval between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between log lines with the same error.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

quick_error! {
    /// A port that cannot be opened.
    #[derive(Debug)]
    pub enum Error {
        /// A TCP port.
        Listen(address: SocketAddr, source: io::Error) {
            display("listen on {}: {}", address, source)
        }
        /// A UDP port.
        Bind(address: SocketAddr, source: io::Error) {
            display("bind the UDP port {}: {}", address, source)
        }
    }
}

/// Calls `attempt` until it succeeds, and logs its errors.
pub(crate) async fn wait_for<T, E, F>(mut attempt: F) -> T
where
    E: Display,
    F: FnMut() -> Result<T, E>,
{
    let started = Instant::now();
    let mut reported: Option<(String, Instant)> = None;
    loop {
        let error = match attempt() {
            Ok(value) => {
                if reported.is_some() {
                    let waited_ms = started.elapsed().as_millis() as u64;
                    log::info!(waited_ms; "startup goes on");
                }
                return value;
            }
            Err(error) => error.to_string(),
        };
        let is_new = reported
            .as_ref()
            .is_none_or(|(last, at)| *last != error || at.elapsed() >= REPORT_INTERVAL);
        if is_new {
            log::warn!(error = error.as_str(); "startup is waiting");
            reported = Some((error, Instant::now()));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// A TCP port that is reserved and does not listen yet, so that clients are refused. A daemon reserves all
/// its ports first: one that listened before the others would accept clients whom nobody serves.
#[derive(Debug)]
pub(crate) struct Port {
    address: SocketAddr,
    socket: TcpSocket,
}

impl Port {
    /// Reserves a port.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system rejects the address, for example since it is in use.
    pub(crate) fn reserve(address: SocketAddr) -> Result<Self, Error> {
        let socket = socket::bind(address).map_err(|source| Error::Listen(address, source))?;
        Ok(Self { address, socket })
    }

    /// Listens on the port.
    ///
    /// # Errors
    ///
    /// Returns an error if another process listens meanwhile.
    pub(crate) fn listen(self) -> Result<TcpListener, Error> {
        socket::listen(self.socket).map_err(|source| Error::Listen(self.address, source))
    }
}

/// Binds a UDP port.
///
/// # Errors
///
/// Returns the address if it cannot be bound.
pub(crate) fn bind_udp(address: SocketAddr) -> Result<UdpSocket, Error> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    bind().map_err(|source| Error::Bind(address, source))
}
