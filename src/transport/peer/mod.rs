//! Links between daemons: one authenticated connection per peer, multiplexed by `h2`.
//!
//! Both sides prove knowledge of the shared secret before the first `h2` frame; see [`handshake`].
//! An exchange is one stream: the client sends a request frame, optionally followed by a raw body,
//! and the server sends reply frames. The flow-control window of a stream is fixed, which bounds
//! the memory of a request at each hop. The window of a connection has the maximum size of `h2`, so
//! that streams with a slow reader never block the others.
//!
//! A link is closed, and its exchanges fail, if the peer does not answer a ping in time.
//!
//! Links are authenticated but not encrypted: the network between the hosts is trusted not to
//! alter bytes in transit.

mod client;
mod exchange;
mod frames;
pub mod handshake;
mod keepalive;
mod partition;
mod server;
mod socket;

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use quick_error::quick_error;

use crate::protocol::codec;
use crate::state::name;

pub use client::Client;
pub use exchange::{Exchange, Upload};
pub use partition::{Direction, Partition};
pub use server::{Body, Responder, Server};

/// The timeout for connecting, including the handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The flow-control window of a stream in each direction, in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// The maximum number of concurrent streams per connection.
pub const STREAMS_MAX: u32 = 4096;

/// The flow-control window of a connection, in bytes; the maximum of `h2`.
const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;

/// The identity and credentials of a daemon.
#[derive(Clone)]
pub struct Identity {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// The secret shared by all daemons.
    pub secret: Arc<[u8]>,
    /// The injected network partition. Empty except in tests.
    pub partition: Partition,
}

impl Identity {
    /// Creates the identity of `host` without a partition.
    pub fn new(host: name::Host, secret: &[u8]) -> Self {
        Self {
            host,
            secret: Arc::from(secret),
            partition: Partition::default(),
        }
    }
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("host", &self.host)
            .finish_non_exhaustive()
    }
}

quick_error! {
    /// An error from a link or an exchange.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no doc comments on fields")]
    pub enum Error {
        /// Connecting to an address, listening on it or configuring the socket failed.
        Connect { peer: String, cause: io::Error } {
            display("connecting to {}: {}", peer, cause)
            source(cause)
        }
        /// A recent connection attempt failed and the backoff has not elapsed.
        Backoff { peer: String, retry_after: Duration } {
            display("connecting to {}: backing off for {} ms", peer, retry_after.as_millis())
        }
        /// An operation timed out.
        Timeout { operation: &'static str, peer: String } {
            display("{} with {}: timed out", operation, peer)
        }
        /// The handshake failed.
        Refused { peer: String, cause: handshake::Error } {
            display("authenticating {}: {}", peer, cause)
            source(cause)
        }
        /// A frame was too large or malformed.
        Frame { peer: String, cause: codec::Error } {
            display("reading a frame from {}: {}", peer, cause)
            source(cause)
        }
        /// The stream was reset or its connection failed.
        Lost { operation: &'static str, peer: String, cause: String } {
            display("{} with {}: {}", operation, peer, cause)
        }
        /// The peer ended the exchange without the last reply.
        Truncated { peer: String } {
            display("reading from {}: the exchange ended before its last reply", peer)
        }
    }
}
