//! What a dispatcher adds: the same clients straight to the stand-ins and through a dispatcher, in one run.
//!
//! The dispatcher is a process of its own, so that its processor time and memory are its alone; stand-ins and
//! clients share this one. Latencies of both ways hold the same stand-ins' noise, so their difference counts.

use crate::conf::Section;
use crate::day::{start_fleet, TcpFleet};
use crate::script;
use crate::serve::{block_on, cpu_of};
use cindercleat::interface::Ms;
use cindercleat_faults::plan::Day;
use cindercleat_net::{Clock, Tcp, TokioClock};
use cindercleat_protocol::{v1, Body};
use cindercleat_standin::client::Port;
use cindercleat_standin::exponential;
use clap::Args;
use hdrhistogram::Histogram;
use nanorand::WyRand;
use std::cell::{Cell, RefCell};
use std::io::{self, BufRead, BufReader, Write};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use tokio::task::spawn_local;

#[derive(Args, Clone, Debug)]
pub struct PriceArgs {
    /// Tasks a second, of 20 tokens each.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Seconds each way.
    #[arg(long, default_value_t = 8.0)]
    seconds: f64,
    /// Streams held open at once for the memory of a live stream.
    #[arg(long, default_value_t = 1000)]
    streams: usize,
    /// The same once more with a dispatcher that is one of three voters of a fleet.
    #[arg(long)]
    fleet: bool,
}

const PREFILL_ENGINES: usize = 8;
const DECODE_ENGINES: usize = 24;
const TOKENS: u32 = 20;
const TOKEN_MS: Ms = 10.0;
/// Tokens of a stream that is held open, and their pace.
const LONG_TOKENS: u32 = 100;
const LONG_MS: Ms = 200.0;

/// One way's figures; times are microseconds in the histograms.
struct Way {
    first: Histogram<u64>,
    gap: Histogram<u64>,
    done: u64,
    asked: u64,
}

impl Way {
    fn new() -> io::Result<Self> {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other);
        Ok(Way {
            first: histogram()?,
            gap: histogram()?,
            done: 0,
            asked: 0,
        })
    }

    fn row(&self, name: &str) -> String {
        let at = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let (f, g) = (&self.first, &self.gap);
        format!(
            "{name:<22}{:>6}/{:<6}{:>10.3}{:>10.3}{:>12.3}{:>10.3}\n",
            self.done,
            self.asked,
            at(f, 0.5),
            at(f, 0.99),
            at(g, 0.5),
            at(g, 0.99)
        )
    }
}

/// # Errors
/// Ports or processes cannot be had.
pub fn measure(args: &PriceArgs) -> io::Result<String> {
    block_on(async {
        let quick = start_fleet(&fleet(TOKEN_MS)?).await?;
        let mut out = format!(
            "{} tasks/s of {TOKENS} tokens, one each {TOKEN_MS} ms; {PREFILL_ENGINES} readers, {DECODE_ENGINES} writers \
             (simulated); times in ms\n{:<22}{:>6}/{:<6}{:>10}{:>10}{:>12}{:>10}\n",
            args.rate, "way", "done", "asked", "first p50", "p99", "token p50", "p99"
        );
        let straight = straight(&quick, args).await?;
        out += &straight.row("straight to hosts");
        let dispatcher = Serve::start(&quick, "price", "")?;
        let before = dispatcher.cpu();
        let through = through(&quick, &dispatcher.address, args).await?;
        let cpu = dispatcher.cpu() - before;
        out += &through.row("through a dispatcher");
        let added = |h: fn(&Way) -> &Histogram<u64>, q: f64| {
            let at = |w: &Way| h(w).value_at_quantile(q) as f64 / 1000.0;
            at(&through) - at(&straight)
        };
        out += &format!(
            "added: first token p50 {:.3}, p99 {:.3}; token p50 {:.3}, p99 {:.3}\n",
            added(|w| &w.first, 0.5),
            added(|w| &w.first, 0.99),
            added(|w| &w.gap, 0.5),
            added(|w| &w.gap, 0.99)
        );
        let each = cpu / through.done.max(1) as f64;
        out += &format!(
            "processor time: {each:.3} ms a task, so {:.0} tasks/s ({:.0} tokens/s) on one core\n",
            1000.0 / each.max(1e-6),
            1000.0 * f64::from(TOKENS) / each.max(1e-6)
        );
        drop(dispatcher);
        if args.fleet {
            out += &in_a_fleet(&quick, args, &through, each).await?;
        }
        let slow = start_fleet(&fleet(LONG_MS)?).await?;
        let dispatcher = Serve::start(&slow, "price", "")?;
        let (open, bytes, tokens_per_s, busy) = held_open(&slow, &dispatcher, args.streams).await?;
        out += &format!(
            "{open} streams open: {:.1} KiB a stream; {tokens_per_s:.0} tokens/s at {:.0}% of a core\n",
            bytes / open.max(1) as f64 / 1024.0,
            100.0 * busy
        );
        Ok(out)
    })
}

