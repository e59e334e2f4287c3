//! Releases where a KV state belongs to one engine and has an id of its own, over connections that carry many calls.
//!
//! Guards against a release that is lost on its way, which shows as a KV state that stays pinned at its engine: the release
//! is sent to that engine until it has confirmed it, or has been unreachable for so long that it has timed the state out.

use super::kv_states::Held;
use super::stream_purpose::StreamPurpose;
use super::*;

/// The KV state timeout divided by this is the time after which a release is sent again.
const RETRY_INTERVAL_DIVISOR: f64 = 4.0;
/// For how many KV state timeouts a release that is not confirmed is sent again.
const GIVE_UP_KV_STATE_TIMEOUTS: f64 = 10.0;

impl Dispatcher {
    /// Releases a KV state at its engine.
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
        self.schedule_engine_release_retry(engine);
    }

    fn schedule_engine_release_retry(&mut self, engine: EngineId) {
        let again = self.now + self.settings.policy.kv_state_timeout / RETRY_INTERVAL_DIVISOR;
        self.timers.set(again, Due::EngineReleaseRetry(engine));
    }

    /// Sends the pending releases to an engine over any connection that is up, or dials one. A process that is gone holds
    /// nothing, and an engine that cannot be reached for long times its KV states out itself.
    pub(super) fn send_engine_releases(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let Some(states) = self.pending_engine_releases.get_mut(engine) else {
            return;
        };
        let oldest = self.now - GIVE_UP_KV_STATE_TIMEOUTS * self.settings.policy.kv_state_timeout;
        states.retain(|release| release.since >= oldest);
        let row = self
            .endpoints
            .engines
            .get(engine)
            .filter(|row| row.status != EndpointStatus::Gone);
        match (self.connections.up(engine, false), row) {
            (Some(connection), _) => {
                let releases = self.pending_engine_releases.remove(engine);
                for release in releases.unwrap_or_default() {
                    self.send_engine_release(connection, release, outputs);
                }
            }
            (None, Some(row)) if !states.is_empty() => {
                let address = row.line.address.clone();
                let to = (&mut self.timers, outputs);
                if !self
                    .connections
                    .want(engine, &address, self.now, &self.settings, to)
                {
                    self.schedule_engine_release_retry(engine.clone());
                }
            }
            (None, _) => {
                self.pending_engine_releases.remove(engine);
            }
        }
    }

    fn send_engine_release(
        &mut self,
        connection: EngineConnectionId,
        release: EngineRelease,
        outputs: &mut Vec<Output>,
    ) {
        let (state, origin) = (Some(release.held.id), release.held.origin.clone());
        let purpose = StreamPurpose::EngineRelease(release);
        let opened = self
            .connections
            .open_on(connection, purpose, self.now, &mut self.timers);
        let Some(stream) = opened else { return };
        self.timers.set(
            self.now + self.settings.limits.stall_timeout,
            Due::StreamTimeout(connection, stream),
        );
        let body = Body::Release(v1::Release { state, origin });
        self.connections.send(connection, stream, body, outputs);
    }

    /// A connection to an engine is closed: pending releases go over another one.
    pub(super) fn schedule_engine_releases(&mut self, engine: &EngineId) {
        if self.pending_engine_releases.contains_key(engine) {
            self.schedule_engine_release_retry(engine.clone());
        }
    }
}
