//! Agreement between daemons: membership, holding of upstreams, configuration, claims.
//!
//! Modules here are state machines that are told what happened and when, and say what to do
//! next. Transport performs it.

pub mod admission;
pub mod allowance;
pub mod assign;
pub mod backoff;
pub mod claim;
pub mod course;
pub mod heartbeat;
pub mod holding;
pub mod lease;
pub mod membership;
pub mod poison;
pub mod promise;
pub mod reconcile;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod silence;
pub mod spread;
pub mod watchers;