/// The same way through a dispatcher that is in a fleet, against the one that was not.
async fn in_a_fleet(
    quick: &TcpFleet,
    args: &PriceArgs,
    alone: &Way,
    each: Ms,
) -> io::Result<String> {
    let taken: Vec<std::net::TcpListener> = (0..3)
        .map(|_| std::net::TcpListener::bind("127.0.9.1:0"))
        .collect::<io::Result<_>>()?;
    let at: Vec<String> = taken
        .iter()
        .map(|l| l.local_addr().map(|a| a.to_string()))
        .collect::<io::Result<_>>()?;
    drop(taken);
    let voters: String = at
        .iter()
        .enumerate()
        .map(|(n, at)| format!("voter v{n} {at}\n"))
        .collect();
    let folder =
        std::env::temp_dir().join(format!("cindercleat-price-voters-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let start = |n: usize| {
        let file = folder.join(format!("v{n}"));
        let block = format!(
            "fleet\nlisten {}\nfile {}\nlease 1s\n{voters}end\n",
            at[n],
            file.display()
        );
        Serve::start(quick, &format!("v{n}"), &block)
    };
    let all = (0..3).map(start).collect::<io::Result<Vec<_>>>()?;
    // The first start, and a holder of the roll-call.
    quick.clock.sleep_until(quick.clock.now() + 1_500.0).await;
    let before = all[0].cpu();
    let way = through(quick, &all[0].address, args).await?;
    let cpu = (all[0].cpu() - before) / way.done.max(1) as f64;
    drop(all);
    std::fs::remove_dir_all(&folder)?;
    let mut out = way.row("one of a fleet's voters");
    let ratio = |h: fn(&Way) -> &Histogram<u64>, q: f64| {
        h(&way).value_at_quantile(q) as f64 / h(alone).value_at_quantile(q).max(1) as f64
    };
    out += &format!(
        "in a fleet against alone: first token p50 {:.3}, p99 {:.3}; token p50 {:.3}, p99 {:.3}; \
         processor time a task {:.3}\n",
        ratio(|w| &w.first, 0.5),
        ratio(|w| &w.first, 0.99),
        ratio(|w| &w.gap, 0.5),
        ratio(|w| &w.gap, 0.99),
        cpu / each.max(1e-6)
    );
    Ok(out)
}

fn settings() -> &'static str {
    include_str!("base.conf")
}

