//! The settings of request classes in the form in which decisions use them.

use crate::interface::{Arrival, Ms, RequestClassId, RequestClassSettings, RetrySafety};

pub(super) struct RequestClass {
    pub(super) retry_safety: RetrySafety,
    latency_objective: Ms,
    latency_objective_per_token: Ms,
}

impl RequestClass {
    fn new(settings: &RequestClassSettings) -> Self {
        RequestClass {
            retry_safety: settings.retry_safety,
            latency_objective: settings.latency_objective,
            latency_objective_per_token: settings.latency_objective_per_1000_tokens / 1000.0,
        }
    }

    /// Milliseconds from the arrival within which the first token is wanted.
    pub(super) fn latency_objective(&self, arrival: &Arrival) -> Ms {
        self.latency_objective + self.latency_objective_per_token * arrival.prompt_tokens
    }
}

pub(super) struct RequestClasses {
    classes: Vec<RequestClass>,
    shortest_latency_objective: Ms,
    /// The most that a prompt token adds to a latency objective.
    most_per_token: Ms,
}

impl RequestClasses {
    pub(super) fn new(settings: &[RequestClassSettings]) -> Self {
        let classes: Vec<RequestClass> = settings.iter().map(RequestClass::new).collect();
        let shortest_latency_objective = classes
            .iter()
            .map(|class| class.latency_objective)
            .fold(f64::INFINITY, f64::min);
        let most_per_token = classes
            .iter()
            .map(|class| class.latency_objective_per_token)
            .fold(0.0, f64::max);
        RequestClasses {
            classes,
            shortest_latency_objective,
            most_per_token,
        }
    }

    pub(super) fn get(&self, id: RequestClassId) -> Option<&RequestClass> {
        self.classes.get(id.0 as usize)
    }

    /// The class of a request that was accepted.
    pub(super) fn of(&self, arrival: &Arrival) -> &RequestClass {
        &self.classes[arrival.request_class.0 as usize]
    }

    /// The shortest latency objective of all classes without what a prompt adds: the unit in which
    /// waits for load reports and the age of what is known of an engine are given.
    pub(super) fn shortest_latency_objective(&self) -> Ms {
        self.shortest_latency_objective
    }

    /// The shortest latency objective for a prompt of this length: the unit in which queueing is
    /// measured, whatever the request's own class.
    pub(super) fn queueing_unit(&self, arrival: &Arrival) -> Ms {
        self.shortest_latency_objective + self.most_per_token * arrival.prompt_tokens
    }
}
