//! Serves on the users' platform: its configuration, its signals, its protocol (`docs/platform.md`). Nothing is
//! written to disk, and nothing else listens.

use crate::serve::block_on;
use cindercleat::resource_limits::{ProcessLimits, ResourceLimits, RESERVED_FILE_DESCRIPTORS};
use cindercleat_conf::Conf;
use cindercleat_dispatcher::driver::{Driver, Locations};
use cindercleat_dispatcher::settings::Http1Limits;
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_http1::{Bounds, Http1};
use cindercleat_net::{Listener, Tcp, TokioClock, Transport};
use cindercleat_protocol::v1;
use serde::Deserialize;
use std::io;
use std::path::Path;
use tokio::signal::unix::{signal, SignalKind};

/// Why a dispatcher does not serve.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The configuration cannot be right.
    #[error("{0}")]
    Configuration(String),
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Machine,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

/// What the platform gives a dispatcher.
#[derive(Clone, Copy, Deserialize)]
struct Machine {
    memory_mb: f64,
    sockets: usize,
}

/// A configuration, understood.
pub struct Configuration {
    pub listen: String,
    pub discovery: String,
    pub seed: u64,
    pub known: Option<v1::EndpointList>,
    pub program: ProgramSettings,
    pub bounds: Bounds,
}

/// # Errors
/// What is wrong with it, and where.
pub fn read(file: &str, text: &str) -> Result<Configuration, Problem> {
    let wrong = |what: String| Problem::Configuration(format!("{file}: {what}"));
    let said: File = serde_json::from_str(text).map_err(|e| wrong(e.to_string()))?;
    let conf = cindercleat_conf::read_object(&said.settings)
        .map_err(|e| wrong(format!("settings: {e}")))?;
    let known = match &said.known {
        None | Some(serde_json::Value::Null) => None,
        Some(list) => {
            // The configuration is trusted, so its list has no limit of its own.
            let list = cindercleat_http1::parse_list(list.to_string().as_bytes(), usize::MAX);
            Some(list.map_err(|e| wrong(format!("known: {e}")))?)
        }
    };
    for address in [&said.listen, &said.discovery] {
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(wrong(format!(
                "an address such as 127.0.0.1:8443 is wanted in place of {address:?}"
            )));
        }
    }
    if conf.request_classes.len() != conf.settings.request_classes.len() {
        return Err(wrong("settings: each profile is to have a name".to_owned()));
    }
    let seed = u64::from_str_radix(&said.seed, 16).map_err(|e| wrong(format!("seed: {e}")))?;
    let process = ProcessLimits {
        memory_bytes: said.limits.memory_mb.max(1.0) * f64::from(1 << 20),
        file_descriptors: said.limits.sockets,
        connect_timeout: conf.settings.connect_timeout,
        discovery: conf.settings.discovery,
        drain_grace: conf.settings.drain_grace,
        engine_idle_timeout: conf.connection_idle,
        max_open_requests: conf.max_open_requests,
        longest_time_to_deadline: conf
            .settings
            .request_classes
            .iter()
            .map(|class| class.time_to_deadline)
            .fold(0.0, f64::max),
        clients_resume: conf.clients_resume,
    };
    let too_few = || {
        wrong(format!(
            "limits.sockets: over {RESERVED_FILE_DESCRIPTORS} are wanted"
        ))
    };
    let allowed = ResourceLimits::for_process(&process).ok_or_else(too_few)?;
    let bounds = Bounds {
        max_body_bytes: allowed.max_body_bytes,
        max_chunk_bytes: allowed.max_chunk_bytes,
        max_list_bytes: allowed.max_list_bytes,
        max_listed_engines: allowed.max_listed_engines,
        max_total_body_bytes: allowed.max_total_body_bytes,
        max_total_response_bytes: allowed.max_total_response_bytes,
        discovery_wait_ms: allowed.discovery_poll_wait as u32,
        drain_timeout_ms: allowed.close_drain_timeout as u32,
        max_drained_bytes: allowed.max_close_drain_bytes,
        write_stall_timeout_ms: allowed.stall_timeout as u32,
    };
    let program = program(said.name, seed, conf, &allowed);
    Ok(Configuration {
        listen: said.listen,
        discovery: said.discovery,
        seed,
        known,
        program,
        bounds,
    })
}

