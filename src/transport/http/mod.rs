//! HTTP/1.1 servers and upstream connections.

pub mod body;
pub mod places;
pub mod read_timeout;
pub mod server;
pub mod upstream;
pub mod write_timeout;

/// A boxed error of any body type.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request to an upstream.
pub type Payload = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, BoxError>;
