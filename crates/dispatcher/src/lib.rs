//! The running dispatcher.
//!
//! [`state::Dispatcher`] holds the requests, attempts, KV states, connections and timers, and drives
//! [`Control`](cindercleat::control::Control); it does no I/O and reads no clock: inputs go in with their
//! instant, outputs come out. [`driver`] moves bytes between it and a transport. One dispatcher is one thread.

pub mod driver;
pub mod endpoint_cache;
pub mod fault_injection;
pub mod settings;
pub mod state;

pub use settings::{Limits, ProgramSettings, ServiceSettings};
