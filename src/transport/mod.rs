//! Network transport: HTTP servers, upstream connections, peer links and the platform client.

pub mod hedge;
pub mod http;
pub mod peer;
pub mod platform;
pub mod socket;
