//! The configuration file of each process, in the platform's format, and the audit's rules derived from the same
//! settings.

use crate::audit::{Effect, Rules};
use crate::plan::Class;
use crate::Ms;
use std::net::SocketAddr;

/// The names of the zones.
pub const ZONES: [&str; 2] = ["a", "b"];
/// The names of the kinds of engines: prefill and decode, in this order.
pub const KINDS: [&str; 2] = ["p", "d"];
/// How long after the notice of a drain a process may still send attempts to the engine.
const DRAIN_GRACE: Ms = 1_000.0;
/// The longest time for which a process may leave a KV state held that no attempt needs.
const RELEASE_LIMIT: Ms = 500.0;
/// The time limit of a process for opening a connection to an engine.
const CONNECT_TIMEOUT: Ms = 250.0;
/// How long an engine counts as cold after its start.
const SLOW_START_TIME: Ms = 6_000.0;
/// A cold engine may be sent this multiple of its capacity within [`OVERLOAD_WINDOW`].
const OVERLOAD_MULTIPLE: f64 = 1.5;
/// The length of the window in which the load on a cold engine is limited.
const OVERLOAD_WINDOW: Ms = 2_000.0;
/// The share of its capacity that an engine has when it starts.
const COLD_CAPACITY: f64 = 0.32;
/// The share of an engine's full capacity that the mean traffic uses, from 0 to 1.
const UTILISATION: f64 = 0.6;
/// The allowance of the rules for any timer, as the soak runs over real sockets.
const TIMER_SLACK: Ms = 50.0;
/// The allowance of the rules for the release of a KV state over real sockets.
const RELEASE_SLACK: Ms = 300.0;
/// The allowance of the rules for a process that does not run for a moment.
const PROCESS_DELAY: Ms = 150.0;
/// The latency objective of classes whose deadline is at least [`DEADLINE_PER_OBJECTIVE`] times as long.
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
        release_limit: RELEASE_LIMIT + RELEASE_SLACK,
        disconnect_grace: 100.0,
        deadline_slack: 150.0,
        event_delay: 300.0,
        slow_start_window: OVERLOAD_WINDOW,
        slow_start_budget: OVERLOAD_MULTIPLE * COLD_CAPACITY * rate / UTILISATION * OVERLOAD_WINDOW
            / 1000.0,
        cold_time: SLOW_START_TIME,
        stalled_client_limit: 3_000.0,
        ready_limit: 10_000.0,
        timer_slack: TIMER_SLACK,
        process_delay: PROCESS_DELAY,
    }
}

/// The settings of one process that its configuration file is made of.
pub struct ProcessSettings<'a> {
    pub classes: &'a [Class],
    /// The number of the process in the soak, counted from 0.
    pub number: usize,
    /// The number of processes in the soak.
    pub processes: usize,
    /// Which start of the process this is, counted from 1; part of the run's seed.
    pub start: u32,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Whether the process polls discovery for lists, rather than receives pushed ones.
    pub lists_are_asked_for: bool,
    /// The memory that the process may use, in MiB.
    pub memory_mib: u32,
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
        memory_mib,
    } = settings;
    let micros = |time: Ms| (time * 1000.0) as u64;
    let (release, connect, grace) = (
        micros(RELEASE_LIMIT),
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
            LATENCY_OBJECTIVE.min(f64::from(class.time_to_deadline) / DEADLINE_PER_OBJECTIVE);
        format!(
            "{{\"name\":\"{}\",\"effect\":\"{effect}\",\"keyScope\":\"all\",\"dedupWindow\":{},\"aim\":{},\
             \"giveUp\":{},\"importance\":1.0,\"lateShare\":0.3,\"stream\":true}}",
            class.name,
            u64::from(window) * 1000,
            micros(latency_objective),
            u64::from(class.time_to_deadline) * 1000
        )
    };
    let services: Vec<String> = classes.iter().map(service).collect();
    let seed = 0x9e37_79b9_u64.wrapping_mul(*number as u64 + 1) ^ u64::from(*start) << 40;
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed:x}","peers":[],
"limits":{{"cores":1.0,"memory_mb":{memory_mib},"sockets":256}},"known":{known},
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
