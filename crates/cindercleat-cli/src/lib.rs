//! The program: settings file, day scripts, and what its sub-commands do.

pub mod bench_day;
pub mod conf;
pub mod day;
pub mod drill;
pub mod duties;
pub mod fleet;
pub mod fleet_settings;
pub mod node;
pub mod price;
pub mod release_plan;
mod releases;
pub mod script;
pub mod seeds;
pub mod send;
pub mod serve;
pub mod settings;
pub mod soak;
pub mod try_it;
