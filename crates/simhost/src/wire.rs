//! The wire's lines to events, and actions to the wire's lines.

use base64::prelude::{Engine, BASE64_STANDARD};
use cindercleat::interface::*;
use cindercleat_conf::{self as conf, Malformed};
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

/// One line, understood.
pub enum Line {
    Empty,
    Begin {
        now: Ms,
        number: u64,
    },
    Start {
        instance: u32,
        seed: u64,
        settings: Box<Settings>,
    },
    PowerOff {
        instance: u32,
    },
    Event {
        instance: u32,
        event: Event,
    },
    Row(Endpoint),
    Flush,
}

/// Keeps what the next line depends on: its number, the list being read and the load columns.
#[derive(Default)]
pub struct Parser {
    number: u64,
    now_us: u64,
    rows_left: u64,
    list_owner: u32,
    columns: std::collections::BTreeMap<u32, Vec<String>>,
}

/// The parts of one line, taken from the left.
struct Parts<'a> {
    rest: Option<&'a str>,
}

impl<'a> Parts<'a> {
    fn next(&mut self, what: &str) -> Result<&'a str, Malformed> {
        let rest = self
            .rest
            .ok_or_else(|| Malformed::new(what, "the end of the line"))?;
        let (part, rest) = match rest.split_once('\t') {
            Some((part, rest)) => (part, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if part.is_empty() {
            return Err(Malformed::new(what, "nothing"));
        }
        Ok(part)
    }

    /// A part that may be `-`, or left out at the end of its line.
    fn maybe(&mut self) -> Option<&'a str> {
        self.rest?;
        self.next("").ok().filter(|p| *p != "-")
    }

    fn number<T: FromStr>(&mut self, what: &str) -> Result<T, Malformed> {
        let part = self.next(what)?;
        part.parse().map_err(|_| Malformed::new(what, part))
    }

    fn maybe_number<T: FromStr>(&mut self, what: &str) -> Result<Option<T>, Malformed> {
        self.maybe()
            .map(|p| p.parse().map_err(|_| Malformed::new(what, p)))
            .transpose()
    }

    fn amount(&mut self, what: &str) -> Result<f64, Malformed> {
        let found = self.maybe_number::<f64>(what)?.unwrap_or(0.0);
        if found.is_finite() {
            Ok(found)
        } else {
            Err(Malformed::new(what, found.to_string()))
        }
    }

    fn time(&mut self, what: &str) -> Result<Ms, Malformed> {
        self.number::<u64>(what).map(ms)
    }

    fn flag(&mut self, what: &str) -> Result<bool, Malformed> {
        match self.maybe() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(Malformed::new(what, other)),
        }
    }

    fn maybe_key(&mut self, what: &str) -> Result<Option<u64>, Malformed> {
        self.maybe()
            .map(|p| u64::from_str_radix(p, 16).map_err(|_| Malformed::new(what, p)))
            .transpose()
    }

    fn engine(&mut self) -> Result<EngineId, Malformed> {
        self.next("a model host").map(|p| EngineId(Arc::from(p)))
    }
}

fn ms(us: u64) -> Ms {
    us as f64 / 1000.0
}

/// Whole microseconds, never later than the milliseconds say.
fn us(ms: Ms) -> u64 {
    let down = (ms * 1000.0).floor().max(0.0);
    down as u64
}

impl Parser {
    pub fn at_line(&self, problem: Malformed) -> String {
        format!("line {}: {problem}", self.number)
    }

    pub fn list_owner(&self) -> u32 {
        self.list_owner
    }

