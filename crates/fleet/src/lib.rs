//! I/O for `cindercleat::coordination`: messages over the schema's `Fleet` service ([`codec`]), the voter's file
//! ([`acceptor_storage`]), and the driver that connects a member to a transport, a clock and that file ([`driver`]).
//! [`admin_client`] sends operators' requests to members, and [`job`] holds a lease for work outside of the
//! dispatchers.
#![forbid(unsafe_code)]

pub mod acceptor_storage;
pub mod admin_client;
pub mod codec;
mod codec_fields;
pub mod driver;
pub mod job;
mod rollout_codec;

pub use driver::{Dispatcher, Driver};
