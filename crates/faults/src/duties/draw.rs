//! Draws a fleet and its troubles from a seed. Instants lean towards those that matter: together, a third of a lease
//! apart, just before and after a lease's end.

use super::service::Play;
use cindercleat::interface::Ms;
use nanorand::{Rng, WyRand};

/// Who is hit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Who {
    Node(usize),
    /// Whoever acted last, as seen from outside.
    Holder,
}

/// What can go wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    Kill,
    /// Told to stop in order.
    Stop,
    HandOver {
        to: usize,
    },
    /// The process sleeps for the whole spell; what comes waits.
    Sleep,
    /// The same, in the middle of its next act.
    Stall,
    CutOff {
        out: bool,
        back: bool,
    },
    CutFromVoters,
    CutFromTargets,
    Halves {
        asleep: bool,
    },
    Lossy(f64),
    Twice(f64),
    Slow(Ms),
    /// What others say to it comes so much later.
    LateTo(Ms),
    ClockJump(Ms),
    DiskFails,
    DiskSlow,
    /// Killed, and comes back without its file, with an old one, or with a damaged one.
    FileLost,
    FileOld,
    FileDamaged,
    /// A receiver starts again; a receiver's clock jumps.
    TargetAgain,
    TargetClock(Ms),
    KillMany(f64),
    KillVoters,
    AddVoter(usize),
    RemoveVoter(usize),
    /// All processes and engines of a zone at once.
    ZoneLost(usize),
    EngineDies(usize),
    /// Nothing more is heard of engines' loads.
    ReportsStop,
    /// So much more of all requests is harmed, whoever answers.
    Burst(f64),
}

impl Trouble {
    pub fn name(&self) -> &'static str {
        match self {
            Trouble::Kill => "kill",
            Trouble::Stop => "stop",
            Trouble::HandOver { .. } => "hand-over",
            Trouble::Sleep => "sleep",
            Trouble::Stall => "stall",
            Trouble::CutOff {
                out: true,
                back: true,
            } => "cut-off",
            Trouble::CutOff { .. } => "cut-one-way",
            Trouble::CutFromVoters => "cut-from-voters",
            Trouble::CutFromTargets => "cut-from-receivers",
            Trouble::Halves { .. } => "halves",
            Trouble::Lossy(_) => "lossy",
            Trouble::Twice(_) => "twice",
            Trouble::Slow(_) => "slow",
            Trouble::LateTo(_) => "late-to",
            Trouble::ClockJump(_) => "clock-jump",
            Trouble::DiskFails => "disk-fails",
            Trouble::DiskSlow => "disk-slow",
            Trouble::FileLost => "file-lost",
            Trouble::FileOld => "file-old",
            Trouble::FileDamaged => "file-damaged",
            Trouble::TargetAgain => "receiver-again",
            Trouble::TargetClock(_) => "receiver-clock",
            Trouble::KillMany(_) => "kill-many",
            Trouble::KillVoters => "kill-voters",
            Trouble::AddVoter(_) => "add-voter",
            Trouble::RemoveVoter(_) => "remove-voter",
            Trouble::ZoneLost(_) => "zone-lost",
            Trouble::EngineDies(_) => "host-dies",
            Trouble::ReportsStop => "reports-stop",
            Trouble::Burst(_) => "burst",
        }
    }
}

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Spell {
    pub begin: Ms,
    pub end: Ms,
    pub who: Who,
    pub trouble: Trouble,
}

/// A fleet and all that happens to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub voters: usize,
    pub members: usize,
    /// Receivers of the roll-call's acts.
    pub targets: usize,
    pub lease: Ms,
    pub drift: f64,
    pub heartbeat: Ms,
    pub tell_every: Ms,
    pub prefers: Option<String>,
    /// A message is under way for up to this long.
    pub way: Ms,
    pub loss: f64,
    pub twice: f64,
    /// The part of messages that are under way for up to one and a half leases.
    pub long: f64,
    pub length: Ms,
    pub troubles: Vec<Spell>,
    /// Messages' bytes are counted.
    pub weigh: bool,
    /// Once the troubles are over, enough voters are there.
    pub recovers: bool,
    /// A release, with what stands around it.
    pub release: Option<Play>,
}

