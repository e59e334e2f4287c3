//! The lease of a job outside of the dispatchers. This module computes when the lease expires, when the job requests
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
/// The timeout of a request for a lease that is held, as a fraction of the lease duration.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.25;
/// The work is told to end when only this fraction of the lease duration remains. Dispatchers begin to renew a lease
/// after a third of its duration, and a proposal that the voters do not answer in time takes up to a fifth of the
/// duration. One failed proposal and a successful retry therefore complete before the work has to end.
const END_FRACTION: f64 = 0.25;
/// Work that still runs is killed when only this fraction of the lease duration remains.
const KILL_FRACTION: f64 = 0.1;

/// The lease of a job, measured on the job's own clock. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobLease {
    term: Term,
    expires_at: Ms,
    /// The longest remaining time that any answer stated, as an estimate of the whole lease duration.
    duration: Ms,
}

/// The error of [`JobLease::renew`] for an answer with another term: another process may have held the lease in
/// between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermChanged;

impl JobLease {
    /// Creates a lease from an answer that states `left` as the remaining time; the request was sent at `asked_at`.
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

    /// Updates the lease with an answer that states `left` as the remaining time; the request was sent at `asked_at`.
    ///
    /// # Errors
    /// [`TermChanged`] if the answer names another term; the lease then stays unchanged.
    pub fn renew(&mut self, term: Term, asked_at: Ms, left: Ms) -> Result<(), TermChanged> {
        if term != self.term {
            return Err(TermChanged);
        }
        self.expires_at = asked_at + left;
        self.duration = self.duration.max(left);
        Ok(())
    }

    /// The timeout of a request for the lease while the lease is held, in milliseconds.
    pub fn answer_timeout(&self) -> Ms {
        ANSWER_TIMEOUT_FRACTION * self.duration
    }

    /// The time between an answer and the next request for the lease, in milliseconds.
    pub fn ask_interval(&self) -> Ms {
        (ASK_INTERVAL_FRACTION * self.duration).min(MAX_ASK_INTERVAL_MS)
    }

    /// Whether the remaining time of the lease at `now` is so short that the work has to end.
    pub fn is_running_out(&self, now: Ms) -> bool {
        self.expires_at - now < END_FRACTION * self.duration
    }

    /// The time at which the job kills work that was told to end and still runs.
    pub fn kill_at(&self) -> Ms {
        self.expires_at - KILL_FRACTION * self.duration
    }

    /// The time at which the lease expires on the job's clock, unless a later answer extends the lease.
    pub fn expires_at(&self) -> Ms {
        self.expires_at
    }
}
