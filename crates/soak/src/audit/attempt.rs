//! An attempt, as its engine and the proxy of its connection saw it.

use super::*;

/// What the audit has recorded of an attempt.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub engine: String,
    pub stage: Stage,
    /// When the last byte of the attempt arrived at the engine.
    pub begun: Ms,
    /// When and how the attempt ended at its engine; `None` while it runs there.
    pub ended: Option<(Ms, AttemptEnd)>,
    /// When the engine wrote each event.
    pub events: Vec<Ms>,
    /// Whether the engine has written the last chunk of its stream.
    pub complete: bool,
    /// When the proxy reset the connection while data of the engine may still have been in transit.
    pub reset_at: Option<Ms>,
    /// The trace of the attempt's connection; `None` without a proxy.
    pub trace: Option<Rc<ConnectionTrace>>,
}

/// A reset discards data that its receiver has not read yet. Data that the proxy forwarded longer than this before the
/// reset counts as read.
const UNREAD_TIME: Ms = 50.0;

impl Attempt {
    /// When data that the engine wrote at `written` was forwarded to the process; `None` if it was not. Without a proxy
    /// this is `written` itself.
    pub fn forwarded_at(&self, written: Ms) -> Option<Ms> {
        self.trace
            .as_ref()
            .map_or(Some(written), |trace| trace.forwarded_at(written))
    }

    /// Whether events of the engine have been written but none has reached the process for [`STALLED_FOR`]. A process
    /// has to end such a stream, but no other: by the platform's protocol, 'Cutting off a stream whose events are still
    /// coming loses the request', and so does 'leaving the client waiting for 5 s'.
    pub fn has_stalled(&self, now: Ms) -> bool {
        let is_last_event_pending = self
            .events
            .last()
            .is_some_and(|last| self.forwarded_at(*last).is_none());
        let last_forwarded = self
            .events
            .iter()
            .filter_map(|written| self.forwarded_at(*written))
            .reduce(f64::max);
        is_last_event_pending
            && last_forwarded.is_some_and(|forwarded| now - forwarded >= STALLED_FOR)
    }

    /// Whether data that the engine wrote at `written` may not have been read by the process.
    pub fn may_be_unread(&self, written: Ms, now: Ms) -> bool {
        self.forwarded_at(written)
            .is_none_or(|forwarded| forwarded > now - UNREAD_TIME)
    }

    /// When the process knew that the attempt had ended, or ended it itself; `None` while the attempt runs. The end
    /// that an engine reports counts once it has reached the process: 'within `release` of the last `attempt_end`' (the
    /// protocol's rule on held KV states).
    pub fn ended_at(&self) -> Option<Ms> {
        let closed = self.trace.as_ref().and_then(|trace| trace.closed_at());
        let ended = self.ended.and_then(|(at, end)| match (end, &self.trace) {
            (AttemptEnd::Served | AttemptEnd::Rejected, Some(trace)) => {
                trace.forwarded_at(at).or(self.reset_at)
            }
            _ => Some(at),
        });
        match (ended, closed) {
            (Some(ended), Some(closed)) => Some(ended.min(closed)),
            (ended, closed) => ended.or(closed),
        }
    }

    /// The time from which the attempt no longer needs the held KV state. The time for the state's release starts here.
    /// It is the attempt's end. With [`ClosedAttemptEnds::WhenTheEngineNotices`], it is the time at which the engine
    /// notices the close, if the engine notices it late.
    pub fn state_unneeded_from(&self, ends: ClosedAttemptEnds) -> Option<Ms> {
        let (ended_at, noticed) = (self.ended_at()?, self.ended.map(|(at, _)| at));
        match ends {
            ClosedAttemptEnds::AtTheClose => Some(ended_at),
            ClosedAttemptEnds::WhenTheEngineNotices => {
                let noticed = noticed?;
                Some(if noticed > ended_at + NOTICED_AT_ONCE {
                    noticed
                } else {
                    ended_at
                })
            }
        }
    }

    /// Whether the attempt is a decode attempt that still waits for its KV state, or uses it.
    pub fn needs_state(&self, ends: ClosedAttemptEnds) -> bool {
        let closed = self
            .trace
            .as_ref()
            .is_some_and(|trace| trace.closed_at().is_some());
        let noticed = ends == ClosedAttemptEnds::AtTheClose && closed;
        self.stage == Stage::Decode && self.ended.is_none() && !noticed
    }
}

/// A stream counts as stalled when none of its written events has reached the process for this long.
const STALLED_FOR: Ms = 3_000.0;
/// An engine that notices a close within this time counts as noticing it at once.
const NOTICED_AT_ONCE: Ms = 100.0;
