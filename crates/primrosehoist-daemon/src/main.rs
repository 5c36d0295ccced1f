//! The daemon of primrosehoist.

mod cluster;
mod node;

fn main() {}
