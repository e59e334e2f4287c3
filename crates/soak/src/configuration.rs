//! The configuration file of each process, in the platform's format, and the audit's rules derived from the same
//! settings.

use crate::audit::{Effect, Rules};
use crate::plan::Class;
use crate::Ms;
use std::net::SocketAddr;

/// The names of the zones.
pub const ZONES: [&str; 2] = ["a", "b"];
/// The kinds of engines: prefill and decode.
pub const KINDS: [&str; 2] = ["p", "d"];
const DRAIN_GRACE: Ms = 1_000.0;
const RELEASE: Ms = 500.0;
const CONNECT_TIMEOUT: Ms = 250.0;
/// How long an engine counts as cold after its start.
const SLOW_START_TIME: Ms = 6_000.0;
/// A cold engine may be sent this multiple of its capacity within [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 1.5;
const OVERLOAD_WINDOW: Ms = 2_000.0;
/// The share of its capacity that an engine has when it starts.
const COLD_CAPACITY: f64 = 0.32;
/// The share of an engine's capacity that the traffic uses.
const UTILISATION: f64 = 0.6;
/// The allowance of the rules on sockets for any timer.
const TIMER_SLACK: Ms = 50.0;
/// The allowance of the rules on sockets for the release of a KV state.
const RELEASE_SLACK: Ms = 300.0;
/// The allowance of the rules on sockets for a process that does not run for a moment.
const PROCESS_DELAY: Ms = 150.0;
/// The latency objective of classes with long deadlines.
const LATENCY_OBJECTIVE: Ms = 1_000.0;
/// The smallest ratio of a deadline to the latency objective. The objective of a class with a short deadline is lowered
/// to keep this ratio.
const DEADLINE_PER_OBJECTIVE: f64 = 2.0;

/// The audit's rules for these settings. `rate` is the mean number of requests per second that each engine of a kind
/// gets.
pub fn rules(rate: f64) -> Rules {
    Rules {
        answer_grace: 500.0,
        drain_grace: DRAIN_GRACE,
        release: RELEASE + RELEASE_SLACK,
        disconnect_grace: 100.0,
        deadline_slack: 150.0,
        event_delay: 300.0,
        slow_start_window: OVERLOAD_WINDOW,
        slow_start_budget: OVERLOAD_MULTIPLE * COLD_CAPACITY * rate / UTILISATION * OVERLOAD_WINDOW
            / 1000.0,
        cold_time: SLOW_START_TIME,
        stalled_client_limit: 3_000.0,
        ready: 10_000.0,
        timer_slack: TIMER_SLACK,
        process_delay: PROCESS_DELAY,
    }
}

/// The settings of one process that its configuration file is made of.
pub struct ProcessSettings<'a> {
    pub classes: &'a [Class],
    pub number: usize,
    /// The number of processes in the soak.
    pub processes: usize,
    /// The start number of the run; part of the run's seed.
    pub start: u32,
    pub discovery: SocketAddr,
    pub lists_are_asked_for: bool,
}

/// The text of a process's configuration file. `known` is the list of engines that the process starts with, as JSON.
pub fn render(settings: &ProcessSettings<'_>, known: &str) -> String {
    let ProcessSettings {
        classes,
        number,
        processes,
        start,
        discovery,
        lists_are_asked_for,
    } = settings;
    let micros = |time: Ms| (time * 1000.0) as u64;
    let (release, connect, grace) = (
        micros(RELEASE),
        micros(CONNECT_TIMEOUT),
        micros(DRAIN_GRACE),
    );
    let (window, slow_start_window) = (micros(OVERLOAD_WINDOW), micros(SLOW_START_TIME));
    let discovery_mode = if *lists_are_asked_for {
        "subscribe"
    } else {
        "automatic"
    };
    let zone = number % ZONES.len();
    let service = |class: &Class| {
        let effect = match class.effect {
            Effect::Idempotent => "safe",
            Effect::Keyed { .. } => "keyed",
            Effect::AtMostOnce => "unsafe",
        };
        let window = match class.effect {
            Effect::Keyed { window } => window,
            Effect::Idempotent | Effect::AtMostOnce => 0,
        };
        let latency_objective =
            LATENCY_OBJECTIVE.min(f64::from(class.deadline) / DEADLINE_PER_OBJECTIVE);
        format!(
            "{{\"name\":\"{}\",\"effect\":\"{effect}\",\"keyScope\":\"all\",\"dedupWindow\":{},\"aim\":{},\
             \"giveUp\":{},\"importance\":1.0,\"lateShare\":0.3,\"stream\":true}}",
            class.name,
            u64::from(window) * 1000,
            micros(latency_objective),
            u64::from(class.deadline) * 1000
        )
    };
    let services: Vec<String> = classes.iter().map(service).collect();
    let seed = 0x9e37_79b9_u64.wrapping_mul(*number as u64 + 1) ^ u64::from(*start) << 40;
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed:x}","peers":[],
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},
"settings":{{"me":{number},"replicasOfMe":{processes},"zone":{zone},"zones":["{}","{}"],"tick":4000,
"discovery":"{discovery_mode}","shapes":["{}","{}"],"orgs":[],"stats":{{"columns":[]}},
"familyInfo":{{"kindRole":["read","write"],"tokensByKind":[500000,500000],"release":{release},"resume":false,
"aimUsPer1000PromptTokens":[0.0,0.0,0.0],"tokenAim":[60000.0,60000.0,60000.0]}},
"limits":{{"cancel":true,"connIdle":15000000,"connectTimeout":{connect},"maxAttempts":4,"mostHeld":20000,
"probes":false,"retryAfter":false}},
"rules":{{"askWithin":10000000,"drainGrace":{grace},"graceToAnswer":16000,"fallMultiple":{OVERLOAD_MULTIPLE},
"overloadFor":{window},"startCapacity":{COLD_CAPACITY},"rampTime":{slow_start_window}}},
"services":[{}]}}}}"#,
        ZONES[0],
        ZONES[1],
        KINDS[0],
        KINDS[1],
        services.join(",")
    )
}
