//! Streams of events for the objects of one kind.

use std::fmt;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::protocol::platform::Event;
use crate::transport::platform::connection::Connection;
use crate::transport::platform::{Error, RESPONSE_BYTES_MAX};

/// A stream of events for one kind of object. Dropping it closes the connection.
pub struct Watch {
    operation: String,
    body: Incoming,
    buffer: BytesMut,
    /// Dropping it would close the connection.
    _connection: Connection,
}

impl Watch {
    pub(crate) fn new(operation: String, body: Incoming, connection: Connection) -> Self {
        Self {
            operation,
            body,
            buffer: BytesMut::new(),
            _connection: connection,
        }
    }

    /// Returns the next event, or `None` if the platform ended the watch. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or an event is malformed or too long.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let event =
                    serde_json::from_slice(&line).map_err(|cause| self.malformed(&cause))?;
                return Ok(Some(event));
            }
            if self.buffer.len() > RESPONSE_BYTES_MAX {
                return Err(self.malformed(&"the event is too long"));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|cause| Error::Lost {
                operation: self.operation.clone(),
                cause: cause.to_string(),
            })?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }

    fn malformed(&self, cause: &dyn fmt::Display) -> Error {
        Error::Malformed {
            operation: self.operation.clone(),
            cause: cause.to_string(),
        }
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("operation", &self.operation)
            .finish_non_exhaustive()
    }
}
