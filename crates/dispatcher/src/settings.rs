//! Settings of a dispatcher's process, in addition to those of its decisions.

use cindercleat::client_connection::http1::Http1Settings;
use cindercleat::client_connection::multiplexed::MultiplexedSettings;
use cindercleat::connection_pool::PoolSettings;
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::{DispatcherId, Ms, Settings, ZoneId};

/// The settings of one dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSettings {
    /// The dispatcher's name, as engines and other dispatchers know it.
    pub name: String,
    /// Tells this process from earlier ones of the same name; drawn at each start.
    pub incarnation: u64,
    /// The settings of the routing decisions.
    pub policy: Settings,
    /// The names of the request classes in `policy`, in the same order.
    pub request_classes: Vec<String>,
    /// The names of the tenants in `policy`, in the same order.
    pub tenants: Vec<String>,
    /// The names of the zones, by their ids in `policy`.
    pub zones: Vec<String>,
    /// The names of the kinds of engines in `policy`, in the same order.
    pub kinds: Vec<String>,
    /// The process's own limits and timeouts.
    pub limits: Limits,
}

/// The process's own limits and timeouts. Counts are upper limits; times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests that are open at the same time; one more is rejected.
    pub max_open_requests: usize,
    /// Attempts and health checks on one connection to an engine.
    pub streams_per_connection: usize,
    /// Connections to one engine.
    pub connections_per_engine: usize,
    /// A connection to an engine without streams is closed after this long.
    pub connection_idle_timeout: Ms,
    /// Token messages of one stream that have left its decode engine and not yet reached its client.
    pub stream_window: u32,
    /// A stream whose decode engine sends nothing, or whose client reads nothing, for this long is ended.
    pub stall_timeout: Ms,
    /// A health check without an answer has failed after this long.
    pub health_check_timeout: Ms,
    /// A connection to an engine with streams over which nothing came for this long is pinged.
    pub keepalive_interval: Ms,
    /// A connection to an engine or of a client over which nothing comes for this long after a ping is closed.
    pub ping_timeout: Ms,
    /// The backoff after a failed connect to an engine; it doubles with each failure in a row.
    pub initial_connect_backoff: Ms,
    /// The upper limit of the doubled backoff.
    pub max_connect_backoff: Ms,
    /// A client that has sent nothing for this long is pinged.
    pub client_keepalive_interval: Ms,
    /// Requests that may be cancelled at once on a client's connection.
    pub cancel_burst: f64,
    /// Cancellations that a client's connection regains each second, up to the burst.
    pub cancels_per_second: f64,
    /// After a stop: how long what is open may still run.
    pub stop_grace: Ms,
    /// After a stop: how long new requests are still accepted.
    pub stop_accept_period: Ms,
    /// After a stop: when streams are ended so that their clients resume elsewhere; `None`: they run to their end.
    pub stop_streams_after: Option<Ms>,
    /// The largest message that is accepted from a peer, in bytes.
    pub max_message_bytes: usize,
    /// Connections of clients at the same time.
    pub max_client_connections: usize,
    /// How long a new connection may take until its greeting is complete.
    pub greeting_timeout: Ms,
    /// Set where a connection carries one request at a time, and a cancelled request ends its connection.
    pub http1: Option<Http1Limits>,
    /// Timeouts of the calls to discovery.
    pub discovery: DiscoverySettings,
}

/// The limits where a connection carries one request at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Limits {
    /// Timeouts of clients' connections.
    pub client_timeouts: Http1Settings,
    /// Connections to all engines together.
    pub max_engine_connections: usize,
}

impl ProgramSettings {
    /// The settings of the connections to one engine.
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
        }
    }

    /// The settings of a client's connection that carries many requests at once.
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

/// The settings that all dispatchers of a service have in common.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// The settings of the routing decisions; those of one dispatcher are filled in by
    /// [`dispatcher`](Self::dispatcher).
    pub policy: Settings,
    /// The names of the request classes in `policy`, in the same order.
    pub request_classes: Vec<String>,
    /// The names of the tenants in `policy`, in the same order.
    pub tenants: Vec<String>,
    /// The names of the zones, by their ids in `policy`.
    pub zones: Vec<String>,
    /// The names of the kinds of engines in `policy`, in the same order.
    pub kinds: Vec<String>,
    /// Each process's own limits and timeouts.
    pub limits: Limits,
}

impl ServiceSettings {
    /// The settings of one dispatcher of the service: the one with `number` of `dispatchers`, which are numbered from
    /// 0.
    pub fn dispatcher(
        &self,
        name: &str,
        zone: u32,
        (number, dispatchers): (u32, u32),
        incarnation: u64,
    ) -> ProgramSettings {
        let policy = Settings {
            me: DispatcherId(number),
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
