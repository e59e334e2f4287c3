//! Commands of a lease holder, executed only while their sender holds the lease.
//!
//! Guards against a former holder that was stopped, or whose messages were long under way, and that acts beside its
//! successor. It shows as a command of an older term, or as one that arrives after its sender's lease. Two checks
//! keep it out:
//!
//! - The term is a fencing token: a receiver that has executed a command of a newer term executes none of an older.
//! - That alone does not help at a receiver that heard nothing of the successor yet. So a command carries a
//!   timestamp of the receiver's own clock, given with its last answer, and how long after it the sender's lease
//!   surely lasts. The sender got the timestamp after it was given, so the receiver's count ends before the lease
//!   does, however long the command was under way. A receiver that has just started knows no timestamp of an earlier
//!   process and asks for the command again.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::LeaseHolder;
use super::{Incarnation, LeaseName, Term};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// A moment of a receiver's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiverTimestamp {
    /// The receiver's process.
    pub incarnation: Incarnation,
    /// Its clock, in milliseconds.
    pub at: Ms,
}

/// A command of a lease holder.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedCommand {
    /// The lease under which it is given.
    pub lease_name: LeaseName,
    /// The term of the lease.
    pub term: Term,
    /// The sender.
    pub holder: LeaseHolder,
    /// Counts the sender's commands.
    pub number: u64,
    /// The timestamp that the receiver gave last, if the sender has one.
    pub receiver_timestamp: Option<ReceiverTimestamp>,
    /// How long after that timestamp the sender's lease lasts, in milliseconds.
    pub good_for: Ms,
    /// What the command says.
    pub body: Vec<u8>,
}

/// Whether a command is executed, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencingDecision {
    /// It is executed.
    Executed,
    /// A command of a newer term was executed here.
    StaleTerm,
    /// It, or one that was sent after it, was executed before.
    Duplicate,
    /// It has no timestamp of this process: it is to be sent again with the one that comes with this answer.
    TimestampMissing,
    /// The sender's lease is over, or may be.
    LeaseExpired,
}

/// A receiver of commands.
#[derive(Clone, Debug, PartialEq)]
pub struct Receiver {
    incarnation: Incarnation,
    /// The term and the number of the last command under each lease.
    last: BTreeMap<LeaseName, (Term, u64)>,
    drift: f64,
}

impl Receiver {
    /// A receiver that has executed nothing yet. `drift` is the fraction by which the rates of this clock and of a
    /// sender's may differ.
    pub fn new(incarnation: Incarnation, drift: f64) -> Self {
        Receiver {
            incarnation,
            last: BTreeMap::new(),
            drift,
        }
    }

    /// The timestamp to send with an answer; `now` in milliseconds.
    pub fn receiver_timestamp(&self, now: Ms) -> ReceiverTimestamp {
        ReceiverTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Decides whether a command is to be executed at `now`, in milliseconds; if so it counts as executed.
    pub fn receive(&mut self, now: Ms, command: &FencedCommand) -> FencingDecision {
        let last = self.last.get(&command.lease_name).copied();
        let last = last.unwrap_or_default();
        let decision = match is_injected(InjectedFault::StaleTermExecuted) {
            true => FencingDecision::Executed,
            false => self.decide(now, command, last),
        };
        if decision == FencingDecision::Executed {
            self.last
                .insert(command.lease_name.clone(), (command.term, command.number));
        }
        decision
    }

    fn decide(&self, now: Ms, command: &FencedCommand, last: (Term, u64)) -> FencingDecision {
        if command.term < last.0 {
            return FencingDecision::StaleTerm;
        }
        if (command.term, command.number) <= last {
            return FencingDecision::Duplicate;
        }
        let own_timestamp = command
            .receiver_timestamp
            .filter(|given| given.incarnation == self.incarnation && given.at <= now);
        let Some(given) = own_timestamp else {
            let is_first = last == (Term::default(), 0);
            return match is_first && is_injected(InjectedFault::TimestampNotRequired) {
                true => FencingDecision::Executed,
                false => FencingDecision::TimestampMissing,
            };
        };
        if now >= given.at + command.good_for * (1.0 - self.drift) {
            return FencingDecision::LeaseExpired;
        }
        FencingDecision::Executed
    }

    /// The clock was set back: timestamps that were given before would make leases seem longer. With another
    /// incarnation they count as those of another process.
    pub fn clock_went_back(&mut self) {
        if !is_injected(InjectedFault::ClockStepBackIgnored) {
            self.incarnation = Incarnation(self.incarnation.0.wrapping_add(1));
        }
    }
}

/// What a sender knows of a receiver's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceiverClock {
    /// The newest timestamp, and when it came, on the sender's clock in milliseconds.
    newest: Option<(ReceiverTimestamp, Ms)>,
}

impl ReceiverClock {
    /// An answer with a timestamp came at `now`, in milliseconds.
    pub fn answered(&mut self, now: Ms, receiver_timestamp: ReceiverTimestamp) {
        self.newest = Some((receiver_timestamp, now));
    }

    /// The timestamp to send, and for how many milliseconds after it the sender's lease lasts, if that ends at
    /// `lease_end` on the sender's clock.
    pub fn good_for(&self, lease_end: Ms) -> (Option<ReceiverTimestamp>, Ms) {
        match self.newest {
            Some((receiver_timestamp, came_at)) => {
                (Some(receiver_timestamp), (lease_end - came_at).max(0.0))
            }
            None => (None, 0.0),
        }
    }
}
