//! The state of the fleet and the pure decisions based on it.
//!
//! Nothing here performs I/O or reads a clock: a decision receives the state and the current time
//! as arguments. This makes every policy testable on a paused clock and replayable from a seed.

pub mod bounds;
pub mod budget;
pub mod change;
pub mod crash;
pub mod crowd;
pub mod engine;
pub mod files;
pub mod fleet;
pub mod handoff;
pub mod health;
pub mod limit;
pub mod map;
pub mod memory;
pub mod name;
pub mod occupancy;
pub mod outcome;
pub mod partition;
pub mod placement;
pub mod plan;
pub mod queue;
pub mod rate;
pub mod reach;
pub mod roster;
pub mod route;
pub mod sampler;
pub mod versions;
pub mod view;
pub mod window;
