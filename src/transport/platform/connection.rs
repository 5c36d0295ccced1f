//! Connection pool for the platform.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;

use crate::transport::socket;

/// The maximum number of idle connections.
const IDLE_MAX: usize = 4;

/// A failed call, by whether any of it was sent.
#[derive(Debug)]
pub(crate) enum Failure {
    /// Nothing was sent.
    Unsent(String),
    /// Some of the request was sent.
    Sent(String),
}

/// An open connection.
pub(crate) type Connection = SendRequest<Full<Bytes>>;

/// A connection pool for one address. Clones share the connections.
#[derive(Debug, Clone)]
pub(crate) struct Pool {
    address: Arc<str>,
    /// The local address of the connections, or `None` for the one that the route selects.
    source: Option<IpAddr>,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Pool {
    pub(crate) fn new(address: &str) -> Self {
        Self {
            address: Arc::from(address),
            source: None,
            idle: Arc::default(),
        }
    }

    /// Creates a pool of connections from the local address `source`.
    pub(crate) fn bound_to(address: &str, source: IpAddr) -> Self {
        Self {
            source: Some(source),
            ..Self::new(address)
        }
    }

    /// Sends `request` on an idle connection if one is still open, or on a new one.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        while let Some(mut connection) = self.take_idle() {
            match connection.try_send_request(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Sent(error.error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await.map_err(Failure::Unsent)?;
        match connection.try_send_request(request).await {
            Ok(response) => Ok((response, connection)),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = error.error().to_string();
                Err(if unsent {
                    Failure::Unsent(cause)
                } else {
                    Failure::Sent(cause)
                })
            }
        }
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn put_idle(&self, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_MAX && !connection.is_closed() {
            idle.push(connection);
        }
    }

    /// Closes the idle connections.
    pub(crate) fn clear(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    async fn connect(&self) -> Result<Connection, String> {
        let stream = socket::connect_to(&self.address, self.source)
            .await
            .map_err(|cause| cause.to_string())?;
        socket::configure(&stream).map_err(|cause| cause.to_string())?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| cause.to_string())?;
        tokio::spawn(connection);
        Ok(sender)
    }
}
