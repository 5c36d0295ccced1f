//! Agreement between daemons: membership, holding of upstreams, configuration, claims.
//!
//! Modules here are state machines that are told what happened and when, and say what to do
//! next. Transport performs it.

pub mod backoff;
pub mod heartbeat;
pub mod holding;
pub mod lease;
pub mod membership;
pub mod promise;
pub mod rendezvous;
pub mod spread;
