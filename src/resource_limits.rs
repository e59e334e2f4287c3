//! What a dispatcher on a machine of its own allows itself where connections carry one call at a time: every
//! bound and time of its connections, from what its machine and its settings give it. Shares and times stand
//! here and nowhere else.

use crate::client_connection::http1::Http1Settings;
use crate::discovery_client::DiscoverySettings;
use crate::interface::{Discovery, Ms};

/// What it is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// In bytes.
    pub memory: f64,
    pub descriptors: usize,
    /// How long a connection may take to come up.
    pub connect_timeout: Ms,
    /// How the list reaches it, and how soon it must heed that an engine drains.
    pub discovery: Discovery,
    pub drain_grace: Ms,
    /// An engine closes a connection that rests for this long.
    pub engine_idle: Option<Ms>,
    /// Tasks that may be open at once.
    pub most_held: Option<usize>,
    /// The longest deadline of a class.
    pub longest_deadline: Ms,
    /// Whether clients ask for the rest of a stream that ends before its end.
    pub clients_resume: bool,
}

/// What it allows itself. Counts and bytes are upper limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    pub clients: Http1Settings,
    pub most_clients: usize,
    pub max_connections: usize,
    pub max_open_requests: usize,
    /// A connection to an engine that rests is closed after this long.
    pub connection_idle: Ms,
    /// One client's body, and all of them together.
    pub most_body: usize,
    pub most_bodies: usize,
    /// A chunk of an engine's answer, and an answer that is no stream.
    pub most_chunk: usize,
    pub most_list: usize,
    /// Token messages of a stream between its decode engine and its client.
    pub window: u32,
    /// A stream that does not go on for this long is ended.
    pub stall: Ms,
    /// How long the list feed may wait with an answer, and the times of the calls to it.
    pub feed_wait: Ms,
    pub feed: DiscoverySettings,
    /// After the last answer on a client's connection: for how long, and how many bytes of, what still comes is
    /// taken before the close.
    pub drain: Ms,
    pub most_drained: usize,
    /// After a stop: for how long what comes is taken, when streams are ended for their clients to come back
    /// elsewhere, and how long all else may run.
    pub stop_notice: Ms,
    pub stop_moves: Option<Ms>,
    pub stop_grace: Ms,
}

/// Descriptors for what is neither a client's nor an engine's: logs, signals, the listener, the list feed, and
/// connections on their way out.
pub const OWN_DESCRIPTORS: usize = 32;
/// The part of the memory that clients' bodies may take.
const BODIES_PART: f64 = 8.0;
/// The largest body of the platform's protocol.
const MOST_BODY: usize = 256 << 10;
/// The part of the memory that a list may take, which holds every engine: some thousands of them. It is no less than this
/// many bodies.
const LIST_PART: f64 = 8.0;
const LIST_BODIES: usize = 4;
/// The part of the engines' idle time for which a connection rests here: well before they close it, so that no
/// request is written to one that dies.
const REST_PART: f64 = 0.4;
/// Clients are owed a close within three seconds of connecting, also in the middle of a request, and keep good
/// connections.
const CLIENTS: Http1Settings = Http1Settings {
    first: 2_000.0,
    whole: 2_000.0,
    first_whole: 2_750.0,
    rest: 10_000.0,
};
const WINDOW: u32 = 32;
/// Under the five seconds for which a client may be left waiting.
const STALL: Ms = 4_000.0;
/// What discovery has to tell counts as told so long after it could be reached (the platform's protocol, and its
/// standing test: whatever calls were lost before).
pub const TOLD_WITHIN: Ms = 6_000.0;
/// Where lists are asked for: parts of that, or of what the settings say if that is less, for the wait that a call
/// asks for, for an answer without a wait, and between two calls.
/// The whole list has longer: a service that all ask at once takes its calls in turn and refuses them after two seconds;
/// whoever gives up sooner loses an answer that was on its way, and asks for another.
const ASKED_WAIT: f64 = 1.0 / 4.0;
const ASKED_ANSWER: f64 = 1.0 / 6.0;
const ASKED_WHOLE: f64 = 1.0 / 3.0;
/// Where lists are pushed to an agent on this machine, what it has counts as told at once: parts of the drain grace
/// for an answer, a connect, and between two calls. It answers immediately, and at no cost.
const PUSHED_ANSWER: f64 = 1.0 / 5.0;
const PUSHED_WAIT: Ms = 500.0;
/// Two dispatchers that lose discovery together do not come back to it together.
const AGAIN_FIRST: f64 = 0.1;
/// A client that reads its answer closes within a round trip or two.
const DRAIN: Ms = 500.0;
/// The front deals out connections for a moment after a stop. The process may be killed so long after the longest
/// deadline, counted as 3 s where it is longer (the platform's protocol). Streams go on for a part of that, so that most
/// end by themselves and the others go on elsewhere; their clients have the rest of it to come back.
const STOP_NOTICE: Ms = 600.0;
const KILL_AFTER: Ms = 700.0;
const LONGEST_COUNTED: Ms = 3_000.0;
const STOP_MOVES_PART: f64 = 2.0 / 3.0;
/// Where a stop is not ended by a kill: for how long streams go on after the last deadline.
const STOP_STREAMS: Ms = 60_000.0;

impl ResourceLimits {
    /// None if there are too few descriptors for any work.
    pub fn of(given: &ProcessLimits) -> Option<ResourceLimits> {
        let share = given.descriptors.checked_sub(OWN_DESCRIPTORS)? / 2;
        let (feed_wait, answer, whole, connect) = match given.discovery {
            Discovery::Pushed => {
                let answer = PUSHED_ANSWER * given.drain_grace;
                (
                    PUSHED_WAIT,
                    answer,
                    answer,
                    answer.min(given.connect_timeout),
                )
            }
            Discovery::Polled { notified_within } => {
                let told = notified_within.min(TOLD_WITHIN);
                (
                    ASKED_WAIT * told,
                    ASKED_ANSWER * told,
                    ASKED_WHOLE * told,
                    given.connect_timeout,
                )
            }
        };
        let feed = DiscoverySettings {
            connect,
            first_quiet: whole,
            quiet: feed_wait + answer,
            again_first: AGAIN_FIRST * answer,
            again_most: answer,
            resumes: matches!(given.discovery, Discovery::Polled { .. }),
        };
        (share > 0).then(|| ResourceLimits {
            clients: CLIENTS,
            most_clients: share,
            max_connections: share,
            max_open_requests: given.most_held.unwrap_or(share).min(share),
            connection_idle: given
                .engine_idle
                .map_or(f64::INFINITY, |idle| REST_PART * idle),
            most_body: MOST_BODY,
            most_bodies: (given.memory / BODIES_PART) as usize,
            most_chunk: MOST_BODY,
            most_list: ((given.memory / LIST_PART) as usize).max(LIST_BODIES * MOST_BODY),
            window: WINDOW,
            stall: STALL,
            feed_wait,
            feed,
            drain: DRAIN,
            most_drained: LIST_BODIES * MOST_BODY,
            stop_notice: STOP_NOTICE,
            stop_moves: given
                .clients_resume
                .then_some(STOP_MOVES_PART * earliest_kill(given)),
            stop_grace: given.longest_deadline + STOP_STREAMS,
        })
    }
}

/// How long after the signal to stop the process may be killed.
fn earliest_kill(given: &ProcessLimits) -> Ms {
    given.longest_deadline.min(LONGEST_COUNTED) + KILL_AFTER
}
