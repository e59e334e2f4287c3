//! Which requests a step has to plan.

use super::requests::Request;
use crate::interface::{Ms, RequestId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// An instant in a total order.
#[derive(Clone, Copy, PartialEq)]
struct DueAt(Ms);

impl Eq for DueAt {}

impl Ord for DueAt {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for DueAt {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A new request, one that waits for load reports and one whose KV state waits are planned at every
/// step. One that is held, or whose attempt is in flight, changes with an event of its own or when
/// its time comes; one that decodes, or is finished, only with an event. So the cost of a step
/// follows the events, not the requests that live.
#[derive(Default)]
pub(super) struct PlanQueue {
    awake: BTreeSet<RequestId>,
    due: BTreeSet<(DueAt, RequestId)>,
    due_of: BTreeMap<RequestId, DueAt>,
    /// Requests whose prefill is in flight and has not queued so far.
    prefills_on_time: usize,
}

impl PlanQueue {
    /// Has a request planned at the next step.
    pub(super) fn wake(&mut self, id: RequestId) {
        self.awake.insert(id);
    }

    /// Wakes all whose time has come.
    pub(super) fn wake_due(&mut self, now: Ms) {
        let due = self.due.iter().take_while(|(due, _)| due.0 <= now);
        self.awake.extend(due.map(|(_, id)| *id));
    }

    pub(super) fn awake(&self) -> impl Iterator<Item = &RequestId> {
        self.awake.iter()
    }

    /// When the next request is due.
    pub(super) fn next_due_at(&self) -> Option<Ms> {
        self.due.first().map(|(due, _)| due.0)
    }

    pub(super) fn prefills_on_time(&self) -> usize {
        self.prefills_on_time
    }

    /// A request is about to change: it leaves the count of prefills, until [`PlanQueue::count`].
    pub(super) fn uncount(&mut self, request: &Request) {
        self.prefills_on_time -= usize::from(request.is_prefilling_on_time());
    }

    pub(super) fn count(&mut self, request: &Request) {
        self.prefills_on_time += usize::from(request.is_prefilling_on_time());
    }

    /// A request was planned: decides when it is planned again.
    pub(super) fn reschedule(&mut self, id: RequestId, request: &Request, now: Ms) {
        if let Some(due) = self.due_of.remove(&id) {
            self.due.remove(&(due, id));
        }
        let held = is_held(request, now);
        if request.finished || request.attempt.is_some() || held {
            self.awake.remove(&id);
        }
        if let Some(due_at) = next_due_at(request, held, now) {
            self.due.insert((DueAt(due_at), id));
            self.due_of.insert(id, DueAt(due_at));
        }
    }
}

fn is_held(request: &Request, now: Ms) -> bool {
    request.attempt.is_none() && request.held_until > now
}

/// When a request changes without an event; none if it does not, or is planned at every step.
fn next_due_at(request: &Request, held: bool, now: Ms) -> Option<Ms> {
    let waiting = request.attempt.as_ref().filter(|attempt| !attempt.decoding);
    let confirm_at = waiting
        .and_then(|attempt| attempt.delivery.next_at())
        .unwrap_or(f64::INFINITY);
    if request.finished {
        return Some(confirm_at).filter(|at| *at != f64::INFINITY);
    }
    match waiting.map(|attempt| attempt.sent_at + request.queued_after_ms()) {
        Some(late_at) if now < late_at => Some(late_at.min(request.ends_at).min(confirm_at)),
        Some(_) => Some(request.ends_at.min(confirm_at)),
        None if held => Some(
            request
                .held_until
                .min(request.prefill_by)
                .min(request.ends_at),
        ),
        None => None,
    }
}