fn program(name: String, seed: u64, conf: Conf, allowed: &ResourceLimits) -> ProgramSettings {
    let never = f64::INFINITY;
    let limits = Limits {
        max_open_requests: allowed.max_open_requests,
        streams_per_connection: 1,
        connections_per_engine: allowed.max_engine_connections,
        connection_idle_timeout: allowed.engine_idle_timeout,
        stream_window: allowed.stream_window,
        stall_timeout: allowed.stall_timeout,
        health_check_timeout: conf.settings.connect_timeout,
        // HTTP/1.1 has no pings.
        keepalive_interval: never,
        ping_timeout: never,
        client_keepalive_interval: never,
        // Each attempt that is chosen for an engine dials it: what comes of that is the decisions' to judge.
        initial_connect_backoff: 0.0,
        max_connect_backoff: 0.0,
        // A client calls off by closing its connection, which costs it another one.
        cancel_burst: never,
        cancels_per_second: 0.0,
        stop_grace: allowed.stop_grace,
        stop_accept_period: allowed.stop_accept_period,
        stop_streams_after: allowed.stop_streams_after,
        max_message_bytes: allowed.max_body_bytes,
        max_client_connections: allowed.max_client_connections,
        greeting_timeout: conf.settings.connect_timeout,
        http1: Some(Http1Limits {
            client_timeouts: allowed.client_timeouts,
            max_engine_connections: allowed.max_engine_connections,
            engine_reuse_delay: allowed.engine_reuse_delay,
        }),
        discovery: allowed.discovery,
    };
    ProgramSettings {
        name,
        incarnation: seed,
        policy: conf.settings,
        request_classes: conf.request_classes,
        tenants: conf.tenants,
        zones: conf.zones,
        kinds: conf.kinds,
        limits,
    }
}

fn load(path: &Path) -> Result<Configuration, Problem> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Problem::Configuration(format!("{file}: {e}")))?;
    read(&file, &text)
}

/// Serves until SIGTERM or SIGINT, and what was open then has ended. SIGHUP has the configuration read again.
///
/// # Errors
/// The configuration cannot be right, or the address cannot be had.
pub fn serve(path: &Path) -> Result<(), Problem> {
    // Signals are heard before the configuration is read.
    block_on(async {
        let mut hup = signal(SignalKind::hangup())?;
        let stop = crate::serve::ends()?;
        let conf = match load(path) {
            Ok(conf) => conf,
            Err(problem) => return Ok(Err(problem)),
        };
        let listener = Tcp.listen(&conf.listen).await?;
        tracing::info!(
            name = conf.program.name,
            address = listener.address(),
            "serving"
        );
        let locations = Locations {
            discovery: vec![conf.discovery],
            ..Locations::default()
        };
        let wire = Http1::new(conf.bounds);
        let driver = Driver::with_wire(
            wire,
            conf.program,
            locations,
            Tcp,
            TokioClock::system(),
            conf.seed,
        );
        if let Some(list) = conf.known {
            driver.use_cached_endpoints(list);
        }
        let (moving, path) = (driver.clone(), path.to_owned());
        tokio::task::spawn_local(async move {
            while hup.recv().await.is_some() {
                match load(&path) {
                    Ok(conf) => {
                        tracing::info!(discovery = conf.discovery, "configuration read again");
                        moving.set_discovery_addresses(vec![conf.discovery]);
                    }
                    // Serving on with what was good beats not serving.
                    Err(problem) => tracing::warn!(%problem, "the old configuration is kept"),
                }
            }
        });
        driver.serve(listener, stop).await?;
        tracing::info!("stopped");
        Ok(Ok(()))
    })?
}
