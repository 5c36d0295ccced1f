//! The daemon of primrosehoist.

mod node;

fn main() {}
