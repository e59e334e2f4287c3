//! Parses lines of the simulator's protocol into events, and writes actions as lines.

use base64::prelude::{Engine, BASE64_STANDARD};
use cindercleat::interface::*;
use cindercleat_conf::{self as conf, Malformed};
use std::fmt::Write;
use std::str::FromStr;
use std::sync::Arc;

/// One parsed line of the simulator's protocol.
pub enum Line {
    Empty,
    /// Opens a batch of events at the time `now`.
    Begin {
        now: Ms,
        number: u64,
    },
    /// Starts an instance, or replaces it by a new one.
    Start {
        instance: u32,
        seed: u64,
        settings: Box<Settings>,
    },
    /// Removes an instance with all its state.
    PowerOff {
        instance: u32,
    },
    Event {
        instance: u32,
        event: Event,
    },
    /// One endpoint of the list that the last `EndpointsUpdated` event announced.
    Row(Endpoint),
    /// Closes the batch: every instance handles its events.
    Flush,
}

/// The parser's state between lines: the line number, the endpoint list being read, and each instance's load columns.
#[derive(Default)]
pub struct Parser {
    number: u64,
    now_us: u64,
    rows_left: u64,
    list_owner: u32,
    columns: std::collections::BTreeMap<u32, Vec<String>>,
}

/// The unread fields of one line. The `expected` argument of a method describes the field in error messages.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn next(&mut self, expected: &str) -> Result<&'a str, Malformed> {
        let rest = self
            .rest
            .ok_or_else(|| Malformed::new(expected, "the end of the line"))?;
        let (field, rest) = match rest.split_once('\t') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if field.is_empty() {
            return Err(Malformed::new(expected, "an empty field"));
        }
        Ok(field)
    }

    /// An optional field: `None` if the field is `-`, empty, or missing at the end of the line.
    fn optional(&mut self) -> Option<&'a str> {
        self.rest?;
        self.next("").ok().filter(|field| *field != "-")
    }

    fn number<T: FromStr>(&mut self, expected: &str) -> Result<T, Malformed> {
        let field = self.next(expected)?;
        field.parse().map_err(|_| Malformed::new(expected, field))
    }

    fn optional_number<T: FromStr>(&mut self, expected: &str) -> Result<Option<T>, Malformed> {
        self.optional()
            .map(|field| field.parse().map_err(|_| Malformed::new(expected, field)))
            .transpose()
    }

    /// A finite number; 0 if the field is missing.
    fn amount(&mut self, expected: &str) -> Result<f64, Malformed> {
        let amount = self.optional_number::<f64>(expected)?.unwrap_or(0.0);
        if amount.is_finite() {
            Ok(amount)
        } else {
            Err(Malformed::new(expected, amount.to_string()))
        }
    }

    /// A time, which lines state in whole microseconds.
    fn time(&mut self, expected: &str) -> Result<Ms, Malformed> {
        self.number::<u64>(expected).map(ms_from_us)
    }

    fn flag(&mut self, expected: &str) -> Result<bool, Malformed> {
        match self.optional() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(other) => Err(Malformed::new(expected, other)),
        }
    }

    /// A key in hexadecimal.
    fn optional_key(&mut self, expected: &str) -> Result<Option<u64>, Malformed> {
        self.optional()
            .map(|field| {
                u64::from_str_radix(field, 16).map_err(|_| Malformed::new(expected, field))
            })
            .transpose()
    }

    fn engine(&mut self) -> Result<EngineId, Malformed> {
        self.next("an engine name")
            .map(|name| EngineId(Arc::from(name)))
    }
}

fn ms_from_us(us: u64) -> Ms {
    us as f64 / 1000.0
}

/// Rounds down to whole microseconds, so that no deadline or timer is later than the decision module requested.
fn us_from_ms(ms: Ms) -> u64 {
    let microseconds = (ms * 1000.0).floor().max(0.0);
    microseconds as u64
}

impl Parser {
    /// The error message for the last line given to [`Parser::line`].
    pub fn at_line(&self, malformed: Malformed) -> String {
        format!("line {}: {malformed}", self.number)
    }

    /// The instance that the `row` lines belong to.
    pub fn list_owner(&self) -> u32 {
        self.list_owner
    }

