//! Serves on the users' platform: its configuration, its signals, its protocol (`docs/platform.md`). Nothing is
//! written to disk, and nothing else listens.

use crate::serve::block_on;
use cindercleat::interface::Ms;
use cindercleat::single::SingleSettings;
use cindercleat_conf::Conf;
use cindercleat_dispatcher::settings::Single;
use cindercleat_dispatcher::shell::{Places, Shell};
use cindercleat_dispatcher::{Limits, ProgramSettings};
use cindercleat_http1::{Bounds, Http1};
use cindercleat_net::{Tcp, TokioClock, Transport};
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
    limits: Given,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: serde_json::Value,
}

/// What the platform gives a dispatcher.
#[derive(Clone, Copy, Deserialize)]
struct Given {
    memory_mb: f64,
    sockets: usize,
}

/// A configuration, understood.
pub struct Configuration {
    pub listen: String,
    pub discovery: String,
    pub seed: u64,
    pub known: Option<v1::HostList>,
    pub program: ProgramSettings,
    pub bounds: Bounds,
}

/// Descriptors kept for what is neither a client's nor a host's: logs, signals, the listener, the list feed, and
/// connections on their way out.
const OWN_DESCRIPTORS: usize = 32;
/// The part of the memory that clients' bodies may hold together.
const BODIES_PART: f64 = 8.0;
/// The largest body, as the protocol has it.
const MOST_BODY: usize = 256 << 10;
/// A connection to a host rests for this part of the time after which the host closes it, at most.
const REST_PART: f64 = 0.4;
/// Times of clients' connections: a first request, a whole request, rest between two.
const CLIENT: SingleSettings = SingleSettings { first: 2_000.0, whole: 2_000.0, rest: 10_000.0 };
/// How long the list feed may wait with an answer, and how long it takes at most to say anything.
const FEED_WAIT: u32 = 1_500;
const FEED_QUIET: Ms = 2_500.0;
/// After a stop: what still comes is taken for this long; what is open may run for as long as it is let.
const STOP_NOTICE: Ms = 600.0;
const STOP_GRACE: Ms = 60_000.0;
/// Streams go on elsewhere once no new client comes here any more: whoever ends this process does not wait for them.
const STOP_MOVES: Ms = 2_500.0;
/// A stream that does not go on is ended; clients are not to wait five seconds for it.
const STALL: Ms = 4_000.0;

/// # Errors
/// What is wrong with it, and where.
pub fn read(file: &str, text: &str) -> Result<Configuration, Problem> {
    let wrong = |what: String| Problem::Configuration(format!("{file}: {what}"));
    let said: File = serde_json::from_str(text).map_err(|e| wrong(e.to_string()))?;
    let conf = cindercleat_conf::read_object(&said.settings).map_err(|e| wrong(format!("settings: {e}")))?;
    let known = match &said.known {
        None | Some(serde_json::Value::Null) => None,
        Some(list) => {
            let list = cindercleat_http1::parse_list(list.to_string().as_bytes());
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
    if conf.profiles.len() != conf.settings.profiles.len() {
        return Err(wrong("settings: each profile is to have a name".to_owned()));
    }
    let seed = u64::from_str_radix(&said.seed, 16).map_err(|e| wrong(format!("seed: {e}")))?;
    if said.limits.sockets <= 2 * OWN_DESCRIPTORS {
        return Err(wrong(format!("limits.sockets: more than {} are wanted", 2 * OWN_DESCRIPTORS)));
    }
    let memory = said.limits.memory_mb.max(1.0) * f64::from(1 << 20);
    let bounds = Bounds {
        most_body: MOST_BODY,
        most_chunk: MOST_BODY,
        most_list: 4 * MOST_BODY,
        most_bodies: (memory / BODIES_PART) as usize,
        feed_wait_ms: FEED_WAIT,
    };
    let program = program(said.name, seed, conf, said.limits.sockets);
    Ok(Configuration { listen: said.listen, discovery: said.discovery, seed, known, program, bounds })
}

fn program(name: String, seed: u64, conf: Conf, sockets: usize) -> ProgramSettings {
    let share = (sockets - OWN_DESCRIPTORS) / 2;
    let connect_timeout = conf.settings.connect_timeout;
    let limits = Limits {
        most_tasks: conf.most_tasks.unwrap_or(usize::MAX).min(share),
        streams_per_link: 1,
        links_per_host: share,
        link_idle: conf.link_idle.map_or(f64::INFINITY, |idle| REST_PART * idle),
        window: 32,
        stall_limit: STALL,
        probe_timeout: connect_timeout,
        quiet: f64::INFINITY,
        ping_timeout: f64::INFINITY,
        // Each launch that is chosen for a host dials it: what comes of that is the decisions' to judge.
        again_first: 0.0,
        again_most: 0.0,
        client_quiet: f64::INFINITY,
        cancels: f64::INFINITY,
        cancels_per_s: 0.0,
        stop_grace: STOP_GRACE,
        stop_notice: STOP_NOTICE,
        stop_moves: conf.clients_resume.then_some(STOP_MOVES),
        most_frame: MOST_BODY,
        most_clients: share,
        greet_within: 1_000.0,
        single: Some(Single { clients: CLIENT, most_links: share }),
        feed_quiet: FEED_QUIET,
    };
    ProgramSettings {
        name,
        run: seed,
        policy: conf.settings,
        profiles: conf.profiles,
        tenants: conf.tenants,
        zones: conf.zones,
        kinds: conf.kinds,
        limits,
    }
}

fn load(path: &Path) -> Result<Configuration, Problem> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| Problem::Configuration(format!("{file}: {e}")))?;
    read(&file, &text)
}

/// Serves until SIGTERM or SIGINT, and what was open then has ended. SIGHUP has the configuration read again.
///
/// # Errors
/// The configuration cannot be right, or the address cannot be had.
pub fn serve(path: &Path) -> Result<(), Problem> {
    // The inner result is the configuration's, so that signals are heard before it is read.
    block_on(async {
        let mut hup = signal(SignalKind::hangup())?;
        let stop = crate::serve::ends()?;
        let conf = match load(path) {
            Ok(conf) => conf,
            Err(problem) => return Ok(Err(problem)),
        };
        let listener = Tcp.listen(&conf.listen).await?;
        tracing::info!(name = conf.program.name, address = conf.listen, "serving");
        let places = Places { feeds: vec![conf.discovery], ..Places::default() };
        let wire = Http1::new(conf.bounds);
        let shell = Shell::speaking(wire, conf.program, places, Tcp, TokioClock::system(), conf.seed);
        if let Some(list) = conf.known {
            shell.remember_list(list);
        }
        let (moving, path) = (shell.clone(), path.to_owned());
        tokio::task::spawn_local(async move {
            while hup.recv().await.is_some() {
                match load(&path) {
                    Ok(conf) => {
                        tracing::info!(discovery = conf.discovery, "configuration read again");
                        moving.move_feeds(vec![conf.discovery]);
                    }
                    // Serving on with what was good beats not serving.
                    Err(problem) => tracing::warn!(%problem, "the old configuration is kept"),
                }
            }
        });
        shell.serve(listener, stop).await?;
        tracing::info!("stopped");
        Ok(Ok(()))
    })?
}
