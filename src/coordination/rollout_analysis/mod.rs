//! Detects whether the units that a rollout has updated perform worse than the units that it has not updated.
//!
//! The analysis compares the outcomes of requests ([`StratifiedComparison`]) and the number of unplanned restarts. A
//! significant difference in either of the two halts the rollout.

mod analysis;
mod comparison;
mod restarts;

pub use analysis::RolloutAnalysis;
pub use comparison::{GroupOutcomes, StratifiedComparison};
