//! What a soak is like and which troubles come when, drawn from the seed: two or three overlap at any time.

use crate::audit::Effect;
use crate::Ms;
use nanorand::{Rng, WyRand};

/// A request class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    pub name: &'static str,
    pub effect: Effect,
    /// In milliseconds.
    pub deadline: u32,
}

/// Which engines fall silent together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silent {
    One {
        engine: usize,
    },
    /// Several from this one on, of either kind.
    Several {
        first: usize,
        count: usize,
    },
    /// All of a zone.
    Zone {
        zone: usize,
    },
}

/// How a silence begins and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    pub who: Silent,
    /// It begins in the middle of a message.
    pub within_a_message: bool,
    /// What lay there is delivered at its end; else all connections are reset.
    pub delivers: bool,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A process is told to end, and is started again.
    Stop {
        process: usize,
    },
    /// Several are, one after another.
    StopSeveral {
        first: usize,
        count: usize,
    },
    /// A process is killed, and started again.
    Kill {
        process: usize,
    },
    /// A process does not run for a moment.
    Pause {
        process: usize,
    },
    /// Processes read their configurations again; discovery is at another address from then on.
    Reload,
    /// The same twice, with no time between.
    ReloadTwice,
    /// The same, and a process is told to end just behind it.
    ReloadAndStop {
        process: usize,
    },
    /// An engine drains, is gone some seconds later, and another one starts in its place.
    Replace {
        engine: usize,
    },
    /// An engine does nothing with what it gets, and says nothing.
    Hang {
        engine: usize,
    },
    /// An engine's connections are reset.
    Reset {
        engine: usize,
    },
    /// New connections to an engine are refused.
    Refuse {
        engine: usize,
    },
    /// Machines of engines vanish: connections stay open, and nothing gets through.
    Silence(Silence),
    /// An engine turns everything away.
    TurnAway {
        engine: usize,
    },
    /// An engine closes its connections that rest.
    CloseIdle {
        engine: usize,
    },
    /// Discovery says nothing, refuses calls, or loses its connections.
    DiscoverySilent,
    DiscoveryRefuses,
    DiscoveryResets,
}

/// A trouble, and when it begins and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Planned {
    pub from: Ms,
    pub until: Ms,
    pub trouble: Trouble,
}

/// How the platform is set up, and what happens.
#[derive(Clone, Debug)]
pub struct Plan {
    pub classes: [Class; 3],
    pub troubles: Vec<Planned>,
    /// Whether lists are asked for, rather than pushed to an agent.
    pub lists_are_asked_for: bool,
    /// Whether hundreds of clients stay connected without a request, and bursts of requests come.
    pub is_crowded: bool,
    /// Whether system calls of some processes fail at times.
    pub system_calls_fail: bool,
    /// By how much the wall clock of some processes is stepped, and when.
    pub wall_step: Ms,
    pub wall_step_after: Ms,
}

/// Engines: kinds take turns, and among those of a kind the zones do.
#[derive(Clone, Copy, Debug)]
pub struct Engines {
    pub count: usize,
    pub kinds: usize,
    pub zones: usize,
}

impl Engines {
    /// The zone of an engine, by its place.
    pub fn zone(&self, engine: usize) -> usize {
        engine / self.kinds % self.zones
    }

    pub fn silenced(&self, who: Silent) -> Vec<usize> {
        match who {
            Silent::One { engine } => vec![engine],
            Silent::Several { first, count } => (first..first + count).map(|at| at % self.count).collect(),
            Silent::Zone { zone } => (0..self.count).filter(|engine| self.zone(*engine) == zone).collect(),
        }
    }
}

/// Troubles begin this long after the start.
const QUIET_START: Ms = 1_500.0;
/// And the last ones are over this long before the end.
const QUIET_END: Ms = 2_500.0;
/// At any time about so many troubles are under way.
const OVERLAP: f64 = 2.5;
const SHORTEST: Ms = 400.0;
const LONGEST: Ms = 3_000.0;
const WALL_STEPS: [Ms; 4] = [-3_600_000.0, -5_000.0, 7_000.0, 3_600_000.0];
/// Deadlines of classes, and those of a soak in which all are short.
const DEADLINES: std::ops::Range<u32> = 400..3_000;
const SHORT_DEADLINES: std::ops::Range<u32> = 400..1_500;
/// One soak in so many has short deadlines only, and one in so many is crowded.
const SHORT_ONE_IN: u32 = 3;
const CROWDED_ONE_IN: u32 = 4;
/// For how long engines recognise the repeat of a keyed request.
const WINDOWS: std::ops::Range<u32> = 500..3_000;
/// So many processes are stopped one after another at the most, and so many engines fall silent together.
const MOST_STOPPED: usize = 4;
const MOST_SILENT: usize = 4;

