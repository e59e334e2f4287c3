//! Releases of KV states over multiplexed connections. Such a release names the KV state by its own id, and is sent
//! to the engine that holds the state.
//!
//! A lost release would leave the KV state pinned at its engine. The release is therefore repeated until the engine
//! has confirmed it, or has been unreachable for so long that the engine's own timeout has released the state.

use super::kv_states::HeldState;
use super::stream_purpose::StreamPurpose;
use super::*;

/// An unconfirmed release is sent again after the KV state timeout divided by this.
const RETRY_INTERVAL_DIVISOR: f64 = 4.0;
/// An unconfirmed release is given up after this many KV state timeouts.
const MAX_RELEASE_AGE_KV_STATE_TIMEOUTS: f64 = 10.0;

impl Dispatcher {
    /// Queues the release of a KV state and sends it to the engine that holds the state.
    pub(super) fn enqueue_engine_release(&mut self, held: HeldState, outputs: &mut Vec<Output>) {
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

    /// Queues a release that was not confirmed, so that it is sent again.
    pub(super) fn requeue_engine_release(&mut self, engine: EngineId, release: EngineRelease) {
        self.pending_engine_releases
            .entry(engine.clone())
            .or_default()
            .push(release);
        self.schedule_engine_release_retry(engine);
    }

    fn schedule_engine_release_retry(&mut self, engine: EngineId) {
        let retry_at = self.now + self.settings.policy.kv_state_timeout / RETRY_INTERVAL_DIVISOR;
        self.timers
            .set(retry_at, TimerKind::EngineReleaseRetry(engine));
    }

    /// Sends the pending releases for an engine over any established connection, or dials one. If the engine is
    /// gone, it holds no KV state, and its releases are dropped. An engine that stays unreachable releases its KV
    /// states when their timeout expires.
    pub(super) fn send_engine_releases(&mut self, engine: &EngineId, outputs: &mut Vec<Output>) {
        let Some(releases) = self.pending_engine_releases.get_mut(engine) else {
            return;
        };
        let oldest_kept_since =
            self.now - MAX_RELEASE_AGE_KV_STATE_TIMEOUTS * self.settings.policy.kv_state_timeout;
        releases.retain(|release| release.since >= oldest_kept_since);
        let entry = self
            .endpoints
            .engines
            .get(engine)
            .filter(|entry| entry.status != EndpointStatus::Gone);
        match (self.connections.accepting_connection(engine, false), entry) {
            (Some(connection), _) => {
                let releases = self.pending_engine_releases.remove(engine);
                for release in releases.unwrap_or_default() {
                    self.send_engine_release(connection, release, outputs);
                }
            }
            (None, Some(entry)) if !releases.is_empty() => {
                let address = entry.endpoint.address.clone();
                let effects = (&mut self.timers, outputs);
                if !self.connections.ensure_connection(
                    engine,
                    &address,
                    self.now,
                    &self.settings,
                    effects,
                ) {
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
        let opened =
            self.connections
                .open_stream_on(connection, purpose, self.now, &mut self.timers);
        let Some(stream) = opened else { return };
        self.timers.set(
            self.now + self.settings.limits.stall_timeout,
            TimerKind::StreamTimeout(connection, stream),
        );
        let body = Body::Release(v1::Release { state, origin });
        self.connections.send(connection, stream, body, outputs);
    }

    /// Schedules the pending releases for an engine to be sent on another connection, after one of its connections
    /// has ended.
    pub(super) fn schedule_engine_releases(&mut self, engine: &EngineId) {
        if self.pending_engine_releases.contains_key(engine) {
            self.schedule_engine_release_retry(engine.clone());
        }
    }
}
