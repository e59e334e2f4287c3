//! The request log: a line for each event and action of a request, so that one request can be followed by the id that its
//! client gave it through every dispatcher that had it. Made only where it is asked for
//! ([`Dispatcher::enable_request_log`]).

use super::*;
use std::fmt::Write;

impl Dispatcher {
    /// Logs each event and action of a request from now on, at level debug.
    pub fn enable_request_log(&mut self) {
        self.logs_requests = true;
    }

    /// Logs an event, before the decisions take it.
    pub(super) fn log_event(&self, event: &Event, outputs: &mut Vec<Output>) {
        let text = match event {
            Event::Arrived(a) => {
                let (shared, session) = (a.shared.map_or(0, |s| s.0), a.session.0);
                let (prompt, shared_tokens) = (a.prompt_tokens, a.shared_tokens);
                let (request_class, deadline) = (a.request_class.0, a.time_to_deadline);
                let request = self.request_label(a.request);
                format!(
                    "{request} arrived class={request_class} prompt={prompt} shared={shared_tokens} prefix={shared:x} \
                     session={session:x} deadline={deadline:.0} retried={}",
                    a.retried
                )
            }
            Event::ClientGone { request } => {
                format!("{} client gone", self.request_label(*request))
            }
            Event::FirstToken {
                request,
                attempt,
                engine,
                latency,
            } => {
                format!(
                    "{} attempt={} engine={} first token after={latency:.1}",
                    self.request_label(*request),
                    attempt.0,
                    engine.0
                )
            }
            Event::Ended(e) => format!(
                "{} attempt={} engine={} ended outcome={:?} after={:.1} detail={}",
                self.request_label(e.request),
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
                let shown =
                    |value: Option<f64>| value.map_or("-".to_owned(), |v| format!("{v:.3}"));
                let (queue, slots, memory) = (
                    shown(load.queue),
                    shown(load.slots_used),
                    shown(load.memory_held),
                );
                format!(
                    "health check engine={} outcome={outcome:?} after={latency:.1} queue={queue} slots={slots} \
                     memory={memory}",
                    engine.0
                )
            }
            Event::EndpointsUpdated { kind, endpoints } => {
                let mut text = format!("endpoints {kind:?}");
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
                format!(
                    "{} attempt={} delivered",
                    self.request_label(*request),
                    attempt.0
                )
            }
            Event::ReservationChanged { .. }
            | Event::Timer { .. }
            | Event::GossipReceived { .. } => return,
        };
        outputs.push(Output::log(Level::Debug, text));
    }

    /// Logs an action, before it is carried out.
    pub(super) fn log_action(&self, action: &Action, outputs: &mut Vec<Output>) {
        let text = match action {
            Action::StartAttempt {
                request, engine, ..
            } => {
                let attempt = self
                    .requests
                    .get(request)
                    .map_or(0, |request| request.attempts);
                format!(
                    "{} attempt={attempt} engine={} goes out",
                    self.request_label(*request),
                    engine.0
                )
            }
            Action::Cancel { request, attempt } => {
                format!(
                    "{} attempt={} cancelled",
                    self.request_label(*request),
                    attempt.0
                )
            }
            Action::Reject { request, .. } => format!("{} rejected", self.request_label(*request)),
            Action::Fail { request } => format!("{} failed", self.request_label(*request)),
            Action::Release { request } => format!("{} released", self.request_label(*request)),
            Action::ReleaseInDoubt { request } => {
                format!(
                    "{} released, delivery unconfirmed",
                    self.request_label(*request)
                )
            }
            Action::Confirm { request, attempt } => {
                format!(
                    "{} attempt={} delivery unconfirmed",
                    self.request_label(*request),
                    attempt.0
                )
            }
            _ => return,
        };
        outputs.push(Output::log(Level::Debug, text));
    }

    /// A request by its number here and its id at its client.
    fn request_label(&self, request_id: RequestId) -> String {
        let origin = self
            .requests
            .get(&request_id)
            .map(Request::origin)
            .unwrap_or_default();
        format!(
            "request={} id={}",
            request_id.0,
            if origin.is_empty() { "-" } else { &origin }
        )
    }
}
