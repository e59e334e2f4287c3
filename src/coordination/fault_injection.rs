//! Deliberate faults that tests inject to verify that the checks detect them. Each thread has at most one injected
//! fault. Without the feature `fault-injection` no fault is ever injected, and [`is_injected`] is a constant.

/// A fault that tests can inject. Each fault switches off one protection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// An acceptor sends its answer before the state that the answer reports is durable.
    AnswerBeforeDurable,
    /// A restarted process reuses ballots of its previous incarnation.
    BallotReused,
    /// A holder measures its lease from the arrival of the answer instead of from its request.
    LeaseCountedFromAnswer,
    /// A contender acquires a lease before the holder's lease has expired.
    LeaseTakenEarly,
    /// The term of a lease stays the same when its holder changes.
    TermNotIncremented,
    /// A receiver executes commands of an older term.
    StaleTermExecuted,
    /// A receiver that has just started executes a command that carries no timestamp of the receiver's process.
    TimestampNotRequired,
    /// The voters can be changed while an earlier change is unfinished, and a change needs no majority of the former
    /// voters.
    ConcurrentVoterChanges,
    /// A holder acts without checking whether its lease has expired.
    LeaseEndIgnored,
    /// An acceptor accepts a value whose ballot is lower than the ballot that it promised.
    PromiseBroken,
    /// A proposer applies its command to an empty state instead of the newest accepted value.
    AcceptedValueIgnored,
    /// A voter that lost its file still votes under the identity that the file contained.
    FileLossIgnored,
    /// A contender's wait for a lease includes time during which the contender's process was suspended.
    SleepCountedAsWait,
    /// Leases and timestamps stay valid although the clock was set back.
    ClockStepBackIgnored,
    /// A permit is sent to its unit before the voters have chosen the state that contains the permit.
    ToldBeforeAgreed,
    /// A permit that was issued but not acknowledged is issued again for another unit.
    TurnTwice,
    /// Failed units do not count as unavailable.
    FailuresUncounted,
    /// A halt is known to the membership leader only and not stored in the replicated state.
    HaltByHolderAlone,
    /// A new membership leader issues permits as if no permits had been issued before.
    BeginsAnew,
    /// The disruption budget is not enforced during a rollback.
    BackUnbound,
    /// An outdated load report counts as spare capacity.
    OldReportTaken,
    /// A disruption counts as over even if the unit returns under another label than the permitted one.
    LabelUnchecked,
}

impl InjectedFault {
    /// Faults in the replicated state, leases and fencing.
    pub const LEASE_FAULTS: [InjectedFault; 14] = [
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

    /// Faults in disruption permits and rollouts.
    pub const ROLLOUT_FAULTS: [InjectedFault; 8] = [
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

/// Injects a fault into the calling thread in place of the previous one; `None` removes it.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

/// Whether `fault` is the fault that is injected into the calling thread.
#[cfg(feature = "fault-injection")]
pub fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

/// Always false, as the feature `fault-injection` is off.
#[cfg(not(feature = "fault-injection"))]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}
