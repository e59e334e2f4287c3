//! Two changes of voters at once, by hand: what would come of them, and that it does not.

use cindercleat::coordination::fault_injection::{inject, InjectedFault};
use cindercleat::coordination::register::{
    Acceptor, Ballot, OutgoingRequest, Phase, Proposal, ProposalOutcome, ProposerKnowledge,
};
use cindercleat::coordination::state::{
    Command, LeaseHolder, LeaseVersion, ReplicatedState, VoterId, VoterRecord, Voters,
};
use cindercleat::coordination::{Address, Incarnation, LeaseName, Name};
use std::collections::BTreeMap;

struct Table {
    voters: BTreeMap<Name, Acceptor>,
}

fn voter_record(at: u64) -> VoterRecord {
    VoterRecord {
        voter_id: VoterId(at),
        address: Address::default(),
    }
}

impl Table {
    fn new() -> Table {
        let voter =
            |(n, at): (&str, u64)| (Name::from(n), Acceptor::new(Name::from(n), VoterId(at)));
        Table {
            voters: ["a", "b", "c", "d", "e", "f"]
                .into_iter()
                .zip(1..)
                .map(voter)
                .collect(),
        }
    }

    fn bootstrap() -> Voters {
        let set = ["a", "b", "c", "d"]
            .into_iter()
            .zip(1..)
            .map(|(n, at)| (Name::from(n), voter_record(at)))
            .collect();
        Voters {
            generation: 1,
            records: set,
            former: None,
        }
    }

    /// A try whose messages reach some voters in each half; what it ends as, if it ends.
    fn try_with(
        &mut self,
        by: &str,
        round: u64,
        view: Voters,
        change: Command,
        halves: [&str; 2],
    ) -> Option<ProposalOutcome> {
        let mut knows = ProposerKnowledge::default();
        let ballot = Ballot {
            round,
            by: Name::from(by),
            incarnation: Incarnation(round),
        };
        let (mut round, mut asks) = Proposal::begin(ballot, view, change, &knows);
        for half in halves {
            let mut next = Vec::new();
            for OutgoingRequest {
                to: name,
                voter_record,
                request: ask,
            } in std::mem::take(&mut asks)
            {
                if half.contains(&*name.0) {
                    let answer = self.voters.get_mut(&name).expect("known").handle(&ask);
                    let step = round.handle_reply(
                        (name, voter_record.voter_id),
                        Phase::Prepare,
                        Some(&answer.reply),
                        &mut knows,
                    );
                    next.extend(step.requests);
                    if step.outcome.is_some() {
                        return step.outcome;
                    }
                }
            }
            asks = next;
        }
        None
    }

    /// What a voter took last.
    fn at(&self, name: &str) -> ReplicatedState {
        self.voters[&Name::from(name)]
            .state
            .accepted
            .clone()
            .expect("it took something")
            .1
    }

    /// Two contenders let another voter in, which alone hears of it, and each goes on with its own half. What is
    /// agreed on in each half.
    fn apart(&mut self) -> [Option<ProposalOutcome>; 2] {
        let add = |name: &str, at| Command::AddVoter {
            name: Name::from(name),
            voter_record: voter_record(at),
        };
        let holder = |name: &str| LeaseHolder {
            name: Name::from(name),
            incarnation: Incarnation(1),
            address: Address::default(),
        };
        let take = |name: &str| Command::Acquire {
            lease_name: LeaseName::from("duty"),
            holder: holder(name),
            lease_ms: 1000,
            expected_version: LeaseVersion::default(),
        };
        assert_eq!(
            self.try_with("x", 1, Self::bootstrap(), add("e", 5), ["abc", "e"]),
            None
        );
        assert_eq!(
            self.try_with("y", 2, Self::bootstrap(), add("f", 6), ["acd", "f"]),
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
    inject(Some(InjectedFault::ConcurrentVoterChanges));
    let ends = Table::new().apart();
    inject(None);
    let [Some(ProposalOutcome::Chosen(one)), Some(ProposalOutcome::Chosen(other))] = ends else {
        panic!("{ends:?}")
    };
    assert_eq!(one.version, other.version);
    assert_ne!(one, other, "two values of one version");
}

#[test]
fn neither_half_agrees_on_anything_while_the_voters_of_before_count() {
    assert_eq!(Table::new().apart(), [None, None]);
}
