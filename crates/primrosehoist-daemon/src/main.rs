//! The daemon of primrosehoist.

fn main() {}
