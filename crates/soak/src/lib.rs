//! The soak test runs real processes of the program over the platform's protocol on loopback, between stand-ins of
//! engines, clients and discovery. Faults that overlap in time are drawn from a seed.
//!
//! [`plan`] draws the faults, [`run`] injects them, and [`audit`] checks what the stand-ins observed. Of the program's
//! own account, only the violations that its processes log are used: they have to agree with the audit.

pub mod audit;
mod client;
mod configuration;
pub mod connection_trace;
mod discovery;
mod engine;
pub mod hostile_clients;
pub mod plan;
mod process;
mod proxy;
pub mod readings;
pub mod run;
mod service;

/// A time in milliseconds since the soak began, or a duration in milliseconds.
pub type Ms = f64;
