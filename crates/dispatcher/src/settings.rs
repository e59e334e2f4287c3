//! Settings of a dispatcher process, in addition to the settings of its routing logic.

use cindercleat::client_connection::http1::Http1Settings;
use cindercleat::client_connection::multiplexed::MultiplexedSettings;
use cindercleat::connection_pool::PoolSettings;
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::{DispatcherId, Ms, Settings, ZoneId};

/// The settings of one dispatcher process: its identity, its routing logic, and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSettings {
    /// The dispatcher's name in greetings to engines and other dispatchers.
    pub name: String,
    /// Distinguishes this process from earlier processes of the same name. Each start uses a new value.
    pub incarnation: u64,
    /// The settings of the routing logic.
    pub policy: Settings,
    /// The names of the request classes in `policy`, in the same order.
    pub request_classes: Vec<String>,
    /// The names of the tenants in `policy`, in the same order.
    pub tenants: Vec<String>,
    /// The names of the zones; the index of a name is the zone's id in `policy`.
    pub zones: Vec<String>,
    /// The names of the kinds of engines in `policy`, in the same order.
    pub kinds: Vec<String>,
    /// The limits and timeouts of the process.
    pub limits: Limits,
}

/// The limits and timeouts of the process. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of open requests. A request beyond this limit is rejected.
    pub max_open_requests: usize,
    /// The maximum number of open streams on one connection to an engine. Attempts and health checks both count.
    pub streams_per_connection: usize,
    /// The maximum number of open connections to one engine.
    pub connections_per_engine: usize,
    /// An engine connection is closed after this long without an open stream.
    pub connection_idle_timeout: Ms,
    /// The maximum number of token messages of one stream that its decode engine has sent and that are not yet
    /// written to its client.
    pub stream_window: u32,
    /// A stream is ended if its decode engine sends nothing, or if its client reads nothing, for this long.
    pub stall_timeout: Ms,
    /// A health check fails if the engine has not answered after this long.
    pub health_check_timeout: Ms,
    /// An engine connection with open streams is pinged after receiving nothing for this long.
    pub keepalive_interval: Ms,
    /// An engine or client connection is closed if nothing is received for this long after a ping.
    pub ping_timeout: Ms,
    /// The backoff after the first failed connect to an engine; it doubles with each consecutive failure.
    pub initial_connect_backoff: Ms,
    /// The maximum backoff between connects to an engine.
    pub max_connect_backoff: Ms,
    /// A client connection is pinged after receiving nothing for this long.
    pub client_keepalive_interval: Ms,
    /// The maximum number of requests that a client connection may cancel in a burst. The connection is closed if
    /// its client cancels more.
    pub cancel_burst: f64,
    /// The number of cancellations that a client connection is allowed again per second, up to `cancel_burst`.
    pub cancels_per_second: f64,
    /// How long open requests may continue after a stop begins. Requests that are still open then get their final
    /// answer.
    pub stop_grace: Ms,
    /// How long new requests are accepted after a stop begins; later ones are rejected.
    pub stop_accept_period: Ms,
    /// The time from the start of a stop to the migration of open streams, whose clients resume at another
    /// dispatcher. `None` lets streams run to their end.
    pub stop_streams_after: Option<Ms>,
    /// The maximum size of a message from a peer, in bytes.
    pub max_message_bytes: usize,
    /// The maximum number of client connections. Connections whose greeting is not complete count as well.
    pub max_client_connections: usize,
    /// The greeting on a new connection fails if it is not complete after this long.
    pub greeting_timeout: Ms,
    /// The limits of HTTP/1 connections, which carry one request at a time: cancelling a request ends its
    /// connection. `None` if connections are multiplexed.
    pub http1: Option<Http1Limits>,
    /// The timeouts and backoff of calls to discovery.
    pub discovery: DiscoverySettings,
}

/// Limits that apply only to HTTP/1, where a connection carries one request at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Limits {
    /// The timeouts of client connections, for idle connections and for receiving a request.
    pub client_timeouts: Http1Settings,
    /// The maximum number of connections to all engines in total.
    pub max_engine_connections: usize,
    /// An engine connection carries no other attempt for this long after the end of one, because an answer does not
    /// name its attempt.
    pub engine_reuse_delay: Ms,
}

impl ProgramSettings {
    /// The settings of the connection pool of one engine.
    pub fn pool_settings(&self) -> PoolSettings {
        let limits = &self.limits;
        PoolSettings {
            max_streams_per_connection: limits.streams_per_connection,
            max_connections: limits.connections_per_engine,
            connect_timeout: self.policy.connect_timeout,
            idle_timeout: limits.connection_idle_timeout,
            keepalive_interval: limits.keepalive_interval,
            ping_timeout: limits.ping_timeout,
            initial_backoff: limits.initial_connect_backoff,
            max_backoff: limits.max_connect_backoff,
            reuse_delay: limits.http1.map_or(0.0, |http1| http1.engine_reuse_delay),
        }
    }

    /// The settings of a multiplexed client connection.
    pub fn multiplexed_settings(&self) -> MultiplexedSettings {
        let limits = &self.limits;
        MultiplexedSettings {
            keepalive_interval: limits.client_keepalive_interval,
            ping_timeout: limits.ping_timeout,
            cancel_burst: limits.cancel_burst,
            cancels_per_second: limits.cancels_per_second,
        }
    }
}

/// The settings that all dispatchers of a service share.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The settings of the routing logic. [`dispatcher`](Self::dispatcher) replaces the fields that differ between
    /// dispatchers.
    pub policy: Settings,
    /// The names of the request classes in `policy`, in the same order.
    pub request_classes: Vec<String>,
    /// The names of the tenants in `policy`, in the same order.
    pub tenants: Vec<String>,
    /// The names of the zones; the index of a name is the zone's id in `policy`.
    pub zones: Vec<String>,
    /// The names of the kinds of engines in `policy`, in the same order.
    pub kinds: Vec<String>,
    /// The limits and timeouts of each process.
    pub limits: Limits,
}

impl ServiceSettings {
    /// The settings of one dispatcher of the service. `dispatchers` is the number of dispatchers in the service,
    /// and `number` is the number of this one, from 0 to `dispatchers` - 1.
    pub fn dispatcher(
        &self,
        name: &str,
        zone: u32,
        (number, dispatchers): (u32, u32),
        incarnation: u64,
    ) -> ProgramSettings {
        let policy = Settings {
            dispatcher_id: DispatcherId(number),
            dispatchers,
            zone: ZoneId(zone),
            ..self.policy.clone()
        };
        ProgramSettings {
            name: name.to_owned(),
            incarnation,
            policy,
            request_classes: self.request_classes.clone(),
            tenants: self.tenants.clone(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            limits: self.limits,
        }
    }
}