impl Plan {
    /// A fleet without troubles.
    pub fn quiet(seed: u64, voters: usize, members: usize, lease: Ms, length: Ms) -> Plan {
        Plan {
            seed,
            voters,
            members,
            targets: 2,
            lease,
            drift: 0.02,
            heartbeat: 200.0,
            tell_every: 20.0,
            prefers: None,
            way: 2.0,
            loss: 0.0,
            twice: 0.0,
            long: 0.0,
            length,
            troubles: Vec::new(),
            weigh: false,
            recovers: true,
            release: None,
        }
    }

    /// When the last trouble is over, or the fleet is up.
    pub fn quiet_from(&self) -> Ms {
        self.troubles.iter().map(|t| t.end).fold(500.0, f64::max) + 60.0
    }
}

/// What is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    pub name: &'static str,
    /// One plan of so many has hundreds of members.
    pub large_every: u64,
    pub troubles: (usize, usize),
    pub changes: bool,
}

/// The request classes of `cindercleat seeds` that play duties.
pub const SHAPES: [Shape; 2] = [
    Shape {
        name: "duties",
        large_every: 100,
        troubles: (4, 12),
        changes: true,
    },
    Shape {
        name: "release",
        large_every: 200,
        troubles: (1, 7),
        changes: false,
    },
];

/// Troubles come within this.
const BUSY: Ms = 15_000.0;

/// The plan of a seed.
pub fn draw(seed: u64, shape: &Shape) -> Plan {
    if shape.name == "release" {
        return super::draw_release::draw(seed, shape);
    }
    let mut rng = WyRand::new_seed(seed);
    let chance = |rng: &mut WyRand| rng.generate::<f64>();
    let voters = [3, 3, 3, 5, 5, 7][rng.generate_range(0..6usize)];
    let members = match seed % shape.large_every {
        0 => rng.generate_range(30..301usize),
        _ => voters + rng.generate_range(0..7usize),
    };
    let lease = [1000.0, 1000.0, 600.0, 2000.0][rng.generate_range(0..4usize)];
    let mut plan = Plan::quiet(seed, voters, members, lease, 0.0);
    plan.loss = [0.0, 0.0, 0.01, 0.05][rng.generate_range(0..4usize)];
    plan.twice = [0.0, 0.02, 0.1][rng.generate_range(0..3usize)];
    plan.long = 0.002;
    plan.prefers = (chance(&mut rng) < 0.3).then(|| "z1".to_owned());
    // Voters that may lose their files, for good, without the rest being too few.
    let mut files = (voters - 1) / 2;
    let mut lost: Vec<usize> = Vec::new();
    let number = rng.generate_range(shape.troubles.0..shape.troubles.1 + 1);
    for _ in 0..number {
        let at = match plan.troubles.is_empty() || chance(&mut rng) < 0.4 {
            true => 1_500.0 + chance(&mut rng) * BUSY,
            false => {
                let other = &plan.troubles[rng.generate_range(0..plan.troubles.len())];
                let from = if chance(&mut rng) < 0.6 {
                    other.begin
                } else {
                    other.end
                };
                let steps = [
                    0.0,
                    0.003,
                    0.02,
                    1.0 / 3.0,
                    0.66,
                    0.95,
                    0.985,
                    1.0,
                    1.02,
                    1.06,
                    1.3,
                ];
                from + lease * steps[rng.generate_range(0..steps.len())] + 4.0 * chance(&mut rng)
            }
        };
        let spans = [0.05, 0.34, 0.9, 1.0, 1.05, 1.2, 1.6, 2.5, 4.0];
        let span = lease * spans[rng.generate_range(0..spans.len())];
        let node = rng.generate_range(0..members);
        let voter = rng.generate_range(0..voters);
        let who = if chance(&mut rng) < 0.6 {
            Who::Holder
        } else {
            Who::Node(node)
        };
        let (mut who, mut trouble) = (who, trouble(&mut rng, members));
        match &trouble {
            Trouble::FileLost | Trouble::FileOld | Trouble::FileDamaged if files > 0 => {
                files -= 1;
                lost.push(voter);
                who = Who::Node(voter);
            }
            Trouble::FileLost | Trouble::FileOld | Trouble::FileDamaged => trouble = Trouble::Kill,
            Trouble::DiskFails | Trouble::DiskSlow => who = Who::Node(voter),
            Trouble::AddVoter(_) | Trouble::RemoveVoter(_) if !shape.changes => {
                trouble = Trouble::Sleep
            }
            Trouble::AddVoter(_) if voters + 2 <= members => {
                // A voter more, or one in place of another.
                let new = voters + rng.generate_range(0..2usize);
                trouble = Trouble::AddVoter(new);
                let after = at + lease * [0.001, 0.01, 0.1, 1.0][rng.generate_range(0..4usize)];
                if lost.len() <= (voters - 1) / 2 && chance(&mut rng) < 0.5 {
                    let old = lost.first().copied().unwrap_or(voter);
                    plan.troubles.push(Spell {
                        begin: after,
                        end: after,
                        who: Who::Node(node),
                        trouble: Trouble::RemoveVoter(old),
                    });
                }
            }
            Trouble::AddVoter(_) => trouble = Trouble::Stall,
            // Answers that are late matter to a holder that hears no more after them.
            Trouble::LateTo(_) => {
                trouble = Trouble::LateTo(0.13 * lease);
                let begin = at + span - 0.02 * lease;
                let cut = Trouble::CutFromVoters;
                plan.troubles.push(Spell {
                    begin,
                    end: begin + 1.6 * lease,
                    who: Who::Holder,
                    trouble: cut,
                });
            }
            // A receiver that starts again matters to a holder that sleeps meanwhile.
            Trouble::Stall if chance(&mut rng) < 0.5 => {
                for who in 0..2 {
                    let begin = at + span * 0.99 - 20.0 * chance(&mut rng);
                    let (who, trouble) = (Who::Node(who), Trouble::TargetAgain);
                    plan.troubles.push(Spell {
                        begin,
                        end: begin,
                        who,
                        trouble,
                    });
                }
            }
            _ => {}
        }
        let (begin, end) = (at, at + span);
        plan.troubles.push(Spell {
            begin,
            end,
            who,
            trouble,
        });
    }
    // With voters removed and others without their files there may be too few: then nothing is said of recovery.
    let removes = plan
        .troubles
        .iter()
        .filter(|t| matches!(t.trouble, Trouble::RemoveVoter(_)))
        .count();
    let adds = plan
        .troubles
        .iter()
        .filter(|t| matches!(t.trouble, Trouble::AddVoter(_)))
        .count();
    plan.recovers = removes == 0 && adds == 0;
    let end = plan.quiet_from();
    plan.length = end + (super::SETTLES_WITHIN + 1.0) * lease;
    plan
}

