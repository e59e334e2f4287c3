//! The decisions of a dispatcher about requests: which prefill engine computes a prompt, which
//! decode engine generates the answer, whether a failed attempt is retried, and when a request is
//! rejected or failed.
//!
//! A driver creates one [`Control`] per dispatcher. It passes each batch of events to
//! [`Control::step`], together with the current time, and carries out the resulting actions in
//! order. It reports expired timers as [`Event::Timer`]. The types of events and actions are in
//! [`crate::interface`]. The same settings, seed and events produce the same actions.
//!
//! A step has three phases. `event_handlers` applies the events. `plan` sets the intents of each
//! request whose situation may have changed; `plan_queue` tracks these requests. `emit` turns the
//! intents into actions. Each rule has its own module. `admission`, `candidates`,
//! `prefill_placement`, `decode_placement`, `retry`, `health_check` and `delivery_tracking` read
//! the whole `state`. `concurrency_limit`, `outlier_detection`, `prefix_cache`, `load_report` and
//! `slow_start` each hold a part of the state of one engine.

mod admission;
mod candidates;
mod concurrency_limit;
mod decaying_rate;
mod decode_placement;
mod delivery;
mod delivery_tracking;
mod emit;
mod engines;
mod event_handlers;
mod health_check;
mod home_engines;
mod load_report;
mod outlier_detection;
mod plan;
mod plan_queue;
mod prefill_placement;
mod prefix_cache;
mod request_classes;
mod requests;
mod retry;
mod slow_start;
mod stage;
mod state;
mod wake_timer;

pub use delivery::MAX_MESSAGE_DELAY;

use crate::interface::{Action, Event, Ms, RequestId, Settings};
use state::State;

/// The decision logic of one dispatcher. It does no I/O and reads no clock.
pub struct Control {
    state: State,
    plan_count: u64,
}

impl Control {
    /// Creates the decision logic of a dispatcher that knows no engine yet. `seed` initialises the
    /// random draws that break ties between engines.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Control {
            state: State::new(settings, seed),
            plan_count: 0,
        }
    }

    /// Enables delivery tracking: from now on a decode attempt counts as delivered only after
    /// [`Event::Delivered`], its first token or its end. Without this call an attempt counts as
    /// delivered when it is sent.
    pub fn track_deliveries(&mut self) {
        self.state.tracks_deliveries = true;
    }

    /// Applies the events at the instant `now`, in milliseconds on the driver's clock, and appends
    /// the resulting actions to `actions`. If `now` is earlier than in the last call, the value of
    /// the last call is used.
    pub fn step(&mut self, now: Ms, events: &[Event], actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        for event in events {
            state.handle_event(event);
        }
        state.wake_at = None;
        state.queue.schedule_due(state.now);
        for id in state.plan_order() {
            self.plan_and_emit(id, actions);
        }
        let state = &mut self.state;
        debug_assert!(state.is_unqueued_prefill_count_correct());
        if let Some(due_at) = state.queue.next_due_at() {
            state.wake_by(due_at);
        }
        state.emit_health_checks(actions);
        state.emit_timer(actions);
    }

    fn plan_and_emit(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        let Some(mut request) = state.requests.remove(&id) else {
            return;
        };
        state.queue.remove_from_prefill_count(&request);
        state.plan(&mut request);
        self.plan_count += 1;
        state.emit(id, &mut request, actions);
        state.queue.reschedule(id, &request, state.now);
        state.queue.add_to_prefill_count(&request);
        if !request.finished || request.attempt.is_some() {
            state.requests.insert(id, request);
        }
    }

    /// Schedules every request for planning at the next step, except held requests whose hold has
    /// not ended. Tests compare the resulting actions with those of a step without this call; they
    /// must be the same.
    pub fn schedule_all(&mut self) {
        let state = &mut self.state;
        let now = state.now;
        for (id, request) in &state.requests {
            if request.attempt.is_some() || request.held_until <= now {
                state.queue.schedule(*id);
            }
        }
    }

    /// The number of times that any request has been planned since creation.
    pub fn plan_count(&self) -> u64 {
        self.plan_count
    }
}
