//! The story of each request in lines for the log, so that one request can be followed by the id that its client gave
//! it through every dispatcher that had it. Made only where somebody reads it (`Dispatcher::tell_stories`).

use super::*;
use std::fmt::Write;

impl Dispatcher {
    /// What happens to requests is told line by line from now on.
    pub fn enable_request_log(&mut self) {
        self.logs_requests = true;
    }

    pub(super) fn log_event(&self, event: &Event, outputs: &mut Vec<Output>) {
        let text = match event {
            Event::Arrived(a) => {
                let (shared, session) = (a.shared.map_or(0, |s| s.0), a.session.0);
                let (prompt, beginning) = (a.prompt_tokens, a.shared_tokens);
                let (request_class, waits) = (a.request_class.0, a.time_to_deadline);
                let request = self.called(a.request);
                format!(
                    "{request} arrived profile={request_class} prompt={prompt} shared={beginning} beginning={shared:x} \
                     session={session:x} waits={waits:.0} retried={}",
                    a.retried
                )
            }
            Event::ClientGone { request } => format!("{} left", self.called(*request)),
            Event::FirstToken {
                request,
                attempt,
                engine,
                latency,
            } => {
                format!(
                    "{} launch={} host={} began after={latency:.1}",
                    self.called(*request),
                    attempt.0,
                    engine.0
                )
            }
            Event::Ended(e) => format!(
                "{} launch={} host={} ended outcome={:?} after={:.1} detail={}",
                self.called(e.request),
                e.attempt.0,
                e.engine.0,
                e.outcome,
                e.latency,
                e.detail
            ),
            Event::HealthChecked {
                engine,
                outcome,
                latency,
                load,
            } => {
                let said = |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.3}"));
                let (queue, slots, memory) = (
                    said(load.queue),
                    said(load.slots_used),
                    said(load.memory_held),
                );
                format!(
                    "probe host={} outcome={outcome:?} after={latency:.1} queue={queue} slots={slots} \
                     memory={memory}",
                    engine.0
                )
            }
            Event::EndpointsUpdated { kind, endpoints } => {
                let mut text = format!("list {kind:?}");
                for e in endpoints {
                    // Writing to a string cannot fail.
                    let _ = write!(
                        text,
                        " {}:{}:{}:{}:{:?}:{:.0}",
                        e.engine.0,
                        e.kind.0,
                        e.zone.0,
                        e.cell.0,
                        e.status,
                        e.started.unwrap_or(0.0)
                    );
                }
                text
            }
            Event::Delivered { request, attempt } => {
                format!("{} launch={} delivered", self.called(*request), attempt.0)
            }
            Event::ReservationChanged { .. }
            | Event::Timer { .. }
            | Event::GossipReceived { .. } => return,
        };
        outputs.push(Output::log(Level::Debug, text));
    }

    pub(super) fn log_action(&self, action: &Action, outputs: &mut Vec<Output>) {
        let text = match action {
            Action::StartAttempt {
                request, engine, ..
            } => {
                let no = self.requests.get(request).map_or(0, |t| t.attempts);
                format!(
                    "{} launch={no} host={} goes out",
                    self.called(*request),
                    engine.0
                )
            }
            Action::Cancel { request, attempt } => {
                format!("{} launch={} called off", self.called(*request), attempt.0)
            }
            Action::Reject { request, .. } => format!("{} bounced", self.called(*request)),
            Action::Fail { request } => format!("{} written off", self.called(*request)),
            Action::Release { request } => format!("{} released", self.called(*request)),
            Action::ReleaseInDoubt { request } => {
                format!("{} released in doubt", self.called(*request))
            }
            Action::Confirm { request, attempt } => {
                format!("{} launch={} in doubt", self.called(*request), attempt.0)
            }
            _ => return,
        };
        outputs.push(Output::log(Level::Debug, text));
    }

    fn called(&self, request_id: RequestId) -> String {
        let origin = self
            .requests
            .get(&request_id)
            .map(Request::origin)
            .unwrap_or_default();
        format!(
            "task={} id={}",
            request_id.0,
            if origin.is_empty() { "-" } else { &origin }
        )
    }
}
