//! The plan of a soak, drawn from the seed: its settings, and the faults with their times. Two or three faults overlap
//! at any time.

use crate::audit::Effect;
use crate::hostile_clients::HostileGroup;
use crate::readings::Readings;
use crate::Ms;
use nanorand::{Rng, WyRand};

/// A request class of a soak, with its effect and its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// The name that requests and the configuration state.
    pub name: &'static str,
    /// Whether a request may run again.
    pub effect: Effect,
    /// The time from a request to its deadline, in milliseconds.
    pub time_to_deadline: u32,
}

/// The engines that one fault affects together. An engine is identified by its index in [`Engines`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    One {
        engine: usize,
    },
    /// Consecutive engines from this one on, of both kinds.
    Several {
        first: usize,
        count: usize,
    },
    /// All engines of a zone.
    Zone {
        zone: usize,
    },
    /// All engines of a kind except one.
    Kind {
        kind: usize,
        except: usize,
    },
}

/// The direction in which a silent network forwards nothing. Bytes in the other direction still get through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockedDirection {
    /// Nothing gets through in either direction.
    BothWays,
    /// Nothing from the processes reaches the engines.
    ToEngines,
    /// Nothing from the engines reaches the processes.
    ToProcesses,
}

/// A network fault: connections stay open, and nothing gets through in the blocked direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    pub engines: Group,
    pub blocked: BlockedDirection,
    /// Whether the silence begins in the middle of a message.
    pub starts_mid_message: bool,
    /// Whether each side receives the held-back bytes when the silence ends. If not, all connections to the engines are
    /// reset.
    pub delivers: bool,
}

/// A hang of engines: they accept connections and calls, and do not work on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hang {
    pub engines: Group,
    /// Whether the engines notice during the hang that a process has closed its connection.
    pub notices_closes: bool,
}

/// A fault that the soak injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is told to stop, and is started again.
    Stop { process: usize },
    /// Several processes are told to stop, one after another, and are started again.
    StopSeveral { first: usize, count: usize },
    /// A process is killed, and started again.
    Kill { process: usize },
    /// A process is suspended for a fraction of a second and then continues.
    Pause { process: usize },
    /// All processes reload their configurations, which name another address of discovery.
    Reload,
    /// Two reloads without a pause between them.
    ReloadTwice,
    /// A reload, and a process is told to stop right after it.
    ReloadAndStop { process: usize },
    /// An engine drains, is removed some seconds later, and another one starts in its place.
    Replace { engine: usize },
    /// Engines accept connections and calls, and do not work on them.
    Hang(Hang),
    /// All connections to an engine are reset.
    Reset { engine: usize },
    /// New connections to an engine are refused.
    Refuse { engine: usize },
    /// Machines of engines vanish, or their network fails in one direction: connections stay open, and nothing gets
    /// through.
    Silence(Silence),
    /// Some connections to an engine fall silent, each on its own, while the others continue. At the end the held-back
    /// bytes are delivered, or all connections are reset.
    SilenceSome { engine: usize, delivers: bool },
    /// An engine takes longer for the first event than clients wait.
    Slow { engine: usize },
    /// An engine rejects every attempt.
    Reject { engine: usize },
    /// An engine closes its idle connections.
    CloseIdle { engine: usize },
    /// Discovery answers no call.
    DiscoverySilent,
    /// Discovery refuses every call with an error.
    DiscoveryRefuses,
    /// Discovery loses its connections: all of them are reset.
    DiscoveryResets,
}

/// A fault, with the times at which it begins and ends, counted from the start of the soak.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    pub from: Ms,
    pub until: Ms,
    pub fault: Fault,
}

