//! Decisions about calls to service discovery: what a call asks for, how long a connection may be silent before it is
//! given up, and how long to wait before the next.
//!
//! Like [`connection_pool`](crate::connection_pool) it does no I/O and reads no clock; chance comes from the seed.

use crate::interface::Ms;
use nanorand::{Rng, WyRand};

/// What a call on a new connection asks for first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    /// The whole list of endpoints.
    Snapshot,
    /// What has changed since this version, which is known.
    ChangesSince(u64),
}

/// Timeouts of the calls to discovery, in milliseconds, and whether calls resume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoverySettings {
    /// A connection that is not established after this long is given up.
    pub connect_timeout: Ms,
    /// How long a connection may be silent before its first answer has begun. That answer waits for nothing.
    pub first_answer_timeout: Ms,
    /// How long a connection may be silent after that. These answers may wait for a change.
    pub silence_timeout: Ms,
    /// The backoff after a lost call; it doubles with each in a row.
    pub initial_backoff: Ms,
    /// The upper limit of the doubled backoff.
    pub max_backoff: Ms,
    /// Whether a call after a lost one asks only for what has changed since the known list. Guards against a discovery
    /// service that refuses calls under load: a snapshot and the watch after it are two calls, and if each refused
    /// call is followed by both, no dispatcher gets both through.
    pub resume_from_known_version: bool,
}

/// The backoff where discovery pushes its lists.
const PUSH_INITIAL_BACKOFF_MS: Ms = 100.0;
const PUSH_MAX_BACKOFF_MS: Ms = 2_000.0;

impl DiscoverySettings {
    /// For discovery that sends only when there is a change, over a transport that detects a dead peer itself (HTTP/2
    /// pings): silence has no timeout. `connect_timeout` in milliseconds.
    pub fn without_silence_timeout(connect_timeout: Ms) -> Self {
        DiscoverySettings {
            connect_timeout,
            first_answer_timeout: f64::INFINITY,
            silence_timeout: f64::INFINITY,
            initial_backoff: PUSH_INITIAL_BACKOFF_MS,
            max_backoff: PUSH_MAX_BACKOFF_MS,
            resume_from_known_version: false,
        }
    }

    /// The longest time in milliseconds from when discovery can be reached (again) to a call for its list on an
    /// established connection. In the worst case the last call before was made just too early: it runs into its
    /// timeout and is followed by the longest backoff.
    pub fn max_recovery_time(&self) -> Ms {
        let given_up = self.connect_timeout + self.first_answer_timeout.max(self.silence_timeout);
        given_up + self.initial_backoff.max(self.max_backoff) + self.connect_timeout
    }
}

/// The upper limit of the backoff after lists that cannot be used, such as one that is too long: each costs discovery
/// as much as a good one. A third of
/// [`DISCOVERY_NOTIFIED_WITHIN_MS`](crate::resource_limits::DISCOVERY_NOTIFIED_WITHIN_MS).
pub const MAX_UNUSABLE_LIST_BACKOFF_MS: Ms = 2_000.0;

/// Discovery that sends only older snapshots for this long has restarted its version numbers, as after a new
/// installation. Half of [`DISCOVERY_NOTIFIED_WITHIN_MS`](crate::resource_limits::DISCOVERY_NOTIFIED_WITHIN_MS).
const VERSION_RESET_AFTER_MS: Ms = 3_000.0;

/// Up to this fraction of a backoff is taken off by chance.
const BACKOFF_JITTER_FRACTION: f64 = 0.5;

/// The calls of one dispatcher to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryCalls {
    settings: DiscoverySettings,
    rng: WyRand,
    /// The next backoff, before jitter.
    backoff: Ms,
    /// Whether an answer has begun on the present connection.
    is_answered: bool,
    /// Whether this address was never called: its list may differ in more than the newest changes.
    is_first_call: bool,
    /// Since when discovery has sent only lists that are older than the newest known one.
    outdated_since: Option<Ms>,
}

impl DiscoveryCalls {
    /// No call was made yet. `seed` determines the jitter of the backoff.
    pub fn new(settings: DiscoverySettings, seed: u64) -> Self {
        DiscoveryCalls {
            settings,
            rng: WyRand::new_seed(seed),
            backoff: settings.initial_backoff,
            is_answered: false,
            is_first_call: true,
            outdated_since: None,
        }
    }

    /// A connection is about to be opened; returns what to ask for on it. `known`: the version of the newest list, if
    /// there is one. The first call at an address asks for a snapshot, and so does each call while discovery sends
    /// outdated lists.
    pub fn begin_call(&mut self, known: Option<u64>) -> FirstCall {
        self.is_answered = false;
        let is_first_call = std::mem::replace(&mut self.is_first_call, false);
        let may_resume = self.settings.resume_from_known_version
            && !is_first_call
            && self.outdated_since.is_none();
        match known {
            Some(version) if may_resume => FirstCall::ChangesSince(version),
            _ => FirstCall::Snapshot,
        }
    }

    /// The first bytes of an answer have come.
    pub fn answer_begun(&mut self) {
        self.is_answered = true;
    }

    /// A list has come that is used: the backoff starts anew.
    pub fn list_received(&mut self) {
        (self.is_answered, self.backoff) = (true, self.settings.initial_backoff);
    }

    /// Whether a list of this version is used, given the newest known version. Guards against a replica of discovery
    /// that lags behind: its list would bring back engines that drain or are gone.
    pub fn accept_version(
        &mut self,
        is_snapshot: bool,
        version: u64,
        newest: u64,
        now: Ms,
    ) -> bool {
        if version >= newest {
            self.outdated_since = None;
            return true;
        }
        let since = *self.outdated_since.get_or_insert(now);
        let versions_restarted = is_snapshot && now - since >= VERSION_RESET_AFTER_MS;
        if versions_restarted {
            self.outdated_since = None;
        }
        versions_restarted
    }

    /// Discovery has another address from now on: the backoff starts anew, and the next call asks for a snapshot.
    pub fn address_changed(&mut self) {
        (self.backoff, self.is_first_call) = (self.settings.initial_backoff, true);
    }

    /// How long the present connection may be silent, in milliseconds.
    pub fn silence_timeout(&self) -> Ms {
        if self.is_answered {
            self.settings.silence_timeout
        } else {
            self.settings.first_answer_timeout
        }
    }

    /// The connection was lost; returns the milliseconds to wait before the next.
    pub fn backoff_after_loss(&mut self) -> Ms {
        self.next_backoff(self.settings.max_backoff)
    }

    /// The list that came cannot be used; returns the milliseconds to wait before the next call.
    pub fn backoff_after_unusable_list(&mut self) -> Ms {
        self.next_backoff(MAX_UNUSABLE_LIST_BACKOFF_MS.max(self.settings.max_backoff))
    }

    /// Guards against hundreds of dispatchers that lose discovery at the same instant and then call it again at the
    /// same instant, each time: jitter spreads them.
    fn next_backoff(&mut self, max: Ms) -> Ms {
        let chance: f64 = self.rng.generate();
        let backoff = self.backoff.min(max) * (1.0 - chance * BACKOFF_JITTER_FRACTION);
        self.backoff = (2.0 * self.backoff).min(max);
        backoff
    }
}
