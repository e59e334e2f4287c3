//! The running dispatcher.
//!
//! [`state::Dispatcher`] is the state machine: it holds requests, attempts, KV states, connections and timers, and asks
//! [`Control`](cindercleat::control::Control) for each decision. It does no I/O and reads no clock: inputs go in with
//! their instant, outputs come out. [`driver`] moves bytes between it and a transport. A dispatcher runs on one thread.
#![warn(missing_docs)]

pub mod driver;
pub mod endpoint_cache;
pub mod fault_injection;
pub mod settings;
pub mod state;

pub use settings::{Limits, ProgramSettings, ServiceSettings};
