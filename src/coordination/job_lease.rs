//! The lease of a job outside of the dispatchers: until when the job surely holds it, when it asks for it again, and
//! when it has to end because the lease was not renewed.
//!
//! The dispatcher beside which the job runs renews the lease; the job only asks how much of it is left. Like the rest
//! of [`coordination`](crate::coordination) this does no I/O and reads no clock.

use super::Term;
use crate::interface::Ms;

/// While the lease is held the job asks for it again after this fraction of it, but at least this often.
const ASK_AGAIN_FRACTION: f64 = 1.0 / 16.0;
const LONGEST_ASK_INTERVAL_MS: Ms = 50.0;
/// An answer is waited for during this fraction of the lease.
const ANSWER_TIMEOUT_FRACTION: f64 = 0.25;
/// The work is told to end when this fraction of the lease is left, and killed when the second is. A lease is renewed
/// from a third of its time on, and a proposal that the voters do not answer in time costs up to a fifth: one such
/// proposal, and the next that succeeds, fit in before.
const END_FRACTION: f64 = 0.25;
const KILL_FRACTION: f64 = 0.1;

/// The lease of a job, as the job counts it. All times are in milliseconds on the job's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobLease {
    term: Term,
    expires_at: Ms,
    /// The longest that was ever left: the whole lease, as far as the job can tell.
    duration: Ms,
}

/// The lease is held in another term than before: another process may have held it meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermChanged;

impl JobLease {
    /// A lease that was asked for at `asked_at`, of which the answer says that `left` is left.
    ///
    /// Guards against an answer that was long under way: what is left counts from before the job asked.
    pub fn new(term: Term, asked_at: Ms, left: Ms) -> Self {
        JobLease {
            term,
            expires_at: asked_at + left,
            duration: left,
        }
    }

    /// The term in which it is held.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes a later answer in, to a request at `asked_at`.
    ///
    /// # Errors
    /// The lease is held in another term.
    pub fn renew(&mut self, term: Term, asked_at: Ms, left: Ms) -> Result<(), TermChanged> {
        if term != self.term {
            return Err(TermChanged);
        }
        self.expires_at = asked_at + left;
        self.duration = self.duration.max(left);
        Ok(())
    }

    /// How long an answer is waited for.
    pub fn answer_within(&self) -> Ms {
        ANSWER_TIMEOUT_FRACTION * self.duration
    }

    /// How long after an answer the lease is asked for again.
    pub fn ask_again_after(&self) -> Ms {
        (ASK_AGAIN_FRACTION * self.duration).min(LONGEST_ASK_INTERVAL_MS)
    }

    /// Whether the work has to end, as too little is left.
    pub fn is_running_out(&self, now: Ms) -> bool {
        self.expires_at - now < END_FRACTION * self.duration
    }

    /// When the work is killed, if it has not ended by itself.
    pub fn kill_at(&self) -> Ms {
        self.expires_at - KILL_FRACTION * self.duration
    }

    /// When the lease is over.
    pub fn until(&self) -> Ms {
        self.expires_at
    }
}
