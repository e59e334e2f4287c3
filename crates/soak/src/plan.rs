//! Which troubles come when, drawn from the seed: two or three overlap at any time.

use crate::Ms;
use nanorand::{Rng, WyRand};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A process is told to end, and is started again.
    Stop {
        process: usize,
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
    /// New connections to an engine are refused, or never come up.
    Refuse {
        engine: usize,
    },
    Unreachable {
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
    pub troubles: Vec<Planned>,
    /// Whether lists are asked for, rather than pushed to an agent.
    pub lists_are_asked_for: bool,
    /// Whether system calls of some processes fail at times.
    pub system_calls_fail: bool,
    /// By how much the wall clock of some processes is stepped, and when.
    pub wall_step: Ms,
    pub wall_step_after: Ms,
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

impl Plan {
    pub fn draw(seed: u64, processes: usize, engines: usize, seconds: f64) -> Plan {
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
            troubles,
            lists_are_asked_for: rng.generate_range(0..2u32) == 1,
            system_calls_fail: rng.generate_range(0..2u32) == 1,
            wall_step: WALL_STEPS[rng.generate_range(0..WALL_STEPS.len())],
            wall_step_after: QUIET_START + rng.generate::<f64>() * (end - QUIET_START).max(0.0),
        }
    }
}

fn draw_trouble(rng: &mut WyRand, processes: usize, engines: usize) -> Trouble {
    let process = rng.generate_range(0..processes);
    let engine = rng.generate_range(0..engines);
    match rng.generate_range(0..20u32) {
        0..=2 => Trouble::Stop { process },
        3 => Trouble::Kill { process },
        4 => Trouble::Pause { process },
        5 => Trouble::Reload,
        6..=8 => Trouble::Replace { engine },
        9 => Trouble::Hang { engine },
        10..=11 => Trouble::Reset { engine },
        12 => Trouble::Refuse { engine },
        13 => Trouble::Unreachable { engine },
        14 => Trouble::TurnAway { engine },
        15 => Trouble::CloseIdle { engine },
        16 | 17 => Trouble::DiscoverySilent,
        18 => Trouble::DiscoveryRefuses,
        _ => Trouble::DiscoveryResets,
    }
}
