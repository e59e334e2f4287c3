//! Small cases of duties for the explorer: the voters, tries, leases and waits that serve, two contenders, and every
//! order of messages, with messages that never come, that come twice, voters and contenders that start again, and
//! time that passes between any two steps.

use crate::explore::Model;
use cindercleat::coordination::fault_injection::{is_injected, InjectedFault};
use cindercleat::coordination::lease::{HeldLease, LeaseObserver, LeaseSettings};
use cindercleat::coordination::register::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Ballot, OutgoingRequest, Phase,
    Proposal, ProposalOutcome, ProposerKnowledge,
};
use cindercleat::coordination::state::{
    Command, LeaseHolder, ReplicatedState, VoterId, VoterRecord, Voters,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name};
use cindercleat::interface::Ms;
use nanorand::WyRand;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// What may happen, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Small {
    /// Voters of the first start, and those that could be let in.
    pub voters: usize,
    pub spare: usize,
    /// Tries of each of the two contenders.
    pub tries: u32,
    /// Parts of a lease that may pass; a lease is five of them.
    pub ticks: u32,
    pub twice: u32,
    /// Answers that come later than at once, or never.
    pub late: u32,
    pub voter_restarts: u32,
    pub restarts: u32,
    /// A try's first half is one step: some of the voters are asked and answer, the others never hear of it. Far
    /// fewer states for the same tries.
    pub halves: bool,
    /// One of them holds the duty already.
    pub held: bool,
    /// Each contender's first try lets another voter in, and is not waited for.
    pub changes: bool,
}

const LEASE: LeaseSettings = LeaseSettings {
    lease: 1000.0,
    drift: 0.01,
};
/// With the last part of a lease the time that is waited for is over, a gap and all.
const TICK: Ms = 200.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    AcceptorRequest { from: u8, to: u8, ask: u64 },
    AcceptorReply { from: u8, to: u8, said: u64 },
}

fn words(of: impl Debug) -> u64 {
    xxh3_64(format!("{of:?}").as_bytes())
}

/// A message with what it carries; ordered by a hash of its words, so that the same set is the same state.
type Net = BTreeMap<Message, Carried>;

#[derive(Clone, Debug)]
enum Carried {
    AcceptorRequest(Rc<AcceptorRequest>),
    AcceptorReply(VoterId, Ballot, Rc<AcceptorReply>),
}

#[derive(Clone, Debug)]
struct Contender {
    incarnation: u64,
    highest: u64,
    tries: u32,
    round: Option<(Proposal, Ms)>,
    knows: ProposerKnowledge,
    newest: Option<(Ballot, ReplicatedState)>,
    watch: LeaseObserver,
    hold: Option<HeldLease>,
}

#[derive(Clone, Debug)]
pub struct State {
    now: Ms,
    voters: Vec<Acceptor>,
    disks: Vec<AcceptorState>,
    contenders: Vec<Contender>,
    net: Net,
    twice: u32,
    late: u32,
    voter_restarts: u32,
    restarts: u32,
    /// What was agreed on, by its version, and who acted last.
    agreed: BTreeMap<u64, ReplicatedState>,
    acted: u64,
    holders: BTreeMap<u64, (usize, u64)>,
    wrong: Option<String>,
}

impl Hash for Contender {
    fn hash<H: Hasher>(&self, to: &mut H) {
        let Contender {
            incarnation,
            highest,
            tries,
            round,
            knows,
            newest,
            watch,
            hold,
        } = self;
        (
            incarnation,
            highest,
            tries,
            knows,
            newest,
            format!("{watch:?}"),
        )
            .hash(to);
        round
            .as_ref()
            .map(|(round, asked)| (round, asked.to_bits()))
            .hash(to);
        hold.map(|hold| {
            (
                hold.term,
                hold.requested_at.to_bits(),
                hold.expires_at.to_bits(),
            )
        })
        .hash(to);
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        let State {
            now,
            voters,
            disks,
            contenders,
            net,
            agreed,
            acted,
            holders,
            wrong,
            ..
        } = self;
        (
            now.to_bits(),
            voters,
            disks,
            contenders,
            agreed,
            acted,
            holders,
            wrong,
        )
            .hash(to);
        (self.twice, self.late, self.voter_restarts, self.restarts).hash(to);
        // A message's key stands for what it carries.
        net.keys().for_each(|message| message.hash(to));
    }
}

