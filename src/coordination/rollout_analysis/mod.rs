//! Whether the units that a rollout has updated do worse than the others.
//!
//! Two signs are looked for: outcomes of requests ([`StratifiedComparison`]) and restarts that nobody asked for. One
//! sign is enough to halt a rollout.

mod analysis;
mod comparison;
mod restarts;

pub use analysis::RolloutAnalysis;
pub use comparison::{GroupOutcomes, StratifiedComparison};
