//! Derives the limits and timeouts of a dispatcher whose connections carry one request at a time (HTTP/1.1) from the
//! resources of its process and from its settings. All constants of this derivation are defined in this module.

use crate::client_connection::http1::Http1Settings;
use crate::discovery_client::DiscoverySettings;
use crate::interface::{Discovery, Ms};

/// The resources and settings that limits are derived from. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: f64,
    /// Number of files and sockets that the process may have open at the same time.
    pub file_descriptors: usize,
    /// Milliseconds within which a connection has to be established.
    pub connect_timeout: Ms,
    /// How the process receives the list of endpoints.
    pub discovery: Discovery,
    /// Milliseconds for which an engine still accepts attempts after the notice of its drain. Afterwards it accepts
    /// none, so the process has to learn of the drain within this time.
    pub drain_grace: Ms,
    /// Milliseconds after which engines close an idle connection; `None` if they never do.
    pub engine_idle_timeout: Option<Ms>,
    /// Maximum number of open requests; `None` if only the number of connections limits it.
    pub max_open_requests: Option<usize>,
    /// The longest time to deadline of all request classes, counted from the arrival of a request.
    pub longest_time_to_deadline: Ms,
    /// Whether clients request the rest of a stream that ends early from another dispatcher.
    pub clients_resume: bool,
}

/// The limits of a process. Counts and sizes are upper limits; times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Timeouts after which connections of clients are closed.
    pub client_timeouts: Http1Settings,
    /// Maximum number of connections from clients that are open at the same time.
    pub max_client_connections: usize,
    /// Maximum number of connections to engines that are open at the same time, all engines together.
    pub max_engine_connections: usize,
    /// Maximum number of requests that are open at the same time.
    pub max_open_requests: usize,
    /// A connection to an engine is closed after it has been idle for this long; infinite if engines never close idle
    /// connections.
    pub engine_idle_timeout: Ms,
    /// A connection to an engine carries no other attempt for this long after an attempt.
    pub engine_reuse_delay: Ms,
    /// Maximum size in bytes of the body of one request.
    pub max_body_bytes: usize,
    /// Maximum number of bytes that the requests of all clients hold together, those that are still arriving included.
    pub max_total_body_bytes: usize,
    /// Maximum number of bytes that the responses of all engines hold together until they are written to their clients.
    pub max_total_response_bytes: usize,
    /// Maximum size in bytes of one chunk of an engine's answer, or of an answer that is not chunked.
    pub max_chunk_bytes: usize,
    /// Maximum size in bytes of one list of endpoints.
    pub max_list_bytes: usize,
    /// Maximum number of engines in one list of endpoints.
    pub max_listed_engines: usize,
    /// Maximum number of token messages of one stream that are on the way from the decode engine to the client.
    pub stream_window: u32,
    /// A stream that makes no progress for this long is ended.
    pub stall_timeout: Ms,
    /// How long discovery may delay an answer until there is a change (long polling).
    pub discovery_poll_wait: Ms,
    /// Timeouts and backoffs of calls to discovery.
    pub discovery: DiscoverySettings,
    /// How long incoming bytes are still read and discarded after the last answer on a client's connection, before the
    /// connection is closed.
    pub close_drain_timeout: Ms,
    /// Maximum number of incoming bytes that are read and discarded after the last answer on a client's connection,
    /// before the connection is closed.
    pub max_close_drain_bytes: usize,
    /// How long new requests are still accepted after a stop signal.
    pub stop_accept_period: Ms,
    /// How long after a stop signal streams are ended, so that their clients resume at another dispatcher; `None` if
    /// streams run to their end.
    pub stop_streams_after: Option<Ms>,
    /// How long all work that is not ended earlier may run after a stop signal.
    pub stop_grace: Ms,
}

/// File descriptors reserved for logs, signals, the listener, discovery and connections that are being closed.
pub const RESERVED_FILE_DESCRIPTORS: usize = 32;

/// All requests together may use the memory of the process divided by this.
const BODIES_MEMORY_DIVISOR: f64 = 8.0;

/// All responses of engines together may use the memory of the process divided by this.
const RESPONSES_MEMORY_DIVISOR: f64 = 8.0;

/// The largest body that the platform's protocol allows, in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// A list of endpoints may use the memory of the process divided by this. The list contains every engine, of which
/// there may be thousands.
const LIST_MEMORY_DIVISOR: f64 = 8.0;

/// The memory that an engine of the list uses, in bytes. Entries may be many times larger in memory than in the list.
const LISTED_ENGINE_BYTES: usize = 1 << 10;

/// The size limit of a list of endpoints is at least this many times the maximum body size.
const MIN_LIST_BODIES: usize = 4;

/// Before a client's connection is closed, at most this many times the maximum body size is read and discarded.
const MAX_CLOSE_DRAIN_BODIES: usize = 4;

/// An idle connection to an engine is closed after this fraction of the engine's own idle timeout. This is well before
/// the engine closes it, because a request written to a connection that the engine is closing is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.4;

/// A connection to an engine carries no attempt for this long after the answer to one. An answer over HTTP/1.1 does not name its request, and
/// the platform's engines may send a second one some milliseconds after the first.
const ENGINE_REUSE_DELAY_MS: Ms = 100.0;

/// The platform requires that a connection without a complete request is closed within three seconds of the accept,
/// also in the middle of a request. It also requires that idle connections of well-behaved clients are kept.
const CLIENT_TIMEOUTS: Http1Settings = Http1Settings {
    first_byte_timeout: 2_000.0,
    request_read_timeout: 2_000.0,
    first_request_timeout: 2_750.0,
    idle_timeout: 10_000.0,
};

