//! The cli of primrosehoist.

fn main() {}
