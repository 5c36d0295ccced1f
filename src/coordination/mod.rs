//! Coordination between daemons: membership, upstream ownership, configuration, idempotency claims.
//!
//! The modules are state machines: they receive events with timestamps and return the actions
//! to perform. They do no I/O; [`transport`](crate::transport) does.

pub mod admission;
pub mod allowance;
pub mod assign;
pub mod backoff;
pub mod claim;
pub mod comeback;
pub mod failover;
pub mod gossip;
pub mod heartbeat;
pub mod holding;
pub mod lease;
pub mod membership;
pub mod peers;
pub mod permit;
pub mod poison;
pub mod promise;
pub mod reconcile;
pub mod rendezvous;
pub mod replica;
pub mod request;
pub mod retry;
pub mod seeds;
pub mod share;
pub mod shutdown;
pub mod stall;
pub mod turn;
pub mod waiting;
pub mod watchers;
