//! Agreement between daemons: membership, holding of upstreams, configuration, claims.
//!
//! Modules here are state machines that are told what happened and when, and say what to do
//! next. Transport performs it.

pub mod admission;
pub mod claim;
pub mod lease;
pub mod poison;
