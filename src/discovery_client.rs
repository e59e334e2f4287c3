//! What a dispatcher decides about its calls to discovery: how long one may say nothing before it is given up, and
//! when the next is made.
//!
//! Like [`channels`](crate::channels) it does no I/O and reads no clock; chance comes from the seed.

use crate::interface::Ms;
use nanorand::{Rng, WyRand};

/// What a call on a new connection asks for first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    WholeList,
    /// What has changed since a version that is known.
    ChangesSince(u64),
}

/// Times of the calls to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoverySettings {
    /// A connection must be up by then.
    pub connect: Ms,
    /// The first answer on a connection, which waits for nothing, must have begun to come by then, counted from the
    /// connection; a whole one, and each later one, which may wait for a change, be there by the second.
    pub first_quiet: Ms,
    pub quiet: Ms,
    /// The wait after a call that was lost, doubled each time up to the most.
    pub again_first: Ms,
    pub again_most: Ms,
    /// Whether a call after one that was lost goes on from the list that is known. Guards against a service that all
    /// dispatchers share and that refuses calls while it is crowded: the whole list and the watch behind it are two calls,
    /// and when each that is refused is followed by both, none ever gets both through.
    pub resumes: bool,
}

/// The waits after a lost call where nothing bounds them but what a feed bears.
const AGAIN_FIRST: Ms = 100.0;
const AGAIN_MOST: Ms = 2_000.0;

impl DiscoverySettings {
    /// Of a feed that speaks only when there is something to tell, and whose wire finds a dead peer by itself.
    pub fn unhurried(connect: Ms) -> Self {
        let never = f64::INFINITY;
        let (again_first, again_most) = (AGAIN_FIRST, AGAIN_MOST);
        DiscoverySettings {
            connect,
            first_quiet: never,
            quiet: never,
            again_first,
            again_most,
            resumes: false,
        }
    }

    /// How long after discovery can be reached (again) its list is asked for on a connection that is up, whatever
    /// became of the calls before: the last of them was made just too early and is given up first.
    pub fn asks_within(&self) -> Ms {
        let given_up = self.connect + self.first_quiet.max(self.quiet);
        given_up + self.again_first.max(self.again_most) + self.connect
    }
}

/// After lists that cannot be used, such as one that is too long, the wait grows up to this: each costs discovery as much as
/// a good one. A third of the six seconds after which what discovery has counts as told.
pub const UNUSABLE_MOST: Ms = 2_000.0;

/// Discovery that gives only older lists for this long has begun to count anew, as it does when it was set up afresh.
/// Half of the six seconds after which what it has counts as told.
const COUNTS_ANEW_AFTER: Ms = 3_000.0;

/// One dispatcher's calls to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryCalls {
    settings: DiscoverySettings,
    rng: WyRand,
    wait: Ms,
    /// Whether anything came on the present connection.
    answered: bool,
    /// Whether discovery at this address was never called: its list may differ in more than its newest changes.
    never_called: bool,
    /// Since when discovery has given nothing but lists that are older than the newest.
    older_since: Option<Ms>,
}

impl DiscoveryCalls {
    pub fn new(settings: DiscoverySettings, seed: u64) -> Self {
        let rng = WyRand::new_seed(seed);
        DiscoveryCalls {
            settings,
            rng,
            wait: settings.again_first,
            answered: false,
            never_called: true,
            older_since: None,
        }
    }

    /// A connection is about to be made; gives what is asked for on it. `known`: the version of the newest list, if there
    /// is one. What lags behind it, or counts anew, is asked for the whole list until one was taken.
    pub fn calling(&mut self, known: Option<u64>) -> FirstCall {
        self.answered = false;
        let first = std::mem::replace(&mut self.never_called, false);
        match known {
            Some(version) if self.settings.resumes && !first && self.older_since.is_none() => {
                FirstCall::ChangesSince(version)
            }
            _ => FirstCall::WholeList,
        }
    }

    /// An answer has begun to come.
    pub fn begins(&mut self) {
        self.answered = true;
    }

    /// A list came.
    pub fn answered(&mut self) {
        (self.answered, self.wait) = (true, self.settings.again_first);
    }

    /// Whether a list of this version replaces, or a change of it adds to, the newest one that is known. Guards against
    /// a replica of discovery that lags behind: its list would bring engines back that drain or are gone.
    pub fn takes(&mut self, whole: bool, version: u64, newest: u64, now: Ms) -> bool {
        if version >= newest {
            self.older_since = None;
            return true;
        }
        let since = *self.older_since.get_or_insert(now);
        let counts_anew = whole && now - since >= COUNTS_ANEW_AFTER;
        if counts_anew {
            self.older_since = None;
        }
        counts_anew
    }

    /// Discovery is at another address: there is no reason to wait.
    pub fn moved(&mut self) {
        (self.wait, self.never_called) = (self.settings.again_first, true);
    }

    /// For how long the present connection may say nothing.
    pub fn quiet(&self) -> Ms {
        if self.answered {
            self.settings.quiet
        } else {
            self.settings.first_quiet
        }
    }

    /// The connection is over; gives the wait before the next.
    pub fn lost(&mut self) -> Ms {
        self.wait_up_to(self.settings.again_most)
    }

    /// Its answer was no list that can be used; gives the wait before the next call.
    pub fn unusable(&mut self) -> Ms {
        self.wait_up_to(UNUSABLE_MOST.max(self.settings.again_most))
    }

    /// The next wait. Guards against hundreds of dispatchers that lose discovery at one instant and come back to it at one
    /// instant, each time: chance takes up to half of it.
    fn wait_up_to(&mut self, most: Ms) -> Ms {
        let chance: f64 = self.rng.generate();
        let wait = self.wait.min(most) * (1.0 - chance / 2.0);
        self.wait = (2.0 * self.wait).min(most);
        wait
    }
}
