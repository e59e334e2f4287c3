//! The stop: a notice in which requests are still taken, a grace in which what is open may end, and the releases that
//! are waited for after it.

use super::*;

/// How often streams that begin after the first migration of a stop are migrated as well.
const MIGRATION_INTERVAL_MS: Ms = 100.0;

impl Dispatcher {
    /// Completes the stop, once nothing is open. A KV state is released when its engine confirms it, and a stop waits for
    /// that; an engine that does not answer delays it by the KV state timeout at most.
    pub(super) fn end_stop(&mut self, outputs: &mut Vec<Output>) {
        if let (Some(since), false) = (self.stopping_since, self.stopped) {
            let latest =
                since + self.settings.limits.stop_grace + self.settings.policy.kv_state_timeout;
            if self.requests.is_empty()
                && self.is_closed()
                && (!self.releasing() || self.now >= latest)
            {
                self.stopped = true;
                outputs.push(Output::Stopped);
            }
        }
    }

    /// Begins the stop, unless it has begun.
    pub(super) fn begin_stop(&mut self, outputs: &mut Vec<Output>) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            let grace = self.now + self.settings.limits.stop_grace;
            self.timers.set(grace, Due::StopGrace);
            self.timers.set(
                grace + self.settings.policy.kv_state_timeout,
                Due::StopReleases,
            );
            if let Some(after) = self.settings.limits.stop_streams_after {
                self.timers.set(self.now + after, Due::StopMigration);
            }
            let notice = self.settings.limits.stop_accept_period;
            if notice > 0.0 {
                // Clients with an open request are asked to leave with its answer, the others at the end of the notice.
                let open: BTreeSet<ClientConnectionId> =
                    self.client_streams.keys().map(|(conn, _)| *conn).collect();
                outputs.extend(open.into_iter().map(|conn| Output::DrainClient { conn }));
                self.timers.set(self.now + notice, Due::StopNotice);
            } else {
                self.end_notice(outputs);
            }
            let text = format!("stopping with {} requests open", self.requests.len());
            outputs.push(Output::log(Level::Info, text));
        }
    }

    /// Whether new requests are rejected.
    pub(super) fn is_closed(&self) -> bool {
        self.stopping_since
            .is_some_and(|since| self.now >= since + self.settings.limits.stop_accept_period)
    }

    /// New requests are rejected from now on.
    pub(super) fn end_notice(&mut self, outputs: &mut Vec<Output>) {
        outputs.extend(
            self.client_connections
                .all()
                .map(|conn| Output::DrainClient { conn }),
        );
    }

    /// Guards against streams that outlast this process, which show as many clients that lose theirs at once and look for
    /// another dispatcher when there may be none: they are migrated while the process still runs, each in good order.
    pub(super) fn migrate_all(&mut self, outputs: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.migrate(id, outputs);
        }
        // Streams that begin from now on are migrated soon as well.
        if !self.requests.is_empty() {
            self.timers
                .set(self.now + MIGRATION_INTERVAL_MS, Due::StopMigration);
        }
    }

    /// Requests that are open at the end of the grace are answered: rejected if nothing of them ever went out, else
    /// failed, as they may have run. Their attempts are cancelled and their KV states released.
    pub(super) fn end_grace(&mut self, outputs: &mut Vec<Output>) {
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
            self.client_gone(id, outputs);
        }
    }

    /// Whether a release is open that no engine has confirmed yet. A stop does not wait for releases to be repeated: the
    /// platform frees what a process leaves that has ended.
    pub(super) fn releasing(&self) -> bool {
        let open = self.engine_releases() + self.kv_states.unconfirmed_count();
        !fault_injection::is_injected(InjectedFault::StopDropsReleases) && open > 0
    }
}