/// The small service with more engines, at a token's pace.
fn fleet(token_ms: Ms) -> io::Result<Day> {
    let mut day = script::read("base.conf", settings()).map_err(io::Error::other)?;
    let spec = |kind: &str| day.engines.iter().find(|h| h.kind == kind).cloned();
    let (Some(prefill_engine), Some(decode_engine)) = (spec("reader-box"), spec("writer-box"))
    else {
        return Err(io::Error::other("the small service lacks a kind"));
    };
    let mut engines = Vec::new();
    for (kind, count, spec) in [
        ("reader", PREFILL_ENGINES, prefill_engine),
        ("writer", DECODE_ENGINES, decode_engine),
    ] {
        for at in 0..count {
            let mut spec = spec.clone();
            spec.name = format!("{kind}-{at}");
            spec.cell = format!("c{}", at % 4);
            spec.zone = "north".to_owned();
            (spec.slots, spec.queue) = (200, 200);
            (spec.read_per_s, spec.memory_tokens) = (20_000_000.0, 1e9);
            (spec.token_ms, spec.answer_share) = (token_ms, 1.0);
            engines.push(spec);
        }
    }
    day.engines = engines;
    Ok(day)
}

/// `cindercleat serve` as a process of its own.
struct Serve {
    child: Child,
    address: String,
    folder: std::path::PathBuf,
}

impl Serve {
    /// `block`: what its settings say besides.
    fn start(fleet: &TcpFleet, name: &str, block: &str) -> io::Result<Serve> {
        let folder =
            std::env::temp_dir().join(format!("cindercleat-price-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("serve.conf");
        let text = conf(&fleet.feed_address)?.replacen("name price", &format!("name {name}"), 1);
        std::fs::write(&path, text + block)?;
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("serve").arg(&path).args(["--log-form", "json"]);
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("no log"))?;
        let mut lines = BufReader::new(log).lines();
        let address = lines.by_ref().find_map(|line| {
            let line: serde_json::Value = serde_json::from_str(&line.ok()?).ok()?;
            Some(line.get("fields")?.get("address")?.as_str()?.to_owned())
        });
        // What it says later is read so that it never waits for a prefill engine.
        std::thread::spawn(move || lines.for_each(drop));
        match address {
            Some(address) => Ok(Serve {
                child,
                address,
                folder,
            }),
            None => {
                let _ = child.wait();
                Err(io::Error::other("the dispatcher did not start"))
            }
        }
    }

    fn file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }

    /// Its processor time so far, in milliseconds.
    fn cpu(&self) -> Ms {
        cpu_of(&self.file("stat"))
    }

    /// Its resident memory, in bytes.
    fn memory(&self) -> f64 {
        let status = self.file("status");
        let line = status.lines().find(|l| l.starts_with("VmRSS:"));
        let kib = line
            .and_then(|l| l.split_whitespace().nth(1))
            .and_then(|w| w.parse::<f64>().ok());
        1024.0 * kib.unwrap_or(0.0)
    }
}

