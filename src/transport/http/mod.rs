//! HTTP/1.1 towards callers and upstreams.

pub mod body;
pub mod read_timeout;
pub mod server;
pub mod upstream;
pub mod write_timeout;

/// The error of a body, whatever it comes from.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request on its way to an upstream.
pub type Payload = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BoxError>;
