//! Models of the users' platform with its published API: the object store and a runner.

pub(crate) mod deployment;
pub(crate) mod fault;
mod queue;
mod registration;
mod request;
pub(crate) mod runner;
pub(crate) mod store;
