//! Connections: peer links, HTTP towards callers, upstreams and the platform.

pub mod peer;