/// The settings of the platform in a soak, and the faults to inject.
#[derive(Clone, Debug)]
pub struct Plan {
    pub readings: Readings,
    pub classes: [Class; 3],
    pub troubles: Vec<PlannedFault>,
    /// Whether processes poll discovery for lists, rather than receive pushed ones.
    pub lists_are_asked_for: bool,
    /// Whether hundreds of clients stay connected without a request, and requests also come in bursts.
    pub is_crowded: bool,
    /// Whether decode engines serve a limited number of attempts at the same time.
    pub decodes_wait: bool,
    /// Whether system calls of the processes fail at random.
    pub system_calls_fail: bool,
    /// By how much the wall clock of some processes is stepped; negative steps it back.
    pub wall_step: Ms,
    /// How long after the start of a process its wall clock is stepped.
    pub wall_step_after: Ms,
    /// Whether engines send some answers a second time, some milliseconds after the first.
    pub answers_repeat: bool,
    /// The groups of hostile clients; empty in most soaks.
    pub hostile_groups: Vec<HostileGroup>,
    /// The memory that each process may use, in MiB.
    pub memory_mib: u32,
}

/// The layout of the engines: how many there are, of how many kinds, in how many zones. Kinds alternate from engine to
/// engine, and zones alternate among the engines of a kind.
#[derive(Clone, Copy, Debug)]
pub struct Engines {
    pub count: usize,
    pub kinds: usize,
    pub zones: usize,
}

impl Engines {
    /// The zone of the engine with this index.
    pub fn zone(&self, engine: usize) -> usize {
        engine / self.kinds % self.zones
    }

    /// The indices of the engines in this group.
    pub fn members(&self, group: Group) -> Vec<usize> {
        match group {
            Group::One { engine } => vec![engine],
            Group::Several { first, count } => (first..first + count)
                .map(|index| index % self.count)
                .collect(),
            Group::Zone { zone } => (0..self.count)
                .filter(|engine| self.zone(*engine) == zone)
                .collect(),
            Group::Kind { kind, except } => (kind..self.count)
                .step_by(self.kinds)
                .filter(|engine| *engine != except)
                .collect(),
        }
    }
}

/// How long after the start of a soak the first fault begins; no fault is injected before.
const QUIET_START: Ms = 1_500.0;
/// How long before the end of a soak the last fault ends.
const QUIET_END: Ms = 2_500.0;
/// The mean number of faults that overlap at any time.
const OVERLAP: f64 = 2.5;
/// The shortest duration of a fault.
const MIN_DURATION: Ms = 400.0;
/// The longest duration of a fault.
const MAX_DURATION: Ms = 3_000.0;
/// The steps of the wall clock from which a soak draws one; negative ones step back.
const WALL_STEPS: [Ms; 4] = [-3_600_000.0, -5_000.0, 7_000.0, 3_600_000.0];
/// The range of a class's time to the deadline, in milliseconds.
const DEADLINES: std::ops::Range<u32> = 400..3_000;
/// The range of a class's time to the deadline, in milliseconds, in a soak in which all deadlines are short.
const SHORT_DEADLINES: std::ops::Range<u32> = 400..1_500;
/// One soak in this many draws all its deadlines from [`SHORT_DEADLINES`].
const SHORT_ONE_IN: u32 = 3;
/// One soak in this many is crowded: hundreds of idle clients stay connected, and requests also come in bursts.
const CROWDED_ONE_IN: u32 = 4;
/// One soak in this many has hostile clients.
const HOSTILE_ONE_IN: u32 = 2;
/// The mean time between two groups of hostile clients at a process.
const HOSTILE_INTERVAL: Ms = 5_000.0;
/// The memory of processes, in MiB: one of these in soaks with hostile clients, the first in the others.
const MEMORY_MIB: [u32; 2] = [64, 32];
/// The range of the time, in milliseconds, for which engines recognise the repeat of a keyed request.
const DEDUPLICATION_WINDOWS: std::ops::Range<u32> = 500..3_000;
/// The largest number of processes that one fault stops one after another.
const MAX_STOPPED: usize = 4;
/// The largest number of consecutive engines that one fault affects.
const MAX_GROUP: usize = 4;
/// In one soak in this many, nearly all engines of a kind fail together.
const KIND_FAILS_ONE_IN: u32 = 3;
/// How often nearly all engines of a kind fail together in such a soak.
const KIND_FAILURES: usize = 3;

