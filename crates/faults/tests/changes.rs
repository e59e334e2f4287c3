//! Two changes of voters at once, by hand: what would come of them, and that it does not.

use cindercleat::fleet::agreed::{Agreed, Change, Holder, Life, Mark, Seat, Voters};
use cindercleat::fleet::planted::{plant, Plant};
use cindercleat::fleet::register::{Ballot, End, Knows, Round, Voter};
use cindercleat::fleet::{Address, Duty, Name, Run};
use std::collections::BTreeMap;

struct Table {
    voters: BTreeMap<Name, Voter>,
}

fn seat(at: u64) -> Seat {
    Seat {
        life: Life(at),
        address: Address::default(),
    }
}

impl Table {
    fn new() -> Table {
        let voter = |(n, at): (&str, u64)| (Name::from(n), Voter::new(Name::from(n), Life(at)));
        Table {
            voters: ["a", "b", "c", "d", "e", "f"]
                .into_iter()
                .zip(1..)
                .map(voter)
                .collect(),
        }
    }

    fn founding() -> Voters {
        let set = ["a", "b", "c", "d"]
            .into_iter()
            .zip(1..)
            .map(|(n, at)| (Name::from(n), seat(at)))
            .collect();
        Voters {
            generation: 1,
            set,
            before: None,
        }
    }

    /// A try whose messages reach some voters in each half; what it ends as, if it ends.
    fn try_with(
        &mut self,
        by: &str,
        round: u64,
        view: Voters,
        change: Change,
        halves: [&str; 2],
    ) -> Option<End> {
        let mut knows = Knows::default();
        let ballot = Ballot {
            round,
            by: Name::from(by),
            run: Run(round),
        };
        let (mut round, mut asks) = Round::begin(ballot, view, change, &knows);
        for half in halves {
            let mut next = Vec::new();
            for (name, seat, ask) in std::mem::take(&mut asks) {
                if half.contains(&*name.0) {
                    let (said, _) = self.voters.get_mut(&name).expect("known").asked(&ask);
                    let (more, end) = round.heard(&name, seat.life, false, Some(&said), &mut knows);
                    next.extend(more);
                    if end.is_some() {
                        return end;
                    }
                }
            }
            asks = next;
        }
        None
    }

    /// What a voter took last.
    fn at(&self, name: &str) -> Agreed {
        self.voters[&Name::from(name)]
            .kept
            .taken
            .clone()
            .expect("it took something")
            .1
    }

    /// Two contenders let another voter in, which alone hears of it, and each goes on with its own half. What is
    /// agreed on in each half.
    fn apart(&mut self) -> [Option<End>; 2] {
        let add = |name: &str, at| Change::AddVoter {
            name: Name::from(name),
            seat: seat(at),
        };
        let holder = |name: &str| Holder {
            name: Name::from(name),
            run: Run(1),
            address: Address::default(),
        };
        let take = |name: &str| Change::Take {
            duty: Duty::from("duty"),
            who: holder(name),
            lease_ms: 1000,
            seen: Mark::default(),
        };
        assert_eq!(
            self.try_with("x", 1, Self::founding(), add("e", 5), ["abc", "e"]),
            None
        );
        assert_eq!(
            self.try_with("y", 2, Self::founding(), add("f", 6), ["acd", "f"]),
            None
        );
        let (with_e, with_f) = (self.at("e").voters, self.at("f").voters);
        [
            self.try_with("x", 3, with_e, take("x"), ["abe", "abe"]),
            self.try_with("y", 4, with_f, take("y"), ["cdf", "cdf"]),
        ]
    }
}

#[test]
fn each_half_of_the_voters_would_agree_on_a_holder_of_its_own() {
    plant(Some(Plant::TwoChanges));
    let ends = Table::new().apart();
    plant(None);
    let [Some(End::Agreed(one)), Some(End::Agreed(other))] = ends else {
        panic!("{ends:?}")
    };
    assert_eq!(one.version, other.version);
    assert_ne!(one, other, "two values of one version");
}

#[test]
fn neither_half_agrees_on_anything_while_the_voters_of_before_count() {
    assert_eq!(Table::new().apart(), [None, None]);
}
