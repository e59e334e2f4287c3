//! Tracks which requests have to be planned at the next step.

use super::requests::Request;
use crate::interface::{Ms, RequestId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// An instant that can be a key of an ordered set, which `f64` cannot.
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

/// The requests to plan and when they are due. New requests, requests that wait for load reports
/// and requests whose KV state waits for a decode engine are planned at every step. A held request,
/// or one with an attempt in flight, is planned after an event that concerns it or when it is due.
/// A request that is decoding or finished is planned only after an event that concerns it. The cost of a step
/// therefore depends on the number of events, not on the number of open requests.
#[derive(Default)]
pub(super) struct PlanQueue {
    /// The requests that are planned at the next step, or at the step that is running.
    scheduled: BTreeSet<RequestId>,
    /// The requests that are due at a known instant, earliest first.
    due: BTreeSet<(DueAt, RequestId)>,
    due_by_request: BTreeMap<RequestId, DueAt>,
    /// Number of prefills in flight that were sent so recently that they may not have waited in
    /// their engine's queue.
    unqueued_prefills: usize,
}

impl PlanQueue {
    /// Schedules a request for planning at the next step.
    pub(super) fn schedule(&mut self, id: RequestId) {
        self.scheduled.insert(id);
    }

    /// Schedules all requests that are due at `now` for planning at this step.
    pub(super) fn schedule_due(&mut self, now: Ms) {
        let due = self.due.iter().take_while(|(due, _)| due.0 <= now);
        self.scheduled.extend(due.map(|(_, id)| *id));
    }

    /// The requests that are planned at this step, by ascending id.
    pub(super) fn scheduled(&self) -> impl Iterator<Item = &RequestId> {
        self.scheduled.iter()
    }

    /// When the next request is due; `None` if none has a due time.
    pub(super) fn next_due_at(&self) -> Option<Ms> {
        self.due.first().map(|(due, _)| due.0)
    }

    pub(super) fn unqueued_prefills(&self) -> usize {
        self.unqueued_prefills
    }

    /// Removes a request from the count of unqueued prefills. Callers do this before they change
    /// the request, and call [`PlanQueue::add_to_prefill_count`] afterwards.
    pub(super) fn remove_from_prefill_count(&mut self, request: &Request) {
        self.unqueued_prefills -= usize::from(request.is_prefilling_unqueued());
    }

    pub(super) fn add_to_prefill_count(&mut self, request: &Request) {
        self.unqueued_prefills += usize::from(request.is_prefilling_unqueued());
    }

    /// Sets the next time at which a request is planned. Callers do this right after planning it.
    pub(super) fn reschedule(&mut self, id: RequestId, request: &Request, now: Ms) {
        if let Some(due) = self.due_by_request.remove(&id) {
            self.due.remove(&(due, id));
        }
        let held = is_held(request, now);
        if request.finished || request.attempt.is_some() || held {
            self.scheduled.remove(&id);
        }
        if let Some(due_at) = next_due_at(request, held, now) {
            self.due.insert((DueAt(due_at), id));
            self.due_by_request.insert(id, DueAt(due_at));
        }
    }
}

fn is_held(request: &Request, now: Ms) -> bool {
    request.attempt.is_none() && request.held_until > now
}

/// When a request has to be planned even if no event concerns it; `None` if never, or if it is
/// planned at every step anyway.
fn next_due_at(request: &Request, held: bool, now: Ms) -> Option<Ms> {
    let not_decoding = request.attempt.as_ref().filter(|attempt| !attempt.decoding);
    let confirm_at = not_decoding
        .and_then(|attempt| attempt.delivery.next_at())
        .unwrap_or(f64::INFINITY);
    if request.finished {
        return Some(confirm_at).filter(|at| *at != f64::INFINITY);
    }
    match not_decoding.map(|attempt| attempt.sent_at + request.queued_after_ms()) {
        Some(queued_at) if now < queued_at => {
            Some(queued_at.min(request.answer_by).min(confirm_at))
        }
        Some(_) => Some(request.answer_by.min(confirm_at)),
        None if held => Some(
            request
                .held_until
                .min(request.prefill_start_by)
                .min(request.answer_by),
        ),
        None => None,
    }
}
