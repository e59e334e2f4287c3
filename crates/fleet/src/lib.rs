//! Carries out what `cindercleat::coordination` decides: messages over the schema's `Fleet` service ([`codec`]), the voter's
//! file ([`acceptor_storage`]), and the loop that joins both with a transport and a clock ([`driver`]). [`admin_client`] is the operators'
//! end of it, and [`job`] holds a lease for work outside of the dispatchers.
#![forbid(unsafe_code)]

pub mod acceptor_storage;
pub mod admin_client;
pub mod codec;
mod codec_fields;
pub mod driver;
pub mod job;
mod rollout_codec;

pub use driver::{Dispatcher, Driver};
