//! What is allowed, request by request, as a small machine made from the brief's words and from nothing of the deciding
//! module: each message that a stand-in sees must be a legal step. Bounds of time are the audit's; here it is the
//! order of things, so a breach is known at the message that makes it.
//!
//! A request is known by its key, which its tries, attempts and runs carry. What a dispatcher may believe is taken
//! from what was said to it: an attempt has not run if its engine said so (`full`, `no state`), and may have otherwise.

use cindercleat_protocol::{v1, Body};
use cindercleat_standin::transcript::{Note, Record, Way, What};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a request, as its request class says, may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Again {
    /// Whatever came of it.
    Always,
    /// Never.
    Never,
    /// The engines themselves see to it.
    IdempotencyKey,
}

/// Where a try stands: a client's stream.
#[derive(Clone, Debug, Default)]
struct Try {
    key: String,
    accepted: bool,
    /// The next token's place.
    position: u32,
    over: Option<&'static str>,
}

/// Where a request stands, over all of its tries.
#[derive(Clone, Debug, Default)]
struct Request {
    request_class: String,
    /// Writes that an engine took in and gave no end to, by engine.
    out: BTreeMap<Stream, String>,
    /// Writes that ended other than by proof that nothing ran.
    may_have_run: usize,
    succeeded: usize,
    ran: usize,
    /// Launches of the try of a dispatcher's process: reads and writes.
    attempts: BTreeMap<(u64, u32), u32>,
}

/// A stream as its seer numbers it.
type Stream = (String, u64, u64);

/// Watches records as they are made.
#[derive(Debug)]
pub struct Model {
    again: BTreeMap<String, Again>,
    most_attempts: u32,
    tries: BTreeMap<Stream, Try>,
    requests: BTreeMap<String, Request>,
    /// Launches that engines took in: whose they are, and whether they write.
    taken: BTreeMap<Stream, (String, bool)>,
    pub breaches: Vec<String>,
    /// Kinds of steps that were met, so that a run which met little is seen to prove little.
    pub met: BTreeMap<&'static str, u64>,
    pub answers: BTreeSet<(String, &'static str)>,
}

impl Model {
    pub fn new(again: BTreeMap<String, Again>, most_attempts: u32) -> Self {
        Model {
            again,
            most_attempts,
            tries: BTreeMap::new(),
            requests: BTreeMap::new(),
            taken: BTreeMap::new(),
            breaches: Vec::new(),
            met: BTreeMap::new(),
            answers: BTreeSet::new(),
        }
    }

    /// Takes one step.
    pub fn see(&mut self, record: &Record) {
        let wrong = match &record.what {
            What::Note(Note::Ran { key, request_class }) => self.runs(key, request_class),
            What::Note(Note::Closed { .. }) => {
                self.closed(&record.seer, record.conn);
                None
            }
            What::Note(Note::Died) => {
                self.died(&record.seer);
                None
            }
            What::Note(_) => None,
            What::Frame(way, frame) => {
                let stream = (record.seer.to_string(), record.conn, frame.stream);
                match (way, frame.body.as_ref()) {
                    (_, None) => None,
                    (Way::Out, Some(Body::Submit(submit))) => self.submitted(stream, submit),
                    (Way::In, Some(body)) if self.tries.contains_key(&stream) => {
                        self.answered(stream, body)
                    }
                    (Way::In, Some(Body::Prefill(read))) => {
                        self.attempted(stream, &read.key, read.state, None)
                    }
                    (Way::In, Some(Body::Decode(write))) => {
                        self.attempted(stream, &write.key, write.state, Some(&write.request_class))
                    }
                    (Way::Out, Some(Body::Ended(ended))) => self.ended(stream, ended),
                    _ => None,
                }
            }
        };
        if let Some(wrong) = wrong {
            self.breaches
                .push(format!("{:.1} at {}: {wrong}", record.at, record.seer));
        }
    }

    fn meet(&mut self, what: &'static str) {
        *self.met.entry(what).or_default() += 1;
    }

    fn again(&self, request_class: &str) -> Again {
        self.again
            .get(request_class)
            .copied()
            .unwrap_or(Again::Always)
    }

    fn submitted(&mut self, stream: Stream, submit: &v1::Submit) -> Option<String> {
        self.meet("try");
        let request = self.requests.entry(submit.key.clone()).or_default();
        request.request_class.clone_from(&submit.request_class);
        self.tries.insert(
            stream,
            Try {
                key: submit.key.clone(),
                ..Try::default()
            },
        );
        None
    }

