//! Whether a decode attempt has reached its engine.
//!
//! Bytes that were written to a connection prove nothing: the engine's machine may have vanished, and its connections
//! then stay open without an error. Until the engine has shown that it runs, an attempt is not out, and the time
//! within which the KV state has to be taken or released goes on. An engine that shows nothing in time is asked for a
//! sign; without one the attempt is given up and another engine takes the state, or the state is released.
//!
//! A release that goes out while an attempt may wait is not the last word: the caller sends it again once that is over.
//!
//! Only where the caller can tell of deliveries ([`Control::track_deliveries`]); elsewhere what is sent counts as out.

use super::{Control, Out, Request, Slot, RETRY_SHARE};
use crate::interface::{AttemptId, Ms, Outcome, RequestId};

/// Shares of the release time. After the first of them without an answer the engine is asked for a sign, and again after
/// each second one: on an open connection the answer takes a round trip, on a new one three.
const ASK_AFTER: f64 = 0.2;
const ASK_AGAIN: f64 = 0.15;
/// By this share of the release time without a sign, an attempt is given up; so half of it is left for one at another
/// engine. That one is asked at once, and has so much time to be confirmed.
const GIVE_UP_AT: f64 = 0.5;
const SECOND_WAIT: f64 = 0.2;
/// Where the engine runs and nothing has come on the attempt's own connection by this share, the state is released in case
/// that connection alone is silent. It leaves the time for some engines to be asked that do not answer.
const RELEASE_AT: f64 = 0.8;
/// An attempt at another engine begins no later than by this share: its own wait, and then a release, still fit in.
const LAST_ATTEMPT_AT: f64 = 0.6;

/// What comes from an engine may have been sent so much earlier: a process may be held up for 150 ms between reading its
/// clock and acting, and the platform's protocol adds 50 ms to each time on sockets.
pub const RECEIVED_LATE: Ms = 200.0;

/// What is known of an attempt's way to its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) enum Delivery {
    /// The attempt was answered, as far as anybody tells of that, or nothing more is to be done about its way.
    #[default]
    Confirmed,
    /// The engine has shown since the send that it runs, on some connection: the attempt is in its queue, or its own
    /// connection alone is silent. When the state is released in case it is the latter.
    EngineRuns { release_at: Ms },
    /// Nothing was heard since: when the engine is asked next, and when the attempt is given up.
    Unconfirmed { ask_at: Ms, give_up_at: Ms },
    /// No sign came in time: the attempt counts as not arrived, though it may yet arrive.
    GivenUp,
}

impl Delivery {
    /// When something is to be done about it; never, if nothing is.
    pub(super) fn next_at(&self) -> Option<Ms> {
        match self {
            Delivery::Unconfirmed { ask_at, give_up_at } => Some(ask_at.min(*give_up_at)),
            Delivery::EngineRuns { release_at } => Some(*release_at),
            Delivery::Confirmed | Delivery::GivenUp => None,
        }
    }
}

impl Out {
    /// Whether an attempt that ended so was out: only then the time of what is held counts anew from its end.
    pub(super) fn has_arrived(&self, outcome: Outcome) -> bool {
        match outcome {
            Outcome::Unreachable | Outcome::NotSent => false,
            // Each is an answer of the engine's.
            Outcome::Succeeded | Outcome::Failed | Outcome::Overloaded | Outcome::PrefillDone => {
                true
            }
            Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
                matches!(
                    self.delivery,
                    Delivery::Confirmed | Delivery::EngineRuns { .. }
                )
            }
        }
    }
}

impl Control {
    /// From now on a decode attempt counts as out only once [`Event::Delivered`](crate::interface::Event::Delivered),
    /// its first token or its end has told that it arrived.
    pub fn track_deliveries(&mut self) {
        self.tracks_deliveries = true;
    }

