//! What a soak is like and which troubles come when, drawn from the seed: two or three overlap at any time.

use crate::audit::Effect;
use crate::readings::Readings;
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

/// Which engines something befalls together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
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
    /// All of a kind but one.
    Kind {
        kind: usize,
        but: usize,
    },
}

/// Which way bytes are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    BothWays,
    ToEngines,
    ToProcesses,
}

/// How a silence begins and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    pub who: Group,
    pub loss: Loss,
    /// It begins in the middle of a message.
    pub within_a_message: bool,
    /// What lay there is delivered at its end; else all connections are reset.
    pub delivers: bool,
}

/// How engines hang: they take connections and calls, and do nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hang {
    pub who: Group,
    /// Whether they notice meanwhile that a process has closed its connection.
    pub notices_closes: bool,
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
    /// Engines do nothing with what they get, and say nothing.
    Hang(Hang),
    /// An engine's connections are reset.
    Reset {
        engine: usize,
    },
    /// New connections to an engine are refused.
    Refuse {
        engine: usize,
    },
    /// Machines of engines vanish, or their network fails one way: connections stay open, and nothing gets through.
    Silence(Silence),
    /// Some connections to an engine fall silent, each alone, while it goes on with the others. At the end what lay there is
    /// delivered, or all connections are reset.
    SilenceSome {
        engine: usize,
        delivers: bool,
    },
    /// An engine takes longer for the first event than clients wait.
    Slow {
        engine: usize,
    },
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
    pub readings: Readings,
    pub classes: [Class; 3],
    pub troubles: Vec<Planned>,
    /// Whether lists are asked for, rather than pushed to an agent.
    pub lists_are_asked_for: bool,
    /// Whether hundreds of clients stay connected without a request, and bursts of requests come.
    pub is_crowded: bool,
    /// Whether decode engines serve only some attempts at a time; the others wait.
    pub decodes_wait: bool,
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

    /// The members of a group, by their places.
    pub fn of(&self, who: Group) -> Vec<usize> {
        match who {
            Group::One { engine } => vec![engine],
            Group::Several { first, count } => {
                (first..first + count).map(|at| at % self.count).collect()
            }
            Group::Zone { zone } => (0..self.count)
                .filter(|engine| self.zone(*engine) == zone)
                .collect(),
            Group::Kind { kind, but } => (kind..self.count)
                .step_by(self.kinds)
                .filter(|engine| *engine != but)
                .collect(),
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
/// In one soak in so many nearly all engines of a kind fail together, so many times.
const KIND_FAILS_ONE_IN: u32 = 3;
const KIND_FAILS: usize = 3;

impl Plan {
    pub fn draw(seed: u64, processes: usize, engines: Engines, seconds: f64) -> Plan {
        let mut rng = WyRand::new_seed(seed);
        let end = seconds * 1000.0 - QUIET_END;
        let mut troubles = Vec::new();
        let mut now = QUIET_START;
        while now < end {
            let lasts = SHORTEST + rng.generate::<f64>() * (LONGEST - SHORTEST);
            let trouble = draw_trouble(&mut rng, processes, engines);
            troubles.push(Planned {
                from: now,
                until: (now + lasts).min(end),
                trouble,
            });
            let mean = (SHORTEST + LONGEST) / 2.0 / OVERLAP;
            now += -(1.0 - rng.generate::<f64>()).ln() * mean;
        }
        let classes = draw_classes(&mut rng);
        if rng.generate_range(0..KIND_FAILS_ONE_IN) == 0 {
            troubles.extend(draw_kind_failures(&mut rng, engines, end));
        }
        Plan {
            readings: Readings::draw(&mut rng),
            classes,
            troubles,
            decodes_wait: rng.generate_range(0..2u32) == 0,
            lists_are_asked_for: rng.generate_range(0..2u32) == 1,
            is_crowded: rng.generate_range(0..CROWDED_ONE_IN) == 0,
            system_calls_fail: rng.generate_range(0..2u32) == 1,
            wall_step: WALL_STEPS[rng.generate_range(0..WALL_STEPS.len())],
            wall_step_after: QUIET_START + rng.generate::<f64>() * (end - QUIET_START).max(0.0),
        }
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Ms {
        self.classes
            .iter()
            .map(|class| f64::from(class.deadline))
            .fold(0.0, f64::max)
    }
}

fn draw_classes(rng: &mut WyRand) -> [Class; 3] {
    let short = rng.generate_range(0..SHORT_ONE_IN) == 0;
    let deadlines = if short { SHORT_DEADLINES } else { DEADLINES };
    let window = rng.generate_range(WINDOWS);
    let effects = [
        Effect::Idempotent,
        Effect::AtMostOnce,
        Effect::Keyed { window },
    ];
    let mut class = |name, effect| Class {
        name,
        effect,
        deadline: rng.generate_range(deadlines.clone()),
    };
    [
        class("draft", effects[0]),
        class("order", effects[1]),
        class("form", effects[2]),
    ]
}

/// Nearly all engines of a kind hang or are silent together, evenly spread over the soak.
fn draw_kind_failures(rng: &mut WyRand, engines: Engines, end: Ms) -> Vec<Planned> {
    let kind = rng.generate_range(0..engines.kinds);
    let hangs = rng.generate_range(0..2u32) == 0;
    let between = (end - QUIET_START).max(0.0) / KIND_FAILS as f64;
    let failure = |nth: usize| {
        let who = Group::Kind {
            kind,
            but: kind + engines.kinds * nth % engines.count,
        };
        let from = QUIET_START + between * nth as f64;
        let lasts = SHORTEST + rng.generate::<f64>() * (between.min(LONGEST) - SHORTEST).max(0.0);
        let trouble = match hangs {
            true => Trouble::Hang(draw_hang(rng, who)),
            false => Trouble::Silence(draw_silence(rng, who, Loss::BothWays)),
        };
        Planned {
            from,
            until: (from + lasts).min(end),
            trouble,
        }
    };
    (0..KIND_FAILS).map(failure).collect()
}

/// Hangs, silences and losses one way are as frequent as one another.
fn draw_trouble(rng: &mut WyRand, processes: usize, engines: Engines) -> Trouble {
    let process = rng.generate_range(0..processes);
    let engine = rng.generate_range(0..engines.count);
    match rng.generate_range(0..40u32) {
        0..=1 => Trouble::Stop { process },
        2 => Trouble::StopSeveral {
            first: process,
            count: rng.generate_range(2..=MOST_STOPPED),
        },
        3 => Trouble::Kill { process },
        4 => Trouble::Pause { process },
        5 => Trouble::Reload,
        6 => Trouble::ReloadTwice,
        7 => Trouble::ReloadAndStop { process },
        8..=10 => Trouble::Replace { engine },
        11..=12 => Trouble::Reset { engine },
        13 => Trouble::Refuse { engine },
        14 => Trouble::TurnAway { engine },
        15 => Trouble::CloseIdle { engine },
        16 | 17 => Trouble::DiscoverySilent,
        18 => Trouble::DiscoveryRefuses,
        19 => Trouble::DiscoveryResets,
        20..=24 => {
            let who = draw_group(rng, engine, engines);
            Trouble::Hang(draw_hang(rng, who))
        }
        25..=29 => {
            let who = draw_group(rng, engine, engines);
            Trouble::Silence(draw_silence(rng, who, Loss::BothWays))
        }
        30..=32 => Trouble::SilenceSome {
            engine,
            delivers: rng.generate_range(0..2u32) == 0,
        },
        33..=34 => Trouble::Slow { engine },
        _ => {
            let who = draw_group(rng, engine, engines);
            let loss = if rng.generate_range(0..2u32) == 0 {
                Loss::ToEngines
            } else {
                Loss::ToProcesses
            };
            Trouble::Silence(draw_silence(rng, who, loss))
        }
    }
}

fn draw_group(rng: &mut WyRand, engine: usize, engines: Engines) -> Group {
    match rng.generate_range(0..4u32) {
        0 | 1 => Group::One { engine },
        2 => Group::Several {
            first: engine,
            count: rng.generate_range(2..=MOST_SILENT),
        },
        _ => Group::Zone {
            zone: engines.zone(engine),
        },
    }
}

fn draw_hang(rng: &mut WyRand, who: Group) -> Hang {
    Hang {
        who,
        notices_closes: rng.generate_range(0..2u32) == 0,
    }
}

fn draw_silence(rng: &mut WyRand, who: Group, loss: Loss) -> Silence {
    let within_a_message = loss == Loss::BothWays && rng.generate_range(0..4u32) == 0;
    Silence {
        who,
        loss,
        within_a_message,
        delivers: rng.generate_range(0..2u32) == 0,
    }
}
