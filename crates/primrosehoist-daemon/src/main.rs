//! The daemon of primrosehoist.

mod logging;
mod metrics;
mod node;
mod settings;

fn main() {}
