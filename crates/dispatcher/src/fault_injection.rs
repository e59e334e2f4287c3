//! Faults that exist for tests to find: a test injects one into every dispatcher of the process and checks that the
//! simulation detects it. Without the cargo feature `planted` no fault can be injected and nothing is looked up.

use cindercleat_protocol::v1::{EndpointList, EndpointStatus};

/// A fault that a test can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum InjectedFault {
    /// No KV state is ever released.
    ReleaseForgotten = 1,
    /// Engines are not told that an attempt is cancelled.
    CancelLost,
    /// A lost connection counts as proof that nothing ran.
    ConnectionLossAsOverload,
    /// Endpoints that are draining are left out of the list.
    DrainingIgnored,
    /// A request that may have run is rejected instead of failed.
    FailureAsRejection,
    /// One final answer in sixteen is not sent.
    FinalAnswerLost,
    /// Tokens are sent to the client twice.
    TokensTwice,
    /// The KV state of a prefill attempt that broke is not released.
    BrokenPrefillStateKept,
    /// A KV state that the decode engine did not find still counts as held.
    MissingStateKept,
    /// An attempt that waits for its connection is sent even if its engine has begun to drain meanwhile.
    DrainSeenLate,
    /// Start times of engines are ignored, so that cold engines count as warm.
    StartTimesIgnored,
    /// Timers of the routing decisions fire late.
    TimersLate,
    /// A stop does not wait for the releases of KV states.
    StopDropsReleases,
}

impl InjectedFault {
    /// Each fault once.
    pub const ALL: [InjectedFault; 13] = [
        InjectedFault::ReleaseForgotten,
        InjectedFault::CancelLost,
        InjectedFault::ConnectionLossAsOverload,
        InjectedFault::DrainingIgnored,
        InjectedFault::FailureAsRejection,
        InjectedFault::FinalAnswerLost,
        InjectedFault::TokensTwice,
        InjectedFault::BrokenPrefillStateKept,
        InjectedFault::MissingStateKept,
        InjectedFault::DrainSeenLate,
        InjectedFault::StartTimesIgnored,
        InjectedFault::TimersLate,
        InjectedFault::StopDropsReleases,
    ];
}

#[cfg(feature = "fault-injection")]
static INJECTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Injects a fault into every dispatcher of the process; `None` removes it.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.store(
        fault.map_or(0, |fault| fault as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

/// Whether the fault is injected now.
#[cfg(feature = "fault-injection")]
pub(crate) fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// No fault can be injected without the feature.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_: InjectedFault) -> bool {
    false
}

/// The list as the injected fault changes it; `None` if it is taken unchanged.
pub(crate) fn altered_list(list: &EndpointList) -> Option<EndpointList> {
    if !is_injected(InjectedFault::DrainingIgnored)
        && !is_injected(InjectedFault::StartTimesIgnored)
    {
        return None;
    }
    let mut list = list.clone();
    if is_injected(InjectedFault::DrainingIgnored) {
        list.endpoints
            .retain(|endpoint| endpoint.status() != EndpointStatus::Draining);
    } else {
        list.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.started_ms = None);
    }
    Some(list)
}
