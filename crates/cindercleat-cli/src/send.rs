//! `send`: a client on the command line. One request prints its tokens as they come; many are sent in an open loop
//! (their arrivals never wait for answers), with times taken from each request's intended instant.

use crate::serve::block_on;
use cindercleat::interface::Ms;
use cindercleat_grpc::{connect, Event, Out, Session, Setup};
use cindercleat_net::{Clock, Tcp, TokioClock, Transport};
use cindercleat_protocol::{frame, v1, Body};
use clap::Args;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

#[derive(Args, Clone, Debug)]
pub struct SendArgs {
    /// A dispatcher, as HOST:PORT.
    to: String,
    #[arg(long = "profile", value_name = "PROFILE")]
    request_class: String,
    /// Tokens of the prompt; with a text, its words count unless this says otherwise.
    #[arg(long, required_unless_present = "text")]
    prompt_tokens: Option<u32>,
    /// The prompt.
    #[arg(long)]
    text: Option<String>,
    #[arg(long, default_value_t = 64)]
    max_tokens: u32,
    /// Milliseconds that the client waits for the beginning of an answer.
    #[arg(long = "patience", value_name = "PATIENCE", default_value_t = 10_000.0)]
    time_to_deadline: f64,
    #[arg(long, default_value = "")]
    tenant: String,
    /// The number of a beginning that prompts share, and its tokens.
    #[arg(long, default_value_t = 0)]
    shared_text: u64,
    #[arg(long, default_value_t = 0)]
    shared_tokens: u32,
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Tasks a second; all at once if it is not given.
    #[arg(long)]
    rate: Option<f64>,
}

/// What came of the requests.
struct Tally {
    ends: BTreeMap<&'static str, u64>,
    /// Microseconds from the intended instant to the first token, and to the end of those succeeded.
    first: Histogram<u64>,
    whole: Histogram<u64>,
    tokens: u64,
    /// The first reason given with an end that was not wanted.
    reason: Option<String>,
}

