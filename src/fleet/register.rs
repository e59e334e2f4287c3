//! Agreement on one value by ballots, without a log, in the manner of CASPaxos (D. Rystsov, 2018): a proposer asks
//! a majority of the voters for what they took, works its change out on the newest, and has a majority take that.
//!
//! [`Voter`] keeps what it promised and took; what it answers goes out once that lasts. [`Round`] is one try of a
//! proposer. Both are plain state: small enough to be explored through every order of messages.

use super::agreed::{Agreed, Change, Life, Refusal, Seat, Stamp, Voters};
use super::planted::{is, Plant};
use super::{Name, Run};
use std::collections::{BTreeMap, BTreeSet};

/// A try's number. No two processes share one, and no process uses one twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    pub round: u64,
    pub by: Name,
    pub run: Run,
}

/// Writes of each voter that were heard of: a voter that is told of more than its own has an old file.
pub type Writes = BTreeMap<(Name, Life), u64>;

/// What a voter keeps in its file.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Kept {
    pub name: Name,
    pub life: Life,
    /// The voters of the first start, once all of them were heard.
    pub founding: Option<Voters>,
    pub promised: Option<Ballot>,
    pub taken: Option<(Ballot, Agreed)>,
    pub writes: u64,
    /// The others' writes as heard of.
    pub heard: Writes,
}

/// What a proposer asks a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Ask {
    Prepare {
        life: Life,
        ballot: Ballot,
        heard: Writes,
    },
    Take {
        life: Life,
        ballot: Ballot,
        value: Agreed,
        heard: Writes,
    },
}

/// What a voter answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Said {
    Promise {
        ballot: Ballot,
        taken: Option<(Ballot, Agreed)>,
        writes: u64,
    },
    Took {
        ballot: Ballot,
        writes: u64,
    },
    /// It promised another.
    Outbid {
        promised: Ballot,
    },
    /// It does not vote, or not under this life.
    NoVote,
}

/// One voter. The caller has [`Voter::kept`] last before it passes an answer on that says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    pub kept: Kept,
    /// It may vote: its file is new, or others confirmed that it is not an old one.
    pub votes: bool,
}

impl Voter {
    /// With a new file.
    pub fn new(name: Name, life: Life) -> Self {
        let kept = Kept {
            name,
            life,
            founding: None,
            promised: None,
            taken: None,
            writes: 0,
            heard: Writes::new(),
        };
        Voter { kept, votes: true }
    }

    /// With the file of an earlier process. It does not vote before others were asked whether it is old, unless
    /// it never said anything.
    pub fn back(kept: Kept) -> Self {
        let votes = kept.promised.is_none();
        Voter { kept, votes }
    }

    /// The answer, and whether the file has to be written before it is given.
    pub fn asked(&mut self, ask: &Ask) -> (Said, bool) {
        let (life, ballot, heard) = match ask {
            Ask::Prepare {
                life,
                ballot,
                heard,
            }
            | Ask::Take {
                life,
                ballot,
                heard,
                ..
            } => (life, ballot, heard),
        };
        let known = is(Plant::LossUnnoticed) || *life == self.kept.life;
        if !known || !self.votes || self.is_old(heard) {
            return (Said::NoVote, false);
        }
        for (who, writes) in heard {
            if who.0 != self.kept.name {
                let best = self.kept.heard.entry(who.clone()).or_default();
                *best = (*best).max(*writes);
            }
        }
        let promised = self.kept.promised.as_ref();
        match ask {
            Ask::Prepare { .. } => {
                if let Some(promised) = promised.filter(|p| *p > ballot) {
                    return (
                        Said::Outbid {
                            promised: promised.clone(),
                        },
                        false,
                    );
                }
                let new = promised != Some(ballot);
                if new {
                    self.kept.promised = Some(ballot.clone());
                    self.kept.writes += 1;
                }
                let taken = self.kept.taken.clone();
                (
                    Said::Promise {
                        ballot: ballot.clone(),
                        taken,
                        writes: self.kept.writes,
                    },
                    true,
                )
            }
            Ask::Take { value, .. } => {
                if let Some(promised) =
                    promised.filter(|p| *p > ballot && !is(Plant::PromiseBroken))
                {
                    return (
                        Said::Outbid {
                            promised: promised.clone(),
                        },
                        false,
                    );
                }
                if self.kept.taken.as_ref().is_none_or(|(at, _)| at != ballot) {
                    self.kept.promised = Some(ballot.clone());
                    self.kept.taken = Some((ballot.clone(), value.clone()));
                    self.kept.writes += 1;
                }
                (
                    Said::Took {
                        ballot: ballot.clone(),
                        writes: self.kept.writes,
                    },
                    true,
                )
            }
        }
    }

    /// Whether somebody heard of writes that this file does not have: it must not vote, as it forgot what it said.
    pub fn is_old(&mut self, heard: &Writes) -> bool {
        let mine = heard.get(&(self.kept.name.clone(), self.kept.life));
        let old = mine.is_some_and(|writes| *writes > self.kept.writes);
        self.votes &= !old;
        old
    }
}

/// One try to make a change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Round {
    pub ballot: Ballot,
    pub change: Change,
    view: Voters,
    promises: BTreeMap<(Name, Life), Option<(Ballot, Agreed)>>,
    took: BTreeSet<(Name, Life)>,
    against: BTreeSet<(Name, Life)>,
    asked: BTreeSet<(Name, Life)>,
    /// Once a majority promised: what it is to take, and the voters before and after it.
    value: Option<Agreed>,
}

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It is agreed on.
    Agreed(Agreed),
    /// The change is not to be made; what it was worked out on.
    Refused(Refusal, Agreed),
    /// Others are ahead: the highest ballot heard of.
    Outbid(Option<Ballot>),
}