fn lease_name() -> LeaseName {
    LeaseName::from("duty")
}

fn voter_name(at: usize) -> Name {
    Name::from(["a", "b", "c", "d", "e", "f", "g"][at])
}

fn contender_name(at: usize) -> Name {
    Name::from(["x", "y"][at])
}

fn voter_record(at: usize) -> VoterRecord {
    VoterRecord {
        voter_id: VoterId(at as u64 + 1),
        address: Address::default(),
    }
}

fn watch(now: Ms) -> LeaseObserver {
    // Places are alike, and who comes first is for the order of steps: up to a gap counts as nothing.
    let mut watch = LeaseObserver::new(now, &mut WyRand::new_seed(1));
    watch.rank = Some(0);
    watch
}

impl Small {
    fn bootstrap(&self) -> Voters {
        let set = (0..self.voters)
            .map(|at| (voter_name(at), voter_record(at)))
            .collect();
        Voters {
            generation: 1,
            records: set,
            former: None,
        }
    }

    fn view(&self, contender: &Contender) -> Voters {
        contender
            .newest
            .as_ref()
            .map_or_else(|| self.bootstrap(), |(_, value)| value.voters.clone())
    }
}

impl State {
    fn holder(&self, at: usize) -> LeaseHolder {
        let incarnation = Incarnation(self.contenders[at].incarnation);
        LeaseHolder {
            name: contender_name(at),
            incarnation,
            address: Address::default(),
        }
    }

    fn saw(&mut self, at: usize, ballot: Ballot, value: ReplicatedState) {
        let now = self.now;
        let contender = &mut self.contenders[at];
        if contender.newest.as_ref().is_none_or(|(b, _)| *b < ballot) {
            contender.highest = contender.highest.max(ballot.round);
            contender.newest = Some((ballot, value));
        }
        let row = contender
            .newest
            .as_ref()
            .and_then(|(_, value)| value.leases.get(&lease_name()));
        contender.watch.observe(now, row, &mut WyRand::new_seed(1));
    }

    fn saw_nothing(&mut self, at: usize) {
        let now = self.now;
        self.contenders[at]
            .watch
            .observe(now, None, &mut WyRand::new_seed(1));
    }

    fn ask(&mut self, from: usize, asks: Vec<OutgoingRequest>) {
        for OutgoingRequest {
            to: name,
            request: ask,
            ..
        } in asks
        {
            let Some(to) = (0..self.voters.len()).find(|at| voter_name(*at) == name) else {
                continue;
            };
            let message = Message::AcceptorRequest {
                from: from as u8,
                to: to as u8,
                ask: words(&ask),
            };
            self.net
                .insert(message, Carried::AcceptorRequest(Rc::new(ask)));
        }
    }

    /// Begins a try, and where that is one step has its first half done by the voters in `some`.
    fn begin(&mut self, at: usize, view: Voters, change: Command, some: Option<u32>) {
        let incarnation = if is_injected(InjectedFault::BallotReused) {
            0
        } else {
            self.contenders[at].incarnation
        };
        let contender = &mut self.contenders[at];
        contender.highest += 1;
        contender.tries -= 1;
        let ballot = Ballot {
            round: contender.highest,
            by: contender_name(at),
            incarnation: Incarnation(incarnation),
        };
        let (round, asks) = Proposal::begin(ballot, view, change, &contender.knows);
        contender.round = Some((round, self.now));
        self.ask(at, asks);
        let Some(some) = some else { return };
        // Asks of a view that turns out old are followed by those of the newer one.
        loop {
            let prepares = |(_, c): &(&Message, &Carried)| match c {
                Carried::AcceptorRequest(ask) => matches!(&**ask, AcceptorRequest::Prepare { .. }),
                Carried::AcceptorReply(..) => false,
            };
            let next = self
                .net
                .iter()
                .find(prepares)
                .map(|(m, c)| (m.clone(), c.clone()));
            let Some((message, carried)) = next else {
                return;
            };
            self.net.remove(&message);
            if matches!(message, Message::AcceptorRequest { to, .. } if some & (1 << to) != 0) {
                self.deliver(&message, carried, false);
            }
        }
    }