/// A request's end as users call it, and what was said with it.
type End = (&'static str, String);

/// One connection, until it is over or goes away.
struct Line {
    out: Out,
    streams: RefCell<BTreeMap<u64, mpsc::UnboundedSender<Body>>>,
    open: Cell<bool>,
}

struct Client {
    args: SendArgs,
    clock: TokioClock,
    line: tokio::sync::Mutex<Option<Rc<Line>>>,
    next: Cell<u64>,
}

/// Sends; tells whether all was succeeded.
///
/// # Errors
/// The dispatcher is not there, or a figure makes no sense.
pub fn send(args: SendArgs) -> io::Result<bool> {
    if args
        .rate
        .is_some_and(|rate| !rate.is_finite() || rate <= 0.0)
    {
        return Err(io::Error::other("--rate: tasks a second, over 0"));
    }
    block_on(async {
        let histogram =
            || Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(io::Error::other);
        let (first, whole) = (histogram()?, histogram()?);
        let tally = Tally {
            ends: BTreeMap::new(),
            first,
            whole,
            tokens: 0,
            reason: None,
        };
        let tally = Rc::new(RefCell::new(tally));
        let (clock, one) = (TokioClock::system(), args.count == 1);
        let (count, rate) = (args.count, args.rate);
        let client = Client {
            args,
            clock,
            line: tokio::sync::Mutex::default(),
            next: Cell::new(1),
        };
        let client = Rc::new(client);
        // Nobody there is no request's fault: it is said before the first.
        client.line().await.map_err(io::Error::other)?;
        let begin = clock.now();
        let mut senders = Vec::new();
        for n in 0..count {
            let at = begin + rate.map_or(0.0, |rate| 1000.0 * n as f64 / rate);
            clock.sleep_until(at).await;
            let (client, tally) = (client.clone(), tally.clone());
            senders.push(spawn_local(
                async move { client.request(at, one, &tally).await },
            ));
        }
        for sender in senders {
            sender.await.map_err(io::Error::other)?;
        }
        let tally = tally.borrow();
        let seconds = (clock.now() - begin) / 1000.0;
        let text = tally.summary(count, seconds);
        // The tokens of a single request are the output; what is said of it is not.
        if one {
            eprintln!("{text}");
        } else {
            println!("{text}");
        }
        Ok(tally.ends.get("fulfilled") == Some(&count))
    })
}

impl Tally {
    fn summary(&self, count: u64, seconds: f64) -> String {
        let ends: Vec<String> = self
            .ends
            .iter()
            .map(|(end, n)| format!("{n} {end}"))
            .collect();
        let mut out = format!(
            "{count} sent: {}; {} tokens in {seconds:.2} s",
            ends.join(", "),
            self.tokens
        );
        for (name, h) in [("first token", &self.first), ("whole answer", &self.whole)] {
            if !h.is_empty() {
                let at = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
                out += &format!(
                    "\n{name} ms: p50 {:.1}, p90 {:.1}, p99 {:.1}, most {:.1}",
                    at(0.5),
                    at(0.9),
                    at(0.99),
                    h.max() as f64 / 1000.0
                );
            }
        }
        if let Some(reason) = &self.reason {
            out += &format!("\nfor instance: {reason}");
        }
        out
    }
}

impl Client {
    /// The connection for the next request.
    async fn line(&self) -> Result<Rc<Line>, String> {
        let mut known = self.line.lock().await;
        if let Some(line) = known.as_ref().filter(|line| line.open.get()) {
            return Ok(line.clone());
        }
        let stream = Tcp
            .connect(&self.args.to)
            .await
            .map_err(|e| format!("{}: {e}", self.args.to))?;
        let (name, expects) = ("send".to_owned(), String::new());
        let (max_message_bytes, max_concurrent_calls) = (1 << 20, 1);
        let setup = Setup {
            party: v1::Party::Client,
            name,
            expects,
            run: 0,
            max_message_bytes,
            max_concurrent_calls,
        };
        let session = connect(stream, v1::Party::Dispatcher, setup).await;
        let Session {
            mut events, out, ..
        } = session.map_err(|e| format!("{}: {e}", self.args.to))?;
        let line = Rc::new(Line {
            out,
            streams: RefCell::default(),
            open: Cell::new(true),
        });
        let reading = line.clone();
        spawn_local(async move {
            while let Some(event) = events.recv().await {
                match event {
                    Event::Frame(frame) => {
                        if let (Some(to), Some(body)) =
                            (reading.streams.borrow().get(&frame.stream), frame.body)
                        {
                            let _ = to.send(body);
                        }
                    }
                    Event::GoingAway => reading.open.set(false),
                    Event::MessagesWritten { .. }
                    | Event::MessageBegun
                    | Event::UnsolicitedData => {}
                }
            }
            reading.open.set(false);
            reading.streams.borrow_mut().clear();
        });
        *known = Some(line.clone());
        Ok(line)
    }

    async fn request(&self, intended: Ms, print: bool, tally: &RefCell<Tally>) {
        let (end, reason) = self.run(intended, print, tally).await;
        if print {
            println!();
        }
        let mut tally = tally.borrow_mut();
        *tally.ends.entry(end).or_default() += 1;
        if end == "fulfilled" {
            tally
                .whole
                .saturating_record((1000.0 * (self.clock.now() - intended)) as u64);
        } else if tally.reason.is_none() && !reason.is_empty() {
            tally.reason = Some(format!("{end}: {reason}"));
        }
    }

    async fn run(&self, intended: Ms, print: bool, tally: &RefCell<Tally>) -> End {
        let line = match self.line().await {
            Ok(line) => line,
            Err(problem) => return ("not sent", problem),
        };
        let number = self.next.get();
        self.next.set(number + 1);
        let (to, mut from) = mpsc::unbounded_channel();
        line.streams.borrow_mut().insert(number, to);
        if !line
            .out
            .send(frame(number, Body::Submit(self.submit(number))))
        {
            return ("not sent", "the connection is over".to_owned());
        }
        let mut first = true;
        let end = loop {
            match from.recv().await {
                None => {
                    break (
                        "cut off",
                        "the connection ended: it may have run".to_owned(),
                    )
                }
                Some(Body::Tokens(tokens)) => {
                    let mut tally = tally.borrow_mut();
                    tally.tokens += u64::from(tokens.count);
                    if std::mem::take(&mut first) {
                        let took = self.clock.now() - intended;
                        tally.first.saturating_record((1000.0 * took) as u64);
                    }
                    if print {
                        print!("{}", String::from_utf8_lossy(&tokens.text));
                        let _ = io::stdout().flush();
                    }
                }
                Some(Body::Final(last)) => {
                    break match last.answer() {
                        v1::Answer::Succeeded => ("fulfilled", String::new()),
                        v1::Answer::Rejected => {
                            let after = format!(
                                "{}; again after {:.0} ms",
                                last.reason, last.retry_after_ms
                            );
                            ("bounced", after)
                        }
                        _ => ("written off", last.reason),
                    };
                }
                Some(Body::InvalidRequest(m)) => {
                    break ("rejected", format!("{}: {}", m.field, m.reason))
                }
                Some(Body::Goodbye(bye)) if bye.never_ran => break ("not sent", bye.reason),
                Some(Body::Goodbye(bye)) => break ("cut off", bye.reason),
                Some(_) => {}
            }
        };
        line.streams.borrow_mut().remove(&number);
        end
    }

    fn submit(&self, number: u64) -> v1::Submit {
        let args = &self.args;
        let words = args
            .text
            .as_deref()
            .map_or(0, |text| text.split_whitespace().count());
        v1::Submit {
            request_class: args.request_class.clone(),
            tenant: args.tenant.clone(),
            session: number,
            shared_text: args.shared_text,
            prompt_tokens: args.prompt_tokens.unwrap_or(words as u32),
            shared_tokens: args.shared_tokens,
            max_tokens: args.max_tokens,
            time_to_deadline_ms: args.time_to_deadline,
            prompt: args.text.clone().unwrap_or_default().into_bytes().into(),
            ..v1::Submit::default()
        }
    }
}
