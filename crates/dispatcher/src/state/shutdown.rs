//! The stop: a notice in which requests are still taken, a grace in which what is open may end, and the releases that
//! are waited for after it.

use super::*;

/// After streams were moved in a stop: how often those are that have begun since.
const MIGRATION_INTERVAL_MS: Ms = 100.0;

impl Dispatcher {
    /// States that are let go are gone when their engines say so: a stop does not cut that off, but no engine that
    /// says nothing holds it up for longer than a release may take.
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

    pub(super) fn begin_stop(&mut self, outputs: &mut Vec<Output>) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now);
            let grace = self.now + self.settings.limits.stop_grace;
            self.timers.set(grace, Due::StopGrace);
            self.timers.set(
                grace + self.settings.policy.kv_state_timeout,
                Due::StopReleases,
            );
            if let Some(after) = self.settings.limits.stop_moves {
                self.timers.set(self.now + after, Due::StopMigration);
            }
            let notice = self.settings.limits.stop_notice;
            if notice > 0.0 {
                // Those with an open request are told with its answer, the others at the end of the notice.
                let open: BTreeSet<ClientConnectionId> =
                    self.client_streams.keys().map(|(conn, _)| *conn).collect();
                outputs.extend(open.into_iter().map(|conn| Output::LeaveClient { conn }));
                self.timers.set(self.now + notice, Due::StopNotice);
            } else {
                self.end_notice(outputs);
            }
            let text = format!("stopping with {} tasks open", self.requests.len());
            outputs.push(Output::log(Level::Info, text));
        }
    }

    /// Whether nothing new is taken.
    pub(super) fn is_closed(&self) -> bool {
        self.stopping_since
            .is_some_and(|since| self.now >= since + self.settings.limits.stop_notice)
    }

    /// Nothing new is taken from now on.
    pub(super) fn end_notice(&mut self, outputs: &mut Vec<Output>) {
        outputs.extend(self.callers.all().map(|conn| Output::LeaveClient { conn }));
    }

    /// Guards against streams that outlast this process: cut off with it they would all look for another
    /// dispatcher at an instant that nobody chose, perhaps with none there.
    pub(super) fn migrate_all(&mut self, outputs: &mut Vec<Output>) {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in ids {
            self.migrate(id, outputs);
        }
        // What begins from now on is moved soon as well.
        if !self.requests.is_empty() {
            self.timers
                .set(self.now + MIGRATION_INTERVAL_MS, Due::StopMigration);
        }
    }

    /// What is still open at the end of the grace is answered: rejected if nothing of it ever went out, else
    /// failed, which promises nothing; its attempts are called off and its states let go.
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

    /// Whether a state is to be let go of which no engine has said yet that it is. A stop does not wait for releases to be
    /// repeated: what a process leaves that has ended is freed by the platform.
    pub(super) fn releasing(&self) -> bool {
        let open = self.engine_releases() + self.kv_states.unconfirmed_count();
        !fault_injection::is(Plant::StopDropsReleases) && open > 0
    }
}
