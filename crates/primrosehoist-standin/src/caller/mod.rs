//! A caller of the daemons: sends one request and judges what comes back.

pub(crate) mod answer;
pub(crate) mod connection;
pub(crate) mod prompt;
pub(crate) mod service;
pub(crate) mod text;