    /// Something came back to a client.
    fn answered(&mut self, stream: Stream, body: &Body) -> Option<String> {
        let this = self.tries.get_mut(&stream)?;
        if let Some(over) = this.over {
            return Some(format!("{} gets more after it was {over}", this.key));
        }
        match body {
            Body::Accepted(_) if this.accepted => {
                return Some(format!("{} is accepted twice", this.key))
            }
            Body::Accepted(_) => this.accepted = true,
            Body::Tokens(_) if !this.accepted => {
                return Some(format!("{} streams, not accepted", this.key))
            }
            Body::Tokens(tokens) => {
                if tokens.position != this.position {
                    let (at, next) = (tokens.position, this.position);
                    return Some(format!(
                        "{} gets token {at} where {next} comes next",
                        this.key
                    ));
                }
                this.position += tokens.count;
            }
            Body::Final(last) => {
                let streamed = this.position > 0;
                let (key, answer) = (this.key.clone(), last.answer());
                let name = match answer {
                    v1::Answer::Succeeded => "fulfilled",
                    v1::Answer::Rejected => "bounced",
                    _ => "written off",
                };
                this.over = Some(name);
                return self.finished(&key, name, streamed);
            }
            Body::InvalidRequest(_) => this.over = Some("rejected"),
            Body::Goodbye(_) => this.over = Some("ended"),
            _ => return Some(format!("{} gets what no client gets", this.key)),
        }
        None
    }

    fn finished(&mut self, key: &str, answer: &'static str, streamed: bool) -> Option<String> {
        self.meet(answer);
        let request = self.requests.get(key)?;
        self.answers.insert((request.request_class.clone(), answer));
        let again = self.again(&request.request_class);
        match answer {
            "fulfilled" if request.succeeded == 0 => {
                Some(format!("{key} is fulfilled, and no host said so"))
            }
            "bounced" if streamed => Some(format!("{key} is bounced after its stream began")),
            "bounced" if again == Again::Never && request.may_have_run > 0 => {
                Some(format!("{key} is bounced and may have run"))
            }
            "bounced" if again == Again::Never && !request.out.is_empty() => {
                let engines: Vec<&String> = request.out.values().collect();
                Some(format!("{key} is bounced and is out at {engines:?}"))
            }
            _ => None,
        }
    }

    /// An engine takes an attempt in.
    fn attempted(
        &mut self,
        stream: Stream,
        key: &str,
        state: Option<v1::KvStateId>,
        writes: Option<&str>,
    ) -> Option<String> {
        self.meet(if writes.is_some() { "write" } else { "read" });
        let again = writes.map(|request_class| self.again(request_class));
        let most = self.most_attempts;
        let engine = stream.0.clone();
        self.taken
            .insert(stream.clone(), (key.to_owned(), writes.is_some()));
        let request = self.requests.get_mut(key)?;
        if let (Some(state), true) = (state, writes.is_none()) {
            // A read names its own attempt, counted from 0.
            let attempts = request
                .attempts
                .entry((state.run, state.request))
                .or_default();
            *attempts = (*attempts).max(state.attempt + 1);
            if *attempts > most {
                return Some(format!("{key} has {attempts} launches"));
            }
        }
        writes?;
        if again == Some(Again::Never) && (request.may_have_run > 0 || !request.out.is_empty()) {
            return Some(format!("{key} goes to {engine} and may have run"));
        }
        request.out.insert(stream, engine);
        None
    }

    /// An engine ends an attempt.
    fn ended(&mut self, stream: Stream, ended: &v1::Ended) -> Option<String> {
        let (key, writes) = self.taken.remove(&stream)?;
        let request = self.requests.get_mut(&key)?;
        if writes {
            request.out.remove(&stream);
            match ended.status() {
                v1::Status::Overloaded | v1::Status::NoState => {}
                v1::Status::Succeeded => {
                    request.succeeded += 1;
                    request.may_have_run += 1;
                }
                _ => request.may_have_run += 1,
            }
        }
        let met = match ended.status() {
            v1::Status::Overloaded => "said full",
            v1::Status::NoState => "said no state",
            v1::Status::Succeeded => "said fulfilled",
            v1::Status::PrefillDone => "said read",
            v1::Status::Cancelled => "said cancelled",
            _ => "said failed",
        };
        self.meet(met);
        None
    }

    fn runs(&mut self, key: &str, request_class: &str) -> Option<String> {
        self.meet("run");
        let again = self.again(request_class);
        let request = self.requests.get_mut(key)?;
        request.ran += 1;
        (again == Again::Never && request.ran > 1)
            .then(|| format!("{key} runs for the second time"))
    }

    /// What was out on a connection that is over may have run.
    fn closed(&mut self, seer: &str, conn: u64) {
        self.lose(|stream| stream.0 == seer && stream.1 == conn);
        for this in self
            .tries
            .iter_mut()
            .filter(|(s, _)| s.0 == seer && s.1 == conn)
            .map(|(_, t)| t)
        {
            this.over = this.over.or(Some("cut off"));
        }
    }

    fn died(&mut self, engine: &str) {
        self.lose(|stream| stream.0 == engine);
    }

    fn lose(&mut self, lost: impl Fn(&Stream) -> bool) {
        let streams: Vec<Stream> = self.taken.keys().filter(|s| lost(s)).cloned().collect();
        for stream in streams {
            let Some((key, writes)) = self.taken.remove(&stream) else {
                continue;
            };
            if let Some(request) = self.requests.get_mut(&key).filter(|_| writes) {
                request.out.remove(&stream);
                request.may_have_run += 1;
            }
        }
    }
}
