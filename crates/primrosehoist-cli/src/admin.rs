//! The admin ports of daemons.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use oxhttp::model::Method;
use primrosehoist::protocol::operator;
use primrosehoist::protocol::status::Status;

use crate::error::Error;
use crate::http::{Call, Peer};

/// The fewest bytes of a shared secret.
const SECRET_BYTES_MIN: usize = 16;

/// The right to use admin ports.
#[derive(Debug, Clone)]
pub(crate) struct Admin {
    token: String,
}

impl Admin {
    /// Derives the operators' token from the shared secret in a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or holds fewer than 16 bytes.
    pub(crate) fn load(path: &Path) -> Result<Self, Error> {
        let content =
            fs::read_to_string(path).map_err(|error| Error::Read(path.to_owned(), error))?;
        let secret = content.trim().as_bytes();
        if secret.len() < SECRET_BYTES_MIN {
            return Err(Error::Secret(path.to_owned()));
        }
        let token = operator::token(secret);
        Ok(Self { token })
    }

    /// Asks a daemon for its status.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer, or answers anything unexpected.
    pub(crate) fn status(&self, address: SocketAddr) -> Result<Status, Error> {
        let step = "read the status";
        let peer = self.peer(address);
        let answer = peer.call(Call {
            step,
            method: Method::GET,
            path: "/admin/status",
            body: Vec::new(),
        })?;
        match answer.status {
            200 => peer.decode(step, &answer),
            _ => Err(peer.unexpected(step, &answer)),
        }
    }

    /// Tells a daemon to finish what it has and end.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not answer, or refuses.
    pub(crate) fn drain(&self, address: SocketAddr) -> Result<(), Error> {
        let step = "start the drain";
        let peer = self.peer(address);
        let answer = peer.call(Call {
            step,
            method: Method::POST,
            path: "/admin/drain",
            body: Vec::new(),
        })?;
        match answer.status {
            200..=299 => Ok(()),
            _ => Err(peer.unexpected(step, &answer)),
        }
    }

    fn peer(&self, address: SocketAddr) -> Peer {
        Peer {
            address,
            token: Some(self.token.clone()),
        }
    }
}
