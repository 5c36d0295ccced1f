//! Connections: peer links, HTTP towards callers, upstreams and the platform.

pub mod http;
pub mod peer;
pub mod platform;
pub mod socket;
