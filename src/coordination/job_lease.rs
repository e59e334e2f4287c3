//! What a job knows of the lease under which it holds a duty: until when the duty is surely its own, when it asks for
//! the lease again, and when it has to end because the lease was not renewed.
//!
//! The dispatcher beside which the job runs renews the lease; the job only asks how much of it is left. Like the rest
//! of [`fleet`](crate::coordination) it does no I/O and reads no clock.

use super::Term;
use crate::interface::Ms;

/// While the duty is held it is asked for again after this part of its lease, at most so many milliseconds, and an
/// answer is waited for during the second part.
const ASK_AGAIN_PART: f64 = 1.0 / 16.0;
const ASK_AGAIN_MOST: Ms = 50.0;
const ANSWER_PART: f64 = 0.25;
/// The work is told to end when this part of the lease is left, and killed when the second is. A lease is renewed from
/// a third of its time on, and a try that the voters do not answer in time costs up to a fifth: one such try, and the
/// next that succeeds, fit in before.
const END_PART: f64 = 0.25;
const KILL_PART: f64 = 0.1;

/// The lease of a job, as the job counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobLease {
    term: Term,
    /// Until when the duty is surely held.
    until: Ms,
    /// The longest that was ever left: the whole lease, as far as the job can tell.
    length: Ms,
}

/// The duty is held under another term than before: somebody else held it meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TermChanged;

impl JobLease {
    /// A lease that was asked for at an instant, with so much of it left in the answer: counted from before it was
    /// asked for, as the answer may have been long under way.
    pub fn new(term: Term, asked: Ms, left: Ms) -> Self {
        JobLease {
            term,
            until: asked + left,
            length: left,
        }
    }

    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes a later answer in.
    ///
    /// # Errors
    /// The term is another one.
    pub fn renew(&mut self, term: Term, asked: Ms, left: Ms) -> Result<(), TermChanged> {
        if term != self.term {
            return Err(TermChanged);
        }
        self.until = asked + left;
        self.length = self.length.max(left);
        Ok(())
    }

    /// For how long an answer is waited for.
    pub fn answer_within(&self) -> Ms {
        ANSWER_PART * self.length
    }

    /// How long after an answer the lease is asked for again.
    pub fn ask_again_after(&self) -> Ms {
        (ASK_AGAIN_PART * self.length).min(ASK_AGAIN_MOST)
    }

    /// Whether too little is left to go on.
    pub fn is_running_out(&self, now: Ms) -> bool {
        self.until - now < END_PART * self.length
    }

    /// When the work is killed, if it has not ended by itself.
    pub fn kill_at(&self) -> Ms {
        self.until - KILL_PART * self.length
    }

    /// When the lease is over.
    pub fn until(&self) -> Ms {
        self.until
    }
}
