//! A soak test of the program: real processes of it over the platform's protocol on loopback, between stand-ins of
//! engines, clients and discovery, with troubles that overlap in time, drawn from a seed.
//!
//! [`plan`] draws the troubles, [`run`] plays them, and [`audit`] judges what the stand-ins saw. Nothing of the program's
//! own account is believed but for its violation counters, which have to agree with the audit.

pub mod audit;
mod client;
mod configuration;
mod discovery;
mod engine;
pub mod passage;
pub mod plan;
mod process;
mod proxy;
pub mod readings;
pub mod run;
mod service;

/// Milliseconds since the soak began, or a span of them.
pub type Ms = f64;
