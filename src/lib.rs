//! A serving layer for prompts of a thousand to a million tokens on one shared fleet.
//!
//! The layers, from the top down, are [`transport`], [`protocol`], [`coordination`] and
//! [`state`]. A layer imports only from those below it.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
