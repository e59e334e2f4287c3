//! A day's script: the service, a fleet of stand-ins, clients' traffic, and what goes wrong when.

use crate::conf::{Line, Problem, Section, Time};
use crate::settings::{read_service, BLOCKS};
use cindercleat::interface::{IdempotencyScope, Ms, RetrySafety, Role};
use cindercleat_dispatcher::ServiceSettings;
use cindercleat_faults::plan::{Day, Fault, Trouble};
use cindercleat_standin::client::{Habits, Planned, Traffic};
use cindercleat_standin::engine::{Does, EngineSpec};

/// # Errors
/// The first thing wrong with the script.
pub fn read(file: &str, text: &str) -> Result<Day, Problem> {
    let opens: Vec<&str> = BLOCKS.into_iter().chain(["stand-in", "traffic"]).collect();
    let section = Section::parse(file, text, &opens)?;
    let service = read_service(&section)?;
    let mut kinds = Vec::new();
    for block in section.blocks("stand-in") {
        kinds.push((block.head.only::<String>()?, stand_in(block, &service)?));
    }
    let mut engines: Vec<EngineSpec> = Vec::new();
    for line in section.all("host") {
        let (name, kind): (String, String) = (line.value(1)?, line.value(2)?);
        let (zone, cell): (String, String) = (line.value(3)?, line.value(4)?);
        let spec = kinds.iter().find(|(k, _)| *k == kind);
        let (_, spec) =
            spec.ok_or_else(|| line.wrong("'host NAME KIND ZONE CELL', KIND having a stand-in"))?;
        if !service.zones.contains(&zone) || engines.iter().any(|h| h.name == name) {
            return Err(line.wrong("a name of its own and a zone that is listed"));
        }
        engines.push(EngineSpec {
            name,
            zone,
            cell,
            ..spec.clone()
        });
    }
    let [traffic] = section.blocks("traffic")[..] else {
        return Err(section.lacks("traffic"));
    };
    let length = section.value::<Time>("length")?.0;
    let mut habits = habits(traffic, &service, length)?;
    for line in section.all("task") {
        habits.requests.push(planned(line, &habits)?);
    }
    let dispatchers = section.value("dispatchers")?;
    let faults = section
        .all("at")
        .into_iter()
        .map(|line| fault(line, &engines, dispatchers));
    let faults = faults.collect::<Result<_, _>>()?;
    let day = Day {
        name: section.value("day")?,
        seed: section.value("seed")?,
        service,
        dispatchers,
        engines,
        habits,
        list_delay: section.value_or("list-delay", Time(0.0))?.0,
        faults,
    };
    section.nothing_else()?;
    if day.dispatchers == 0 {
        return Err(section.one("dispatchers")?.wrong("one or more"));
    }
    Ok(day)
}

fn stand_in(block: &Section, service: &ServiceSettings) -> Result<EngineSpec, Problem> {
    let kind: String = block.head.only()?;
    let at = service.kinds.iter().position(|k| *k == kind);
    let at = at.ok_or_else(|| {
        block
            .head
            .wrong(&format!("a kind out of: {}", service.kinds.join(", ")))
    })?;
    let settings = &service.policy.kinds[at];
    let does = match settings.role {
        Role::Prefill => Does::Reads,
        Role::Decode => Does::Writes,
        Role::Both => Does::Both,
    };
    let spec = EngineSpec {
        name: String::new(),
        zone: String::new(),
        cell: String::new(),
        kind,
        does,
        slots: block.value("slots")?,
        queue: block.value("queue")?,
        memory_tokens: settings.memory_tokens,
        read_per_s: block.value_or("reads-per-s", 20_000.0)?,
        token_ms: block.value_or("token-pace", Time(20.0))?.0,
        fetch_per_s: block.value_or("fetches-per-s", 300_000.0)?,
        start_share: service.policy.cold_capacity,
        slow_start_window: service.policy.slow_start_window,
        hold: block
            .value_or("holds", Time(4.0 * service.policy.kv_state_timeout))?
            .0,
        report_age: block.value_or("report-age", Time(200.0))?.0,
        report_noise: block.value_or("report-noise", 0.1)?,
        answer_share: block.value_or("answer-share", 0.4)?,
    };
    block.nothing_else()?;
    if spec.slots == 0 {
        return Err(block.head.wrong("a stand-in with a slot or more"));
    }
    Ok(spec)
}

