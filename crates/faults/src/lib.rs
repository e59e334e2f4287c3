//! Faults on a virtual clock: days drawn from a seed and played in memory by the code that serves, with every
//! rule checked; what breaks one is cut down and can be replayed.
#![forbid(unsafe_code)]

pub mod draw;
pub mod drill;
pub mod duties;
pub mod explore;
pub mod fleet;
pub mod model;
pub mod plan;
pub mod shrink;
pub mod world;
