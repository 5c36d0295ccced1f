//! A client of the daemons: sends one request and classifies the response.

pub(crate) mod answer;
pub(crate) mod connection;
pub(crate) mod prompt;
pub(crate) mod service;
pub(crate) mod text;