fn habits(block: &Section, service: &ServiceSettings, length: Ms) -> Result<Habits, Problem> {
    let mut traffic = Vec::new();
    for line in block.all("profile-share") {
        let request_class: String = line.value(1)?;
        let at = service
            .request_classes
            .iter()
            .position(|p| *p == request_class);
        let at = at.ok_or_else(|| {
            line.wrong(&format!(
                "a profile out of: {}",
                service.request_classes.join(", ")
            ))
        })?;
        let settings = &service.policy.request_classes[at];
        let prompt: u32 = line.must_after("prompt")?;
        traffic.push(Traffic {
            request_class,
            share: line.value(2)?,
            again_always: settings.retry_safety == RetrySafety::Idempotent,
            latency_objective: settings.latency_objective
                + settings.latency_objective_per_1000_tokens * f64::from(prompt) / 1000.0,
            time_to_deadline: settings.time_to_deadline,
            prompt_tokens: (prompt / 2, prompt + prompt / 2),
            shared_tokens: line.after("shared")?.unwrap_or(0),
            shared_texts: line.after("texts")?.unwrap_or(1),
            max_tokens: line.must_after("answer")?,
            priority_weight: settings.priority_weight,
        });
    }
    if traffic.is_empty() {
        return Err(block.lacks("profile-share"));
    }
    let habits = Habits {
        traffic,
        rate_per_s: block.value("rate")?,
        length,
        retries: block.value_or("retries", 2)?,
        retry_after: block.value_or("retry-after", Time(250.0))?.0,
        leaves: block.value_or("leaves", 0.0)?,
        connections: block.value_or("connections", 4)?,
        sessions: block.value_or("sessions", 400)?,
        tenants: service.tenants.clone(),
        requests: Vec::new(),
    };
    block.nothing_else()?;
    Ok(habits)
}

/// 'request TIME REQUEST_CLASS prompt N answer N [shared N text N] [time to deadline TIME] [leaves TIME] [session N] [seed N]'.
fn planned(line: &Line, habits: &Habits) -> Result<Planned, Problem> {
    let request_class: String = line.value(2)?;
    let traffic = habits
        .traffic
        .iter()
        .find(|t| t.request_class == request_class);
    let traffic = traffic.ok_or_else(|| line.wrong("a profile that has a share of the traffic"))?;
    Ok(Planned {
        at: line.value::<Time>(1)?.0,
        request_class,
        tenant: line.after("tenant")?.unwrap_or_default(),
        session: line.after("session")?.unwrap_or(1),
        shared_text: line.after("text")?.unwrap_or(0),
        shared_tokens: line.after("shared")?.unwrap_or(0),
        prompt_tokens: line.must_after("prompt")?,
        max_tokens: line.must_after("answer")?,
        time_to_deadline: line
            .after::<Time>("patience")?
            .map_or(traffic.time_to_deadline, |t| t.0),
        leaves: line.after::<Time>("leaves")?.map(|t| t.0),
        seed: line.after("seed")?.unwrap_or(line.number as u64),
    })
}