    pub fn line(&mut self, raw: &[u8], in_batch: bool) -> Result<Line, Malformed> {
        self.number += 1;
        let text =
            std::str::from_utf8(raw).map_err(|_| Malformed::new("UTF-8 text", "other bytes"))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(Line::Empty);
        }
        let mut parts = Parts { rest: Some(text) };
        let name = parts.next("a message name")?;
        if self.rows_left > 0 && name != "row" {
            return Err(Malformed::new(
                format!("{} more row lines", self.rows_left),
                name,
            ));
        }
        match name {
            "begin_batch" if !in_batch => {
                self.now_us = parts.number("the clock in microseconds")?;
                Ok(Line::Begin {
                    now: ms(self.now_us),
                    number: parts.number("the batch's number")?,
                })
            }
            _ if !in_batch => Err(Malformed::new("begin_batch", name)),
            "flush" => Ok(Line::Flush),
            "row" if self.rows_left > 0 => {
                self.rows_left -= 1;
                self.row(&mut parts).map(Line::Row)
            }
            "begin" => {
                let instance = parts.number("an instance")?;
                let seed = parts.number("a seed")?;
                let conf = conf::read(parts.rest.unwrap_or(""))?;
                self.columns.insert(instance, conf.columns);
                Ok(Line::Start {
                    instance,
                    seed,
                    settings: Box::new(conf.settings),
                })
            }
            "power_off" => Ok(Line::PowerOff {
                instance: parts.number("an instance")?,
            }),
            _ => self.event(name, &mut parts),
        }
    }

    fn event(&mut self, name: &str, parts: &mut Parts) -> Result<Line, Malformed> {
        const EVENTS: [&str; 8] = [
            "announce",
            "accept",
            "withdrawn",
            "ack_first",
            "heard",
            "bell",
            "probe_result",
            "attempt_end",
        ];
        if !EVENTS.contains(&name) && name != "note" {
            return Err(Malformed::new("an event of the wire", name));
        }
        let instance: u32 = parts.number("an instance")?;
        let event = match name {
            "announce" => self.announce(instance, parts)?,
            "accept" => accept(parts)?,
            "withdrawn" => Event::ClientGone {
                request: request(parts)?,
            },
            "ack_first" => {
                let request = request(parts)?;
                let engine = parts.engine()?;
                let attempt = attempt(parts)?;
                Event::FirstToken {
                    request,
                    attempt,
                    engine,
                    latency: parts.time("a latency")?,
                }
            }
            "heard" => {
                let from = DispatcherId(parts.number("a dispatcher's number")?);
                let raw = parts.maybe().unwrap_or("");
                let bytes = BASE64_STANDARD
                    .decode(raw)
                    .map_err(|_| Malformed::new("base64", raw))?;
                Event::GossipReceived { from, bytes }
            }
            "bell" => {
                let token = parts.next("a timer's token")?;
                let timer = token
                    .parse()
                    .map_err(|_| Malformed::new("a timer that was armed", token))?;
                Event::Timer {
                    timer: TimerId(timer),
                }
            }
            "probe_result" => {
                let outcome = outcome(parts.next("an outcome")?)?;
                let latency = parts.time("a latency")?;
                let engine = parts.engine()?;
                Event::HealthChecked {
                    engine,
                    outcome,
                    latency,
                    load: self.load(instance, parts)?,
                }
            }
            "attempt_end" => {
                let request = request(parts)?;
                let attempt = attempt(parts)?;
                let engine = parts.engine()?;
                let outcome = outcome(parts.next("an outcome")?)?;
                let latency = parts.time("a latency")?;
                let last = parts.flag("1 or 0")?;
                let detail = parts.amount("a detail")?;
                let load = self.load(instance, parts)?;
                Event::Ended(Ended {
                    request,
                    attempt,
                    engine,
                    outcome,
                    latency,
                    last,
                    detail,
                    load,
                })
            }
            _ => {
                let request = request(parts)?;
                let attempt = attempt(parts)?;
                let engine = parts.engine()?;
                let kind: u32 = parts.number("1 or 2")?;
                Event::ReservationChanged {
                    request,
                    attempt,
                    engine,
                    held: kind == 1,
                }
            }
        };
        Ok(Line::Event { instance, event })
    }

    fn announce(&mut self, instance: u32, parts: &mut Parts) -> Result<Event, Malformed> {
        let kind = match parts.next("a kind of list")? {
            "changes" => EndpointUpdateKind::Delta,
            "all" => EndpointUpdateKind::Snapshot,
            "remembered" => EndpointUpdateKind::Cached,
            "refused" => EndpointUpdateKind::Rejected,
            other => return Err(Malformed::new("changes, all, remembered or refused", other)),
        };
        let _version: Option<i64> = parts.maybe_number("a version")?;
        self.rows_left = parts.maybe_number("a number of rows")?.unwrap_or(0);
        self.list_owner = instance;
        Ok(Event::EndpointsUpdated {
            kind,
            endpoints: Vec::new(),
        })
    }

    fn row(&self, parts: &mut Parts) -> Result<Endpoint, Malformed> {
        let engine = parts.engine()?;
        let zone = ZoneId(parts.maybe_number("a zone")?.unwrap_or(0));
        let kind = KindId(parts.maybe_number("a kind")?.unwrap_or(0));
        let cell = CellId(parts.maybe_number("a cell")?.unwrap_or(0));
        let status = match parts.next("a condition")? {
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            "gone" => EndpointStatus::Gone,
            other => return Err(Malformed::new("ready, draining or gone", other)),
        };
        let weight = parts.maybe_number("a weight")?.unwrap_or(1.0);
        let started = parts
            .maybe_number::<u64>("a start time")?
            .filter(|t| *t > 0)
            .map(ms);
        Ok(Endpoint {
            engine,
            zone,
            kind,
            cell,
            status,
            weight,
            started,
        })
    }

    fn load(&self, instance: u32, parts: &mut Parts) -> Result<Load, Malformed> {
        let mut load = Load::default();
        let Some(report) = parts.maybe() else {
            return Ok(load);
        };
        let columns = self.columns.get(&instance).map_or(&[][..], Vec::as_slice);
        for (column, value) in columns.iter().zip(report.split(',')) {
            if value == "-" || value.is_empty() {
                continue;
            }
            let value: f64 = value
                .parse()
                .map_err(|_| Malformed::new("a load report", report))?;
            let value = Some(value).filter(|v| v.is_finite());
            match column.as_str() {
                "active" => load.in_flight = value,
                "waiting" => load.queue = value,
                "cpu" => load.slots_used = value,
                "x0" => load.memory_held = value,
                "x1" => load.waiting_kilotokens = value,
                _ => {}
            }
        }
        Ok(load)
    }
}

