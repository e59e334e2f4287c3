//! Faults that tests inject, one at a time and for one thread, to see that the checks find them. Without the feature
//! `fault-injection` there are none, and nothing is looked up.

/// A guard that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An acceptor answers before the state that the answer states is durable.
    AnswerBeforeDurable,
    /// A process that starts again uses the ballots of the one before.
    BallotReused,
    /// A lease counts from the answer, not from before it was requested.
    LeaseCountedFromAnswer,
    /// A lease is acquired before its holder's lease is over.
    LeaseTakenEarly,
    /// The term stays when the holder changes.
    TermNotIncremented,
    /// A receiver executes commands of an older term.
    StaleTermExecuted,
    /// A receiver that has just started executes a command without its own timestamp.
    TimestampNotRequired,
    /// The voters are changed while a change is not finished, without a majority of those before it.
    ConcurrentVoterChanges,
    /// A holder acts without a look at what is left of its lease.
    LeaseEndIgnored,
    /// An acceptor accepts a value of a lower ballot than it promised.
    PromiseBroken,
    /// A proposer proposes a value of its own in place of the one that was accepted.
    AcceptedValueIgnored,
    /// A voter that lost its file votes under its old identity.
    FileLossIgnored,
    /// A contender counts the time that it slept as waited.
    SleepCountedAsWait,
    /// A clock that was set back leaves leases and timestamps as they were.
    ClockStepBackIgnored,
    /// A permit is sent before it is chosen.
    ToldBeforeAgreed,
    /// A permit that was issued and not acknowledged is issued for another unit.
    TurnTwice,
    /// Failed units do not count as unavailable.
    FailuresUncounted,
    /// The membership leader alone knows of a halt; it is not in the replicated state.
    HaltByHolderAlone,
    /// A new membership leader issues permits as if none were issued.
    BeginsAnew,
    /// The disruption budget does not count during a rollback.
    BackUnbound,
    /// An outdated report of load counts as room.
    OldReportTaken,
    /// A disruption counts as over whatever label its unit comes back under.
    LabelUnchecked,
}

impl InjectedFault {
    /// Faults of the replicated state, leases and fencing.
    pub const ALL: [InjectedFault; 14] = [
        InjectedFault::AnswerBeforeDurable,
        InjectedFault::BallotReused,
        InjectedFault::LeaseCountedFromAnswer,
        InjectedFault::LeaseTakenEarly,
        InjectedFault::TermNotIncremented,
        InjectedFault::StaleTermExecuted,
        InjectedFault::TimestampNotRequired,
        InjectedFault::ConcurrentVoterChanges,
        InjectedFault::LeaseEndIgnored,
        InjectedFault::PromiseBroken,
        InjectedFault::AcceptedValueIgnored,
        InjectedFault::FileLossIgnored,
        InjectedFault::SleepCountedAsWait,
        InjectedFault::ClockStepBackIgnored,
    ];

    /// Faults of disruptions and rollouts.
    pub const OF_RELEASES: [InjectedFault; 8] = [
        InjectedFault::ToldBeforeAgreed,
        InjectedFault::TurnTwice,
        InjectedFault::FailuresUncounted,
        InjectedFault::HaltByHolderAlone,
        InjectedFault::BeginsAnew,
        InjectedFault::BackUnbound,
        InjectedFault::OldReportTaken,
        InjectedFault::LabelUnchecked,
    ];
}

#[cfg(feature = "fault-injection")]
thread_local! {
    static INJECTED: std::cell::Cell<Option<InjectedFault>> = const { std::cell::Cell::new(None) };
}

/// Injects a fault into all that this thread runs, or removes it.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

/// Whether a fault is injected into what this thread runs.
#[cfg(feature = "fault-injection")]
pub fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

/// Whether a fault is injected: never, without the feature.
#[cfg(not(feature = "fault-injection"))]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}
