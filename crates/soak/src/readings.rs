//! Sentences of the platform's pages that can be read in two ways. A soak takes one reading of each, drawn from its seed: the
//! program has to be right under all of them. `docs/acceptance.md` has the sentences.

use nanorand::{Rng, WyRand};
use std::fmt;

/// What a release lets go of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseScope {
    /// 'Everything held for the request.'
    Everything,
    /// Every state 'that no attempt waits for'.
    WhatNoAttemptWaitsFor,
}

/// When an attempt that its process closes is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOver {
    /// With the close.
    AtTheClose,
    /// Once its engine has noticed the close.
    WhenTheEngineNotices,
}

/// What an engine that hangs does with a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HungRelease {
    /// It carries it out and confirms it, as the part of it that serves such calls still runs.
    Confirmed,
    /// It does nothing before it goes on.
    Unanswered,
}

/// The readings that a soak takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readings {
    pub release: ReleaseScope,
    pub over: AttemptOver,
    pub hung_release: HungRelease,
}

impl Readings {
    /// The readings of a platform that is as simple as can be.
    pub const PLAIN: Readings = Readings {
        release: ReleaseScope::Everything,
        over: AttemptOver::AtTheClose,
        hung_release: HungRelease::Unanswered,
    };

    pub fn draw(rng: &mut WyRand) -> Readings {
        let mut heads = || rng.generate_range(0..2u32) == 0;
        Readings {
            release: if heads() {
                ReleaseScope::Everything
            } else {
                ReleaseScope::WhatNoAttemptWaitsFor
            },
            over: if heads() {
                AttemptOver::AtTheClose
            } else {
                AttemptOver::WhenTheEngineNotices
            },
            hung_release: if heads() {
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
        let over = match self.over {
            AttemptOver::AtTheClose => "with its close",
            AttemptOver::WhenTheEngineNotices => "when its engine notices the close",
        };
        let hung_release = match self.hung_release {
            HungRelease::Confirmed => "confirms releases",
            HungRelease::Unanswered => "answers no release",
        };
        write!(
            f,
            "a release {release}; an attempt is over {over}; an engine that hangs {hung_release}"
        )
    }
}
