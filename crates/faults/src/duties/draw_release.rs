//! Draws a release and what befalls it from a seed. Instants lean towards each other: the same moment, a beat, a lease.

use super::draw::{Plan, Shape, Spell, Trouble, Who};
use super::service::{Act, Op, Play, Version};
use cindercleat::coordination::disruption_budget::{DisruptionBudget, MaxUnavailable, UnitKind};
use cindercleat::coordination::rollout::RolloutPlan;
use cindercleat::interface::Ms;
use nanorand::{Rng, WyRand};

/// When the release begins, and within what troubles come after it.
const START: Ms = 4_000.0;
const BUSY: Ms = 18_000.0;

/// A plan for dispatchers from v1 to v2, as fast as the bounds let it.
pub fn forward(of: UnitKind) -> RolloutPlan {
    RolloutPlan {
        name: "to-v2".to_owned(),
        unit_kind: of,
        label: "v2".to_owned(),
        previous_label: "v1".to_owned(),
        first_wave_size: 1,
        wave_growth_per_mille: 2000,
        observe_ms: 1_500,
        settle_ms: 500,
        start_timeout_ms: 4_000,
        return_timeout_ms: 15_000,
        ..RolloutPlan::default()
    }
}

/// A fleet with a release and no troubles.
pub fn quiet(seed: u64, voters: usize, members: usize, engines: usize, of: UnitKind) -> Plan {
    let mut plan = Plan::quiet(seed, voters, members, 1000.0, 60_000.0);
    (plan.targets, plan.tell_every, plan.heartbeat) = (1, 200.0, 100.0);
    plan.release = Some(Play {
        engines,
        bounds: (DisruptionBudget::default(), DisruptionBudget::default()),
        version: Version::Good,
        ops: vec![Op {
            at: START,
            node: 0,
            act: Act::Start(Box::new(forward(of))),
        }],
        after_halt: None,
        drains: 200.0,
        away: 150.0,
        starts: 300.0,
        rate: 30.0,
        harmed: 0.01,
        wrong_label: None,
        used: 0.4,
        jump: None,
        slow_start_window: 500.0,
        shrinks: None,
    });
    plan
}

/// The plan of a seed.
pub fn draw(seed: u64, shape: &Shape) -> Plan {
    let mut rng = WyRand::new_seed(seed ^ 0x0e1e_a5e0);
    let large = seed.is_multiple_of(shape.large_every);
    let voters = [3, 3, 5][rng.generate_range(0..3usize)];
    let (members, engines) = match large {
        true => (300, 100),
        false => (voters + rng.generate_range(3..9usize), 12),
    };
    let of = if rng.generate::<f64>() < 0.65 {
        UnitKind::Dispatchers
    } else {
        UnitKind::Engines
    };
    let mut plan = quiet(seed, voters, members, engines, of);
    plan.lease = [600.0, 1000.0][rng.generate_range(0..2usize)];
    plan.loss = [0.0, 0.0, 0.01, 0.05][rng.generate_range(0..4usize)];
    plan.twice = [0.0, 0.02, 0.1][rng.generate_range(0..3usize)];
    plan.long = 0.002;
    let most = |number: u32, per_mille: u32| MaxUnavailable {
        count: number,
        per_mille,
    };
    let mut chance = || rng.generate::<f64>();
    let zone = if large {
        most(u32::MAX, 100)
    } else {
        most(if chance() < 0.6 { 1 } else { 2 }, 1000)
    };
    let fleet = match chance() {
        _ if large => most(u32::MAX, 100),
        c if c < 0.3 => most(2, 1000),
        c if c < 0.6 => most(u32::MAX, 340),
        _ => MaxUnavailable::ALL,
    };
    let mut bounds = DisruptionBudget {
        zone,
        fleet,
        ..DisruptionBudget::default()
    };
    if bounds.fleet.count < bounds.zone.count {
        bounds.zone.count = bounds.fleet.count;
    }
    let mut of_engines = bounds;
    of_engines.cell = if chance() < 0.5 && !large {
        most(1, 1000)
    } else {
        MaxUnavailable::ALL
    };
    of_engines.max_utilization_per_mille = if chance() < 0.6 { 800 } else { 1000 };
    of_engines.max_report_age_ms = 1_000;
    let Some(play) = plan.release.as_mut() else {
        return plan;
    };
    play.bounds = (bounds, of_engines);
    play.used = 0.2 + 0.3 * chance();
    play.version = match chance() {
        c if c < 0.6 => Version::Good,
        c if c < 0.75 => Version::Worse(0.1 + 0.4 * chance()),
        c if c < 0.85 => Version::NeverReady,
        c if c < 0.93 => Version::Dies(800.0 + 2_000.0 * chance()),
        _ => {
            play.wrong_label = Some((chance() * members as f64) as usize);
            Version::Good
        }
    };
    play.after_halt = match chance() {
        c if c < 0.55 => Some(Act::Back),
        c if c < 0.8 => Some(Act::Resume),
        _ => None,
    };
    if chance() < 0.3 {
        play.jump = Some((START + BUSY * chance(), 0.85));
    }
    if large {
        // Ten at a time, and as fast as that goes.
        (play.rate, plan.heartbeat) = (10.0, 200.0);
    }
    draw_ops(&mut rng, play, members);
    draw_troubles(&mut rng, &mut plan, shape, members, voters);
    let end = plan.quiet_from();
    plan.recovers = true;
    plan.length = end + if large { 60_000.0 } else { 28_000.0 };
    plan
}

