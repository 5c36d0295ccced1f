//! Request and response bodies.

use std::sync::Arc;
use std::time::SystemTime;

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use quick_error::quick_error;
use serde::Serialize;
use serde_json::json;

quick_error! {
    /// Closes a connection without a response, or in the middle of one.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Closed {
        /// The connection is closed immediately.
        Now { display("the connection is closed on purpose") }
    }
}

/// A response body that may be cut off by closing the connection.
pub(crate) type Payload = UnsyncBoxBody<Bytes, Closed>;

/// The result of handling a request.
pub(crate) type Answer = Result<Response<Payload>, Closed>;

/// Returns a body that is sent in one piece.
pub(crate) fn whole(content: impl Into<Bytes>) -> Payload {
    Full::new(content.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that is streamed in pieces.
pub(crate) fn pieces<Pieces>(pieces: Pieces) -> Payload
where
    Pieces: Stream<Item = Result<Bytes, Closed>> + Send + 'static,
{
    StreamBody::new(pieces.map(|piece| piece.map(Frame::data))).boxed_unsync()
}

/// Returns a response whose body has the given media type.
pub(crate) fn response(
    status: StatusCode,
    media_type: &'static str,
    content: Payload,
) -> Response<Payload> {
    let mut response = Response::new(content);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static(media_type),
    );
    response
}

/// Returns a JSON response.
///
/// # Panics
///
/// Panics if `content` cannot be serialized as JSON.
pub(crate) fn json<Content>(status: StatusCode, content: &Content) -> Response<Payload>
where
    Content: Serialize,
{
    let text = serde_json::to_vec(content).expect("responses are plain data");
    response(status, "application/json", whole(text))
}

/// The reason why a request was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// The status of the response.
    pub(crate) status: StatusCode,
    /// The error code.
    pub(crate) code: &'static str,
    /// The error message.
    pub(crate) message: String,
}

impl Refusal {
    /// Creates a refusal.
    pub(crate) fn new(status: StatusCode, code: &'static str, message: &str) -> Refusal {
        Refusal {
            status,
            code,
            message: message.to_owned(),
        }
    }

    /// Returns the refusal as an error response in the format of the `OpenAI` API.
    pub(crate) fn response(&self) -> Response<Payload> {
        let error = json!({"message": &self.message, "type": "stand_in", "code": self.code});
        json(self.status, &json!({"error": error}))
    }
}

/// Returns an error response in the format of the `OpenAI` API.
pub(crate) fn error(status: StatusCode, code: &'static str, message: &str) -> Response<Payload> {
    Refusal::new(status, code, message).response()
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// Returns status 413 if the body is longer and 400 if it breaks off.
pub(crate) async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, StatusCode> {
    let announced = body.size_hint().lower() as usize;
    let mut content = BytesMut::with_capacity(announced.min(limit));
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(StatusCode::BAD_REQUEST);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if content.len() + data.len() > limit {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        content.extend_from_slice(&data);
    }
    Ok(content.freeze())
}

/// Returns the value of a header if it is present and UTF-8.
pub(crate) fn header(headers: &HeaderMap, name: &str) -> Option<Arc<str>> {
    let value = headers.get(name)?.as_bytes();
    str::from_utf8(value).ok().map(Arc::from)
}

/// Returns the time since the Unix epoch in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Encodes bytes as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    let digits =
        |byte: &u8| [byte >> 4, byte & 15].map(|digit| char::from_digit(u32::from(digit), 16));
    bytes.iter().flat_map(digits).flatten().collect()
}
