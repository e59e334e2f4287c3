//! Faults that tests plant into the ledger, one at a time, to see that they are found. Without the feature
//! `planted` there are none, and nothing is looked up.

use cindercleat_protocol::v1::{EndpointList, EndpointStatus};

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Plant {
    /// No state is ever let go.
    ReleaseForgotten = 1,
    /// Engines do not hear that an attempt is called off.
    CancelLost,
    /// A broken connection counts as proof that nothing ran.
    BrokenAsFull,
    /// Lines of the list that say draining are passed over.
    DrainUnread,
    /// What may have run is rejected.
    FailureAsRejection,
    /// One final answer in sixteen is not given.
    FinalLost,
    /// Tokens go out twice.
    TokensTwice,
    /// The state of a read that broke is kept.
    BrokenReadKept,
    /// The state that a decode engine did not find is kept.
    NoStateKept,
    /// An attempt that waits for its connection goes out whatever was learned meanwhile.
    DrainReadLate,
    /// Cold engines are taken for warm.
    StartsUntold,
    /// The decisions' timers are late.
    TimersLate,
    /// A stop does not wait for its releases.
    StopDropsReleases,
}

impl Plant {
    pub const ALL: [Plant; 13] = [
        Plant::ReleaseForgotten,
        Plant::CancelLost,
        Plant::BrokenAsFull,
        Plant::DrainUnread,
        Plant::FailureAsRejection,
        Plant::FinalLost,
        Plant::TokensTwice,
        Plant::BrokenReadKept,
        Plant::NoStateKept,
        Plant::DrainReadLate,
        Plant::StartsUntold,
        Plant::TimersLate,
        Plant::StopDropsReleases,
    ];
}

#[cfg(feature = "planted")]
static PLANTED: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(0);

/// Plants a fault in every ledger of the process, or takes it out.
#[cfg(feature = "planted")]
pub fn plant(plant: Option<Plant>) {
    PLANTED.store(
        plant.map_or(0, |p| p as u8),
        std::sync::atomic::Ordering::SeqCst,
    );
}

#[cfg(feature = "planted")]
pub(crate) fn is(plant: Plant) -> bool {
    PLANTED.load(std::sync::atomic::Ordering::Relaxed) == plant as u8
}

#[cfg(not(feature = "planted"))]
pub(crate) const fn is(_: Plant) -> bool {
    false
}

/// The list as a planted fault has it read; none if it is read as it is.
pub(crate) fn list(list: &EndpointList) -> Option<EndpointList> {
    if !is(Plant::DrainUnread) && !is(Plant::StartsUntold) {
        return None;
    }
    let mut list = list.clone();
    if is(Plant::DrainUnread) {
        list.endpoints
            .retain(|line| line.status() != EndpointStatus::Draining);
    } else {
        list.endpoints
            .iter_mut()
            .for_each(|line| line.started_ms = None);
    }
    Some(list)
}
