//! Every decision of a dispatcher about requests: which prefill engine computes a prompt, which
//! decode engine answers it, what follows a failure, and when a request is rejected or failed.
//!
//! A driver makes one [`Control`] for each dispatcher, hands each batch of events to
//! [`Control::step`] with its instant and carries out the actions in order; timers come back as
//! [`Event::Timer`]. The types of both sides are in [`crate::interface`]. The same settings, seed
//! and events give the same actions.
//!
//! A step runs in three parts: `learn` takes the events in, `plan` sets the intents of each request
//! that can have changed (`plan_queue`), and `emit` alone makes actions of intents. The rules have
//! a module each: `admission`, `candidates`, `prefill_placement`, `decode_placement`, `retry`,
//! `health_check` and `delivery_tracking` decide with the whole `state`; what is known of one
//! engine is made of `concurrency_limit`, `outlier_detection`, `prefix_cache`, `load_report` and
//! `slow_start`.

mod admission;
mod candidates;
mod concurrency_limit;
mod decaying_rate;
mod decode_placement;
mod delivery;
mod delivery_tracking;
mod emit;
mod engines;
mod health_check;
mod home_engines;
mod learn;
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

pub use delivery::RECEIVED_LATE;

use crate::interface::{Action, Event, Ms, RequestId, Settings};
use state::State;

/// The decisions of one dispatcher.
pub struct Control {
    state: State,
    planned: u64,
}

impl Control {
    /// A dispatcher that knows no engine yet. `seed` starts its random draws, which break ties
    /// between engines.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Control {
            state: State::new(settings, seed),
            planned: 0,
        }
    }

    /// From now on a decode attempt counts as arrived only once [`Event::Delivered`], its first
    /// token or its end shows it; without this call what is sent counts as arrived.
    pub fn track_deliveries(&mut self) {
        self.state.tracks_deliveries = true;
    }

    /// Takes the events in at the instant `now`, in milliseconds on the driver's clock, and appends
    /// the actions that follow to `actions`. An earlier instant than the last one counts as that
    /// one.
    pub fn step(&mut self, now: Ms, events: &[Event], actions: &mut Vec<Action>) {
        let state = &mut self.state;
        state.now = state.now.max(now);
        for event in events {
            state.learn(event);
        }
        state.wake_at = None;
        state.queue.wake_due(state.now);
        for id in state.plan_order() {
            self.plan_and_emit(id, actions);
        }
        let state = &mut self.state;
        debug_assert!(state.counts_prefills_on_time());
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
        state.queue.uncount(&request);
        state.plan(&mut request);
        self.planned += 1;
        state.emit(id, &mut request, actions);
        state.queue.reschedule(id, &request, state.now);
        state.queue.count(&request);
        if !request.finished || request.attempt.is_some() {
            state.requests.insert(id, request);
        }
    }

    /// Has every request but the held planned at the next step, as a simple policy without a queue
    /// would do. The actions are the same; tests compare them.
    pub fn wake_all(&mut self) {
        let state = &mut self.state;
        let now = state.now;
        for (id, request) in &state.requests {
            if request.attempt.is_some() || request.held_until <= now {
                state.queue.wake(*id);
            }
        }
    }

    /// How many times a request was planned so far.
    pub fn planned(&self) -> u64 {
        self.planned
    }
}
