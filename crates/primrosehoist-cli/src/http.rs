//! HTTP calls to the platform and to admin ports.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::{Method, Request};
use primrosehoist::transport::platform::Target;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// The time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The most bytes of a response body that are read.
const RESPONSE_BYTES_MAX: u64 = 64 << 20;

/// The status and body of a response.
#[derive(Debug)]
pub(crate) struct Response {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// An HTTP server, with the credentials for it.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    /// The address on which the server listens.
    pub(crate) address: SocketAddr,
    /// The bearer token, if the server requires one.
    pub(crate) token: Option<String>,
}

/// A call to an endpoint.
#[derive(Debug)]
pub(crate) struct Call<'c> {
    /// The purpose of the call, as shown in errors.
    pub(crate) operation: &'static str,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) target: &'c Target,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Endpoint {
    /// Makes a call and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within two seconds.
    pub(crate) fn call(&self, call: Call<'_>) -> Result<Response, Error> {
        let operation = call.operation;
        self.exchange(call).map_err(|error| {
            Error::Call(operation, self.address.to_string(), reword_timeout(error))
        })
    }

    /// Gets a JSON document, or `None` if the server responds with status 404.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives, if the status is neither 200 nor 404, or if the body
    /// is not the expected JSON.
    pub(crate) fn get<T>(
        &self,
        operation: &'static str,
        target: &Target,
    ) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let response = self.call(Call {
            operation,
            method: Method::GET,
            target,
            body: Vec::new(),
        })?;
        match response.status {
            200 => self.decode(operation, &response).map(Some),
            404 => Ok(None),
            _ => Err(self.unexpected_status(operation, &response)),
        }
    }

    /// Decodes the JSON body of a response.
    ///
    /// # Errors
    ///
    /// Fails if the body is not the expected JSON.
    pub(crate) fn decode<T>(&self, operation: &'static str, response: &Response) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&response.body)
            .map_err(|error| Error::Decode(operation, self.address.to_string(), error))
    }

    /// Returns the error for an unexpected status.
    pub(crate) fn unexpected_status(&self, operation: &'static str, response: &Response) -> Error {
        const SHOWN_CHARS_MAX: usize = 200;
        let body = String::from_utf8_lossy(&response.body);
        let body = body.trim().chars().take(SHOWN_CHARS_MAX).collect();
        Error::Status(operation, self.address.to_string(), response.status, body)
    }

    fn exchange(&self, call: Call<'_>) -> io::Result<Response> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.target))
            .header("content-type", "application/json")
            .header("x-client", "operator");
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let request = request.body(call.body).map_err(io::Error::other)?;
        let client = Client::new().with_global_timeout(CALL_TIMEOUT);
        let response = client.request(request)?;
        let status = response.status().as_u16();
        let mut body = Vec::new();
        io::copy(
            &mut io::Read::take(response.into_body(), RESPONSE_BYTES_MAX),
            &mut body,
        )?;
        Ok(Response { status, body })
    }
}

/// Replaces the operating system's message for an expired timeout by one that names the limit.
fn reword_timeout(error: io::Error) -> io::Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => {
            let reason = format!("not within {} s", CALL_TIMEOUT.as_secs());
            io::Error::new(ErrorKind::TimedOut, reason)
        }
        _ => error,
    }
}

/// Encodes a JSON body.
///
/// # Errors
///
/// Fails if the value cannot be represented as JSON.
pub(crate) fn encode<T>(value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(Error::Encode)
}
