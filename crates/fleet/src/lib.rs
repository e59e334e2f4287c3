//! Carries out what `cindercleat::coordination` decides: messages over the schema's `Fleet` service ([`words`]), the voter's
//! file ([`file`]), and the loop that joins both with a transport and a clock ([`shell`]). [`ask`] is the operators'
//! end of it, and [`job`] holds a duty for work outside of the dispatchers.
#![forbid(unsafe_code)]

pub mod ask;
mod care_words;
pub mod file;
pub mod job;
pub mod shell;
pub mod words;

pub use shell::{Dispatcher, Shell};