fn fault(line: &Line, engines: &[EngineSpec], count: u32) -> Result<Fault, Problem> {
    let at = line.value::<Time>(1)?.0;
    let word: String = line.value(2)?;
    let length = line.after::<Time>("for")?.map_or(0.0, |t| t.0);
    let trouble = match word.as_str() {
        "die" => Trouble::Die,
        "die-before-end" => Trouble::DieBeforeEnd,
        "slow" => Trouble::Slow(line.must_after::<f64>("by")?.max(1.0)),
        "mute" => Trouble::Mute,
        "stall" => Trouble::Stall(line.must_after("after")?),
        "cut" => Trouble::Cut,
        "full" => Trouble::Full(line.must_after("profile")?),
        "fails" => Trouble::Fails(line.must_after("part")?),
        "resets" => Trouble::Resets(line.must_after("part")?),
        "go-away" => Trouble::GoAway,
        "drain" => Trouble::Drain,
        "list-late" => Trouble::ListLate(line.must_after::<Time>("by")?.0),
        "list-silent" => Trouble::ListSilent,
        "reports-late" => Trouble::ReportsLate(line.must_after::<Time>("by")?.0),
        "forget" => Trouble::Forget,
        "kill" => Trouble::Kill,
        "stop" => Trouble::Stop,
        "burst" => Trouble::Burst(line.must_after("by")?),
        "hot-text" => Trouble::HotText,
        "long-prompts" => Trouble::LongPrompts(line.must_after("by")?, line.must_after("part")?),
        "impatient" => Trouble::Impatient,
        "partition" => Trouble::Partition(line.value(3)?),
        "half-open" => {
            let way: String = line.after("way")?.unwrap_or_else(|| "both".to_owned());
            let (from, to) = (way != "in", way != "out");
            Trouble::HalfOpen { from, to }
        }
        "vanish" => Trouble::Vanish,
        "hang" => Trouble::Hang,
        "lag" => Trouble::Lag(line.must_after::<Time>("by")?.0),
        "narrow" => Trouble::Narrow(line.must_after("to")?),
        "clock-step" => Trouble::ClockStep(line.must_after::<Time>("by")?.0),
        "greet-late" => Trouble::GreetLate(line.must_after::<Time>("by")?.0),
        _ => {
            let known = "die, die-before-end, slow, mute, stall, cut, full, fails, resets, go-away, drain, \
                         list-late, list-silent, reports-late, forget, kill, stop, burst, hot-text, long-prompts, \
                         impatient, greet-late, partition, half-open, vanish, hang, lag, narrow or clock-step";
            return Err(line.wrong(known));
        }
    };
    let mut whom = Vec::new();
    let service_wide = trouble.is_service_wide();
    let dispatchers = trouble.is_dispatchers();
    if !service_wide {
        for word in line.value::<String>(3)?.split(',') {
            let role = |does: Does| {
                engines
                    .iter()
                    .filter(move |h| h.does == does)
                    .map(|h| h.name.clone())
            };
            match word {
                "readers" if !dispatchers => whom.extend(role(Does::Reads)),
                "writers" if !dispatchers => whom.extend(role(Does::Writes)),
                "all" if !dispatchers => whom.extend(engines.iter().map(|h| h.name.clone())),
                name if dispatchers && name.parse::<u32>().is_ok_and(|n| n < count) => {
                    whom.push(name.to_owned())
                }
                name if !dispatchers && engines.iter().any(|h| h.name == name) => {
                    whom.push(name.to_owned())
                }
                _ if dispatchers => return Err(line.wrong("dispatchers' numbers, counted from 0")),
                _ => return Err(line.wrong("hosts' names, readers, writers or all")),
            }
        }
    }
    Ok(Fault {
        at,
        length,
        trouble,
        whom,
    })
}

