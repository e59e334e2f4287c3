//! The lease of a job outside of the dispatchers: until when the job certainly holds the lease, when the job asks for
//! the lease again, and when the work has to end because the lease was not renewed.
//!
//! A dispatcher acquires and renews the lease for the job; the job only asks how much of the lease is left. Like the
//! rest of [`coordination`](crate::coordination) this module does no I/O and reads no clock.

use super::Term;
use crate::interface::Ms;

/// The time between two requests for a lease that is held, as a fraction of the lease duration.
const ASK_INTERVAL_FRACTION: f64 = 1.0 / 16.0;
/// The longest time between two requests for a lease that is held.
const MAX_ASK_INTERVAL_MS: Ms = 50.0;
/// How long an answer is awaited, as a fraction of the lease duration.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.25;
/// The work is told to end when this fraction of the lease is left. Dispatchers begin to renew a lease after a third of
/// its duration, and a proposal that the voters do not answer in time takes up to a fifth: one failed proposal and the
/// next, successful one fit in before.
const END_FRACTION: f64 = 0.25;
/// Work that still runs is killed when this fraction of the lease is left.
const KILL_FRACTION: f64 = 0.1;

/// The lease of a job, counted on the job's own clock. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobLease {
    term: Term,
    expires_at: Ms,
    /// The longest remaining time that any answer stated: the closest known value to the whole lease duration.
    duration: Ms,
}

/// The lease is held in another term than before: another process may have held it meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermChanged;

impl JobLease {
    /// A lease that was requested at `asked_at` and of which `left` remains according to the answer.
    ///
    /// Guards against a delayed answer: the remaining time counts from when the job sent its request.
    pub fn new(term: Term, asked_at: Ms, left: Ms) -> Self {
        JobLease {
            term,
            expires_at: asked_at + left,
            duration: left,
        }
    }

    /// The term in which the job's lease is held; a renewal does not change it.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Extends the lease by the answer to a later request, sent at `asked_at`, of which `left` remains.
    ///
    /// # Errors
    /// [`TermChanged`] if the answer names another term; the lease is left as it was.
    pub fn renew(&mut self, term: Term, asked_at: Ms, left: Ms) -> Result<(), TermChanged> {
        if term != self.term {
            return Err(TermChanged);
        }
        self.expires_at = asked_at + left;
        self.duration = self.duration.max(left);
        Ok(())
    }

    /// How long the answer to a request for the lease is awaited.
    pub fn answer_timeout(&self) -> Ms {
        ANSWER_TIMEOUT_FRACTION * self.duration
    }

    /// The time from an answer to the next request for the lease.
    pub fn ask_interval(&self) -> Ms {
        (ASK_INTERVAL_FRACTION * self.duration).min(MAX_ASK_INTERVAL_MS)
    }

    /// Whether so little of the lease is left that the work has to end.
    pub fn is_running_out(&self, now: Ms) -> bool {
        self.expires_at - now < END_FRACTION * self.duration
    }

    /// When work that was told to end and still runs is killed.
    pub fn kill_at(&self) -> Ms {
        self.expires_at - KILL_FRACTION * self.duration
    }

    /// When the lease expires.
    pub fn expires_at(&self) -> Ms {
        self.expires_at
    }
}