fn request(parts: &mut Parts) -> Result<RequestId, Malformed> {
    parts.number("a request id").map(RequestId)
}

fn attempt(parts: &mut Parts) -> Result<AttemptId, Malformed> {
    parts.number("an attempt's number").map(AttemptId)
}

fn accept(parts: &mut Parts) -> Result<Event, Malformed> {
    Ok(Event::Arrived(Arrival {
        request: request(parts)?,
        request_class: RequestClassId(parts.number("a class")?),
        tenant: parts.maybe_number("a tenant")?.map(TenantId),
        session: SessionId(parts.maybe_key("a session's key")?.unwrap_or(0)),
        time_to_deadline: parts.time("the time left")?,
        answer_hint: parts.maybe_number("a hint")?.map(ms),
        shared: parts
            .maybe_key("a shared beginning's key")?
            .filter(|k| *k != 0)
            .map(SharedTextId),
        prompt_tokens: parts.amount("prompt tokens")?,
        shared_tokens: parts.amount("shared tokens")?,
        max_tokens: parts.amount("most tokens")?,
        retried: parts.flag("1 or 0")?,
        resumed: parts.flag("1 or 0")?,
    }))
}

fn outcome(word: &str) -> Result<Outcome, Malformed> {
    Ok(match word {
        "success" => Outcome::Succeeded,
        "failure" => Outcome::Failed,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        "ready_to_answer" => Outcome::PrefillDone,
        other => return Err(Malformed::new("an outcome of the wire", other)),
    })
}

/// Writes one action as one line.
pub fn write_action(out: &mut String, i: u32, action: &Action) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::StartAttempt {
            request,
            engine,
            until,
        } => {
            let until = until.map_or(0, |at| us(at).max(1));
            writeln!(out, "route\t{i}\t{}\t{}\t{until}", request.0, engine.0)
        }
        Action::Cancel { request, attempt } => {
            writeln!(out, "cancel\t{i}\t{}\t{}", request.0, attempt.0)
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            writeln!(
                out,
                "say_no\t{i}\t{}\t{}",
                request.0,
                retry_after.map_or(0, us)
            )
        }
        Action::Fail { request } => writeln!(out, "finish_error\t{i}\t{}", request.0),
        // Asked for only where deliveries are tracked.
        Action::Confirm { .. } | Action::ReleaseInDoubt { .. } => Ok(()),
        Action::Release { request } => writeln!(out, "let_go\t{i}\t{}", request.0),
        Action::Reserve { request, engine } => {
            writeln!(out, "earmark\t{i}\t{}\t{}", request.0, engine.0)
        }
        Action::Migrate { request } => writeln!(out, "transfer\t{i}\t{}", request.0),
        Action::SetTimer { delay, timer } => writeln!(out, "arm\t{i}\t{}\t{}", us(*delay), timer.0),
        Action::HealthCheck { engine } => writeln!(out, "poll\t{i}\t{}", engine.0),
        Action::CloseIdle { engine } => writeln!(out, "close_idle\t{i}\t{}", engine.0),
        Action::SendGossip { to, bytes } => {
            let to = to.map_or(-1, |d| i64::from(d.0));
            let raw = if bytes.is_empty() {
                "-".into()
            } else {
                BASE64_STANDARD.encode(bytes)
            };
            writeln!(out, "publish\t{i}\t{to}\t{raw}")
        }
        Action::FetchEndpoints => writeln!(out, "read_list\t{i}"),
        Action::WatchEndpoints { on } => writeln!(out, "track\t{i}\t{}", u8::from(*on)),
        Action::Log { text } => writeln!(out, "emit\t{i}\t{}", text.replace(['\n', '\r'], " ")),
    };
}