    fn end(&mut self, at: usize, end: ProposalOutcome, asked: Ms) {
        let Some((round, _)) = self.contenders[at].round.take() else {
            return;
        };
        match end {
            ProposalOutcome::Chosen(value) => {
                if let Some(other) = self.agreed.insert(value.version, value.clone()) {
                    if other != value {
                        let version = value.version;
                        self.wrong = Some(format!("two values of version {version} are agreed on"));
                    }
                }
                let (now, incarnation) = (self.now, self.contenders[at].incarnation);
                let row = value.leases.get(&lease_name());
                let mine = row.filter(|row| row.holder == Some(self.holder(at)));
                if let Some(row) = mine {
                    let hold = HeldLease::new(row.term, asked, now, &LEASE);
                    self.contenders[at].hold = Some(hold);
                    let who = *self.holders.entry(row.term.0).or_insert((at, incarnation));
                    if who != (at, incarnation) {
                        self.wrong = Some(format!("term {} is given twice", row.term.0));
                    }
                }
                self.saw(at, round.ballot, value);
            }
            ProposalOutcome::Rejected(_, base) => self.saw(at, round.ballot, base),
            ProposalOutcome::Conflict(by) => {
                let contender = &mut self.contenders[at];
                contender.highest = contender.highest.max(by.map_or(0, |b| b.round));
            }
        }
    }

    /// A message comes. An answer to it comes at once, or is a message of its own.
    fn deliver(&mut self, message: &Message, carried: Carried, late: bool) {
        match (message, carried) {
            (Message::AcceptorRequest { from, to, .. }, Carried::AcceptorRequest(ask)) => {
                let (AcceptorRequest::Prepare { ballot, .. }
                | AcceptorRequest::Accept { ballot, .. }) = &*ask;
                let ballot = ballot.clone();
                let voter = &mut self.voters[usize::from(*to)];
                let answer = voter.handle(&ask);
                let voter_id = voter.state.voter_id;
                if answer.needs_durable_state && !is_injected(InjectedFault::AnswerBeforeDurable) {
                    self.disks[usize::from(*to)] = voter.state.clone();
                }
                let said = answer.reply;
                let message = Message::AcceptorReply {
                    from: *to,
                    to: *from,
                    said: words((&ballot, &said)),
                };
                let answer = Carried::AcceptorReply(voter_id, ballot, Rc::new(said));
                if late {
                    self.net.insert(message, answer);
                } else {
                    self.deliver(&message, answer, false);
                }
            }
            (
                Message::AcceptorReply { from, to, .. },
                Carried::AcceptorReply(voter_id, ballot, said),
            ) => {
                let (from, to) = (usize::from(*from), usize::from(*to));
                let contender = &mut self.contenders[to];
                let Some((round, asked)) =
                    contender.round.as_mut().filter(|(r, _)| r.ballot == ballot)
                else {
                    return;
                };
                let asked = *asked;
                let next = round.handle_reply(
                    (voter_name(from), voter_id),
                    Phase::Prepare,
                    Some(&said),
                    &mut contender.knows,
                );
                // Old files are not among these cases, and what is heard of them would only tell states apart.
                contender.knows.write_counts.clear();
                self.ask(to, next.requests);
                if let Some(end) = next.outcome {
                    self.end(to, end, asked);
                }
            }
            _ => {}
        }
    }
}

impl Model for Small {
    type State = State;

