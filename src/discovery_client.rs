//! Decides how a dispatcher calls service discovery: what a call requests, how long its connection may be silent before
//! it is closed, and how long to wait before the next call.
//!
//! Like [`connection_pool`](crate::connection_pool), this module does no I/O and reads no clock; random numbers come
//! from the seed.

use crate::interface::Ms;
use nanorand::{Rng, WyRand};

/// What the first call on a new connection requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    /// The full list of endpoints, whatever the dispatcher knows.
    Snapshot,
    /// Only the changes since this version of the list, which the dispatcher already has.
    ChangesSince(u64),
}

/// Timeouts and backoffs of calls to discovery, in milliseconds, and whether calls resume from the known list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoverySettings {
    /// A connection that is not established within this time is closed.
    pub connect_timeout: Ms,
    /// How long a connection may be silent before its first answer begins. Discovery sends this answer without waiting
    /// for a change.
    pub first_answer_timeout: Ms,
    /// How long a connection may be silent after its first answer has begun. Discovery may delay later answers until
    /// there is a change.
    pub silence_timeout: Ms,
    /// The backoff after the first lost call; it doubles with each further consecutive loss.
    pub initial_backoff: Ms,
    /// The upper limit of the doubled backoff; jitter only shortens it.
    pub max_backoff: Ms,
    /// Whether a call after a lost one requests only the changes since the known list. Needed for a discovery service
    /// that refuses calls under load: a snapshot and the watch that follows it are two calls. If every dispatcher had
    /// to make both after each refusal, none would get both through.
    pub resume_from_known_version: bool,
}

/// First backoff if discovery pushes its lists and silence has no timeout.
const PUSH_INITIAL_BACKOFF_MS: Ms = 100.0;
/// Upper limit of the backoff if discovery pushes its lists and silence has no timeout.
const PUSH_MAX_BACKOFF_MS: Ms = 2_000.0;

impl DiscoverySettings {
    /// Settings for discovery that sends something only when the list changes, over a transport that detects a dead
    /// peer by itself (HTTP/2 pings). Silence then has no timeout. `connect_timeout` is in milliseconds.
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

    /// The longest time in milliseconds until the list is requested on an established connection, from the instant at
    /// which discovery becomes reachable. In the worst case the previous call was made just before that instant: it
    /// times out and is followed by the longest backoff.
    pub fn max_recovery_time(&self) -> Ms {
        let call_lost_after =
            self.connect_timeout + self.first_answer_timeout.max(self.silence_timeout);
        call_lost_after + self.initial_backoff.max(self.max_backoff) + self.connect_timeout
    }
}

/// Upper limit of the backoff after unusable lists, such as a list that is too long. The limit is not short, because an
/// unusable list costs discovery as much as a usable one. A third of
/// [`DISCOVERY_NOTIFIED_WITHIN_MS`](crate::resource_limits::DISCOVERY_NOTIFIED_WITHIN_MS).
pub const MAX_UNUSABLE_LIST_BACKOFF_MS: Ms = 2_000.0;

/// If discovery has sent only lists older than the known one for this long, it is assumed to have restarted its version
/// numbers, as after a new installation. Half of
/// [`DISCOVERY_NOTIFIED_WITHIN_MS`](crate::resource_limits::DISCOVERY_NOTIFIED_WITHIN_MS).
const VERSION_RESET_AFTER_MS: Ms = 3_000.0;

/// Random jitter shortens a backoff by up to this fraction of it.
const BACKOFF_JITTER_FRACTION: f64 = 0.5;

/// The state of one dispatcher's calls to discovery.
#[derive(Clone, Debug)]
pub struct DiscoveryCalls {
    settings: DiscoverySettings,
    rng: WyRand,
    /// The next backoff in milliseconds, before jitter is applied.
    backoff: Ms,
    /// Whether an answer has begun to arrive on the current connection.
    is_answered: bool,
    /// Whether this address of discovery was never called. Its list may then differ from the known one in more than the
    /// newest changes.
    is_first_call: bool,
    /// Since when discovery has sent only lists that are older than the known one; `None` if the last list was not
    /// older.
    outdated_since: Option<Ms>,
}

impl DiscoveryCalls {
    /// Creates the state before the first call. `seed` determines the jitter of the backoff.
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

    /// Starts a call on a new connection and returns what to request. `known`: the version of the newest known list, if
    /// there is one. The first call at an address requests a snapshot, and so does every call while discovery sends
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

    /// Records that the first bytes of a list were received.
    pub fn list_begun(&mut self) {
        self.is_answered = true;
    }

    /// Records that a usable list was received, which resets the backoff.
    pub fn list_received(&mut self) {
        (self.is_answered, self.backoff) = (true, self.settings.initial_backoff);
    }

    /// Whether to use a list of version `version`, given the newest known version `newest`. Guards against a discovery
    /// replica that lags behind: its list would bring back engines that drain or are gone.
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

    /// Records that the address of discovery has changed, which resets the backoff; the next call requests a snapshot.
    pub fn address_changed(&mut self) {
        (self.backoff, self.is_first_call) = (self.settings.initial_backoff, true);
    }

    /// How long the current connection may be silent, in milliseconds: less before its first answer has begun.
    pub fn silence_timeout(&self) -> Ms {
        if self.is_answered {
            self.settings.silence_timeout
        } else {
            self.settings.first_answer_timeout
        }
    }

    /// Returns the milliseconds to wait before the next call, after the connection was lost.
    pub fn backoff_after_loss(&mut self) -> Ms {
        self.next_backoff(self.settings.max_backoff)
    }

    /// Returns the milliseconds to wait before the next call, after an unusable list.
    pub fn backoff_after_unusable_list(&mut self) -> Ms {
        self.next_backoff(MAX_UNUSABLE_LIST_BACKOFF_MS.max(self.settings.max_backoff))
    }

    /// Returns the next backoff with jitter and doubles it up to `max`. Without jitter, hundreds of dispatchers that
    /// lose discovery at the same time would all call it again at the same time, after every backoff.
    fn next_backoff(&mut self, max: Ms) -> Ms {
        let draw: f64 = self.rng.generate();
        let backoff = self.backoff.min(max) * (1.0 - draw * BACKOFF_JITTER_FRACTION);
        self.backoff = (2.0 * self.backoff).min(max);
        backoff
    }
}
