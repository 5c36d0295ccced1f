//! Client for the admin ports of daemons.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use oxhttp::model::Method;
use primrosehoist::protocol::operator;
use primrosehoist::protocol::status::Status;
use primrosehoist::transport::platform::Target;

use crate::error::Error;
use crate::http::{Call, Endpoint};

/// The minimum length of a shared secret, in bytes.
const SECRET_BYTES_MIN: usize = 16;

/// A client with the token that admin ports require.
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
            return Err(Error::ShortSecret(path.to_owned()));
        }
        let token = operator::token(secret);
        Ok(Self { token })
    }

    /// Requests the status of a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond, or if its response is unexpected.
    pub(crate) fn status(&self, address: SocketAddr) -> Result<Status, Error> {
        let operation = "read the status";
        let endpoint = self.endpoint(address);
        let response = endpoint.call(Call {
            operation,
            method: Method::GET,
            target: &Target::new("/admin/status"),
            body: Vec::new(),
        })?;
        match response.status {
            200 => endpoint.decode(operation, &response),
            _ => Err(endpoint.unexpected_status(operation, &response)),
        }
    }

    /// Starts the graceful shutdown of a daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond, or refuses.
    pub(crate) fn drain(&self, address: SocketAddr) -> Result<(), Error> {
        let operation = "start the drain";
        let endpoint = self.endpoint(address);
        let response = endpoint.call(Call {
            operation,
            method: Method::POST,
            target: &Target::new("/admin/drain"),
            body: Vec::new(),
        })?;
        match response.status {
            200..=299 => Ok(()),
            _ => Err(endpoint.unexpected_status(operation, &response)),
        }
    }

    fn endpoint(&self, address: SocketAddr) -> Endpoint {
        Endpoint {
            address,
            token: Some(self.token.clone()),
        }
    }
}
