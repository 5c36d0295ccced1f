//! A stream of events about the objects of one kind.

use std::fmt;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::protocol::platform::Event;
use crate::transport::platform::connection::Connection;
use crate::transport::platform::{Error, RESPONSE_BYTES_MAX};

/// The events of one kind, as they happen. Dropping it ends the call.
pub struct Watch {
    step: String,
    body: Incoming,
    rest: BytesMut,
    /// Kept because the connection ends when it is dropped.
    _connection: Connection,
}

impl Watch {
    pub(crate) fn new(step: String, body: Incoming, connection: Connection) -> Self {
        Self {
            step,
            body,
            rest: BytesMut::new(),
            _connection: connection,
        }
    }

    /// Returns the next event, or `None` when the platform ended the watch. Safe to cancel.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection broke or an event is malformed or too long.
    pub async fn next(&mut self) -> Result<Option<Event>, Error> {
        loop {
            if let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') {
                let line = self.rest.split_to(end + 1);
                let event =
                    serde_json::from_slice(&line).map_err(|cause| self.malformed(&cause))?;
                return Ok(Some(event));
            }
            if self.rest.len() > RESPONSE_BYTES_MAX {
                return Err(self.malformed(&"the event is too long"));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|cause| Error::Lost {
                step: self.step.clone(),
                cause: cause.to_string(),
            })?;
            if let Some(data) = frame.data_ref() {
                self.rest.extend_from_slice(data);
            }
        }
    }

    fn malformed(&self, cause: &dyn fmt::Display) -> Error {
        Error::Malformed {
            step: self.step.clone(),
            cause: cause.to_string(),
        }
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("step", &self.step)
            .finish_non_exhaustive()
    }
}