    fn begin(&self) -> State {
        let voter = |at: usize| {
            let mut voter = Acceptor::new(voter_name(at), voter_record(at).voter_id);
            voter.state.bootstrap = Some(self.bootstrap());
            voter
        };
        let voters: Vec<Acceptor> = (0..self.voters + self.spare).map(voter).collect();
        let contender = |at: usize| Contender {
            incarnation: 100 * (at as u64 + 1),
            highest: 0,
            tries: self.tries,
            round: None,
            knows: ProposerKnowledge::default(),
            newest: None,
            watch: watch(0.0),
            hold: None,
        };
        let mut state = State {
            now: 0.0,
            disks: voters.iter().map(|v| v.state.clone()).collect(),
            voters,
            contenders: (0..2).map(contender).collect(),
            net: Net::new(),
            twice: self.twice,
            late: self.late,
            voter_restarts: self.voter_restarts,
            restarts: self.restarts,
            agreed: BTreeMap::new(),
            acted: 0,
            holders: BTreeMap::new(),
            wrong: None,
        };
        if self.held {
            state.saw_nothing(0);
            let (who, seen) = (state.holder(0), state.contenders[0].watch.version());
            let change = Command::Acquire {
                lease_name: lease_name(),
                holder: who,
                lease_ms: 1000,
                expected_version: seen,
            };
            state.contenders[0].tries += 1;
            state.begin(0, self.bootstrap(), change, None);
            while let Some((message, carried)) = state.net.pop_first() {
                state.deliver(&message, carried, false);
            }
        }
        state
    }

    fn steps(&self, state: &State, into: &mut Vec<(String, State)>) {
        let mut step = |name: String, take: &dyn Fn(&mut State)| {
            let mut after = state.clone();
            take(&mut after);
            into.push((name, after));
        };
        for (message, carried) in &state.net {
            let of = |what: &str| match message {
                Message::AcceptorRequest { from, to, .. } => {
                    format!(
                        "{} asks {}{what}",
                        contender_name((*from).into()).0,
                        voter_name((*to).into()).0
                    )
                }
                Message::AcceptorReply { from, to, .. } => {
                    format!(
                        "{} hears {}",
                        contender_name((*to).into()).0,
                        voter_name((*from).into()).0
                    )
                }
            };
            step(of(""), &|s| {
                s.net.remove(message);
                s.deliver(message, carried.clone(), false);
            });
            if state.late > 0 && matches!(carried, Carried::AcceptorRequest(_)) {
                step(of(", who answers late"), &|s| {
                    s.late -= 1;
                    s.net.remove(message);
                    s.deliver(message, carried.clone(), true);
                });
            }
            if state.twice > 0 {
                step(of(", and will again"), &|s| {
                    s.twice -= 1;
                    s.deliver(message, carried.clone(), false);
                });
            }
        }
        if state.now < f64::from(self.ticks) * TICK {
            step("time passes".to_owned(), &|s| {
                s.now += TICK;
                let now = s.now;
                s.contenders
                    .iter_mut()
                    .for_each(|c| c.watch.count_time(now, &LEASE));
            });
        }
        for at in 0..state.contenders.len() {
            self.steps_of(state, at, &mut step);
        }
        for at in 0..state.voters.len() {
            if state.voter_restarts > 0 {
                step(format!("{} starts again", voter_name(at).0), &|s| {
                    s.voter_restarts -= 1;
                    s.voters[at] = Acceptor::recover(s.disks[at].clone());
                    s.voters[at].votes = true;
                });
            }
        }
    }

    fn wrong(&self, state: &State) -> Option<String> {
        state.wrong.clone()
    }
}

/// Takes a step's name, and what it does to a state.
type Step<'a> = dyn FnMut(String, &dyn Fn(&mut State)) + 'a;