    /// Parses one line. `in_batch` is true between a `begin_batch` line and its `flush` line.
    ///
    /// # Errors
    /// Returns an error that describes the first field that is missing or malformed.
    pub fn line(&mut self, bytes: &[u8], in_batch: bool) -> Result<Line, Malformed> {
        self.number += 1;
        let text =
            std::str::from_utf8(bytes).map_err(|_| Malformed::new("UTF-8 text", "other bytes"))?;
        let text = text.strip_suffix('\n').unwrap_or(text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        if text.is_empty() {
            return Ok(Line::Empty);
        }
        let mut fields = Fields { rest: Some(text) };
        let name = fields.next("a message name")?;
        if self.rows_left > 0 && name != "row" {
            return Err(Malformed::new(
                format!("{} more row lines", self.rows_left),
                name,
            ));
        }
        match name {
            "begin_batch" if !in_batch => {
                self.now_us = fields.number("the clock in microseconds")?;
                Ok(Line::Begin {
                    now: ms_from_us(self.now_us),
                    number: fields.number("the number of the batch")?,
                })
            }
            _ if !in_batch => Err(Malformed::new("begin_batch", name)),
            "flush" => Ok(Line::Flush),
            "row" if self.rows_left > 0 => {
                self.rows_left -= 1;
                self.row(&mut fields).map(Line::Row)
            }
            "begin" => {
                let instance = fields.number("an instance number")?;
                let seed = fields.number("a seed")?;
                let conf = conf::read(fields.rest.unwrap_or(""))?;
                self.columns.insert(instance, conf.columns);
                Ok(Line::Start {
                    instance,
                    seed,
                    settings: Box::new(conf.settings),
                })
            }
            "power_off" => Ok(Line::PowerOff {
                instance: fields.number("an instance number")?,
            }),
            _ => self.event(name, &mut fields),
        }
    }

    fn event(&mut self, name: &str, fields: &mut Fields) -> Result<Line, Malformed> {
        const EVENTS: [&str; 9] = [
            "announce",
            "accept",
            "withdrawn",
            "ack_first",
            "heard",
            "bell",
            "probe_result",
            "attempt_end",
            "note",
        ];
        if !EVENTS.contains(&name) {
            return Err(Malformed::new("an event of the simulator's protocol", name));
        }
        let instance: u32 = fields.number("an instance number")?;
        let event = match name {
            "announce" => self.announce(instance, fields)?,
            "accept" => accept(fields)?,
            "withdrawn" => Event::ClientGone {
                request: request(fields)?,
            },
            "ack_first" => {
                let request = request(fields)?;
                let engine = fields.engine()?;
                let attempt = attempt(fields)?;
                Event::FirstToken {
                    request,
                    attempt,
                    engine,
                    latency: fields.time("a latency")?,
                }
            }
            "heard" => {
                let from = DispatcherId(fields.number("a dispatcher's number")?);
                let encoded = fields.optional().unwrap_or("");
                let bytes = BASE64_STANDARD
                    .decode(encoded)
                    .map_err(|_| Malformed::new("base64", encoded))?;
                Event::GossipReceived { from, bytes }
            }
            "bell" => {
                let field = fields.next("a timer's id")?;
                let timer = field
                    .parse()
                    .map_err(|_| Malformed::new("the number of a timer", field))?;
                Event::Timer {
                    timer: TimerId(timer),
                }
            }
            "probe_result" => {
                let outcome = outcome(fields.next("an outcome")?)?;
                let latency = fields.time("a latency")?;
                let engine = fields.engine()?;
                Event::HealthChecked {
                    engine,
                    outcome,
                    latency,
                    load: self.load(instance, fields)?,
                }
            }
            "attempt_end" => {
                let request = request(fields)?;
                let attempt = attempt(fields)?;
                let engine = fields.engine()?;
                let outcome = outcome(fields.next("an outcome")?)?;
                let latency = fields.time("a latency")?;
                let last = fields.flag("the flag `last`, 1 or 0")?;
                let detail = fields.amount("a number as the detail of an attempt's end")?;
                let load = self.load(instance, fields)?;
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
            // `note`: a reservation changed; kind 1 means that the engine holds it.
            _ => {
                let request = request(fields)?;
                let attempt = attempt(fields)?;
                let engine = fields.engine()?;
                let kind: u32 = fields.number("the kind of a reservation change, 1 or 2")?;
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

    fn announce(&mut self, instance: u32, fields: &mut Fields) -> Result<Event, Malformed> {
        let kind = match fields.next("a kind of endpoint list")? {
            "changes" => EndpointUpdateKind::Delta,
            "all" => EndpointUpdateKind::Snapshot,
            "remembered" => EndpointUpdateKind::Cached,
            "refused" => EndpointUpdateKind::Rejected,
            other => return Err(Malformed::new("changes, all, remembered or refused", other)),
        };
        // The decision module does not use the list's version, but a malformed version is still an error.
        let _version: Option<i64> = fields.optional_number("a list version")?;
        self.rows_left = fields.optional_number("a number of rows")?.unwrap_or(0);
        self.list_owner = instance;
        Ok(Event::EndpointsUpdated {
            kind,
            endpoints: Vec::new(),
        })
    }

    fn row(&self, fields: &mut Fields) -> Result<Endpoint, Malformed> {
        let engine = fields.engine()?;
        let zone = ZoneId(fields.optional_number("a zone")?.unwrap_or(0));
        let kind = EngineKindId(fields.optional_number("an engine kind")?.unwrap_or(0));
        let cell = CellId(fields.optional_number("a cell")?.unwrap_or(0));
        let status = match fields.next("a status")? {
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            "gone" => EndpointStatus::Gone,
            other => return Err(Malformed::new("ready, draining or gone", other)),
        };
        let weight = fields.optional_number("a weight")?.unwrap_or(1.0);
        let started = fields
            .optional_number::<u64>("a start time")?
            .filter(|us| *us > 0)
            .map(ms_from_us);
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

    fn load(&self, instance: u32, fields: &mut Fields) -> Result<Load, Malformed> {
        let mut load = Load::default();
        let Some(report) = fields.optional() else {
            return Ok(load);
        };
        // An instance's `stats.columns` setting defines the order of the values.
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
                "waiting" => load.queued_requests = value,
                "cpu" => load.slots_used = value,
                "x0" => load.memory_held = value,
                "x1" => load.waiting_kilotokens = value,
                _ => {}
            }
        }
        Ok(load)
    }
}

fn request(fields: &mut Fields) -> Result<RequestId, Malformed> {
    fields.number("a request id").map(RequestId)
}

fn attempt(fields: &mut Fields) -> Result<AttemptId, Malformed> {
    fields.number("an attempt id").map(AttemptId)
}

fn accept(fields: &mut Fields) -> Result<Event, Malformed> {
    Ok(Event::Arrived(Arrival {
        request: request(fields)?,
        request_class: RequestClassId(fields.number("a request class")?),
        tenant: fields.optional_number("a tenant")?.map(TenantId),
        session: SessionId(fields.optional_key("a session's key")?.unwrap_or(0)),
        time_to_deadline: fields.time("the time to the deadline")?,
        answer_hint: fields
            .optional_number("an answer hint in microseconds")?
            .map(ms_from_us),
        shared_prefix: fields
            .optional_key("the key of a shared prefix")?
            .filter(|key| *key != 0)
            .map(SharedPrefixId),
        prompt_tokens: fields.amount("a number of prompt tokens")?,
        shared_tokens: fields.amount("a number of shared tokens")?,
        max_tokens: fields.amount("a maximum number of tokens")?,
        retried: fields.flag("the flag `retried`, 1 or 0")?,
        resumed: fields.flag("the flag `resumed`, 1 or 0")?,
    }))
}

fn outcome(name: &str) -> Result<Outcome, Malformed> {
    Ok(match name {
        "success" => Outcome::Succeeded,
        "failure" => Outcome::Failed,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::ConnectionLost,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::NotSent,
        "ready_to_answer" => Outcome::PrefillDone,
        other => {
            return Err(Malformed::new(
                "an outcome of the simulator's protocol",
                other,
            ))
        }
    })
}

/// Appends one action of an instance as one line. Actions without a line in the simulator's protocol are left out.
pub fn write_action(out: &mut String, instance: u32, action: &Action) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::StartAttempt {
            request,
            engine,
            until,
        } => {
            // In the line, 0 means that the attempt has no deadline.
            let until = until.map_or(0, |at| us_from_ms(at).max(1));
            writeln!(
                out,
                "route\t{instance}\t{}\t{}\t{until}",
                request.0, engine.0
            )
        }
        Action::Cancel { request, attempt } => {
            writeln!(out, "cancel\t{instance}\t{}\t{}", request.0, attempt.0)
        }
        Action::Reject {
            request,
            retry_after,
        } => {
            writeln!(
                out,
                "say_no\t{instance}\t{}\t{}",
                request.0,
                retry_after.map_or(0, us_from_ms)
            )
        }
        Action::Fail { request } => writeln!(out, "finish_error\t{instance}\t{}", request.0),
        // The module emits these only after `Control::track_deliveries`, which this host does not call.
        Action::ConfirmDelivery { .. } | Action::ReleaseUnlessClaimed { .. } => Ok(()),
        Action::Release { request } => writeln!(out, "let_go\t{instance}\t{}", request.0),
        Action::Reserve { request, engine } => {
            writeln!(out, "earmark\t{instance}\t{}\t{}", request.0, engine.0)
        }
        Action::Migrate { request } => writeln!(out, "transfer\t{instance}\t{}", request.0),
        Action::SetTimer { delay, timer } => {
            writeln!(out, "arm\t{instance}\t{}\t{}", us_from_ms(*delay), timer.0)
        }
        Action::HealthCheck { engine } => writeln!(out, "poll\t{instance}\t{}", engine.0),
        Action::CloseIdle { engine } => writeln!(out, "close_idle\t{instance}\t{}", engine.0),
        Action::SendGossip { to, bytes } => {
            // In the line, -1 addresses all other dispatchers.
            let to = to.map_or(-1, |dispatcher| i64::from(dispatcher.0));
            let encoded = if bytes.is_empty() {
                "-".into()
            } else {
                BASE64_STANDARD.encode(bytes)
            };
            writeln!(out, "publish\t{instance}\t{to}\t{encoded}")
        }
        Action::FetchEndpoints => writeln!(out, "read_list\t{instance}"),
        Action::WatchEndpoints { on } => writeln!(out, "track\t{instance}\t{}", u8::from(*on)),
        Action::Log { text } => {
            writeln!(out, "emit\t{instance}\t{}", text.replace(['\n', '\r'], " "))
        }
    };
}
