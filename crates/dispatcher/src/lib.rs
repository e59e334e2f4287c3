//! The running dispatcher.
//!
//! [`ledger::Ledger`] holds the requests, attempts, KV states, links and timers, and drives
//! [`Control`](cindercleat::control::Control); it does no I/O and reads no clock: inputs go in with their
//! instant, outputs come out. [`shell`] moves bytes between it and a transport. One dispatcher is one thread.

pub mod keep;
pub mod ledger;
pub mod planted;
pub mod settings;
pub mod shell;

pub use settings::{Limits, ProgramSettings, Service};