impl Drop for Serve {
    fn drop(&mut self) {
        // A process of ours, by its own handle.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The service's settings, without the stand-ins, for one dispatcher.
fn conf(feed: &str) -> io::Result<String> {
    let text = settings();
    let opens = ["profile", "tenant", "kind", "limits", "stand-in", "traffic"];
    Section::parse("base.conf", text, &opens).map_err(io::Error::other)?;
    let mut out = Vec::new();
    writeln!(
        out,
        "name price\nnumber 0 of 1\nzone north\nlisten 127.0.0.1:0\nlist-feed {feed}"
    )?;
    let (mut depth, mut skip) = (0, false);
    for line in text.lines() {
        let word = line.split_whitespace().next().unwrap_or("");
        if opens.contains(&word) && depth == 0 {
            (depth, skip) = (1, ["stand-in", "traffic"].contains(&word));
        }
        let wanted = if depth == 1 { !skip } else { word == "zones" };
        if wanted {
            writeln!(out, "{line}")?;
        }
        if word == "end" {
            depth = 0;
        }
    }
    String::from_utf8(out).map_err(io::Error::other)
}

fn submit(number: u64, tokens: u32) -> v1::Submit {
    v1::Submit {
        request_class: "caption-draft".to_owned(),
        session: number,
        prompt_tokens: 100,
        max_tokens: tokens,
        time_to_deadline_ms: 4000.0,
        key: number.to_string(),
        ..v1::Submit::default()
    }
}

/// Sends requests by the rate, each on its own; waits until all are over.
async fn arrivals<F: std::future::Future<Output = ()> + 'static>(
    clock: TokioClock,
    args: &PriceArgs,
    request: impl Fn(u64) -> F,
) {
    let mut rng = WyRand::new_seed(1);
    let (begin, mut at, mut number) = (clock.now(), clock.now(), 0);
    let mut open = Vec::new();
    while at < begin + 1000.0 * args.seconds {
        at += exponential(&mut rng, 1000.0 / args.rate.max(0.1));
        clock.sleep_until(at).await;
        number += 1;
        open.push(spawn_local(request(number)));
    }
    for request in open {
        let _ = request.await;
    }
}

type TcpPort = Rc<Port<Tcp, TokioClock>>;

async fn straight(fleet: &TcpFleet, args: &PriceArgs) -> io::Result<Way> {
    let ports = |kind: &str| -> Vec<(TcpPort, String, String)> {
        let engines = fleet
            .engines
            .iter()
            .filter(|(name, _)| name.starts_with(kind));
        let port = |(name, engine): (
            &String,
            &cindercleat_standin::engine::Engine<Tcp, TokioClock>,
        )| {
            let to = (&*engine.address(), v1::Party::Engine);
            let port = Port::to("direct", to, Tcp, fleet.clock, fleet.transcript.clone());
            (port, name.clone(), engine.address())
        };
        engines.map(port).collect()
    };
    let (prefill_engines, decode_engines) = (ports("reader"), ports("writer"));
    let way = Rc::new(RefCell::new(Way::new()?));
    let clock = fleet.clock;
    arrivals(clock, args, |number| {
        let prefill_engine = prefill_engines[number as usize % prefill_engines.len()].clone();
        let decode_engine = decode_engines[number as usize % decode_engines.len()]
            .0
            .clone();
        let way = way.clone();
        async move {
            let mut times = Times::new(clock);
            way.borrow_mut().asked += 1;
            if one_straight(&prefill_engine, &decode_engine, number, &mut times)
                .await
                .is_some()
            {
                times.tell(&mut way.borrow_mut());
            }
        }
    })
    .await;
    let way = Rc::try_unwrap(way).map_err(|_| io::Error::other("a task is left"))?;
    Ok(way.into_inner())
}

/// A request as a client would do it that knew the engines: a read, then a write.
async fn one_straight(
    (prefill_engine, name, address): &(TcpPort, String, String),
    decode_engine: &TcpPort,
    number: u64,
    times: &mut Times,
) -> Option<()> {
    let state = Some(v1::KvStateId {
        run: 1,
        request: number as u32,
        attempt: 0,
    });
    let read = v1::Prefill {
        state,
        session: number,
        prompt_tokens: 100,
        ..v1::Prefill::default()
    };
    let mut stream = prefill_engine.open(Body::Prefill(read)).await?;
    let Body::Ended(_) = stream.next().await? else {
        return None;
    };
    let write = v1::Decode {
        state,
        prefill_engine: name.clone(),
        prefill_engine_address: address.clone(),
        prompt_tokens: 100,
        max_tokens: TOKENS,
        window: u32::MAX,
        ..v1::Decode::default()
    };
    let mut stream = decode_engine.open(Body::Decode(write)).await?;
    loop {
        match stream.next().await? {
            Body::Tokens(_) => times.see(),
            Body::Ended(ended) => return (ended.status() == v1::Status::Succeeded).then_some(()),
            _ => return None,
        }
    }
}

async fn through(fleet: &TcpFleet, address: &str, args: &PriceArgs) -> io::Result<Way> {
    let port = |i: usize| {
        Port::new(
            &format!("c{i}"),
            address,
            Tcp,
            fleet.clock,
            fleet.transcript.clone(),
        )
    };
    let ports: Vec<TcpPort> = (0..PREFILL_ENGINES).map(port).collect();
    wait_for_list(&ports[0], fleet.clock).await;
    let way = Rc::new(RefCell::new(Way::new()?));
    let clock = fleet.clock;
    arrivals(clock, args, |number| {
        let port = ports[number as usize % ports.len()].clone();
        let way = way.clone();
        async move {
            let mut times = Times::new(clock);
            way.borrow_mut().asked += 1;
            let end = port
                .run(submit(number, TOKENS), None, |_| times.see())
                .await;
            if end == cindercleat_standin::client::End::Succeeded {
                times.tell(&mut way.borrow_mut());
            }
        }
    })
    .await;
    let way = Rc::try_unwrap(way).map_err(|_| io::Error::other("a task is left"))?;
    Ok(way.into_inner())
}

/// A dispatcher that has just started rejections until it has its list.
async fn wait_for_list(port: &TcpPort, clock: TokioClock) {
    while port.run(submit(0, 1), None, |_| {}).await != cindercleat_standin::client::End::Succeeded
    {
        clock.sleep_until(clock.now() + 20.0).await;
    }
}

/// Streams open, bytes that they take together, tokens a second and the share of a core meanwhile.
async fn held_open(
    fleet: &TcpFleet,
    dispatcher: &Serve,
    streams: usize,
) -> io::Result<(usize, f64, f64, f64)> {
    let clock = fleet.clock;
    let port = |i: usize| {
        Port::new(
            &format!("m{i}"),
            &dispatcher.address,
            Tcp,
            clock,
            fleet.transcript.clone(),
        )
    };
    let ports: Vec<TcpPort> = (0..PREFILL_ENGINES).map(port).collect();
    wait_for_list(&ports[0], clock).await;
    let before = dispatcher.memory();
    let (open, tokens) = (Rc::new(Cell::new(0_usize)), Rc::new(Cell::new(0_u64)));
    let mut senders = Vec::new();
    for at in 0..streams {
        let (port, open, tokens) = (
            ports[at % ports.len()].clone(),
            open.clone(),
            tokens.clone(),
        );
        senders.push(spawn_local(async move {
            let mut first = true;
            port.run(submit(1 + at as u64, LONG_TOKENS), None, |_| {
                open.set(open.get() + usize::from(std::mem::take(&mut first)));
                tokens.set(tokens.get() + 1);
            })
            .await;
        }));
        clock.sleep_until(clock.now() + 4.0).await;
    }
    clock.sleep_until(clock.now() + 1000.0).await;
    let (begin, cpu, told) = (clock.now(), dispatcher.cpu(), tokens.get());
    clock.sleep_until(begin + 4000.0).await;
    let took = clock.now() - begin;
    let bytes = dispatcher.memory() - before;
    let rate = 1000.0 * (tokens.get() - told) as f64 / took;
    let busy = (dispatcher.cpu() - cpu) / took;
    senders.iter().for_each(tokio::task::JoinHandle::abort);
    Ok((open.get(), bytes, rate, busy))
}

/// The instants of one stream.
struct Times {
    clock: TokioClock,
    begin: Ms,
    seen: Vec<Ms>,
}

impl Times {
    fn new(clock: TokioClock) -> Self {
        Times {
            clock,
            begin: clock.now(),
            seen: Vec::new(),
        }
    }

    fn see(&mut self) {
        self.seen.push(self.clock.now());
    }

    fn tell(&self, way: &mut Way) {
        way.done += 1;
        let first = self.seen.first().map(|at| at - self.begin);
        first
            .into_iter()
            .for_each(|ms| way.first.saturating_record((1000.0 * ms) as u64));
        for pair in self.seen.windows(2) {
            way.gap
                .saturating_record((1000.0 * (pair[1] - pair[0])) as u64);
        }
    }
}
