//! Faults that tests plant, one at a time and for one thread, to see that they are found. Without the feature
//! `planted` there are none, and nothing is looked up.

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A voter answers before what it says lasts.
    SaidBeforeKept,
    /// A process that starts again uses the ballots of the one before.
    BallotAgain,
    /// The lease is counted from the answer, not from before it was asked for.
    LeaseFromAnswer,
    /// A duty is taken without waiting for its holder's lease.
    NoWait,
    /// The term stays when the holder changes.
    TermKept,
    /// A receiver obeys an older term.
    OldTermObeyed,
    /// A receiver that started again obeys whatever comes.
    ReceiverForgot,
    /// The voters are changed while a change is under way, and without the voters of before.
    TwoChanges,
    /// A holder does not look at what is left of its lease when it acts.
    PauseUnnoticed,
    /// A voter takes a value of a ballot lower than it promised.
    PromiseBroken,
    /// A proposer puts its own value in place of the one that was taken.
    ValueOverlooked,
    /// A voter that lost its file votes under its old name.
    LossUnnoticed,
    /// A contender counts the time that it slept through as waited.
    SleptWaiting,
    /// A clock that went back leaves a lease as it was.
    ClockBackUnnoticed,
    /// A turn is told before it is agreed on.
    ToldBeforeAgreed,
    /// A turn that was given and not heard of is given to another.
    TurnTwice,
    /// Those that failed are not counted as out.
    FailuresUncounted,
    /// A halt is known to whoever calls the roll, and not agreed on.
    HaltByHolderAlone,
    /// A new holder gives turns as if none were given.
    BeginsAnew,
    /// On the way back the bounds do not count.
    BackUnbound,
    /// An old report of load is taken for room.
    OldReportTaken,
    /// A turn is over whatever its member comes back under.
    LabelUnchecked,
}

impl InjectedFault {
    pub const ALL: [InjectedFault; 14] = [
        InjectedFault::SaidBeforeKept,
        InjectedFault::BallotAgain,
        InjectedFault::LeaseFromAnswer,
        InjectedFault::NoWait,
        InjectedFault::TermKept,
        InjectedFault::OldTermObeyed,
        InjectedFault::ReceiverForgot,
        InjectedFault::TwoChanges,
        InjectedFault::PauseUnnoticed,
        InjectedFault::PromiseBroken,
        InjectedFault::ValueOverlooked,
        InjectedFault::LossUnnoticed,
        InjectedFault::SleptWaiting,
        InjectedFault::ClockBackUnnoticed,
    ];

    /// Faults of turns and releases.
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

/// Injects a fault into all that this thread runs, or takes it out.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.set(fault);
}

#[cfg(feature = "fault-injection")]
pub fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.get() == Some(fault)
}

#[cfg(not(feature = "fault-injection"))]
pub const fn is_injected(_: InjectedFault) -> bool {
    false
}