impl Plan {
    /// Draws the plan of a soak of this length; the same arguments give the same plan.
    pub fn draw(seed: u64, processes: usize, engines: Engines, seconds: f64) -> Plan {
        let mut rng = WyRand::new_seed(seed);
        let end = seconds * 1000.0 - QUIET_END;
        let mut troubles = Vec::new();
        let mut now = QUIET_START;
        while now < end {
            let duration = MIN_DURATION + rng.generate::<f64>() * (MAX_DURATION - MIN_DURATION);
            let fault = draw_fault(&mut rng, processes, engines);
            troubles.push(PlannedFault {
                from: now,
                until: (now + duration).min(end),
                fault,
            });
            let mean_interval = (MIN_DURATION + MAX_DURATION) / 2.0 / OVERLAP;
            now += -(1.0 - rng.generate::<f64>()).ln() * mean_interval;
        }
        let classes = draw_classes(&mut rng);
        if rng.generate_range(0..KIND_FAILS_ONE_IN) == 0 {
            troubles.extend(draw_kind_failures(&mut rng, engines, end));
        }
        let mut plan = Plan {
            readings: Readings::draw(&mut rng),
            classes,
            troubles,
            decodes_wait: rng.generate_range(0..2u32) == 0,
            lists_are_asked_for: rng.generate_range(0..2u32) == 1,
            is_crowded: rng.generate_range(0..CROWDED_ONE_IN) == 0,
            system_calls_fail: rng.generate_range(0..2u32) == 1,
            wall_step: WALL_STEPS[rng.generate_range(0..WALL_STEPS.len())],
            wall_step_after: QUIET_START + rng.generate::<f64>() * (end - QUIET_START).max(0.0),
            answers_repeat: rng.generate_range(0..2u32) == 0,
            hostile_groups: Vec::new(),
            memory_mib: MEMORY_MIB[0],
        };
        // Drawn last, so that the other draws of a seed stay as they are.
        if rng.generate_range(0..HOSTILE_ONE_IN) == 0 {
            plan.hostile_groups = draw_hostile_groups(&mut rng, processes, end);
            plan.memory_mib = MEMORY_MIB[rng.generate_range(0..MEMORY_MIB.len())];
        }
        plan
    }

    /// The longest time to the deadline among the classes.
    pub fn longest_deadline(&self) -> Ms {
        self.classes
            .iter()
            .map(|class| f64::from(class.time_to_deadline))
            .fold(0.0, f64::max)
    }
}

/// Draws groups of hostile clients, spread at random over the soak and the processes.
fn draw_hostile_groups(rng: &mut WyRand, processes: usize, end: Ms) -> Vec<HostileGroup> {
    let mut groups = Vec::new();
    let mut now = QUIET_START;
    while now < end {
        groups.push(HostileGroup::draw(rng, now, processes));
        now += -(1.0 - rng.generate::<f64>()).ln() * HOSTILE_INTERVAL / processes as f64;
    }
    groups
}

/// Draws three request classes, one of each effect, with a deadline each.
fn draw_classes(rng: &mut WyRand) -> [Class; 3] {
    let is_short = rng.generate_range(0..SHORT_ONE_IN) == 0;
    let deadlines = if is_short { SHORT_DEADLINES } else { DEADLINES };
    let window = rng.generate_range(DEDUPLICATION_WINDOWS);
    let effects = [
        Effect::Idempotent,
        Effect::AtMostOnce,
        Effect::Keyed { window },
    ];
    let mut class = |name, effect| Class {
        name,
        effect,
        time_to_deadline: rng.generate_range(deadlines.clone()),
    };
    [
        class("draft", effects[0]),
        class("order", effects[1]),
        class("form", effects[2]),
    ]
}

