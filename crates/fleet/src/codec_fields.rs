//! Text fields of the fleet's messages, checked as they come in.

use cindercleat::coordination::{Address, Name};

/// The longest text field that is accepted, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 256;

/// A text field that is present, not too long and without control characters.
pub(crate) fn text(text: &str) -> Option<&str> {
    let is_valid =
        !text.is_empty() && text.len() <= MAX_TEXT_BYTES && !text.chars().any(char::is_control);
    is_valid.then_some(text)
}

/// A dispatcher's or an engine's name.
pub(crate) fn name(field: &str) -> Option<Name> {
    text(field).map(Name::from)
}

/// The address of a fleet service.
pub(crate) fn address(field: &str) -> Option<Address> {
    text(field).map(Address::from)
}
