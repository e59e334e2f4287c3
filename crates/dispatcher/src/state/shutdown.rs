//! The stop of a dispatcher. It consists of an accept period, in which new requests are still accepted, a grace
//! period, in which open requests may end, and a wait for the releases of KV states.

use super::*;

/// The interval between migrations during a stop. Each migrates the streams that have begun since the previous one.
const MIGRATION_INTERVAL_MS: Ms = 100.0;

impl Dispatcher {
    /// Completes the stop once no request is open and all releases are confirmed. Unconfirmed releases delay the
    /// stop until the KV state timeout has passed after the grace period, but no longer.
    pub(super) fn complete_stop(&mut self, outputs: &mut Vec<Output>) {
        if let (Some(since), false) = (self.stopping_since, self.stopped) {
            let give_up_at =
                since + self.settings.limits.stop_grace + self.settings.policy.kv_state_timeout;
            if self.requests.is_empty()
                && self.rejects_new_requests()
                && (!self.has_unconfirmed_releases() || self.now >= give_up_at)
            {
                self.stopped = true;
                outputs.push(Output::Stopped);
            }
        }
    }

    /// Begins the stop. Has no effect if a stop has already begun.
    pub(super) fn begin_stop(&mut self, outputs: &mut Vec<Output>) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            let grace_end = self.now + self.settings.limits.stop_grace;
            self.timers.set(grace_end, TimerKind::StopGrace);
            self.timers.set(
                grace_end + self.settings.policy.kv_state_timeout,
                TimerKind::StopReleases,
            );
            if let Some(after) = self.settings.limits.stop_streams_after {
                self.timers.set(self.now + after, TimerKind::StopMigration);
            }
            let accept_period = self.settings.limits.stop_accept_period;
            if accept_period > 0.0 {
                // Clients with an open request are asked now to start no new requests, the others at the end of the
                // accept period.
                let clients_with_open_requests: BTreeSet<ClientConnectionId> =
                    self.client_streams.keys().map(|(conn, _)| *conn).collect();
                outputs.extend(
                    clients_with_open_requests
                        .into_iter()
                        .map(|conn| Output::DrainClient { conn }),
                );
                self.timers
                    .set(self.now + accept_period, TimerKind::StopAcceptPeriodEnd);
            } else {
                self.end_accept_period(outputs);
            }
            let text = format!("stopping with {} requests open", self.requests.len());
            outputs.push(Output::log(Level::Info, text));
        }
    }

    /// Whether new requests are rejected, because the accept period of a stop is over.
    pub(super) fn rejects_new_requests(&self) -> bool {
        self.stopping_since
            .is_some_and(|since| self.now >= since + self.settings.limits.stop_accept_period)
    }

    /// Ends the accept period of a stop. All clients are asked to start no new requests, and new requests are
    /// rejected from now on.
    pub(super) fn end_accept_period(&mut self, outputs: &mut Vec<Output>) {
        outputs.extend(
            self.client_connections
                .ids()
                .map(|conn| Output::DrainClient { conn }),
        );
    }

    /// Migrates all open streams to other dispatchers while this process still runs. Otherwise many clients would
    /// lose their streams at the moment when it exits, and would all look for another dispatcher when there may be
    /// none.
    pub(super) fn migrate_all(&mut self, outputs: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.migrate(id, outputs);
        }
        // Streams that begin from now on are migrated when the timer fires.
        if !self.requests.is_empty() {
            self.timers
                .set(self.now + MIGRATION_INTERVAL_MS, TimerKind::StopMigration);
        }
    }

    /// Answers the requests that are still open at the end of the grace period. A request of which nothing was sent
    /// to an engine is rejected. Any other request is failed, because it may have run. Attempts are cancelled and
    /// KV states released.
    pub(super) fn end_stop_grace(&mut self, outputs: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let answer = if request.was_sent {
                v1::Answer::Failed
            } else {
                v1::Answer::Rejected
            };
            self.answer(id, answer, 0.0, "the dispatcher stops", outputs);
            self.on_client_gone(id, outputs);
        }
    }

    /// Whether a release is pending that no engine has confirmed. A stop does not wait for the repeats of confirmed
    /// releases, because the platform frees the KV states that an ended process leaves.
    pub(super) fn has_unconfirmed_releases(&self) -> bool {
        let unconfirmed =
            self.unconfirmed_engine_release_count() + self.kv_states.unconfirmed_count();
        !fault_injection::is_injected(InjectedFault::StopDropsReleases) && unconfirmed > 0
    }
}
