//! The platform's pages contain sentences that can be read in two ways; `docs/acceptance.md` lists them. A soak takes
//! one reading of each, drawn from its seed, and the program has to be correct under all readings.

use nanorand::{Rng, WyRand};
use std::fmt;

/// Which KV states a release frees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseScope {
    /// A release frees everything that is held for the request.
    Everything,
    /// A release frees each state that no attempt waits for.
    WhatNoAttemptWaitsFor,
}

/// When an attempt counts as ended if its process closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedAttemptEnds {
    /// The attempt ends when the process closes the connection.
    AtTheClose,
    /// The attempt ends when the engine notices the close.
    WhenTheEngineNotices,
}

/// How an engine that hangs treats a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HungRelease {
    /// The engine frees the state and confirms the release, as the part of it that serves such calls still runs.
    Confirmed,
    /// The engine does nothing until it no longer hangs.
    Unanswered,
}

/// The reading of each ambiguous sentence that applies in a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readings {
    pub release: ReleaseScope,
    pub closed_attempt_ends: ClosedAttemptEnds,
    pub hung_release: HungRelease,
}

impl Readings {
    /// The simplest readings: a release frees everything, an attempt ends at the close, and a hung engine answers no
    /// release.
    pub const PLAIN: Readings = Readings {
        release: ReleaseScope::Everything,
        closed_attempt_ends: ClosedAttemptEnds::AtTheClose,
        hung_release: HungRelease::Unanswered,
    };

    /// Draws one of the two readings of each sentence, with equal probability.
    pub fn draw(rng: &mut WyRand) -> Readings {
        let mut coin = || rng.generate_range(0..2u32) == 0;
        Readings {
            release: if coin() {
                ReleaseScope::Everything
            } else {
                ReleaseScope::WhatNoAttemptWaitsFor
            },
            closed_attempt_ends: if coin() {
                ClosedAttemptEnds::AtTheClose
            } else {
                ClosedAttemptEnds::WhenTheEngineNotices
            },
            hung_release: if coin() {
                HungRelease::Confirmed
            } else {
                HungRelease::Unanswered
            },
        }
    }
}

impl fmt::Display for Readings {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let release = match self.release {
            ReleaseScope::Everything => "lets everything go",
            ReleaseScope::WhatNoAttemptWaitsFor => "lets go what no attempt waits for",
        };
        let attempt_end = match self.closed_attempt_ends {
            ClosedAttemptEnds::AtTheClose => "with its close",
            ClosedAttemptEnds::WhenTheEngineNotices => "when its engine notices the close",
        };
        let hung_release = match self.hung_release {
            HungRelease::Confirmed => "confirms releases",
            HungRelease::Unanswered => "answers no release",
        };
        write!(
            f,
            "a release {release}; an attempt is over {attempt_end}; an engine that hangs {hung_release}"
        )
    }
}
