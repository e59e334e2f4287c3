//! What a dispatcher adds.

use clap::Args;
use std::io;

#[derive(Args, Clone, Debug)]
pub struct PriceArgs {}

/// # Errors
/// Ports cannot be had.
pub fn measure(_args: &PriceArgs) -> io::Result<String> {
    Err(io::Error::other("not measured yet"))
}
