//! The users' platform in its published dialect: its object store, and a runner.

pub(crate) mod runner;
pub(crate) mod store;
