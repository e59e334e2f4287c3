//! Acts of a duty, obeyed only while their sender holds it.
//!
//! A term alone keeps an old holder's act out where a newer one came first. To keep it out everywhere, also at a
//! receiver that heard nothing yet, an act carries a ticket: the receiver's own reading of its own clock, given
//! with its last answer, and how long after it the sender's lease goes on for certain. The sender got the ticket
//! after it was given, so the receiver's count ends before the lease does, however long the act was under way or its
//! sender slept. A receiver that has just started knows no ticket of an earlier process: it asks before it obeys.

use super::fault_injection::{is_injected, InjectedFault};
use super::state::LeaseHolder;
use super::{Incarnation, LeaseName, Term};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// A receiver's word for a moment of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiverTimestamp {
    /// The process that gave it.
    pub incarnation: Incarnation,
    /// Its clock when it did.
    pub at: Ms,
}

/// One act.
#[derive(Clone, Debug, PartialEq)]
pub struct FencedCommand {
    pub lease_name: LeaseName,
    pub term: Term,
    pub holder: LeaseHolder,
    /// Counts the sender's acts.
    pub number: u64,
    pub receiver_timestamp: Option<ReceiverTimestamp>,
    /// For how long after the ticket was given the sender's lease goes on.
    pub good_for: Ms,
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FencingDecision {
    Executed,
    /// A newer term was obeyed here.
    StaleTerm,
    /// It came before, or after one that was sent later.
    Duplicate,
    /// It has no ticket of this process: send it again with the one that comes with this answer.
    TimestampMissing,
    /// Its sender's lease is over, or may be.
    LeaseExpired,
}

/// Whoever acts are done to.
#[derive(Clone, Debug, PartialEq)]
pub struct Receiver {
    incarnation: Incarnation,
    last: BTreeMap<LeaseName, (Term, u64)>,
    drift: f64,
}

impl Receiver {
    /// `drift`: the part by which this clock and a sender's may run apart.
    pub fn new(incarnation: Incarnation, drift: f64) -> Self {
        Receiver {
            incarnation,
            last: BTreeMap::new(),
            drift,
        }
    }

    pub fn receiver_timestamp(&self, now: Ms) -> ReceiverTimestamp {
        ReceiverTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }

    /// Whether an act is to be obeyed, now.
    pub fn receive(&mut self, now: Ms, act: &FencedCommand) -> FencingDecision {
        let last = self.last.get(&act.lease_name).copied().unwrap_or_default();
        let forgot = is_injected(InjectedFault::ReceiverForgot) && last == Default::default();
        if act.term < last.0 && !is_injected(InjectedFault::OldTermObeyed) {
            return FencingDecision::StaleTerm;
        }
        if (act.term, act.number) <= last && !is_injected(InjectedFault::OldTermObeyed) {
            return FencingDecision::Duplicate;
        }
        match act
            .receiver_timestamp
            .filter(|t| t.incarnation == self.incarnation && t.at <= now)
        {
            None if !forgot && !is_injected(InjectedFault::OldTermObeyed) => {
                return FencingDecision::TimestampMissing
            }
            Some(receiver_timestamp)
                if now >= receiver_timestamp.at + act.good_for * (1.0 - self.drift)
                    && !is_injected(InjectedFault::OldTermObeyed) =>
            {
                return FencingDecision::LeaseExpired;
            }
            _ => {}
        }
        self.last
            .insert(act.lease_name.clone(), (act.term, act.number));
        FencingDecision::Executed
    }

    /// The clock went back: tickets that were given are worth nothing any more.
    pub fn clock_went_back(&mut self) {
        if !is_injected(InjectedFault::ClockBackUnnoticed) {
            self.incarnation = Incarnation(self.incarnation.0.wrapping_add(1));
        }
    }
}

/// What a holder knows of a receiver.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReceiverClock {
    receiver_timestamp: Option<(ReceiverTimestamp, Ms)>,
}

impl ReceiverClock {
    /// An answer came with a ticket.
    pub fn answered(&mut self, now: Ms, receiver_timestamp: ReceiverTimestamp) {
        self.receiver_timestamp = Some((receiver_timestamp, now));
    }

    /// The ticket to send, and for how long it is good if the sender's lease ends at `until`.
    pub fn good_for(&self, until: Ms) -> (Option<ReceiverTimestamp>, Ms) {
        match self.receiver_timestamp {
            Some((receiver_timestamp, came)) => (Some(receiver_timestamp), (until - came).max(0.0)),
            None => (None, 0.0),
        }
    }
}
