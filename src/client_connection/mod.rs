//! Decisions about one client's connection: [`multiplexed`] where it carries many requests at once (gRPC), [`http1`]
//! where it carries one at a time (HTTP/1.1).

pub mod http1;
pub mod multiplexed;
