//! cindercleat: routing decisions for language-model servers that read and write in two stages.
//!
//! [`control::Control`] decides; [`interface`] holds the plain types that callers exchange with it.
#![forbid(unsafe_code)]

pub mod control;
pub mod interface;
