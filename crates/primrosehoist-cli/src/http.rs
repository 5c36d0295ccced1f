//! Calls to the platform and to admin ports.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: u64 = 64 << 20;

/// The status and body of an answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Vec<u8>,
}

/// One peer, with the credentials for it.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    /// Where the peer listens.
    pub(crate) address: SocketAddr,
    /// The bearer token, if the peer wants one.
    pub(crate) token: Option<String>,
}

/// A call to a peer.
#[derive(Debug)]
pub(crate) struct Call<'c> {
    /// What the call is for, as shown in errors.
    pub(crate) step: &'static str,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) path: &'c str,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl Peer {
    /// Makes a call and returns its answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer arrives within two seconds.
    pub(crate) fn call(&self, call: Call<'_>) -> Result<Answer, Error> {
        let step = call.step;
        self.exchange(call)
            .map_err(|error| Error::Call(step, self.address.to_string(), explain(error)))
    }

    /// Gets a JSON document; a missing one is `None`.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer arrives, and for any status but 200 and 404.
    pub(crate) fn get<T>(&self, step: &'static str, path: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let answer = self.call(Call {
            step,
            method: Method::GET,
            path,
            body: Vec::new(),
        })?;
        match answer.status {
            200 => self.decode(step, &answer).map(Some),
            404 => Ok(None),
            _ => Err(self.unexpected(step, &answer)),
        }
    }

    /// Reads the JSON document in an answer.
    ///
    /// # Errors
    ///
    /// Fails if the body is of another form.
    pub(crate) fn decode<T>(&self, step: &'static str, answer: &Answer) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        serde_json::from_slice(&answer.body)
            .map_err(|error| Error::Decode(step, self.address.to_string(), error))
    }

    /// Returns the error for an unexpected status.
    pub(crate) fn unexpected(&self, step: &'static str, answer: &Answer) -> Error {
        const SHOWN_CHARS: usize = 200;
        let body = String::from_utf8_lossy(&answer.body);
        let body = body.trim().chars().take(SHOWN_CHARS).collect();
        Error::Answer(step, self.address.to_string(), answer.status, body)
    }

    fn exchange(&self, call: Call<'_>) -> io::Result<Answer> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
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
            &mut io::Read::take(response.into_body(), ANSWER_BYTES_MAX),
            &mut body,
        )?;
        Ok(Answer { status, body })
    }
}

/// Words an expired time limit, which the library reports in the words of the system.
fn explain(error: io::Error) -> io::Error {
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
/// Fails if the value has no JSON form.
pub(crate) fn encode<T>(value: &T) -> Result<Vec<u8>, Error>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(Error::Encode)
}
