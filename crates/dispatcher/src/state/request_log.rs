//! The request log, with one debug line for each event and action of a request. The client-assigned id identifies a
//! request across all dispatchers that have handled it. The log is off unless [`Dispatcher::enable_request_log`]
//! was called.

use super::*;
use std::fmt::Write;

impl Dispatcher {
    /// Starts to log each event and action of a request at debug level.
    pub fn enable_request_log(&mut self) {
        self.logs_requests = true;
    }

    /// Logs an event before it is passed to `Control`.
    pub(super) fn log_event(&self, event: &Event, outputs: &mut Vec<Output>) {
        let text = match event {
            Event::Arrived(arrival) => self.arrival_text(arrival),
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
            Event::Ended(ended) => format!(
                "{} attempt={} engine={} ended outcome={:?} after={:.1} detail={}",
                self.request_label(ended.request),
                ended.attempt.0,
                ended.engine.0,
                ended.outcome,
                ended.latency,
                ended.detail
            ),
            Event::HealthChecked {
                engine,
                outcome,
                latency,
                load,
            } => health_check_text(engine, *outcome, *latency, load),
            Event::EndpointsUpdated { kind, endpoints } => endpoints_text(*kind, endpoints),
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

    /// Logs an action before it is carried out.
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
            Action::ReleaseUnlessClaimed { request } => {
                format!(
                    "{} released, delivery unconfirmed",
                    self.request_label(*request)
                )
            }
            Action::ConfirmDelivery { request, attempt } => {
                format!(
                    "{} attempt={} delivery check requested",
                    self.request_label(*request),
                    attempt.0
                )
            }
            _ => return,
        };
        outputs.push(Output::log(Level::Debug, text));
    }

    fn arrival_text(&self, arrival: &Arrival) -> String {
        format!(
            "{} arrived class={} prompt={} shared={} prefix={:x} session={:x} deadline={:.0} retried={}",
            self.request_label(arrival.request),
            arrival.request_class.0,
            arrival.prompt_tokens,
            arrival.shared_tokens,
            arrival.shared_prefix.map_or(0, |shared| shared.0),
            arrival.session.0,
            arrival.time_to_deadline,
            arrival.retried
        )
    }

    /// The request's number at this dispatcher and the id that its client has assigned.
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

fn health_check_text(engine: &EngineId, outcome: Outcome, latency: Ms, load: &Load) -> String {
    let formatted =
        |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.3}"));
    format!(
        "health check engine={} outcome={outcome:?} after={latency:.1} queue={} slots={} memory={}",
        engine.0,
        formatted(load.queued_requests),
        formatted(load.slots_used),
        formatted(load.memory_held)
    )
}

fn endpoints_text(kind: EndpointUpdateKind, endpoints: &[Endpoint]) -> String {
    let mut text = format!("endpoints {kind:?}");
    for endpoint in endpoints {
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            " {}:{}:{}:{}:{:?}:{:.0}",
            endpoint.engine.0,
            endpoint.kind.0,
            endpoint.zone.0,
            endpoint.cell.0,
            endpoint.status,
            endpoint.started.unwrap_or(0.0)
        );
    }
    text
}
