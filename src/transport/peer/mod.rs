//! Links between daemons: one authenticated connection per peer that carries `h2` streams.
//!
//! Each side proves that it has the shared secret before the first `h2` frame; see [`handshake`].
//! An exchange is one stream: the caller sends one request frame, perhaps followed by a raw body,
//! and the callee answers reply frames. The data windows of a stream are fixed, which bounds the
//! memory that a request takes at a hop. The window of a connection is as large as `h2` allows, so
//! that streams whose reader waits never hold up the others.
//!
//! A link whose peer does not answer a ping in time is closed, and the exchanges on it fail.
//!
//! Links are authenticated but not encrypted: the network between the hosts is trusted not to
//! alter bytes in transit.

mod client;
mod exchange;
mod frames;
mod gate;
pub mod handshake;
mod keepalive;
mod partition;
mod server;

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

/// The time allowed for a connection including both proofs.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The data that a stream may have in flight in one direction, in bytes.
pub const STREAM_WINDOW_BYTES: u32 = 256 << 10;

/// The streams that one connection may have open.
pub const STREAMS_MAX: u32 = 4096;

const CONNECTION_WINDOW_BYTES: u32 = (1 << 31) - 1;

/// Who a daemon is to its peers.
#[derive(Clone)]
pub struct Identity {
    /// The name of the daemon's host.
    pub host: name::Host,
    /// The secret that all daemons share.
    pub secret: Arc<[u8]>,
    /// The peers that this process is cut off from. Empty in normal use.
    pub partition: Partition,
}

impl Identity {
    /// Creates the identity of `host`, cut off from nobody.
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
    /// Says at which step a link or an exchange failed, and with which peer.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no doc comments on fields")]
    pub enum Error {
        /// The peer's address could not be connected or listened to.
        Connect { peer: String, cause: io::Error } {
            display("connecting to {}: {}", peer, cause)
            source(cause)
        }
        /// The peer failed lately and is not tried again yet.
        Backoff { peer: String, retry_after: Duration } {
            display("connecting to {}: not tried again for {} ms", peer, retry_after.as_millis())
        }
        /// A step took too long.
        Timeout { step: &'static str, peer: String } {
            display("{} with {}: timed out", step, peer)
        }
        /// The peer was not accepted, or did not accept this daemon.
        Refused { peer: String, cause: handshake::Error } {
            display("authenticating {}: {}", peer, cause)
            source(cause)
        }
        /// A frame was too long or malformed.
        Frame { peer: String, cause: codec::Error } {
            display("reading a frame from {}: {}", peer, cause)
            source(cause)
        }
        /// The stream or its connection broke.
        Lost { step: &'static str, peer: String, cause: String } {
            display("{} with {}: {}", step, peer, cause)
        }
        /// The peer ended the exchange without its last reply.
        Truncated { peer: String } {
            display("reading from {}: the exchange ended early", peer)
        }
    }
}
