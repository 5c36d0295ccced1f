//! The messages sent over connections and datagrams, and their encodings.

pub mod codec;
pub mod event;
pub mod explanation;
pub mod gossip;
pub mod handover;
pub mod header;
pub mod openai;
pub mod operator;
pub mod platform;
pub mod snapshot;
pub mod sse;
pub mod status;
pub mod wire;

pub use crate::state::outcome;
