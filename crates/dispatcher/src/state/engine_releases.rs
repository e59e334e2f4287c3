//! Releases where a state belongs to one engine and goes by an id of its own, over connections that carry many calls: a
//! release goes to that engine until it has confirmed it. One that is lost on its way would leave the state pinned.

use super::kv_states::Held;
use super::stream_purpose::StreamPurpose;
use super::*;

/// A release is sent again after this part of the release time.
const RETRY_INTERVAL_DIVISOR: f64 = 4.0;
/// For how many release times one that nobody confirms is sent again.
const GIVE_UP_AFTER: f64 = 10.0;

impl Dispatcher {
    pub(super) fn release_at_engine(&mut self, held: Held, outputs: &mut Vec<Output>) {
        let engine = held.engine.clone();
        self.pending_engine_releases
            .entry(engine.clone())
            .or_default()
            .push(EngineRelease {
                held,
                since: self.now,
            });
        self.send_engine_releases(&engine, outputs);
    }

    /// A release was not confirmed: it is sent again.
    pub(super) fn engine_release_lost(&mut self, engine: EngineId, release: EngineRelease) {
        self.pending_engine_releases
            .entry(engine.clone())
            .or_default()
            .push(release);
        self.timers.set(
            self.now + self.settings.policy.kv_state_timeout / RETRY_INTERVAL_DIVISOR,
            Due::EngineReleaseRetry(engine),
        );
    }

    /// Lets go what is to be let go at an engine, over any connection that is up; else one is had. A process that is gone holds
    /// nothing, and an engine that cannot be reached for long has its own time limit.
    pub(super) fn send_engine_releases(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let Some(states) = self.pending_engine_releases.get_mut(engine) else {
            return;
        };
        let oldest = self.now - GIVE_UP_AFTER * self.settings.policy.kv_state_timeout;
        states.retain(|release| release.since >= oldest);
        let row = self
            .endpoints
            .engines
            .get(engine)
            .filter(|row| row.status != EndpointStatus::Gone);
        match (self.connections.up(engine, false), row) {
            (Some(connection), _) => {
                for release in self
                    .pending_engine_releases
                    .remove(engine)
                    .unwrap_or_default()
                {
                    let (state, origin) = (Some(release.held.id), release.held.origin.clone());
                    let purpose = StreamPurpose::EngineRelease(release);
                    let stream =
                        self.connections
                            .open_on(connection, purpose, self.now, &mut self.timers);
                    let Some(stream) = stream else { continue };
                    self.timers.set(
                        self.now + self.settings.limits.stall_limit,
                        Due::StreamTimeout(connection, stream),
                    );
                    self.connections.send(
                        connection,
                        stream,
                        Body::Release(v1::Release { state, origin }),
                        outputs,
                    );
                }
            }
            (None, Some(row)) if !states.is_empty() => {
                let address = row.line.address.clone();
                let to = (&mut self.timers, outputs);
                if !self
                    .connections
                    .want(engine, &address, self.now, &self.settings, to)
                {
                    let again = Due::EngineReleaseRetry(engine.clone());
                    self.timers.set(
                        self.now + self.settings.policy.kv_state_timeout / RETRY_INTERVAL_DIVISOR,
                        again,
                    );
                }
            }
            (None, _) => {
                self.pending_engine_releases.remove(engine);
            }
        }
    }

    /// The connection over which releases were to go is over: they go over another one.
    pub(super) fn schedule_engine_releases(&mut self, engine: &EngineId) {
        if self.pending_engine_releases.contains_key(engine) {
            let again = self.now + self.settings.policy.kv_state_timeout / RETRY_INTERVAL_DIVISOR;
            self.timers
                .set(again, Due::EngineReleaseRetry(engine.clone()));
        }
    }
}
