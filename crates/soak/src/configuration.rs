//! The configuration of each process, in the platform's form, and what the audit takes from the same settings.

use crate::audit::{Effect, Rules};
use crate::plan::Class;
use crate::Ms;
use std::net::SocketAddr;

pub const ZONES: [&str; 2] = ["a", "b"];
/// Kinds of engines: those that prefill, and those that decode.
pub const KINDS: [&str; 2] = ["p", "d"];
const DRAIN_GRACE: Ms = 1_000.0;
const RELEASE: Ms = 500.0;
const CONNECT_TIMEOUT: Ms = 250.0;
const COLD_FOR: Ms = 6_000.0;
const OVERLOAD_MULTIPLE: f64 = 1.5;
const OVERLOAD_WINDOW: Ms = 2_000.0;
const COLD_CAPACITY: f64 = 0.32;
/// The part of an engine's capacity that the traffic asks for.
const USED: f64 = 0.6;
/// The rules' own extras on sockets: any time, what is held, and a process that is held up.
const ANY_TIME: Ms = 50.0;
const HELD: Ms = 300.0;
const HELD_UP: Ms = 150.0;
/// The latency that is aimed at, and the part of a short deadline that it is at most.
const AIM: Ms = 1_000.0;
const AIM_PART: f64 = 2.0;

/// The rules as the settings have them. `rate`: requests a second that each engine of a kind gets in the mean.
pub fn rules(rate: f64) -> Rules {
    Rules {
        answer_grace: 500.0,
        drain_grace: DRAIN_GRACE,
        release: RELEASE + HELD,
        gone_grace: 100.0,
        deadline_slack: 150.0,
        event_delay: 300.0,
        slow_start_window: OVERLOAD_WINDOW,
        slow_start_budget: OVERLOAD_MULTIPLE * COLD_CAPACITY * rate / USED * OVERLOAD_WINDOW
            / 1000.0,
        cold_for: COLD_FOR,
        bad_client: 3_000.0,
        ready: 10_000.0,
        any_time: ANY_TIME,
        held_up: HELD_UP,
    }
}

/// Which process a configuration is for.
pub struct Place<'a> {
    pub classes: &'a [Class],
    pub number: usize,
    pub processes: usize,
    pub start: u32,
    pub discovery: SocketAddr,
    pub lists_are_asked_for: bool,
}

/// The file of a process; `known`: the list that it had last.
pub fn file(place: &Place<'_>, known: &str) -> String {
    let Place {
        classes,
        number,
        processes,
        start,
        discovery,
        lists_are_asked_for,
    } = place;
    let micros = |time: Ms| (time * 1000.0) as u64;
    let (release, connect, grace) = (
        micros(RELEASE),
        micros(CONNECT_TIMEOUT),
        micros(DRAIN_GRACE),
    );
    let (window, slow_start_window) = (micros(OVERLOAD_WINDOW), micros(COLD_FOR));
    let how = if *lists_are_asked_for {
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
        let aim = AIM.min(f64::from(class.deadline) / AIM_PART);
        format!(
            "{{\"name\":\"{}\",\"effect\":\"{effect}\",\"keyScope\":\"all\",\"dedupWindow\":{},\"aim\":{},\
             \"giveUp\":{},\"importance\":1.0,\"lateShare\":0.3,\"stream\":true}}",
            class.name,
            u64::from(window) * 1000,
            micros(aim),
            u64::from(class.deadline) * 1000
        )
    };
    let services: Vec<String> = classes.iter().map(service).collect();
    let seed = 0x9e37_79b9_u64.wrapping_mul(*number as u64 + 1) ^ u64::from(*start) << 40;
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"{seed:x}","peers":[],
"limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},"known":{known},
"settings":{{"me":{number},"replicasOfMe":{processes},"zone":{zone},"zones":["{}","{}"],"tick":4000,
"discovery":"{how}","shapes":["{}","{}"],"orgs":[],"stats":{{"columns":[]}},
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
