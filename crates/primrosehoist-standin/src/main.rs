//! The standin of primrosehoist.

fn main() {}