/// A day as a script that [`read`] takes: for days that were drawn, and so hold planned requests only.
pub fn write(day: &Day) -> String {
    let (policy, limits) = (&day.service.policy, &day.service.limits);
    let (seed, length) = (day.seed, day.habits.length);
    let mut out = format!(
        "day {}\nseed {seed}\nlength {length}ms\ndispatchers {}\n",
        day.name, day.dispatchers
    );
    out += &format!(
        "zones {}\nlist-delay {}ms\n\n",
        day.service.zones.join(" "),
        day.list_delay
    );
    for (name, p) in day
        .service
        .request_classes
        .iter()
        .zip(&policy.request_classes)
    {
        let retry_safety = match p.retry_safety {
            RetrySafety::Idempotent => "reissuable".to_owned(),
            RetrySafety::AtMostOnce => "at-most-once".to_owned(),
            RetrySafety::IdempotencyKey { scope, window } => {
                let scope = match scope {
                    IdempotencyScope::All => "all",
                    IdempotencyScope::Zone => "zone",
                    IdempotencyScope::Cell => "cell",
                };
                format!("numbered within {scope} for {window}ms")
            }
        };
        out += &format!(
            "profile {name}\n    effect {retry_safety}\n    quoted {}ms plus {}ms\n    patience {}ms\n    payoff {}\n    \
             late-share {}\n    token-pace {}ms\nend\n\n",
            p.latency_objective, p.latency_objective_per_1000_tokens, p.time_to_deadline, p.priority_weight, p.late_value_share, p.token_pace
        );
    }
    for (name, kind) in day.service.kinds.iter().zip(&policy.kinds) {
        let does = match kind.role {
            Role::Prefill => "reads",
            Role::Decode => "writes",
            Role::Both => "both",
        };
        out += &format!(
            "kind {name}\n    does {does}\n    memory {}\nend\n\n",
            kind.memory_tokens
        );
    }
    out += &format!(
        "limits\n    release {}ms\n    launches {}\n    connect {}ms\n    drain-grace {}ms\n    answer-grace {}ms\n    \
         fall {} within {}ms\n    cold {} ramp {}ms\n    tick {}ms\n    streams-per-link {}\n    links-per-host {}\n    \
         link-idle {}ms\n    window {}\n    stall {}ms\n    quiet {}ms\n    ping-timeout {}ms\n    connect-again {}ms\n    \
         connect-again-most {}ms\n    client-quiet {}ms\n    stop-grace {}ms\n    greet-within {}ms\nend\n\n",
        policy.kv_state_timeout,
        policy.max_attempts,
        policy.connect_timeout,
        policy.drain_grace,
        policy.answer_grace,
        policy.overload_multiple,
        policy.overload_window,
        policy.cold_capacity,
        policy.slow_start_window,
        policy.tick,
        limits.streams_per_connection,
        limits.connections_per_engine,
        limits.connection_idle_timeout,
        limits.stream_window,
        limits.stall_timeout,
        limits.keepalive_interval,
        limits.ping_timeout,
        limits.initial_connect_backoff,
        limits.max_connect_backoff,
        limits.client_keepalive_interval,
        limits.stop_grace,
        limits.greeting_timeout,
    );
    for kind in &day.service.kinds {
        // Engines of a kind are drawn alike but for their speed; a script has one for all.
        let Some(spec) = day.engines.iter().find(|h| h.kind == *kind) else {
            continue;
        };
        out += &format!(
            "stand-in {kind}\n    slots {}\n    queue {}\n    reads-per-s {}\n    token-pace {}ms\n    answer-share {}\nend\n\n",
            spec.slots, spec.queue, spec.read_per_s, spec.token_ms, spec.answer_share
        );
    }
    for engine in &day.engines {
        out += &format!(
            "host {} {} {} {}\n",
            engine.name, engine.kind, engine.zone, engine.cell
        );
    }
    out += &format!(
        "\ntraffic\n    rate 0\n    connections {}\n",
        day.habits.connections
    );
    out += &format!(
        "    retries {}\n    retry-after {}ms\n",
        day.habits.retries, day.habits.retry_after
    );
    for t in &day.habits.traffic {
        let (prompt, answer) = (t.prompt_tokens.0, t.max_tokens);
        out += &format!(
            "    profile-share {} {} prompt {prompt} answer {answer}\n",
            t.request_class, t.share
        );
    }
    out += "end\n\n";
    for t in &day.habits.requests {
        let leaves = t
            .leaves
            .map_or(String::new(), |ms| format!(" leaves {ms}ms"));
        out += &format!(
            "task {}ms {} prompt {} answer {} shared {} text {} session {} patience {}ms seed {}{leaves}\n",
            t.at,
            t.request_class,
            t.prompt_tokens,
            t.max_tokens,
            t.shared_tokens,
            t.shared_text,
            t.session,
            t.time_to_deadline,
            t.seed
        );
    }
    out.push('\n');
    day.faults
        .iter()
        .for_each(|fault| out += &write_fault(fault));
    out
}

fn write_fault(fault: &Fault) -> String {
    let (at, name) = (fault.at, fault.trouble.name());
    let more = match &fault.trouble {
        Trouble::Slow(by) | Trouble::Burst(by) => format!(" by {by}"),
        Trouble::Stall(after) => format!(" after {after}"),
        Trouble::Full(request_class) => format!(" profile {request_class}"),
        Trouble::Fails(part) | Trouble::Resets(part) => format!(" part {part}"),
        Trouble::ListLate(by)
        | Trouble::ReportsLate(by)
        | Trouble::GreetLate(by)
        | Trouble::Lag(by)
        | Trouble::ClockStep(by) => format!(" by {by}ms"),
        Trouble::LongPrompts(by, part) => format!(" by {by} part {part}"),
        Trouble::Partition(zone) => format!(" {zone}"),
        Trouble::HalfOpen {
            from: true,
            to: false,
        } => " way out".to_owned(),
        Trouble::HalfOpen {
            from: false,
            to: true,
        } => " way in".to_owned(),
        Trouble::Narrow(to) => format!(" to {to}"),
        _ => String::new(),
    };
    let whom = if fault.whom.is_empty() {
        String::new()
    } else {
        format!(" {}", fault.whom.join(","))
    };
    let length = if fault.length > 0.0 {
        format!(" for {}ms", fault.length)
    } else {
        String::new()
    };
    format!("at {at}ms {name}{whom}{more}{length}\n")
}
