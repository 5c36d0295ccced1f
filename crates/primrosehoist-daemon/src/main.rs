//! The daemon of primrosehoist.

mod logging;
mod node;
mod settings;

fn main() {}
