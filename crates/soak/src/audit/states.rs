//! KV states: held, taken, released, or left lying.

use super::*;

impl Audit {
    /// An engine holds the KV state of a request.
    pub fn state_held(&mut self, request: &str, engine: &str, now: Ms) {
        if let Some(request) = self.requests.get_mut(request) {
            request.held_at = Some((engine.to_owned(), now));
        }
    }

    /// A release of a request has come to an engine that runs.
    pub fn release_came(&mut self, request: &str) {
        let over = self.readings.over;
        let waits = |request: &Request| {
            request
                .attempts
                .iter()
                .any(|id| self.attempts[id.0].waits(over))
        };
        let is_awaited = self.readings.release == ReleaseScope::WhatNoAttemptWaitsFor
            && self.requests.get(request).is_some_and(waits);
        if !is_awaited {
            self.state_taken(request);
        }
    }

    /// A decode engine takes the state; tells whether there was one.
    pub fn state_taken(&mut self, request: &str) -> bool {
        self.requests
            .get_mut(request)
            .is_some_and(|request| request.held_at.take().is_some())
    }

    /// All connections to an engine are about to be reset: what is out there breaks, and what it wrote may be lost if it
    /// has not got through, or only just now.
    pub fn engine_cut(&mut self, engine: &str, now: Ms) {
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.engine == engine)
        {
            match attempt.ended {
                None => (attempt.ended, attempt.cut) = (Some((now, AttemptEnd::Failed)), Some(now)),
                Some((at, AttemptEnd::Served | AttemptEnd::TurnedAway))
                    if attempt.is_on_its_way(at, now) =>
                {
                    attempt.cut = Some(now);
                }
                Some(_) => {}
            }
        }
    }

    /// An engine's process is gone, and with it what it held.
    pub fn engine_gone(&mut self, engine: &str) {
        for request in self.requests.values_mut().filter(|r| r.is_held_at(engine)) {
            request.held_at = None;
        }
    }

    /// Looks at what should have happened by now. To be called often.
    pub fn look(&mut self, now: Ms) {
        let most = self.rules.release + self.rules.any_time;
        let held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, r)| {
                r.held_at.is_some() && !r.reported && !self.ended.contains_key(&r.life)
            })
            .filter(|(_, r)| self.idle_since(r).is_some_and(|since| now - since > most))
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.reported = true;
            let (engine, request) = (
                request.held_at.clone().unwrap_or_default().0,
                request.clone(),
            );
            let story = self.story(&request);
            let what = format!("the state of {id} lies at {engine} for over {most:.0} ms; {story}");
            self.violated(now, Invariant::StateReleased, what);
        }
    }

    /// Since when the time of a request's state runs: no attempt of it is out, and its engine holds it, which it may do later
    /// where it hung while the prefill was closed ('a read may have ended well just as its connection was closed').
    pub(super) fn idle_since(&self, request: &Request) -> Option<Ms> {
        let held_since = request.held_at.as_ref().map(|(_, since)| *since)?;
        let over = self.readings.over;
        let ends = request
            .attempts
            .iter()
            .map(|id| self.attempts[id.0].stops_waiting_at(over));
        let over_since = ends
            .collect::<Option<Vec<Ms>>>()?
            .into_iter()
            .reduce(f64::max)?;
        Some(over_since.max(held_since))
    }
}
