//! The limits and timeouts of a dispatcher whose connections carry one request at a time (HTTP/1.1), derived from what
//! its machine and its settings give it. The fractions and times that they are derived by stand only here.

use crate::client_connection::http1::Http1Settings;
use crate::discovery_client::DiscoverySettings;
use crate::interface::{Discovery, Ms};

/// What a process is given. Times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Files and sockets that may be open at the same time.
    pub file_descriptors: usize,
    /// How long a connection may take to be established.
    pub connect_timeout: Ms,
    /// How the list of endpoints reaches the process.
    pub discovery: Discovery,
    /// How soon the process must notice that an engine drains.
    pub drain_grace: Ms,
    /// Engines close a connection that is idle for this long; `None`: never.
    pub engine_idle_timeout: Option<Ms>,
    /// Requests that may be open at the same time; `None`: as many as connections allow.
    pub max_open_requests: Option<usize>,
    /// The longest time from a request's arrival to its deadline, of all request classes.
    pub longest_time_to_deadline: Ms,
    /// Whether clients ask another dispatcher for the rest of a stream that ends early.
    pub clients_resume: bool,
}

/// The limits that follow. Counts and bytes are upper limits; times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Timeouts of clients' connections.
    pub client_timeouts: Http1Settings,
    /// Connections of clients.
    pub max_client_connections: usize,
    /// Connections to all engines together.
    pub max_engine_connections: usize,
    /// Requests that are open at the same time.
    pub max_open_requests: usize,
    /// A connection to an engine that is idle for this long is closed.
    pub engine_idle_timeout: Ms,
    /// One request's body.
    pub max_body_bytes: usize,
    /// The bodies of all clients' requests together.
    pub max_total_body_bytes: usize,
    /// One chunk of an engine's answer, or an answer that is not chunked.
    pub max_chunk_bytes: usize,
    /// One list of endpoints.
    pub max_list_bytes: usize,
    /// Token messages of a stream that have left its decode engine and not yet reached its client.
    pub stream_window: u32,
    /// A stream that makes no progress for this long is ended.
    pub stall_timeout: Ms,
    /// How long discovery may delay an answer until there is a change (long poll).
    pub discovery_poll_wait: Ms,
    /// Timeouts of the calls to discovery.
    pub discovery: DiscoverySettings,
    /// After the last answer on a client's connection: how long bytes that still come are read before the close.
    pub close_drain_timeout: Ms,
    /// And how many bytes are read then.
    pub max_close_drain_bytes: usize,
    /// After a stop: how long new requests are still accepted.
    pub stop_accept_period: Ms,
    /// After a stop: when streams are ended so that their clients resume elsewhere; `None`: they run to their end.
    pub stop_streams_after: Option<Ms>,
    /// After a stop: how long everything else may run.
    pub stop_grace: Ms,
}

/// File descriptors that belong to no client and no engine: logs, signals, the listener, discovery, and connections
/// that are being closed.
pub const RESERVED_FILE_DESCRIPTORS: usize = 32;

/// The bodies of requests may take the memory divided by this.
const MEMORY_PER_BODIES: f64 = 8.0;

/// The largest body that the platform's protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// One list of endpoints may take the memory divided by this: it holds every engine, of which there are thousands.
const MEMORY_PER_LIST: f64 = 8.0;

/// A list may always be as large as this many bodies.
const MIN_LIST_BODIES: usize = 4;

/// As many bodies are read and dropped at most before a client's connection is closed.
const CLOSE_DRAIN_BODIES: usize = 4;

/// A connection is closed after this fraction of the engines' idle timeout, well before they close it: a request that
/// is written to a connection which the engine is closing is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.4;

/// The platform requires a close within three seconds of the accept, also in the middle of a request, and that idle
/// connections of good clients are kept.
const CLIENT_TIMEOUTS: Http1Settings = Http1Settings {
    first_byte_timeout: 2_000.0,
    request_read_timeout: 2_000.0,
    first_request_timeout: 2_750.0,
    idle_timeout: 10_000.0,
};

/// Token messages of one stream.
const STREAM_WINDOW: u32 = 32;

/// Less than the five seconds that a client may be left without a token.
const STALL_TIMEOUT_MS: Ms = 4_000.0;

/// A dispatcher counts as notified of a change this long after discovery could be reached, whichever calls were lost
/// before (the platform's protocol).
pub const DISCOVERY_NOTIFIED_WITHIN_MS: Ms = 6_000.0;

/// Polled discovery: fractions of the time within which a dispatcher counts as notified. The wait that a poll asks for.
const POLL_WAIT_FRACTION: f64 = 1.0 / 4.0;
/// The timeout of an answer that does not wait, and the longest backoff.
const POLL_ANSWER_FRACTION: f64 = 1.0 / 6.0;
/// The timeout of a snapshot. It is longer, as a service that all dispatchers call at once serves the calls in turn and
/// refuses them after two seconds; a caller that gives up sooner loses an answer and asks for another.
const POLL_SNAPSHOT_FRACTION: f64 = 1.0 / 3.0;