impl Plan {
    pub fn draw(seed: u64, processes: usize, engines: Engines, seconds: f64) -> Plan {
        let mut rng = WyRand::new_seed(seed);
        let end = seconds * 1000.0 - QUIET_END;
        let mut troubles = Vec::new();
        let mut now = QUIET_START;
        while now < end {
            let lasts = SHORTEST + rng.generate::<f64>() * (LONGEST - SHORTEST);
            let trouble = draw_trouble(&mut rng, processes, engines);
            troubles.push(Planned { from: now, until: (now + lasts).min(end), trouble });
            let mean = (SHORTEST + LONGEST) / 2.0 / OVERLAP;
            now += -(1.0 - rng.generate::<f64>()).ln() * mean;
        }
        Plan {
            classes: draw_classes(&mut rng),
            troubles,
            lists_are_asked_for: rng.generate_range(0..2u32) == 1,
            is_crowded: rng.generate_range(0..CROWDED_ONE_IN) == 0,
            system_calls_fail: rng.generate_range(0..2u32) == 1,
            wall_step: WALL_STEPS[rng.generate_range(0..WALL_STEPS.len())],
            wall_step_after: QUIET_START + rng.generate::<f64>() * (end - QUIET_START).max(0.0),
        }
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Ms {
        self.classes.iter().map(|class| f64::from(class.deadline)).fold(0.0, f64::max)
    }
}

fn draw_classes(rng: &mut WyRand) -> [Class; 3] {
    let short = rng.generate_range(0..SHORT_ONE_IN) == 0;
    let deadlines = if short { SHORT_DEADLINES } else { DEADLINES };
    let window = rng.generate_range(WINDOWS);
    let effects = [Effect::Idempotent, Effect::AtMostOnce, Effect::Keyed { window }];
    let mut class = |name, effect| Class { name, effect, deadline: rng.generate_range(deadlines.clone()) };
    [class("draft", effects[0]), class("order", effects[1]), class("form", effects[2])]
}

fn draw_trouble(rng: &mut WyRand, processes: usize, engines: Engines) -> Trouble {
    let process = rng.generate_range(0..processes);
    let engine = rng.generate_range(0..engines.count);
    match rng.generate_range(0..28u32) {
        0..=1 => Trouble::Stop { process },
        2 => Trouble::StopSeveral { first: process, count: rng.generate_range(2..=MOST_STOPPED) },
        3 => Trouble::Kill { process },
        4 => Trouble::Pause { process },
        5 => Trouble::Reload,
        6 => Trouble::ReloadTwice,
        7 => Trouble::ReloadAndStop { process },
        8..=10 => Trouble::Replace { engine },
        11 => Trouble::Hang { engine },
        12..=13 => Trouble::Reset { engine },
        14 => Trouble::Refuse { engine },
        15..=21 => Trouble::Silence(draw_silence(rng, engine, engines)),
        22 => Trouble::TurnAway { engine },
        23 => Trouble::CloseIdle { engine },
        24 | 25 => Trouble::DiscoverySilent,
        26 => Trouble::DiscoveryRefuses,
        _ => Trouble::DiscoveryResets,
    }
}

fn draw_silence(rng: &mut WyRand, engine: usize, engines: Engines) -> Silence {
    let who = match rng.generate_range(0..4u32) {
        0 | 1 => Silent::One { engine },
        2 => Silent::Several { first: engine, count: rng.generate_range(2..=MOST_SILENT) },
        _ => Silent::Zone { zone: engines.zone(engine) },
    };
    let within_a_message = rng.generate_range(0..4u32) == 0;
    Silence { who, within_a_message, delivers: rng.generate_range(0..2u32) == 0 }
}
