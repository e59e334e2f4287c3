//! An attempt as its engine and its connection's proxy saw it.

use super::*;

#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub engine: String,
    pub stage: Stage,
    pub begun: Ms,
    pub ended: Option<(Ms, AttemptEnd)>,
    /// Events written, by the instant of each.
    pub events: Vec<Ms>,
    pub complete: bool,
    /// When its connection was reset on the way; what was written then may have been lost.
    pub cut: Option<Ms>,
    pub passage: Option<Rc<Passage>>,
}

/// A reset takes along what its reader has not taken yet: what got through so long ago is there.
const ON_ITS_WAY: Ms = 50.0;

impl Attempt {
    /// When something that its engine wrote at an instant had come through to its process; none if it has not.
    pub fn passed_on(&self, written: Ms) -> Option<Ms> {
        self.passage
            .as_ref()
            .map_or(Some(written), |passage| passage.passed_on(written))
    }

    /// Whether what its engine writes has not come through for long. 'Cutting off a stream whose events are still coming loses
    /// the request', and so does 'leaving the client waiting for 5 s': one whose events lie in a silent network has to be ended
    /// between.
    pub fn has_stalled(&self, now: Ms) -> bool {
        let lies = self
            .events
            .last()
            .is_some_and(|last| self.passed_on(*last).is_none());
        let came = self
            .events
            .iter()
            .filter_map(|written| self.passed_on(*written))
            .reduce(f64::max);
        lies && came.is_some_and(|came| now - came >= STALLED_FOR)
    }

    /// Whether what its engine wrote may not have come to its process.
    pub fn is_on_its_way(&self, written: Ms, now: Ms) -> bool {
        self.passed_on(written)
            .is_none_or(|passed| passed > now - ON_ITS_WAY)
    }

    /// When its process knew that it was over, or had ended it itself; none while it is out. What an engine says counts
    /// once it has got through: 'within `release` of the last `attempt_end`' (the wire's rule on what is held).
    pub fn over_at(&self) -> Option<Ms> {
        let closed = self
            .passage
            .as_ref()
            .and_then(|passage| passage.closed_at());
        let ended = self.ended.and_then(|(at, end)| match (end, &self.passage) {
            (AttemptEnd::Served | AttemptEnd::TurnedAway, Some(passage)) => {
                passage.passed_on(at).or(self.cut)
            }
            _ => Some(at),
        });
        match (ended, closed) {
            (Some(ended), Some(closed)) => Some(ended.min(closed)),
            (ended, closed) => ended.or(closed),
        }
    }

    /// When the time of what is held begins to run again: with its end, unless its engine is to notice that and does so
    /// late.
    pub fn stops_waiting_at(&self, over: AttemptOver) -> Option<Ms> {
        let (over_at, noticed) = (self.over_at()?, self.ended.map(|(at, _)| at));
        match over {
            AttemptOver::AtTheClose => Some(over_at),
            AttemptOver::WhenTheEngineNotices => {
                let noticed = noticed?;
                Some(if noticed > over_at + NOTICED_SOON {
                    noticed
                } else {
                    over_at
                })
            }
        }
    }

    /// Whether it is a decode attempt that still waits for its state, or uses it.
    pub fn waits(&self, over: AttemptOver) -> bool {
        let closed = self
            .passage
            .as_ref()
            .is_some_and(|passage| passage.closed_at().is_some());
        let noticed = over == AttemptOver::AtTheClose && closed;
        self.stage == Stage::Decode && self.ended.is_none() && !noticed
    }
}

/// A stream of which nothing has come through for so long has stalled.
const STALLED_FOR: Ms = 3_000.0;
/// An engine that notices within this time that an attempt was closed has done so with the close.
const NOTICED_SOON: Ms = 100.0;
