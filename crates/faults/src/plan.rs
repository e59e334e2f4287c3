//! What a day is: a service, a fleet of stand-ins, clients' requests, and what goes wrong when.

use cindercleat::interface::{Ms, RetrySafety};
use cindercleat_dispatcher::ServiceSettings;
use cindercleat_standin::audit::Rules;
use cindercleat_standin::client::Habits;
use cindercleat_standin::engine::EngineSpec;
use std::collections::BTreeSet;

/// A day.
#[derive(Clone, Debug)]
pub struct Day {
    pub name: String,
    pub seed: u64,
    pub service: ServiceSettings,
    pub dispatchers: u32,
    pub engines: Vec<EngineSpec>,
    pub habits: Habits,
    /// How late the list feed tells changes.
    pub list_delay: Ms,
    pub faults: Vec<Fault>,
}

/// What goes wrong: from when, for how long, with whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: Ms,
    pub length: Ms,
    pub trouble: Trouble,
    /// Engines' names, or dispatchers' numbers in words.
    pub whom: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Dead for the length, then back cold.
    Die,
    /// Dies after the last token of its next stream, before the end mark; then as `Die`.
    DieBeforeEnd,
    Slow(f64),
    Mute,
    Stall(u32),
    Cut,
    Full(String),
    Fails(f64),
    /// A share of attempts is reset, with one code or another.
    Resets(f64),
    /// Its connections take nothing new from now on.
    GoAway,
    /// Listed as draining for the length, then back as a new, cold process.
    Drain,
    ListLate(Ms),
    ListSilent,
    ReportsLate(Ms),
    Forget,
    /// A dispatcher: killed, and started again after the length.
    Kill,
    /// A dispatcher: told to stop, and started again after the length.
    Stop,
    Burst(f64),
    HotText,
    /// Prompts so many times longer, for a share of them.
    LongPrompts(f64, f64),
    /// Clients ask again at once.
    Impatient,
    /// New connections to an engine are greeted late.
    GreetLate(Ms),
    /// Nothing passes between a zone and the others. This and the next six only on the virtual clock.
    Partition(String),
    /// What an engine says on its connections does not arrive, or what is said to it, or neither; nobody is told.
    HalfOpen {
        from: bool,
        to: bool,
    },
    /// An engine is gone without a word, as with its machine; then as `Die`.
    Vanish,
    /// Connects to an engine get no answer.
    Hang,
    /// Everything takes so much longer, with as much chance again.
    Lag(Ms),
    /// Bytes a millisecond and connection.
    Narrow(f64),
    /// A dispatcher's clock goes on by so much at once.
    ClockStep(Ms),
}

impl Trouble {
    /// Whether it befalls the service and not some engines or dispatchers.
    pub fn is_service_wide(&self) -> bool {
        use Trouble::*;
        matches!(
            self,
            ListLate(_)
                | ListSilent
                | Burst(_)
                | HotText
                | LongPrompts(..)
                | Impatient
                | Partition(_)
                | Lag(_)
                | Narrow(_)
        )
    }

    /// Whether it befalls dispatchers and not engines.
    pub fn is_dispatchers(&self) -> bool {
        matches!(self, Trouble::Kill | Trouble::Stop | Trouble::ClockStep(_))
    }

    /// Whether it needs the network in memory and its clock.
    pub fn is_virtual(&self) -> bool {
        use Trouble::*;
        matches!(
            self,
            Partition(_) | HalfOpen { .. } | Vanish | Hang | Lag(_) | Narrow(_) | ClockStep(_)
        )
    }

    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Die => "die",
            Trouble::DieBeforeEnd => "die-before-end",
            Trouble::Slow(_) => "slow",
            Trouble::Mute => "mute",
            Trouble::Stall(_) => "stall",
            Trouble::Cut => "cut",
            Trouble::Full(_) => "full",
            Trouble::Fails(_) => "fails",
            Trouble::Resets(_) => "resets",
            Trouble::GoAway => "go-away",
            Trouble::Drain => "drain",
            Trouble::ListLate(_) => "list-late",
            Trouble::ListSilent => "list-silent",
            Trouble::ReportsLate(_) => "reports-late",
            Trouble::Forget => "forget",
            Trouble::Kill => "kill",
            Trouble::Stop => "stop",
            Trouble::Burst(_) => "burst",
            Trouble::HotText => "hot-text",
            Trouble::LongPrompts(..) => "long-prompts",
            Trouble::Impatient => "impatient",
            Trouble::GreetLate(_) => "greet-late",
            Trouble::Partition(_) => "partition",
            Trouble::HalfOpen { .. } => "half-open",
            Trouble::Vanish => "vanish",
            Trouble::Hang => "hang",
            Trouble::Lag(_) => "lag",
            Trouble::Narrow(_) => "narrow",
            Trouble::ClockStep(_) => "clock-step",
        }
    }
}

/// The bounds that the audit holds a day against.
/// `slack`: for the way between a dispatcher and who sees it, and for a busy machine.
pub fn rules(day: &Day, slack: Ms) -> Rules {
    let policy = &day.service.policy;
    let request_classes = day
        .service
        .request_classes
        .iter()
        .zip(&policy.request_classes);
    let once = request_classes
        .filter(|(_, p)| p.retry_safety == RetrySafety::AtMostOnce)
        .map(|(name, _)| name.clone());
    Rules {
        at_most_once: once.collect::<BTreeSet<_>>(),
        answer_grace: policy.answer_grace,
        drain_grace: policy.drain_grace,
        release: policy.kv_state_timeout,
        overload_multiple: policy.overload_multiple,
        overload_window: policy.overload_window,
        slack,
        silences: Vec::new(),
        apart: Vec::new(),
        token_ms: day.engines.iter().map(|h| h.token_ms).fold(0.0, f64::max),
        // Two thirds of their class's share on a quiet day, half on others.
        largest_part: Some(if day.faults.is_empty() {
            2.0 / 3.0
        } else {
            0.5
        }),
    }
}

/// The spans of a day in which clients and dispatchers hear each other late or not at all.
pub fn apart(day: &Day, begin: Ms) -> Vec<(Ms, Ms)> {
    let limits = &day.service.limits;
    let noticed = limits.client_keepalive_interval + limits.ping_timeout;
    let parts = |fault: &&Fault| {
        matches!(
            fault.trouble,
            Trouble::Partition(_) | Trouble::Lag(_) | Trouble::Narrow(_) | Trouble::ClockStep(_)
        )
    };
    let span = |fault: &Fault| (begin + fault.at, begin + fault.at + fault.length + noticed);
    day.faults.iter().filter(parts).map(span).collect()
}

/// The time in which a dispatcher notices that a connection which it uses is dead.
pub fn noticed(day: &Day) -> Ms {
    let limits = &day.service.limits;
    limits.keepalive_interval + limits.ping_timeout + day.service.policy.connect_timeout
}

/// The spans of a day, counted from `begin`, in which connections may be dead without a word: until they are used,
/// or closed for not being used.
pub fn silences(day: &Day, begin: Ms) -> Vec<(Ms, Ms, Ms)> {
    let unused = day.service.limits.connection_idle_timeout + noticed(day);
    let silent = |fault: &&Fault| {
        use Trouble::*;
        matches!(
            fault.trouble,
            Partition(_) | HalfOpen { .. } | Vanish | Hang | Lag(_) | Narrow(_)
        )
    };
    let span = |fault: &Fault| {
        (
            begin + fault.at,
            begin + fault.at + fault.length + unused,
            fault.length + noticed(day),
        )
    };
    day.faults.iter().filter(silent).map(span).collect()
}
