//! Faults that tests inject into all dispatchers of the process, to check that the simulation detects them. Without
//! the cargo feature `fault-injection` no fault can be injected, and the checks for injected faults compile to
//! `false`.

use cindercleat_protocol::v1::{EndpointList, EndpointStatus};

/// A fault that a test can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum InjectedFault {
    /// No KV state is ever released.
    ReleaseForgotten = 1,
    /// The engine of a cancelled attempt is not sent the cancel.
    CancelLost,
    /// A lost connection is reported as an overload, as if none of its attempts had run.
    ConnectionLossAsOverload,
    /// Endpoints that are draining are removed from received lists.
    DrainingIgnored,
    /// A request that may have run is answered as rejected instead of failed.
    FailureAsRejection,
    /// One of sixteen final answers is not sent.
    FinalAnswerLost,
    /// Tokens are sent to the client twice.
    TokensTwice,
    /// The KV state that a failed prefill attempt may have left is not released.
    FailedPrefillStateKept,
    /// The KV state is not released after a decode engine reports that it could not fetch the state.
    MissingStateKept,
    /// An attempt that was queued for its connection is sent even if its engine has begun to drain.
    DrainSeenLate,
    /// The start times of engines are ignored, so engines in slow start are treated like engines that have
    /// completed it.
    StartTimesIgnored,
    /// Timers of the routing logic fire late.
    TimersLate,
    /// A stop does not wait until KV states are released.
    StopDropsReleases,
}

impl InjectedFault {
    /// All faults, for tests that inject each in turn.
    pub const ALL: [InjectedFault; 13] = [
        InjectedFault::ReleaseForgotten,
        InjectedFault::CancelLost,
        InjectedFault::ConnectionLossAsOverload,
        InjectedFault::DrainingIgnored,
        InjectedFault::FailureAsRejection,
        InjectedFault::FinalAnswerLost,
        InjectedFault::TokensTwice,
        InjectedFault::FailedPrefillStateKept,
        InjectedFault::MissingStateKept,
        InjectedFault::DrainSeenLate,
        InjectedFault::StartTimesIgnored,
        InjectedFault::TimersLate,
        InjectedFault::StopDropsReleases,
    ];
}

#[cfg(feature = "fault-injection")]
static INJECTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Injects a fault into all dispatchers of the process and removes the previous fault. `None` only removes the
/// previous one.
#[cfg(feature = "fault-injection")]
pub fn inject(fault: Option<InjectedFault>) {
    INJECTED.store(
        fault.map_or(0, |fault| fault as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

/// Whether `fault` is currently injected.
#[cfg(feature = "fault-injection")]
pub(crate) fn is_injected(fault: InjectedFault) -> bool {
    INJECTED.load(std::sync::atomic::Ordering::Relaxed) == fault as u8
}

/// Always `false`, because no fault can be injected without the feature `fault-injection`.
#[cfg(not(feature = "fault-injection"))]
pub(crate) const fn is_injected(_: InjectedFault) -> bool {
    false
}

/// Applies the injected fault to a received list. Returns `None` if the list is used unchanged.
pub(crate) fn apply_list_faults(list: &EndpointList) -> Option<EndpointList> {
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