/// Token messages of one stream that may be on the way from the decode engine to the client.
const STREAM_WINDOW: u32 = 32;

/// A stream without progress for this long is ended. The platform allows at most five seconds without a token.
const STALL_TIMEOUT_MS: Ms = 4_000.0;

/// By the platform's protocol, a dispatcher counts as notified of a change this long after discovery became reachable,
/// whichever calls were lost before.
pub const DISCOVERY_NOTIFIED_WITHIN_MS: Ms = 6_000.0;

/// Polled discovery: how long a poll asks discovery to wait for a change before it answers, as a fraction of the time
/// after which a dispatcher counts as notified.
const POLL_WAIT_FRACTION: f64 = 1.0 / 4.0;
/// Polled discovery: how much longer an answer may take than the wait that the poll asks for. The longest backoff is
/// the same. A fraction of the time after which a dispatcher counts as notified.
const POLL_ANSWER_FRACTION: f64 = 1.0 / 6.0;
/// Polled discovery: the timeout of a snapshot, as a fraction of the time after which a dispatcher counts as notified.
/// It is longer than for other answers: if all dispatchers call at once, discovery serves the calls one after another
/// and refuses those that have waited for two seconds. A caller that gives up sooner loses its answer and has to call
/// again.
const POLL_SNAPSHOT_FRACTION: f64 = 1.0 / 3.0;

/// Pushed discovery: lists come from an agent on the same machine, and a dispatcher counts as notified as soon as the
/// agent has the list. The agent answers at once, so an answer, a connect and a backoff each get this fraction of the
/// drain grace.
const PUSH_ANSWER_FRACTION: f64 = 1.0 / 5.0;
/// Pushed discovery: how long a call asks the agent to wait for a change before it answers.
const PUSH_WAIT_MS: Ms = 500.0;

/// The first backoff after a lost call, as a fraction of the longest backoff.
const INITIAL_BACKOFF_FRACTION: f64 = 0.1;

/// How long incoming bytes are read and discarded before a client's connection is closed. A client that reads its
/// answer closes the connection itself within one or two round trips, which take less time than this.
const CLOSE_DRAIN_TIMEOUT_MS: Ms = 500.0;

/// New requests are accepted for this long after a stop signal, because the platform's load balancer still sends new
/// connections for a moment.
const STOP_ACCEPT_PERIOD_MS: Ms = 600.0;

/// The platform may kill the process once the longest time to deadline plus this time has passed since the stop signal.
const KILL_AFTER_DEADLINE_MS: Ms = 700.0;
/// Upper limit of the time to deadline that the platform grants before the kill. A longer time to deadline counts as
/// this limit.
const MAX_COUNTED_TIME_TO_DEADLINE_MS: Ms = 3_000.0;

/// After a stop signal, streams run for this fraction of the time until the kill, so that most of them end by
/// themselves. The rest of the time is left for the clients of the other streams to resume at another dispatcher.
const STOP_STREAMS_FRACTION: f64 = 2.0 / 3.0;

/// How long streams may run after the last deadline if the platform does not kill the process after a stop signal.
const STOP_STREAM_GRACE_MS: Ms = 60_000.0;

impl ResourceLimits {
    /// Derives the limits of a process; `None` if there are too few file descriptors to serve one client.
    pub fn for_process(process: &ProcessLimits) -> Option<ResourceLimits> {
        let available = process
            .file_descriptors
            .checked_sub(RESERVED_FILE_DESCRIPTORS)?;
        let max_connections = available / 2;
        if max_connections == 0 {
            return None;
        }
        let (discovery_poll_wait, discovery) = discovery_settings(process);
        let max_list_bytes = ((process.memory_bytes / LIST_MEMORY_DIVISOR) as usize)
            .max(MIN_LIST_BODIES * MAX_BODY_BYTES);
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
            engine_reuse_delay: ENGINE_REUSE_DELAY_MS,
            max_body_bytes: MAX_BODY_BYTES,
            max_total_body_bytes: (process.memory_bytes / BODIES_MEMORY_DIVISOR) as usize,
            max_total_response_bytes: (process.memory_bytes / RESPONSES_MEMORY_DIVISOR) as usize,
            max_chunk_bytes: MAX_BODY_BYTES,
            max_list_bytes,
            max_listed_engines: max_list_bytes / LISTED_ENGINE_BYTES,
            stream_window: STREAM_WINDOW,
            stall_timeout: STALL_TIMEOUT_MS,
            discovery_poll_wait,
            discovery,
            close_drain_timeout: CLOSE_DRAIN_TIMEOUT_MS,
            max_close_drain_bytes: MAX_CLOSE_DRAIN_BODIES * MAX_BODY_BYTES,
            stop_accept_period: STOP_ACCEPT_PERIOD_MS,
            stop_streams_after: process
                .clients_resume
                .then_some(STOP_STREAMS_FRACTION * earliest_kill(process)),
            stop_grace: process.longest_time_to_deadline + STOP_STREAM_GRACE_MS,
        })
    }
}

/// Returns how long a call asks discovery to wait for a change, in milliseconds, and the timeouts of the calls.
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

/// The shortest time in milliseconds from the stop signal to the kill of the process.
fn earliest_kill(process: &ProcessLimits) -> Ms {
    process
        .longest_time_to_deadline
        .min(MAX_COUNTED_TIME_TO_DEADLINE_MS)
        + KILL_AFTER_DEADLINE_MS
}
