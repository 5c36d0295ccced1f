//! The daemon of primrosehoist.

mod caller;
mod dispatch;
mod holder;
mod logging;
mod node;
mod progress;
mod settings;

fn main() {}
