//! Waits for what a daemon needs to start.
//!
//! Ports are still held while a former process shuts down, files may be written late, and the operating
//! system may refuse a descriptor or a thread for a moment. A daemon that ended then would have to be started
//! again and again, so it waits and says in the log what for.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::thread;
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

/// The attempts for one thing that is waited for.
#[derive(Debug)]
struct Wait {
    started: Instant,
    /// The error in the log, and when it was logged.
    logged: Option<(String, Instant)>,
}

impl Wait {
    fn start() -> Self {
        Self {
            started: Instant::now(),
            logged: None,
        }
    }

    /// Records a failure and logs it, unless the same one was logged a short time ago.
    fn fail<E>(&mut self, error: &E)
    where
        E: Display,
    {
        let error = error.to_string();
        let is_new = self
            .logged
            .as_ref()
            .is_none_or(|(last, at)| *last != error || at.elapsed() >= REPORT_INTERVAL);
        if is_new {
            log::warn!(error = error.as_str(); "startup is waiting");
            self.logged = Some((error, Instant::now()));
        }
    }

    /// Logs the end of the wait, if its begin was logged.
    fn succeed(self) {
        if self.logged.is_some() {
            let waited_ms = self.started.elapsed().as_millis() as u64;
            log::info!(waited_ms; "startup goes on");
        }
    }
}

/// Calls `attempt` until it succeeds, and logs its errors.
pub(crate) async fn wait_for<T, E, F>(mut attempt: F) -> T
where
    E: Display,
    F: FnMut() -> Result<T, E>,
{
    let mut wait = Wait::start();
    loop {
        match attempt() {
            Ok(value) => {
                wait.succeed();
                return value;
            }
            Err(error) => wait.fail(&error),
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Calls `attempt` as [`wait_for`] does where there is no runtime yet, and `failed` after each failure.
pub(crate) fn block_for<T, E, A, F>(mut attempt: A, failed: F) -> T
where
    E: Display,
    A: FnMut() -> Result<T, E>,
    F: Fn(),
{
    let mut wait = Wait::start();
    loop {
        match attempt() {
            Ok(value) => {
                wait.succeed();
                return value;
            }
            Err(error) => wait.fail(&error),
        }
        failed();
        thread::sleep(RETRY_INTERVAL);
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