fn trouble(rng: &mut WyRand, members: usize) -> Trouble {
    let chance: f64 = rng.generate();
    let sign = if chance < 0.5 { -1.0 } else { 1.0 };
    match rng.generate_range(0..34usize) {
        0..=2 => Trouble::Kill,
        3 => Trouble::Stop,
        4 | 5 => Trouble::HandOver {
            to: rng.generate_range(0..members),
        },
        6..=8 => Trouble::Sleep,
        9..=11 => Trouble::Stall,
        12 => Trouble::CutOff {
            out: true,
            back: true,
        },
        13 => Trouble::CutOff {
            out: true,
            back: false,
        },
        14 => Trouble::CutOff {
            out: false,
            back: true,
        },
        15 => Trouble::CutFromVoters,
        16 => Trouble::CutFromTargets,
        17 => Trouble::Halves {
            asleep: chance < 0.5,
        },
        18 => Trouble::Lossy(0.05 + 0.3 * chance),
        19 => Trouble::Twice(0.3),
        20 => Trouble::Slow(20.0 + 300.0 * chance),
        21 | 22 => Trouble::ClockJump(sign * [3_600_000.0, 500.0][rng.generate_range(0..2usize)]),
        23 => Trouble::DiskFails,
        24 => Trouble::DiskSlow,
        25 => Trouble::FileLost,
        26 => Trouble::FileOld,
        27 => Trouble::FileDamaged,
        28 => Trouble::TargetAgain,
        29 => Trouble::TargetClock(sign * 3_600_000.0),
        30 => match chance < 0.5 {
            true => Trouble::KillMany(0.7),
            false => Trouble::KillVoters,
        },
        31 | 32 => Trouble::LateTo(0.0),
        _ => Trouble::AddVoter(0),
    }
}