/// Draws failures in which all engines of a kind but one hang or are silent together, spread evenly over the soak.
fn draw_kind_failures(rng: &mut WyRand, engines: Engines, end: Ms) -> Vec<PlannedFault> {
    let kind = rng.generate_range(0..engines.kinds);
    let hangs = rng.generate_range(0..2u32) == 0;
    let interval = (end - QUIET_START).max(0.0) / KIND_FAILURES as f64;
    let failure = |nth: usize| {
        let group = Group::Kind {
            kind,
            except: kind + engines.kinds * nth % engines.count,
        };
        let from = QUIET_START + interval * nth as f64;
        let duration = MIN_DURATION
            + rng.generate::<f64>() * (interval.min(MAX_DURATION) - MIN_DURATION).max(0.0);
        let fault = match hangs {
            true => Fault::Hang(draw_hang(rng, group)),
            false => Fault::Silence(draw_silence(rng, group, BlockedDirection::BothWays)),
        };
        PlannedFault {
            from,
            until: (from + duration).min(end),
            fault,
        }
    };
    (0..KIND_FAILURES).map(failure).collect()
}

/// Draws a fault. Hangs, silences in both directions and silences in one direction are equally frequent.
fn draw_fault(rng: &mut WyRand, processes: usize, engines: Engines) -> Fault {
    let process = rng.generate_range(0..processes);
    let engine = rng.generate_range(0..engines.count);
    match rng.generate_range(0..40u32) {
        0..=1 => Fault::Stop { process },
        2 => Fault::StopSeveral {
            first: process,
            count: rng.generate_range(2..=MAX_STOPPED),
        },
        3 => Fault::Kill { process },
        4 => Fault::Pause { process },
        5 => Fault::Reload,
        6 => Fault::ReloadTwice,
        7 => Fault::ReloadAndStop { process },
        8..=10 => Fault::Replace { engine },
        11..=12 => Fault::Reset { engine },
        13 => Fault::Refuse { engine },
        14 => Fault::Reject { engine },
        15 => Fault::CloseIdle { engine },
        16 | 17 => Fault::DiscoverySilent,
        18 => Fault::DiscoveryRefuses,
        19 => Fault::DiscoveryResets,
        20..=24 => {
            let group = draw_group(rng, engine, engines);
            Fault::Hang(draw_hang(rng, group))
        }
        25..=29 => {
            let group = draw_group(rng, engine, engines);
            Fault::Silence(draw_silence(rng, group, BlockedDirection::BothWays))
        }
        30..=32 => Fault::SilenceSome {
            engine,
            delivers: rng.generate_range(0..2u32) == 0,
        },
        33..=34 => Fault::Slow { engine },
        _ => {
            let group = draw_group(rng, engine, engines);
            let blocked = if rng.generate_range(0..2u32) == 0 {
                BlockedDirection::ToEngines
            } else {
                BlockedDirection::ToProcesses
            };
            Fault::Silence(draw_silence(rng, group, blocked))
        }
    }
}

/// Draws the engines that a fault affects: one, several consecutive ones, or a zone.
fn draw_group(rng: &mut WyRand, engine: usize, engines: Engines) -> Group {
    match rng.generate_range(0..4u32) {
        0 | 1 => Group::One { engine },
        2 => Group::Several {
            first: engine,
            count: rng.generate_range(2..=MAX_GROUP),
        },
        _ => Group::Zone {
            zone: engines.zone(engine),
        },
    }
}

fn draw_hang(rng: &mut WyRand, engines: Group) -> Hang {
    Hang {
        engines,
        notices_closes: rng.generate_range(0..2u32) == 0,
    }
}

fn draw_silence(rng: &mut WyRand, engines: Group, blocked: BlockedDirection) -> Silence {
    let starts_mid_message =
        blocked == BlockedDirection::BothWays && rng.generate_range(0..4u32) == 0;
    Silence {
        engines,
        blocked,
        starts_mid_message,
        delivers: rng.generate_range(0..2u32) == 0,
    }
}
