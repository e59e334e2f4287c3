//! Checks on KV states: held, fetched, released, or held for too long.

use super::*;

impl Audit {
    /// Records that an engine holds the KV state of a request.
    pub fn state_held(&mut self, request: &str, engine: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(request) {
            request.held_at = Some((engine.to_owned(), now));
        }
    }

    /// Records that a release of a request has reached an engine that serves releases.
    pub fn release_received(&mut self, request: &str) {
        let ends = self.readings.closed_attempt_ends;
        let is_needed = |request: &Request| {
            request
                .attempts
                .iter()
                .any(|id| self.attempts[id.0].needs_state(ends))
        };
        let is_kept = self.readings.release == ReleaseScope::WhatNoAttemptWaitsFor
            && self.requests.get(request).is_some_and(is_needed);
        if !is_kept {
            self.state_freed(request);
        }
    }

    /// Records that the KV state of a request is no longer held, because it was fetched or released. Returns whether it
    /// was held.
    pub fn state_freed(&mut self, request: &str) -> bool {
        self.requests
            .get_mut(request)
            .is_some_and(|request| request.held_at.take().is_some())
    }

    /// Records that all connections to an engine are about to be reset. Running attempts fail, and data that the engine
    /// wrote may be lost if it has not been forwarded, or has been forwarded only just now.
    pub fn engine_connections_reset(&mut self, engine: &str, now: Ms) {
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.engine == engine)
        {
            match attempt.ended {
                None => {
                    (attempt.ended, attempt.reset_at) = (Some((now, AttemptEnd::Failed)), Some(now))
                }
                Some((at, AttemptEnd::Served | AttemptEnd::Rejected))
                    if attempt.may_be_unread(at, now) =>
                {
                    attempt.reset_at = Some(now);
                }
                Some(_) => {}
            }
        }
    }

    /// Records that an engine's process is gone, with all KV states that it held.
    pub fn engine_gone(&mut self, engine: &str) {
        for request in self.requests.values_mut().filter(|r| r.is_held_at(engine)) {
            request.held_at = None;
        }
    }

    /// Checks for KV states that should have been released by now. Call it often: it detects an overdue state only
    /// while the state is held.
    pub fn check_held_states(&mut self, now: Ms) {
        let limit = self.rules.release_limit + self.rules.timer_slack;
        let held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| {
                r.held_at.is_some() && !r.hold_reported && !self.ended.contains_key(&r.run)
            })
            .filter(|(_, r)| self.idle_since(r).is_some_and(|since| now - since > limit))
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.hold_reported = true;
            let (engine, request) = (
                request.held_at.clone().unwrap_or_default().0,
                request.clone(),
            );
            let description = self.describe(&request);
            let what = format!("the KV state of {id} has been held at {engine} for over {limit:.0} ms; {description}");
            self.violated(now, Invariant::StateReleased, what);
        }
    }

    /// Since when the KV state of a request is held without use; `None` while an attempt needs it or no engine holds
    /// it. An engine that hung while the prefill's connection was closed may begin to hold the state after the
    /// prefill's end (the protocol: 'a read may have ended well just as its connection was closed').
    pub(super) fn idle_since(&self, request: &Request) -> Option<Ms> {
        let held_since = request.held_at.as_ref().map(|(_, since)| *since)?;
        let ends = self.readings.closed_attempt_ends;
        let ends = request
            .attempts
            .iter()
            .map(|id| self.attempts[id.0].state_unneeded_from(ends));
        let over_since = ends
            .collect::<Option<Vec<Ms>>>()?
            .into_iter()
            .reduce(f64::max)?;
        Some(over_since.max(held_since))
    }
}
