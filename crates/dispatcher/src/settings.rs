//! What a dispatcher's program is told at its start, besides what its decisions are told.

use cindercleat::client_connection::http1::Http1Settings;
use cindercleat::client_connection::multiplexed::MultiplexedSettings;
use cindercleat::connection_pool::PoolSettings;
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::{DispatcherId, Ms, Settings, ZoneId};

/// A dispatcher's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgramSettings {
    pub name: String,
    /// Tells this process from others of its name; drawn anew at each start.
    pub run: u64,
    pub policy: Settings,
    /// The names behind the ids in `policy`, in the same order.
    pub request_classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub limits: Limits,
}

/// The program's own limits. Counts are upper limits; times are milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Tasks open at once; one more is rejected.
    pub max_open_requests: usize,
    /// Launches and probes on one connection to an engine, and connections to one engine.
    pub streams_per_connection: usize,
    pub connections_per_engine: usize,
    /// A connection without streams is closed after this long.
    pub connection_idle: Ms,
    /// Token messages of one stream that may be between a decode engine and its client.
    pub window: u32,
    /// A stream whose decode engine sends nothing, or whose client takes nothing, for this long is over.
    pub stall_limit: Ms,
    pub health_check_timeout: Ms,
    /// A connection with streams that says nothing for this long is asked, and given up if it does not answer.
    pub quiet: Ms,
    pub ping_timeout: Ms,
    /// The wait after a failed connect, doubled each time up to the most.
    pub again_first: Ms,
    pub again_most: Ms,
    /// A client that says nothing for this long is asked, too.
    pub client_quiet: Ms,
    /// Tasks that a client's connection may call off at once, and how many more each second.
    pub cancels: f64,
    pub cancels_per_s: f64,
    /// After a stop: how long what is open may still run.
    pub stop_grace: Ms,
    /// After a stop: for how long what still comes is taken.
    pub stop_notice: Ms,
    /// After a stop: streams are ended then, whose clients come back for the rest; none lets them run.
    pub stop_moves: Option<Ms>,
    /// The largest message taken from anybody, in bytes.
    pub most_frame: usize,
    /// Connections of clients at once, and how long one may take to greet.
    pub most_clients: usize,
    pub greet_within: Ms,
    /// Where a connection carries one call at a time, and ends with a call that is called off: what is decided
    /// about clients' connections, and how many there may be to all engines.
    pub single: Option<Http1Limits>,
    /// Of the calls to the list feed.
    pub feed: DiscoverySettings,
}

/// What holds where a connection carries one call at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Http1Limits {
    pub clients: Http1Settings,
    pub max_connections: usize,
}

impl ProgramSettings {
    pub fn channels(&self) -> PoolSettings {
        let limits = &self.limits;
        PoolSettings {
            streams: limits.streams_per_connection,
            most: limits.connections_per_engine,
            connect_timeout: self.policy.connect_timeout,
            idle: limits.connection_idle,
            quiet: limits.quiet,
            ping_timeout: limits.ping_timeout,
            again_first: limits.again_first,
            again_most: limits.again_most,
        }
    }

    pub fn callers(&self) -> MultiplexedSettings {
        let limits = &self.limits;
        MultiplexedSettings {
            quiet: limits.client_quiet,
            ping_timeout: limits.ping_timeout,
            cancels: limits.cancels,
            cancels_per_s: limits.cancels_per_s,
        }
    }
}

/// What the dispatchers of a service have in common.
#[derive(Clone, Debug)]
pub struct Service {
    pub policy: Settings,
    pub request_classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub limits: Limits,
}

impl Service {
    /// What one dispatcher of the service is told.
    pub fn dispatcher(
        &self,
        name: &str,
        zone: u32,
        (me, of): (u32, u32),
        run: u64,
    ) -> ProgramSettings {
        let policy = Settings {
            me: DispatcherId(me),
            dispatchers: of,
            zone: ZoneId(zone),
            ..self.policy.clone()
        };
        ProgramSettings {
            name: name.to_owned(),
            run,
            policy,
            request_classes: self.request_classes.clone(),
            tenants: self.tenants.clone(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            limits: self.limits,
        }
    }
}
