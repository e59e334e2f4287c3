//! A dispatcher's settings file. Its keywords are described in `docs/operating.md`.

use crate::conf::{Line, Problem, Section, Time};
use crate::fleet_settings::{self, Fleet};
use cindercleat::discovery_client::DiscoverySettings;
use cindercleat::interface::*;
use cindercleat_dispatcher::driver::Locations;
use cindercleat_dispatcher::{Limits, ProgramSettings, ServiceSettings};
use std::path::PathBuf;

/// The keywords that open blocks.
pub const BLOCKS: [&str; 5] = ["profile", "tenant", "kind", "limits", "fleet"];

/// All that `serve` needs.
#[derive(Clone, Debug)]
pub struct Serve {
    pub listen: String,
    pub program: ProgramSettings,
    pub locations: Locations,
    /// What it does in its fleet, if it is in one.
    pub fleet: Option<Fleet>,
}

/// # Errors
/// The first thing wrong with the file.
pub fn read(file: &str, text: &str, run: u64) -> Result<Serve, Problem> {
    let section = Section::parse(file, text, &BLOCKS)?;
    let service = read_service(&section)?;
    let name: String = section.value("name")?;
    let listen = section.one("listen")?;
    let number = section.one("number")?;
    let (me, of): (u32, u32) = (number.value(1)?, number.must_after("of")?);
    if me >= of {
        return Err(number.wrong("'number N of M', N counted from 0 and under M"));
    }
    let zone = place(section.one("zone")?, 1, &service.zones, "zone")?;
    let discovery: Vec<String> = section.one("list-feed")?.words[1..].to_vec();
    if discovery.is_empty() {
        return Err(section.one("list-feed")?.wrong("an address or more"));
    }
    for address in listen.words[1..].iter().chain(&discovery) {
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(listen.wrong(&format!(
                "addresses such as 127.0.0.1:7400 ('{address}' is none)"
            )));
        }
    }
    let endpoint_cache = section.maybe_value::<String>("keep")?.map(PathBuf::from);
    let peer = |line: &&Line| Ok((line.value::<u32>(1)?, line.value::<String>(2)?));
    let peers = section
        .all("peer")
        .iter()
        .map(peer)
        .collect::<Result<_, Problem>>()?;
    let fleet = match section.blocks("fleet")[..] {
        [] => None,
        [block] => Some(fleet_settings::read(
            block,
            &name,
            &service.zones[zone as usize],
            run,
        )?),
        [_, second, ..] => return Err(second.head.wrong("'fleet' once")),
    };
    section.nothing_else()?;
    let listen = listen.only()?;
    let program = service.dispatcher(&name, zone, (me, of), run);
    Ok(Serve {
        listen,
        program,
        locations: Locations {
            discovery,
            endpoint_cache,
            peers,
        },
        fleet,
    })
}

fn place(line: &Line, at: usize, names: &[String], what: &str) -> Result<u32, Problem> {
    let name: String = line.value(at)?;
    let found = names.iter().position(|n| *n == name);
    found
        .map(|at| at as u32)
        .ok_or_else(|| line.wrong(&format!("a {what} out of: {}", names.join(", "))))
}