/// Pushed discovery: lists come from an agent on the same machine, and a dispatcher counts as notified at once. The
/// agent answers immediately, so its answer, a connect and a backoff get this fraction of the drain grace each.
const PUSH_ANSWER_FRACTION: f64 = 1.0 / 5.0;
/// The wait that a call to the agent asks for.
const PUSH_WAIT_MS: Ms = 500.0;

/// The first backoff as a fraction of the longest.
const INITIAL_BACKOFF_FRACTION: f64 = 0.1;

/// A client that reads its answer closes within a round trip or two.
const CLOSE_DRAIN_TIMEOUT_MS: Ms = 500.0;

/// The platform's load balancer still sends new connections for a moment after a stop.
const STOP_ACCEPT_PERIOD_MS: Ms = 600.0;

/// The platform may kill the process this long after the longest time to a deadline has passed since the stop.
const KILL_AFTER_DEADLINE_MS: Ms = 700.0;
/// Times to a deadline that are longer count as this much there.
const MAX_COUNTED_TIME_TO_DEADLINE_MS: Ms = 3_000.0;

/// Streams run for this fraction of the time until the kill, so that most end by themselves; the clients of the others
/// have the rest of it to resume elsewhere.
const STOP_STREAMS_FRACTION: f64 = 2.0 / 3.0;

/// Where the process is not killed after a stop: how long streams may run after the last deadline.
const STOP_STREAM_GRACE_MS: Ms = 60_000.0;

impl ResourceLimits {
    /// The limits of a process. `None` if there are too few file descriptors to serve one client.
    pub fn for_process(process: &ProcessLimits) -> Option<ResourceLimits> {
        let usable = process
            .file_descriptors
            .checked_sub(RESERVED_FILE_DESCRIPTORS)?;
        let max_connections = usable / 2;
        if max_connections == 0 {
            return None;
        }
        let (discovery_poll_wait, discovery) = discovery_settings(process);
        Some(ResourceLimits {
            client_timeouts: CLIENT_TIMEOUTS,
            max_client_connections: max_connections,
            max_engine_connections: max_connections,
            max_open_requests: process
                .max_open_requests
                .unwrap_or(max_connections)
                .min(max_connections),
            engine_idle_timeout: process
                .engine_idle_timeout
                .map_or(f64::INFINITY, |idle| IDLE_TIMEOUT_FRACTION * idle),
            max_body_bytes: MAX_BODY_BYTES,
            max_total_body_bytes: (process.memory_bytes / MEMORY_PER_BODIES) as usize,
            max_chunk_bytes: MAX_BODY_BYTES,
            max_list_bytes: ((process.memory_bytes / MEMORY_PER_LIST) as usize)
                .max(MIN_LIST_BODIES * MAX_BODY_BYTES),
            stream_window: STREAM_WINDOW,
            stall_timeout: STALL_TIMEOUT_MS,
            discovery_poll_wait,
            discovery,
            close_drain_timeout: CLOSE_DRAIN_TIMEOUT_MS,
            max_close_drain_bytes: CLOSE_DRAIN_BODIES * MAX_BODY_BYTES,
            stop_accept_period: STOP_ACCEPT_PERIOD_MS,
            stop_streams_after: process
                .clients_resume
                .then_some(STOP_STREAMS_FRACTION * earliest_kill(process)),
            stop_grace: process.longest_time_to_deadline + STOP_STREAM_GRACE_MS,
        })
    }
}

/// The wait that a call to discovery asks for, in milliseconds, and the timeouts of the calls.
fn discovery_settings(process: &ProcessLimits) -> (Ms, DiscoverySettings) {
    match process.discovery {
        Discovery::Pushed => {
            let answer_timeout = PUSH_ANSWER_FRACTION * process.drain_grace;
            let settings = DiscoverySettings {
                connect_timeout: answer_timeout.min(process.connect_timeout),
                first_answer_timeout: answer_timeout,
                silence_timeout: PUSH_WAIT_MS + answer_timeout,
                initial_backoff: INITIAL_BACKOFF_FRACTION * answer_timeout,
                max_backoff: answer_timeout,
                resume_from_known_version: false,
            };
            (PUSH_WAIT_MS, settings)
        }
        Discovery::Polled { notified_within } => {
            let notified_within = notified_within.min(DISCOVERY_NOTIFIED_WITHIN_MS);
            let poll_wait = POLL_WAIT_FRACTION * notified_within;
            let answer_timeout = POLL_ANSWER_FRACTION * notified_within;
            let settings = DiscoverySettings {
                connect_timeout: process.connect_timeout,
                first_answer_timeout: POLL_SNAPSHOT_FRACTION * notified_within,
                silence_timeout: poll_wait + answer_timeout,
                initial_backoff: INITIAL_BACKOFF_FRACTION * answer_timeout,
                max_backoff: answer_timeout,
                resume_from_known_version: true,
            };
            (poll_wait, settings)
        }
    }
}

/// The shortest time in milliseconds from the signal to stop to a kill of the process.
fn earliest_kill(process: &ProcessLimits) -> Ms {
    process
        .longest_time_to_deadline
        .min(MAX_COUNTED_TIME_TO_DEADLINE_MS)
        + KILL_AFTER_DEADLINE_MS
}
