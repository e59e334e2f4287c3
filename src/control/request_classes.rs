//! The settings of request classes in the units that the decision logic uses.

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

    /// The latency objective of the first token, in milliseconds from the arrival.
    pub(super) fn latency_objective(&self, arrival: &Arrival) -> Ms {
        self.latency_objective + self.latency_objective_per_token * arrival.prompt_tokens
    }
}

pub(super) struct RequestClasses {
    classes: Vec<RequestClass>,
    shortest_latency_objective: Ms,
    /// The largest number of milliseconds that one prompt token adds to a latency objective.
    max_per_token: Ms,
}

impl RequestClasses {
    pub(super) fn new(settings: &[RequestClassSettings]) -> Self {
        let classes: Vec<RequestClass> = settings.iter().map(RequestClass::new).collect();
        let shortest_latency_objective = classes
            .iter()
            .map(|class| class.latency_objective)
            .fold(f64::INFINITY, f64::min);
        let max_per_token = classes
            .iter()
            .map(|class| class.latency_objective_per_token)
            .fold(0.0, f64::max);
        RequestClasses {
            classes,
            shortest_latency_objective,
            max_per_token,
        }
    }

    pub(super) fn get(&self, id: RequestClassId) -> Option<&RequestClass> {
        self.classes.get(id.0 as usize)
    }

    /// The class of an accepted request. Panics if the class is unknown; requests of unknown
    /// classes are not accepted.
    pub(super) fn class_of(&self, arrival: &Arrival) -> &RequestClass {
        &self.classes[arrival.request_class.0 as usize]
    }

    /// The shortest latency objective of all classes for an empty prompt. How long load reports are
    /// awaited and remain valid is set in multiples of it.
    pub(super) fn shortest_latency_objective(&self) -> Ms {
        self.shortest_latency_objective
    }

    /// The shortest latency objective of all classes for a prompt of this length. An attempt that
    /// takes longer than a fraction of it must have queued, whatever the class of its request.
    pub(super) fn shortest_objective_for_prompt(&self, arrival: &Arrival) -> Ms {
        self.shortest_latency_objective + self.max_per_token * arrival.prompt_tokens
    }
}
