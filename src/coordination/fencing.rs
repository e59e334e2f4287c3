//! Commands of a lease holder, executed only while their sender holds the lease.
//!
//! Guards against a former holder whose commands arrive after its successor has begun to act, because the former
//! holder's process was suspended or its messages were delayed. Such a command has an older term, or arrives after the
//! lease of its sender has expired. Two checks refuse the command:
//!
//! - The term is a fencing token: a receiver that has executed a command of a newer term refuses commands of older
//!   terms.
//! - The term alone does not protect a receiver that has not received a command of the successor yet. Each command
//!   therefore carries a timestamp of the receiver's own clock, which the receiver sent with its last answer, and a
//!   duration after that timestamp for which the sender's lease is guaranteed to last. The sender received the
//!   timestamp after the receiver took it, so this duration ends on the receiver's clock before the lease expires,
//!   however long the command was delayed. A receiver that has just started does not recognize timestamps of an earlier
//!   process, and asks the sender to send the command again.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::LeaseHolder;
use super::{Incarnation, LeaseName, Term};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// A reading of a receiver's clock. Only the process that took the reading can compare it with other times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiverTimestamp {
    /// The process whose clock was read.
    pub incarnation: Incarnation,
    /// The reading of that process's clock, in milliseconds.
    pub at: Ms,
}

/// A command that a lease holder sends to a receiver, with the data that the receiver needs to check the lease.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedCommand {
    /// The lease that the sender has to hold for the command to be executed.
    pub lease_name: LeaseName,
    /// The term in which the sender holds the lease.
    pub term: Term,
    /// The process that holds the lease and sends the command.
    pub holder: LeaseHolder,
    /// The sequence number of the command. It increases with each command of the sender, so that receivers can detect
    /// duplicates.
    pub number: u64,
    /// The newest timestamp that the sender has from this receiver; `None` before the receiver's first answer.
    pub receiver_timestamp: Option<ReceiverTimestamp>,
    /// The duration after `receiver_timestamp` for which the sender's lease is guaranteed to last, in milliseconds.
    pub valid_for: Ms,
    /// The content of the command, which fencing does not interpret.
    pub body: Vec<u8>,
}

/// A receiver's decision whether to execute a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencingDecision {
    /// Accepted: the receiver executes the command, and executes it only once.
    Executed,
    /// Refused: this receiver has executed a command of a newer term.
    StaleTerm,
    /// Refused: this receiver has already executed this command or a later one of the same sender.
    Duplicate,
    /// Refused: the command carries no timestamp of this process. The sender may send the command again with the
    /// timestamp in this answer.
    TimestampMissing,
    /// Refused: the sender's lease may have expired.
    LeaseExpired,
}

/// Decides which commands a receiving process executes. Each process has one receiver for all leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Receiver {
    incarnation: Incarnation,
    /// The term and the number of the last command executed under each lease.
    last_executed: BTreeMap<LeaseName, (Term, u64)>,
    drift: f64,
}

impl Receiver {
    /// Creates a receiver that has not executed any command. `drift` is the largest fraction by which the rates of the
    /// receiver's and a sender's clocks may differ.
    pub fn new(incarnation: Incarnation, drift: f64) -> Self {
        Receiver {
            incarnation,
            last_executed: BTreeMap::new(),
            drift,
        }
    }

    /// The timestamp to send with an answer at `now`, in milliseconds.
    pub fn receiver_timestamp(&self, now: Ms) -> ReceiverTimestamp {
        ReceiverTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Decides whether a command is executed at `now`, in milliseconds, and records it as executed if so.
    pub fn receive(&mut self, now: Ms, command: &FencedCommand) -> FencingDecision {
        let last = self.last_executed.get(&command.lease_name).copied();
        let last = last.unwrap_or_default();
        let decision = match is_injected(InjectedFault::StaleTermExecuted) {
            true => FencingDecision::Executed,
            false => self.decide(now, command, last),
        };
        if decision == FencingDecision::Executed {
            self.last_executed
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
            .filter(|timestamp| timestamp.incarnation == self.incarnation && timestamp.at <= now);
        let Some(timestamp) = own_timestamp else {
            let is_first = last == (Term::default(), 0);
            return match is_first && is_injected(InjectedFault::TimestampNotRequired) {
                true => FencingDecision::Executed,
                false => FencingDecision::TimestampMissing,
            };
        };
        if now >= timestamp.at + command.valid_for * (1.0 - self.drift) {
            return FencingDecision::LeaseExpired;
        }
        FencingDecision::Executed
    }

    /// Invalidates all earlier timestamps after the clock was set back, as a lease that is measured from one of them
    /// would seem to last longer. The receiver takes a new incarnation, so that the earlier timestamps count as those
    /// of another process.
    pub fn clock_went_back(&mut self) {
        if !is_injected(InjectedFault::ClockStepBackIgnored) {
            self.incarnation = Incarnation(self.incarnation.0.wrapping_add(1));
        }
    }
}

/// A sender's record of the newest timestamp that one receiver has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceiverClock {
    /// The newest timestamp, with the time of its arrival on the sender's clock in milliseconds.
    newest: Option<(ReceiverTimestamp, Ms)>,
}

impl ReceiverClock {
    /// Records the timestamp of an answer that arrived at `now`, in milliseconds on the sender's clock.
    pub fn record_timestamp(&mut self, now: Ms, receiver_timestamp: ReceiverTimestamp) {
        self.newest = Some((receiver_timestamp, now));
    }

    /// Returns the timestamp to send with a command, and the duration after the timestamp for which the sender's lease
    /// is guaranteed to last, in milliseconds. `lease_end` is the time at which that lease expires on the sender's
    /// clock. Before the receiver's first answer the result is `None` and 0.
    pub fn valid_for(&self, lease_end: Ms) -> (Option<ReceiverTimestamp>, Ms) {
        match self.newest {
            Some((receiver_timestamp, arrived_at)) => {
                let valid_for = (lease_end - arrived_at).max(0.0);
                (Some(receiver_timestamp), valid_for)
            }
            None => (None, 0.0),
        }
    }
}
