//! The two stages of a request, prefill and decode.

use crate::interface::Role;

/// What an attempt does at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Computes the KV state of the prompt.
    Prefill,
    /// Takes over the KV state and generates the answer.
    Decode,
}

impl Stage {
    pub(super) fn is_served_by(self, role: Role) -> bool {
        match role {
            Role::Both => true,
            Role::Prefill => self == Stage::Prefill,
            Role::Decode => self == Stage::Decode,
        }
    }
}
