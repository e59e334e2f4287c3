//! cindercleat: routing decisions for language-model servers that read and write in two stages.
//!
//! [`control::Control`] decides about requests, [`channels::Channels`] about the connections to an engine,
//! [`callers::Caller`] and [`single::Single`] about a client's, [`feed::FeedCalls`] about calls to discovery, [`bounds::Allowed`] about how much of all there
//! may be; [`interface`] holds the plain types that callers exchange with the first.
#![forbid(unsafe_code)]

pub mod bounds;
pub mod callers;
pub mod channels;
pub mod control;
pub mod feed;
pub mod fleet;
pub mod interface;
pub mod single;
pub mod status;