impl Small {
    fn steps_of(&self, state: &State, at: usize, step: &mut Step<'_>) {
        let (contender, name) = (&state.contenders[at], contender_name(at));
        let name = &name.0;
        if contender.round.is_none() && contender.tries > 0 {
            let view = self.view(contender);
            let who = state.holder(at);
            let first = contender.tries == self.tries;
            let (what, change) = if self.changes && first {
                let new = self.voters + at;
                (
                    "lets a voter in",
                    Command::AddVoter {
                        name: voter_name(new),
                        voter_record: voter_record(new),
                    },
                )
            } else if let Some(hold) = contender
                .hold
                .filter(|hold| hold.remaining(state.now) > 0.0)
            {
                (
                    "renews",
                    Command::Renew {
                        holder: who,
                        leases: vec![(lease_name(), hold.term)],
                    },
                )
            } else if contender.watch.election_delay(&who, true, &LEASE) <= LEASE.election_gap()
                || self.changes
            {
                let seen = contender.watch.version();
                (
                    "takes",
                    Command::Acquire {
                        lease_name: lease_name(),
                        holder: who,
                        lease_ms: 1000,
                        expected_version: seen,
                    },
                )
            } else {
                ("waits", Command::FinishVoterChange)
            };
            if what != "waits" {
                let all = 0..1u32 << state.voters.len();
                let some: Vec<Option<u32>> = match self.halves {
                    true => all
                        .filter(|some| some.count_ones() == self.voters as u32 / 2 + 1)
                        .map(Some)
                        .collect(),
                    false => vec![None],
                };
                for some in some {
                    let by = some
                        .map(|some| format!(" with {some:b}"))
                        .unwrap_or_default();
                    step(format!("{name} {what}{by}"), &|s| {
                        s.begin(at, view.clone(), change.clone(), some)
                    });
                }
            }
        }
        if (self.changes || self.halves) && contender.round.is_some() && contender.tries > 0 {
            step(format!("{name} gives its try up"), &|s| {
                s.contenders[at].round = None
            });
        }
        // What a voter shows of what it took.
        let shown: BTreeSet<(Ballot, usize)> = state
            .voters
            .iter()
            .enumerate()
            .filter_map(|(v, voter)| {
                voter
                    .state
                    .accepted
                    .as_ref()
                    .map(|(ballot, _)| (ballot.clone(), v))
            })
            .collect();
        let old = contender.newest.as_ref().map(|(ballot, _)| ballot.clone());
        let looks = shown
            .into_iter()
            .filter(|(ballot, _)| old.as_ref().is_none_or(|old| ballot > old));
        let looks: BTreeMap<Ballot, usize> = looks.collect();
        for (ballot, voter) in looks {
            step(format!("{name} looks at {}", voter_name(voter).0), &|s| {
                let value = s.voters[voter].state.accepted.clone();
                if let Some((_, value)) = value {
                    s.saw(at, ballot.clone(), value);
                }
            });
        }
        if !contender.watch.has_observed {
            step(format!("{name} finds nothing"), &|s| s.saw_nothing(at));
        }
        // Where changes are looked at nobody waits for leases.
        if let Some(hold) = contender.hold.filter(|_| !self.changes) {
            let live =
                hold.remaining(state.now) > 0.0 || is_injected(InjectedFault::LeaseEndIgnored);
            if live && hold.term.0 != state.acted {
                step(format!("{name} acts in term {}", hold.term.0), &|s| {
                    if hold.term.0 < s.acted {
                        let (term, newer) = (hold.term.0, s.acted);
                        s.wrong = Some(format!("an act of term {term} after one of term {newer}"));
                    }
                    s.acted = s.acted.max(hold.term.0);
                });
            }
        }
        if state.restarts > 0 {
            step(format!("{name} starts again"), &|s| {
                s.restarts -= 1;
                let (now, contender) = (s.now, &mut s.contenders[at]);
                let fresh = Contender {
                    incarnation: contender.incarnation + 1,
                    highest: 0,
                    tries: contender.tries,
                    round: None,
                    knows: ProposerKnowledge::default(),
                    newest: None,
                    watch: watch(now),
                    hold: None,
                };
                *contender = fresh;
            });
        }
    }
}