    /// What is known of the delivery of a decode attempt that is sent now.
    pub(super) fn delivery_of(&self, request: &Request) -> Delivery {
        if !self.tracks_deliveries {
            return Delivery::Confirmed;
        }
        let release = self.settings.kv_state_timeout;
        let usual = self.now + ASK_AFTER * release;
        let ask_at = usual
            .min(request.idle_since + (GIVE_UP_AT - SECOND_WAIT) * release)
            .max(self.now);
        let give_up_at =
            (request.idle_since + GIVE_UP_AT * release).max(ask_at + SECOND_WAIT * release);
        Delivery::Unconfirmed { ask_at, give_up_at }
    }

    pub(super) fn learn_delivery(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(out) = request.out.as_mut().filter(|out| out.attempt == attempt) else {
            return;
        };
        if matches!(out.delivery, Delivery::Unconfirmed { .. }) {
            let release_at =
                (request.idle_since + RELEASE_AT * self.settings.kv_state_timeout).max(self.now);
            out.delivery = Delivery::EngineRuns { release_at };
            self.queue.awake.insert(id);
        }
    }

    /// Plans for an attempt that is out: asks its engine for a sign, or gives it up where none came in time.
    pub(super) fn plan_delivery(&mut self, request: &mut Request) {
        let Some(out) = request.out.as_mut() else {
            return;
        };
        if let Delivery::EngineRuns { release_at } = out.delivery {
            return self.plan_unanswered(request, release_at);
        }
        let Delivery::Unconfirmed { ask_at, give_up_at } = &mut out.delivery else {
            return;
        };
        if self.now >= *give_up_at {
            return self.plan_undelivered(request);
        }
        if self.now >= *ask_at {
            request.want_confirm = true;
            *ask_at = self.now + ASK_AGAIN * self.settings.kv_state_timeout;
        }
        let next = ask_at.min(*give_up_at);
        self.wake_at(next);
    }

    /// An attempt of which nothing has come, at an engine that runs. By the platform's wire page a release lets go of what no
    /// attempt waits for, so it takes nothing from one that is in the queue; by the other page it does, and that one finds
    /// no state and is rejected, which proves that it has not run.
    fn plan_unanswered(&mut self, request: &mut Request, release_at: Ms) {
        if self.now < release_at {
            return self.wake_at(release_at);
        }
        if let Some(out) = request.out.as_mut() {
            out.delivery = Delivery::Confirmed;
        }
        request.want_release_in_doubt = request.state.is_some();
    }

    /// An attempt that has not arrived: another engine takes its state, if the request may run there and one is to be
    /// had in time; else the state is released, and the attempt, should it arrive after all, finds none.
    fn plan_undelivered(&mut self, request: &mut Request) {
        let Some(out) = request.out.as_mut() else {
            return;
        };
        out.delivery = Delivery::GivenUp;
        let (slot, sent) = (out.slot, out.sent);
        self.engines.judge(slot, false);
        // Guards against a run of requests that all wait for the same silent engine.
        self.engines.full_until[slot] = self.now + self.settings.kv_state_timeout;
        request.tried.push(slot);
        let may_cancel = self.settings.may_cancel;
        let goes_elsewhere = may_cancel && self.has_other_engine(request, slot, sent);
        // A repeat that arrived long after would be one that engines do not recognise any more.
        let is_repeat = request.may_have_run.is_some();
        request.want_cancel = goes_elsewhere || may_cancel && is_repeat;
        request.want_release = request.state.is_some() && !goes_elsewhere;
    }

    fn has_other_engine(&mut self, request: &mut Request, silent: Slot, sent: Ms) -> bool {
        let Some(prefilled_at) = request.state else {
            return false;
        };
        let in_time = !request.over
            && self.now - request.idle_since <= LAST_ATTEMPT_AT * self.settings.kv_state_timeout
            && self.now < request.ends - RETRY_SHARE * self.settings.kv_state_timeout;
        if !in_time || request.attempts >= self.settings.max_attempts {
            return false;
        }
        // The one that is given up may run yet.
        let known = request.may_have_run;
        request.may_have_run.get_or_insert((silent, sent));
        let other = self.choose_decode_engine(request, prefilled_at);
        request.may_have_run = known;
        other.is_some_and(|slot| slot != silent)
    }
}