/// Reads what a settings file and a day script have in common.
///
/// # Errors
/// The first thing wrong.
pub fn read_service(section: &Section) -> Result<ServiceSettings, Problem> {
    let zones = section.one("zones")?;
    if zones.words.len() < 2 {
        return Err(zones.wrong("a zone or more"));
    }
    let zones = zones.words[1..].to_vec();
    let (mut request_classes, mut request_class_settings) = (Vec::new(), Vec::new());
    for block in section.blocks("profile") {
        request_classes.push(new_name(block, &request_classes)?);
        request_class_settings.push(request_class(block)?);
    }
    if request_classes.is_empty() {
        return Err(section.lacks("profile"));
    }
    let (mut tenants, mut tenant_settings) = (Vec::new(), Vec::new());
    for block in section.blocks("tenant") {
        tenants.push(new_name(block, &tenants)?);
        let quota_per_second = block.value("allowance")?;
        tenant_settings.push(TenantSettings {
            quota_per_second,
            share: block.value("share")?,
        });
        block.nothing_else()?;
    }
    let (mut kinds, mut kind_settings) = (Vec::new(), Vec::new());
    for block in section.blocks("kind") {
        kinds.push(new_name(block, &kinds)?);
        let does = block.one("does")?;
        let role = match does.only::<String>()?.as_str() {
            "reads" => Role::Prefill,
            "writes" => Role::Decode,
            "both" => Role::Both,
            _ => return Err(does.wrong("reads, writes or both")),
        };
        kind_settings.push(EngineKindSettings {
            role,
            memory_tokens: block.value("memory")?,
        });
        block.nothing_else()?;
    }
    let can = |reading: bool| {
        kind_settings
            .iter()
            .any(|k| k.role == Role::Both || (k.role == Role::Prefill) == reading)
    };
    if !can(true) || !can(false) {
        return Err(section.lacks("kind"));
    }
    let found = section.blocks("limits");
    let [limits] = found[..] else {
        return Err(section.lacks("limits"));
    };
    let time = |keyword: &'static str| limits.value::<Time>(keyword).map(|t| t.0);
    let cold = limits.one("cold")?;
    let fall = limits.one("fall")?;
    let policy = Settings {
        dispatcher_id: DispatcherId(0),
        dispatchers: 1,
        zone: ZoneId(0),
        tick: limits.value_or("tick", Time(4.0))?.0,
        request_classes: request_class_settings,
        tenants: tenant_settings,
        over_quota_weight: limits.value_or("over-share-worth", 1.0)?,
        kinds: kind_settings,
        discovery: Discovery::Pushed,
        kv_state_timeout: time("release")?,
        decode_engines_prefill: false,
        may_reserve: limits.value_or("hold-ahead", false)?,
        may_cancel: true,
        may_hedge: false,
        may_health_check: limits.value_or("probes", true)?,
        may_gossip: limits.value_or("tell", false)?,
        clients_honor_retry_after: true,
        max_retry_after: limits.value_or("most-retry-after", Time(2000.0))?.0,
        max_attempts: limits.value("launches")?,
        connect_timeout: time("connect")?,
        drain_grace: time("drain-grace")?,
        answer_grace: limits.value_or("answer-grace", Time(0.0))?.0,
        overload_multiple: fall.value(1)?,
        overload_window: fall.must_after::<Time>("within")?.0,
        cold_capacity: cold.value(1)?,
        slow_start_window: cold.must_after::<Time>("ramp")?.0,
    };
    if policy.cold_capacity <= 0.0 || policy.cold_capacity > 1.0 {
        return Err(cold.wrong("'cold SHARE ramp TIME', SHARE being over 0 and at most 1"));
    }
    if policy.overload_window <= 0.0 || policy.slow_start_window <= 0.0 {
        return Err(fall.wrong("times over 0"));
    }
    let or = |keyword, absent| limits.value_or(keyword, Time(absent)).map(|t| t.0);
    let cancels = match limits.maybe("cancels")? {
        Some(line) => (line.value(1)?, line.must_after("more")?),
        None => (1_000.0, 200.0),
    };
    let greeting_timeout = or("greet-within", 5_000.0)?;
    let own = Limits {
        max_open_requests: limits.value_or("most-tasks", 20_000)?,
        streams_per_connection: limits.value_or("streams-per-link", 100)?,
        connections_per_engine: limits.value_or("links-per-host", 16)?,
        connection_idle_timeout: or("link-idle", 15_000.0)?,
        stream_window: limits.value_or("window", 32)?,
        stall_timeout: or("stall", 3_000.0)?,
        health_check_timeout: or("probe-timeout", policy.connect_timeout)?,
        keepalive_interval: or("quiet", 2_000.0)?,
        ping_timeout: or("ping-timeout", 1_000.0)?,
        initial_connect_backoff: or("connect-again", 100.0)?,
        max_connect_backoff: or("connect-again-most", 1_000.0)?,
        client_keepalive_interval: or("client-quiet", 10_000.0)?,
        cancel_burst: cancels.0,
        cancels_per_second: cancels.1,
        stop_grace: or("stop-grace", 10_000.0)?,
        max_message_bytes: limits.value_or("most-frame", 1 << 20)?,
        max_client_connections: limits.value_or("most-clients", 12_000)?,
        greeting_timeout,
        stop_accept_period: 0.0,
        stop_streams_after: None,
        http1: None,
        discovery: DiscoverySettings::without_silence_timeout(greeting_timeout),
    };
    if own.stream_window == 0 || own.streams_per_connection == 0 || own.connections_per_engine == 0
    {
        return Err(limits
            .head
            .wrong("window, streams-per-link and links-per-host of at least 1"));
    }
    limits.nothing_else()?;
    Ok(ServiceSettings {
        policy,
        request_classes,
        tenants,
        zones,
        kinds,
        limits: own,
    })
}

fn new_name(block: &Section, names: &[String]) -> Result<String, Problem> {
    let name: String = block.head.only()?;
    if names.contains(&name) {
        return Err(block.head.wrong(&format!("'{name}' once")));
    }
    Ok(name)
}

fn request_class(block: &Section) -> Result<RequestClassSettings, Problem> {
    let retry_safety = block.one("effect")?;
    let kind = match retry_safety.value::<String>(1)?.as_str() {
        "reissuable" => RetrySafety::Idempotent,
        "at-most-once" => RetrySafety::AtMostOnce,
        "numbered" => {
            let scope = match retry_safety.must_after::<String>("within")?.as_str() {
                "all" => IdempotencyScope::All,
                "zone" => IdempotencyScope::Zone,
                "cell" => IdempotencyScope::Cell,
                _ => return Err(retry_safety.wrong("all, zone or cell after 'within'")),
            };
            RetrySafety::IdempotencyKey {
                scope,
                window: retry_safety.must_after::<Time>("for")?.0,
            }
        }
        _ => {
            let expected = "reissuable, at-most-once or 'numbered within all|zone|cell for TIME'";
            return Err(retry_safety.wrong(expected));
        }
    };
    let latency_objective = block.one("quoted")?;
    let settings = RequestClassSettings {
        retry_safety: kind,
        latency_objective: latency_objective.value::<Time>(1)?.0,
        latency_objective_per_1000_tokens: latency_objective
            .after::<Time>("plus")?
            .map_or(0.0, |t| t.0),
        time_to_deadline: block.value::<Time>("patience")?.0,
        priority_weight: block.value_or("payoff", 1.0)?,
        late_value_share: block.value_or("late-share", 0.0)?,
        token_pace: block.value_or("token-pace", Time(0.0))?.0,
        streams: true,
    };
    if settings.latency_objective <= 0.0 || settings.time_to_deadline < settings.latency_objective {
        return Err(latency_objective.wrong("a quoted time over 0 and at most the patience"));
    }
    block.nothing_else()?;
    Ok(settings)
}