/// What a proposer knows besides its try.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Knows {
    /// The voters of a value that is known to be agreed on.
    pub settled: Option<Voters>,
    pub heard: Writes,
}

type Asks = Vec<(Name, Seat, Ask)>;

impl Round {
    /// `view`: the voters as the proposer knows them; an old view does no harm.
    pub fn begin(ballot: Ballot, view: Voters, change: Change, knows: &Knows) -> (Round, Asks) {
        let mut round = Round {
            ballot,
            change,
            view,
            promises: BTreeMap::new(),
            took: BTreeSet::new(),
            against: BTreeSet::new(),
            asked: BTreeSet::new(),
            value: None,
        };
        let asks = round.prepares(knows);
        (round, asks)
    }

    /// Prepares to those in view that were not asked yet.
    fn prepares(&mut self, knows: &Knows) -> Asks {
        let mut asks = Asks::new();
        for (name, seat) in self.view.all() {
            if self.asked.insert((name.clone(), seat.life)) {
                let (life, ballot, heard) = (seat.life, self.ballot.clone(), knows.heard.clone());
                asks.push((
                    name,
                    seat,
                    Ask::Prepare {
                        life,
                        ballot,
                        heard,
                    },
                ));
            }
        }
        asks
    }

    /// A voter's answer came, or (`None`) will not come: to a question of the second half, if `taking`. Gives what to
    /// ask further, and the end if this is it.
    pub fn heard(
        &mut self,
        from: &Name,
        life: Life,
        taking: bool,
        said: Option<&Said>,
        knows: &mut Knows,
    ) -> (Asks, Option<End>) {
        let who = (from.clone(), life);
        let answered = if taking {
            self.took.contains(&who)
        } else {
            self.promises.contains_key(&who)
        };
        // What was asked more than once may be answered once; and what the first half lacked the second need not.
        if said.is_none() && (answered || taking != self.value.is_some()) {
            return (Asks::new(), None);
        }
        match said {
            Some(Said::Promise {
                ballot,
                taken,
                writes,
            }) if *ballot == self.ballot => {
                heard_of(knows, &who, *writes);
                // A promise that is late tells nothing: what it knew then was asked for by another.
                if self.value.is_none() {
                    self.promises.insert(who, taken.clone());
                }
            }
            Some(Said::Took { ballot, writes }) if *ballot == self.ballot => {
                heard_of(knows, &who, *writes);
                if self.value.is_some() {
                    self.took.insert(who);
                }
            }
            Some(Said::Outbid { promised }) if *promised > self.ballot => {
                self.against.insert(who);
                if !self.possible() {
                    return (Asks::new(), Some(End::Outbid(Some(promised.clone()))));
                }
            }
            Some(Said::NoVote) | None => {
                self.against.insert(who);
                if !self.possible() {
                    return (Asks::new(), Some(End::Outbid(None)));
                }
            }
            _ => return (Asks::new(), None),
        }
        match &self.value {
            None => self.promised(knows),
            Some(value) => {
                let took =
                    |name: &Name, seat: &Seat| self.took.contains(&(name.clone(), seat.life));
                if self.view.majority(took) && value.voters.majority(took) {
                    knows.settled = Some(value.voters.clone());
                    return (Asks::new(), Some(End::Agreed(value.clone())));
                }
                (Asks::new(), None)
            }
        }
    }

    /// Whether those that are not against it can still be enough.
    fn possible(&self) -> bool {
        let open = |name: &Name, seat: &Seat| !self.against.contains(&(name.clone(), seat.life));
        self.view.majority(open) && self.value.as_ref().is_none_or(|v| v.voters.majority(open))
    }

    fn promised(&mut self, knows: &Knows) -> (Asks, Option<End>) {
        let newest = self
            .promises
            .values()
            .flatten()
            .max_by(|a, b| a.0.cmp(&b.0));
        // The voters are those of the newest value seen, whether it is agreed on or not: a majority of them is
        // asked as well before anything is worked out.
        if let Some((_, seen)) = newest.filter(|(_, seen)| seen.voters != self.view) {
            self.view = seen.voters.clone();
        }
        let promised =
            |name: &Name, seat: &Seat| self.promises.contains_key(&(name.clone(), seat.life));
        if !self.view.majority(promised) {
            return (self.prepares(knows), None);
        }
        let base = match newest {
            Some((_, value)) if !is(Plant::ValueOverlooked) => value.clone(),
            _ => Agreed {
                voters: self.view.clone(),
                ..Agreed::default()
            },
        };
        let settled = knows.settled.as_ref() == Some(&base.voters);
        let stamp = Stamp {
            round: self.ballot.round,
            run: self.ballot.run,
        };
        let value = match base.after(&self.change, stamp, settled) {
            Ok(value) => value,
            Err(why) => return (Asks::new(), Some(End::Refused(why, base))),
        };
        // Whoever voted before a change of voters and whoever does after it are all asked.
        let mut to = self.view.all();
        self.against.clear();
        to.extend(value.voters.all());
        self.value = Some(value.clone());
        let ask = |(name, seat): (Name, Seat)| {
            let (ballot, heard) = (self.ballot.clone(), knows.heard.clone());
            let ask = Ask::Take {
                life: seat.life,
                ballot,
                value: value.clone(),
                heard,
            };
            (name, seat, ask)
        };
        (to.into_iter().map(ask).collect(), None)
    }
}

fn heard_of(knows: &mut Knows, who: &(Name, Life), writes: u64) {
    let best = knows.heard.entry(who.clone()).or_default();
    *best = (*best).max(writes);
}
