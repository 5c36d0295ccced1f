//! HTTP requests, each on its own connection.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The body of a request.
pub(crate) type Payload = UnsyncBoxBody<Bytes, Infallible>;

/// A response and its connection, which is closed on drop.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// The response.
    pub(crate) response: Response<Incoming>,
    connection: JoinHandle<()>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Exchange {
    /// Sends a request on a new connection and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Fails if the connection cannot be established or breaks.
    pub(crate) async fn start(address: SocketAddr, request: Request<Payload>) -> io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (mut sender, connection) = handshake.map_err(io::Error::other)?;
        let connection = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
        match sender.send_request(request).await {
            Ok(response) => Ok(Exchange {
                response,
                connection,
            }),
            Err(error) => {
                connection.abort();
                Err(io::Error::other(error))
            }
        }
    }

    /// Reads the rest of the body as JSON; returns null if it breaks off or is not JSON.
    pub(crate) async fn json(&mut self) -> Value {
        match self.response.body_mut().collect().await {
            Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }
}

/// Reads the counters of a stand-in.
///
/// # Errors
///
/// Fails if the stand-in cannot be reached or does not respond with JSON.
pub(crate) async fn counts(address: SocketAddr) -> io::Result<Value> {
    let request = Request::get("/standin/counts")
        .header(http::header::HOST, address.to_string())
        .body(Payload::default())
        .map_err(io::Error::other)?;
    let mut exchange = Exchange::start(address, request).await?;
    match exchange.json().await {
        Value::Null => Err(io::Error::other(format!("counts of {address}: no JSON"))),
        counts => Ok(counts),
    }
}
