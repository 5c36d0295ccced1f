//! Messages: what goes over a connection and how it is encoded.

pub mod codec;
pub mod event;
pub mod notice;
pub mod openai;
pub mod operator;
pub mod picture;
pub mod platform;
pub mod sse;
pub mod status;
pub mod wire;

pub use crate::state::outcome;
