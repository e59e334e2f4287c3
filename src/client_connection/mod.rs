//! What is decided about a client's connection: [`multiplexed`] where it carries many requests at once, [`http1`]
//! where it carries one at a time.

pub mod http1;
pub mod multiplexed;
