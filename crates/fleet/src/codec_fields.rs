//! Validation of text fields in received fleet messages.

use cindercleat::coordination::{Address, Name};

/// The maximum length of a text field in a valid message, in bytes.
pub(crate) const MAX_TEXT_BYTES: usize = 256;

/// Returns the field, or `None` if it is empty, is longer than [`MAX_TEXT_BYTES`] or contains control characters.
pub(crate) fn text(field: &str) -> Option<&str> {
    let is_valid =
        !field.is_empty() && field.len() <= MAX_TEXT_BYTES && !field.chars().any(char::is_control);
    is_valid.then_some(field)
}

/// Returns the field as the name of a dispatcher or an engine, or `None` if [`text`] refuses the field.
pub(crate) fn name(field: &str) -> Option<Name> {
    text(field).map(Name::from)
}

/// Returns the field as the address of a fleet service, or `None` if [`text`] refuses the field.
pub(crate) fn address(field: &str) -> Option<Address> {
    text(field).map(Address::from)
}