fn draw_ops(rng: &mut WyRand, play: &mut Play, members: usize) {
    let mut chance = || rng.generate::<f64>();
    let any = |c: f64| (c * members as f64) as usize;
    if chance() < 0.45 {
        let at = START + 500.0 + BUSY * chance() * 0.7;
        let (node, other) = (any(chance()), any(chance()));
        play.ops.push(Op {
            at,
            node,
            act: Act::Halt,
        });
        let then = if chance() < 0.5 {
            Act::Resume
        } else {
            Act::Back
        };
        if chance() < 0.85 {
            play.ops.push(Op {
                at: at + 4_000.0 + 4_000.0 * chance(),
                node: other,
                act: then,
            });
        }
    }
    if chance() < 0.12 {
        play.ops.push(Op {
            at: START + BUSY * chance(),
            node: any(chance()),
            act: Act::Back,
        });
    }
    if chance() < 0.15 {
        let second = play.ops[0].act.clone();
        play.ops.push(Op {
            at: START + 2.0 * chance(),
            node: any(chance()),
            act: second,
        });
    }
    for _ in 0..(3.0 * chance()) as usize {
        let permit = Act::Turn(any(chance()));
        play.ops.push(Op {
            at: START + BUSY * chance(),
            node: any(chance()),
            act: permit,
        });
    }
}

fn draw_troubles(rng: &mut WyRand, plan: &mut Plan, shape: &Shape, members: usize, voters: usize) {
    let lease = plan.lease;
    let number = rng.generate_range(shape.troubles.0..shape.troubles.1 + 1);
    let halt = plan
        .release
        .as_ref()
        .and_then(|p| p.ops.iter().find(|op| op.act == Act::Halt))
        .map(|op| op.at);
    for _ in 0..number {
        let chance: f64 = rng.generate();
        let at = match plan.troubles.is_empty() || chance < 0.4 {
            true => START + rng.generate::<f64>() * BUSY,
            false => {
                let other = &plan.troubles[rng.generate_range(0..plan.troubles.len())];
                let from = if chance < 0.7 {
                    other.begin
                } else {
                    halt.unwrap_or(other.end)
                };
                let steps = [-0.3, 0.0, 0.003, 0.02, 0.1, 0.33, 0.66, 1.0, 1.06, 2.0];
                from + lease * steps[rng.generate_range(0..steps.len())]
                    + 4.0 * rng.generate::<f64>()
            }
        };
        let spans = [0.1, 0.34, 0.9, 1.05, 1.6, 2.5, 5.0];
        let span = lease * spans[rng.generate_range(0..spans.len())];
        let node = rng.generate_range(0..members);
        let mut who = if rng.generate::<f64>() < 0.6 {
            Who::Holder
        } else {
            Who::Node(node)
        };
        let chance: f64 = rng.generate();
        let trouble = match rng.generate_range(0..30usize) {
            0..=6 => Trouble::Kill,
            7 => Trouble::Stop,
            8 | 9 => Trouble::HandOver { to: node },
            10..=12 => Trouble::Sleep,
            13 | 14 => Trouble::CutOff {
                out: true,
                back: true,
            },
            15 => Trouble::CutOff {
                out: false,
                back: true,
            },
            16 | 17 => Trouble::CutFromVoters,
            18 => Trouble::Halves {
                asleep: chance < 0.5,
            },
            19 => Trouble::Lossy(0.05 + 0.3 * chance),
            20 => Trouble::Twice(0.3),
            21 => Trouble::Slow(20.0 + 300.0 * chance),
            22 => Trouble::KillMany(0.7),
            23 => Trouble::KillVoters,
            24 => Trouble::ZoneLost(node),
            25 | 26 => Trouble::EngineDies(node),
            27 => Trouble::ReportsStop,
            28 => Trouble::Burst(0.2 + 0.4 * chance),
            _ => Trouble::DiskFails,
        };
        if matches!(trouble, Trouble::DiskFails) {
            who = Who::Node(rng.generate_range(0..voters));
        }
        // What is heard of no more matters once it changes.
        if let (Trouble::ReportsStop, Some(play)) = (&trouble, plan.release.as_mut()) {
            play.jump = Some((at + 300.0, 0.85));
            plan.troubles.push(Spell {
                begin: at,
                end: at + 12_000.0,
                who,
                trouble,
            });
            continue;
        }
        plan.troubles.push(Spell {
            begin: at,
            end: at + span,
            who,
            trouble,
        });
    }
}
