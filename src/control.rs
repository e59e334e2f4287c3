//! Every decision of a dispatcher: which prefill engine reads a request, which decode engine answers it, what follows a
//! failure, and when a request is rejected or failed.
//!
//! Callers make one [`Control`] a dispatcher, hand each batch of events to [`Control::step`] with its instant
//! and carry out the actions in order; timers come back as `Event::Timer`. The types of both sides are in
//! [`crate::interface`]. The same settings, seed and events give the same actions.
//! A step runs in three parts: `learn` takes the events in, `plan` sets what is wanted of each request that can
//! have changed (`Turns`), and `emit` alone turns the difference between wanted and present into actions.

mod delivery;

use crate::interface::*;
use delivery::Delivery;
pub use delivery::RECEIVED_LATE;
use nanorand::{Rng, WyRand};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The band under the best nearness within which load decides (the design's tau).
const TAU: f64 = 0.1;
/// A decode engine holding more of our streams than the average and this many is skipped (the design).
const ABOVE_AVERAGE: f64 = 1.0;
/// A home prefill engine whose waiting tokens exceed this many times the mean passes the read on (the design).
const HOME_ESCAPE: f64 = 2.0;
/// Shares of the release time: a state that found no decode engine is let go; held requests are looked at, and 'full'
/// engines asked, again.
const HOLD_SHARE: f64 = 0.7;
const RETRY_SHARE: f64 = 0.1;
/// How often the wait after a 'full' is doubled, at the most.
const FULLS_MOST: i32 = 5;
/// Own final answers come this many ticks before time to deadline ends.
const END_TICKS: f64 = 2.0;
/// A request that no prefill engine has taken by this share of its latency objective time is rejected: the answer would come late.
const HELD_SHARE: f64 = 0.4;
/// A read, or a first token, that takes more than this share of the shortest latency objective time waited in a queue.
const QUEUED: f64 = 0.3;
/// Launches out at a prefill engine and at a decode engine to start with, for all dispatchers; a limit's cut on a queue.
const READS_START: f64 = 12.0;
const STREAMS_START: f64 = 48.0;
const LIMIT_CUT: f64 = 0.7;
/// Readers have room to spare below this share of their limits; a text is kept with less than this unread.
const SPARE: f64 = 0.5;
/// Streams last long, so a decode engine's limit grows so much faster than a prefill engine's.
const STREAMS_GROW: f64 = 3.0;
/// Part of the cold budget that is used, the rest being for what one dispatcher cannot see.
const COLD_MARGIN: f64 = 0.8;
/// In shortest latency objective times: how long a read waits for probes; for how long an attempt's answer, or a report,
/// stands in for a probe; how fast a report grows stale.
const LOOK: f64 = 0.03;
const HEARD: f64 = 2.0;
const FRESH: f64 = 0.25;
const STALE: f64 = 3.0;
/// Last outcomes that judge an engine, how few are too few, and the share of its peers' success that it needs.
const JUDGED: u32 = 8;
const JUDGED_LEAST: u32 = 3;
const SICK_BELOW: f64 = 0.5;
/// Beginnings and sessions remembered as kept at a prefill engine.
const KEPT_MOST: usize = 64;
/// How many times the mean an engine near a busy prefill engine may be wanted.
const HOT: f64 = 4.0;
/// The golden ratio of a turn: multiples of it lie evenly however many there are (Weyl's sequence).
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// Readers among which the reads of one beginning are spread.
const HOMES: usize = 4;

/// An engine's place in the parallel arrays that hold what is known of engines.
type Slot = usize;

#[derive(Default)]
struct Engines {
    dispatchers: f64,
    index: BTreeMap<EngineId, Slot>,
    /// Its line of the list, its kind, and when it last started.
    listed: Vec<Endpoint>,
    kind: Vec<KindSettings>,
    started: Vec<Ms>,
    /// Own streams and own reads out, and the unread tokens of those reads.
    streams: Vec<f64>,
    reads: Vec<f64>,
    reading: Vec<f64>,
    /// How many of our reads or streams there may be, and when that was last cut.
    limit: Vec<f64>,
    cut_at: Vec<Ms>,
    /// The beginnings and sessions read there lately, each with the tokens that it keeps of them.
    kept: Vec<VecDeque<(u64, f64)>>,
    /// What it last reported: requests in flight, and tokens waiting to be read or fetched.
    reported: Vec<f64>,
    reported_tokens: Vec<f64>,
    reported_load: Vec<f64>,
    reported_at: Vec<Ms>,
    asked_at: Vec<Ms>,
    answered_at: Vec<Ms>,
    /// Whether its last probe came back without an answer.
    silent: Vec<bool>,
    typical: f64,
    typical_of: f64,
    stale: Ms,
    /// Last outcomes, newest in the lowest bit, above them a one.
    outcomes: Vec<u32>,
    /// When it last answered an attempt; until when a 'full' or a judgement keeps it out of the choice.
    heard: Vec<Ms>,
    full_until: Vec<Ms>,
    /// How often it was full in a row.
    fulls: Vec<i32>,
    trial_at: Vec<Ms>,
    sends: Vec<VecDeque<Ms>>,
}

struct RequestClass {
    retry_safety: RetrySafety,
    latency_objective: Ms,
    latency_objective_per_token: Ms,
}

#[derive(Default)]
struct Out {
    attempt: AttemptId,
    slot: Slot,
    reading: bool,
    streaming: bool,
    cancelled: bool,
    late: bool,
    tokens: f64,
    sent: Ms,
    delivery: Delivery,
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Want {
    #[default]
    Rest,
    Start(Slot),
    Reject,
    Fail,
}

#[derive(Default)]
struct Request {
    arrival: Arrival,
    /// When a read must be out for the answer to come within the latency objective time.
    read_by: Ms,
    ends: Ms,
    /// The shortest latency objective time of all request classes, for a prompt of this length: the measure of queues.
    allowed: Ms,
    attempts: u32,
    out: Option<Out>,
    /// Where its KV state waits, and since when the release time counts.
    state: Option<Slot>,
    idle_since: Ms,
    /// Held: when it is looked at again.
    look_at: Ms,
    /// Writers and prefill engines that turned this request away or failed it since its last read.
    tried: Vec<Slot>,
    /// The first attempt that may have run: where and when.
    may_have_run: Option<(Slot, Ms)>,
    over: bool,
    over_quota: bool,
    want: Want,
    want_cancel: bool,
    want_release: bool,
    want_confirm: bool,
    want_release_in_doubt: bool,
}

pub struct Control {
    settings: Settings,
    tracks_deliveries: bool,
    request_classes: Vec<RequestClass>,
    /// The shortest latency objective time, and what a prompt token adds to it.
    shortest_latency_objective: Ms,
    latency_objective_per_token: Ms,
    rng: WyRand,
    now: Ms,
    engines: Engines,
    requests: BTreeMap<RequestId, Request>,
    queue: Turns,
    /// Launches a millisecond that a warm decode engine, and a warm prefill engine, bear of ours, and requests that arrive.
    borne: [Rate; 2],
    arriving: Rate,
    /// When the requests of the last fall window arrived.
    arrived: VecDeque<Ms>,
    tenants: Vec<Rate>,
    wanted_probes: Vec<Slot>,
    wanted_wake: Option<Ms>,
    armed: Option<Ms>,
    timers: u64,
    planned: u64,
}

impl Control {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let row = |p: &RequestClassSettings| RequestClass {
            retry_safety: p.retry_safety,
            latency_objective: p.latency_objective,
            latency_objective_per_token: p.latency_objective_per_1000_tokens / 1000.0,
        };
        let request_classes: Vec<RequestClass> = settings.request_classes.iter().map(row).collect();
        let shortest_latency_objective = request_classes
            .iter()
            .map(|row| row.latency_objective)
            .fold(f64::INFINITY, f64::min);
        Control {
            shortest_latency_objective,
            latency_objective_per_token: request_classes
                .iter()
                .map(|row| row.latency_objective_per_token)
                .fold(0.0, f64::max),
            request_classes,
            rng: WyRand::new_seed(seed),
            now: 0.0,
            engines: Engines {
                dispatchers: f64::from(settings.dispatchers.max(1)),
                stale: STALE * shortest_latency_objective,
                ..Engines::default()
            },
            requests: BTreeMap::new(),
            queue: Turns::default(),
            borne: Default::default(),
            arriving: Rate::default(),
            arrived: VecDeque::new(),
            tenants: settings.tenants.iter().map(|_| Rate::default()).collect(),
            wanted_probes: Vec::new(),
            wanted_wake: None,
            armed: None,
            timers: 0,
            planned: 0,
            tracks_deliveries: false,
            settings,
        }
    }

    pub fn step(&mut self, now: Ms, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        for event in events {
            self.learn(event);
        }
        self.wanted_wake = None;
        self.queue.fall_due(self.now);
        for id in self.turns() {
            let Some(mut request) = self.requests.remove(&id) else {
                continue;
            };
            self.queue.coming -= request.coming();
            self.plan(&mut request);
            self.planned += 1;
            self.emit(id, &mut request, actions);
            self.queue.settle(id, &request, self.now);
            self.queue.coming += request.coming();
            if !(request.over && request.out.is_none()) {
                self.requests.insert(id, request);
            }
        }
        debug_assert_eq!(
            self.queue.coming,
            self.requests.values().map(Request::coming).sum::<usize>()
        );
        if let Some(&(due, _)) = self.queue.due.first() {
            self.wake_at(due.0);
        }
        let engine = |slot: Slot| Action::HealthCheck {
            engine: self.engines.listed[slot].engine.clone(),
        };
        actions.extend(self.wanted_probes.iter().map(|&slot| engine(slot)));
        self.wanted_probes.clear();
        self.emit_timer(actions);
    }

    /// The plain rule, which the lean one is held against: every request but the held is planned at the next
    /// step.
    pub fn wake_all(&mut self) {
        let free = self
            .requests
            .iter()
            .filter(|(_, request)| request.out.is_some() || request.look_at <= self.now);
        self.queue.awake.extend(free.map(|(id, _)| *id));
    }

    /// How many requests were planned so far.
    pub fn planned(&self) -> u64 {
        self.planned
    }

    fn learn(&mut self, event: &Event) {
        match event {
            Event::EndpointsUpdated { kind, endpoints } => self.learn_list(*kind, endpoints),
            Event::Arrived(arrival) => self.learn_arrival(arrival),
            Event::ClientGone { request } => {
                if let Some(held) = self.requests.get_mut(request) {
                    held.over = true;
                    self.queue.awake.insert(*request);
                }
            }
            Event::FirstToken {
                request, attempt, ..
            } => {
                let (id, Some(request)) = (*request, self.requests.get_mut(request)) else {
                    return;
                };
                let Some(out) = request.out.as_mut().filter(|o| o.attempt == *attempt) else {
                    return;
                };
                out.streaming = true;
                out.delivery = Delivery::Confirmed;
                request.state = None;
                self.queue.awake.insert(id);
                let slot = out.slot;
                let allowed = QUEUED * request.allowed;
                self.engines
                    .learn_limit(slot, out.sent, self.now - out.sent > allowed, self.now);
                self.engines.heard[slot] = self.now;
                self.note_done(slot, false);
            }
            Event::Ended(ended) => self.learn_end(ended),
            Event::Delivered { request, attempt } => self.learn_delivery(*request, *attempt),
            Event::Timer { timer } if timer.0 == self.timers => self.armed = None,
            Event::HealthChecked {
                engine,
                outcome,
                load,
                ..
            } => {
                let Some(&slot) = self.engines.index.get(engine) else {
                    return;
                };
                self.engines.silent[slot] = *outcome != Outcome::Succeeded;
                self.engines.answered_at[slot] = self.now;
                self.engines.note_load(slot, load, self.now);
            }
            Event::Timer { .. }
            | Event::ReservationChanged { .. }
            | Event::GossipReceived { .. } => {}
        }
    }

    fn learn_list(&mut self, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        if matches!(
            kind,
            EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached
        ) {
            let here: BTreeSet<&EngineId> = endpoints.iter().map(|entry| &entry.engine).collect();
            for listed in &mut self.engines.listed {
                if !here.contains(&listed.engine) {
                    listed.status = EndpointStatus::Gone;
                }
            }
        }
        for entry in endpoints {
            let Some(kind) = self.settings.kinds.get(entry.kind.0 as usize) else {
                continue;
            };
            let started = entry.started.unwrap_or(f64::NEG_INFINITY);
            let slot = self.engines.slot(entry, kind);
            if started > self.engines.started[slot] {
                // A new process under the same id: what was learned of the old one is void.
                self.engines.outcomes[slot] = 1;
                self.engines.reported_at[slot] = f64::NEG_INFINITY;
                self.engines.kept[slot].clear();
            }
            self.engines.started[slot] = started;
            self.engines.listed[slot] = entry.clone();
        }
    }

    fn learn_arrival(&mut self, arrival: &Arrival) {
        let over_quota = self.over_quota(arrival.tenant);
        let Some(row) = self.request_classes.get(arrival.request_class.0 as usize) else {
            return;
        };
        let request = Request {
            over_quota,
            read_by: self.now
                + HELD_SHARE
                    * (row.latency_objective
                        + row.latency_objective_per_token * arrival.prompt_tokens),
            ends: self.now + arrival.time_to_deadline - END_TICKS * self.settings.tick,
            allowed: self.shortest_latency_objective
                + self.latency_objective_per_token * arrival.prompt_tokens,
            arrival: arrival.clone(),
            idle_since: self.now,
            ..Request::default()
        };
        self.requests.insert(arrival.request, request);
        self.queue.awake.insert(arrival.request);
        self.arriving
            .note(1.0, self.now, self.settings.slow_start_window);
        let oldest = self.now - self.settings.overload_window;
        self.arrived.push_back(self.now);
        while self.arrived.pop_front_if(|at| *at <= oldest).is_some() {}
    }

    /// Whether a tenant sends more than its share, as far as one dispatcher's part of its requests tells.
    fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(at) = tenant.map(|t| t.0 as usize) else {
            return false;
        };
        let Some(sent) = self.tenants.get_mut(at) else {
            return false;
        };
        sent.note(1.0, self.now, self.settings.slow_start_window);
        1000.0 * sent.rate * self.engines.dispatchers > self.settings.tenants[at].quota_per_second
    }

    fn learn_end(&mut self, ended: &Ended) {
        let Some(&slot) = self.engines.index.get(&ended.engine) else {
            return;
        };
        self.engines.note_load(slot, &ended.load, self.now);
        let Some(request) = self.requests.get_mut(&ended.request) else {
            return;
        };
        let coming = request.coming();
        let Some(out) = request
            .out
            .take_if(|o| o.attempt == ended.attempt && o.slot == slot)
        else {
            return;
        };
        self.queue.coming -= coming;
        self.queue.awake.insert(ended.request);
        self.engines.tally(&out, -1.0);
        let queued =
            ended.outcome != Outcome::PrefillDone || self.now - out.sent > QUEUED * request.allowed;
        if out.reading
            && matches!(
                ended.outcome,
                Outcome::PrefillDone | Outcome::TimedOut | Outcome::Overloaded
            )
        {
            self.engines.learn_limit(slot, out.sent, queued, self.now);
        }
        // What came late, or was rejected, tells of a queue: a probe is wanted the more.
        if !out.reading && ended.outcome == Outcome::Succeeded || out.reading && !queued {
            self.engines.heard[slot] = self.now;
        }
        request.over |= ended.last;
        if out.has_arrived(ended.outcome) {
            request.idle_since = self.now;
        }
        let never_ran = self.engines.only_reads(&out)
            || matches!(
                ended.outcome,
                Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent
            );
        if !never_ran && ended.outcome != Outcome::Succeeded {
            request.may_have_run.get_or_insert((slot, out.sent));
        }
        match ended.outcome {
            Outcome::Succeeded => self.engines.judge(slot, true),
            Outcome::PrefillDone => {
                request.state = Some(slot);
                request.tried.clear();
                self.engines.note_kept(slot, &request.arrival);
                let read = request.arrival.prompt_tokens - ended.detail;
                self.engines.typical_of = (self.engines.typical_of + 1.0).min(f64::from(JUDGED));
                self.engines.typical += (read - self.engines.typical) / self.engines.typical_of;
                self.note_done(slot, true);
            }
            // The state is gone (its prefill engine died or let it go): read again.
            Outcome::Overloaded if ended.detail == 1.0 => request.state = None,
            Outcome::Overloaded => {
                request.tried.push(slot);
                // Guards against an engine that turns all away: it always looks as if it had room.
                let wait = RETRY_SHARE
                    * self.settings.kv_state_timeout
                    * 2.0_f64.powi(self.engines.fulls[slot]);
                self.engines.full_until[slot] = self.now + wait;
                self.engines.fulls[slot] = (self.engines.fulls[slot] + 1).min(FULLS_MOST);
            }
            Outcome::Failed
            | Outcome::TimedOut
            | Outcome::ConnectionLost
            | Outcome::Unreachable => {
                request.tried.push(slot);
                self.engines.judge(slot, false);
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Whoever is planned first takes the room: those within their tenant's share, of kept text, the soonest.
    fn turns(&self) -> Vec<RequestId> {
        let cheap = |s: Slot, a: &Arrival| self.engines.unread(s, a) < SPARE * a.prompt_tokens;
        let dear = |t: &Request| {
            t.attempts == 0 && !self.engines.ready(true).any(|s| cheap(s, &t.arrival))
        };
        let turn = |(id, t): (&RequestId, &Request)| {
            (t.over_quota, dear(t), (1000.0 * t.read_by) as i64, *id)
        };
        let awake = self
            .queue
            .awake
            .iter()
            .filter_map(|id| self.requests.get_key_value(id));
        let turns: BTreeSet<_> = awake.map(turn).collect();
        turns.into_iter().map(|turn| turn.3).collect()
    }

    fn plan(&mut self, request: &mut Request) {
        (request.want, request.want_cancel, request.look_at) = (Want::Rest, false, self.now);
        (request.want_confirm, request.want_release_in_doubt) = (false, false);
        if request.over {
            request.want_cancel = request.out.as_ref().is_some_and(|o| !o.streaming);
            request.want_release = request.out.is_none() && request.state.is_some();
            if !self.settings.may_cancel {
                self.plan_delivery(request);
            }
            return;
        }
        if request.out.as_ref().is_some_and(|o| o.streaming) {
            return;
        }
        // Guards against a jam that feeds on itself: prefill engines busy with requests whose time has passed make the
        // next ones late too. What no prefill engine has taken by then is rejected, while a reject is harmless.
        let held = request.out.is_none() && request.state.is_none();
        let ends = if held {
            request.ends.min(request.read_by)
        } else {
            request.ends
        };
        let barred = request
            .may_have_run
            .is_some_and(|(first, _)| !self.may_go_to(request, first));
        if self.now >= ends || request.out.is_none() && barred {
            return self.give_up(request);
        }
        self.wake_at(ends);
        if let Some(out) = request.out.as_mut() {
            // Evidence before the outcome: what is late has queued; the engine may never answer.
            let late_at = out.sent + QUEUED * request.allowed;
            if self.now < late_at {
                self.wake_at(late_at);
            } else if !out.late {
                out.late = true;
                self.engines.learn_limit(out.slot, out.sent, true, self.now);
            }
            return self.plan_delivery(request);
        }
        let left = self.settings.max_attempts.saturating_sub(request.attempts);
        // A state whose prefill engine is gone is read again, and let go in case the list is wrong.
        request.want_release = request
            .state
            .is_some_and(|s| self.engines.listed[s].status == EndpointStatus::Gone);
        let look_again = (RETRY_SHARE * self.settings.kv_state_timeout).max(self.settings.tick);
        let lies = self.now + look_again - request.idle_since
            > HOLD_SHARE * self.settings.kv_state_timeout;
        let target = match request.state.filter(|_| !request.want_release) {
            _ if left == 0 => return self.give_up(request),
            Some(_) if lies => return self.give_up(request),
            Some(prefill_engine) => self.choose_decode_engine(request, prefill_engine),
            None if left < 2 => return self.give_up(request),
            None if !self.decode_engines_have_room() => None,
            None if self.look(request) => None,
            None => self.choose_prefill_engine(request),
        };
        if let Some(slot) = target {
            request.want = Want::Start(slot);
            if request.state.is_none() {
                // The decode engines of its cell are asked during the read, for the choice at its end.
                let near = |w: &Slot| self.nearness(slot, *w) >= 1.0 - TAU;
                let near: Vec<Slot> = self.pool(request, false).into_iter().filter(near).collect();
                self.ask(&near);
            }
            return;
        }
        // Guards against a jam of held requests that takes all the processor's time: they are not planned at
        // every step.
        if request.state.is_none()
            && self.now >= request.idle_since + LOOK * self.shortest_latency_objective
        {
            request.look_at = self.now + look_again;
        }
        self.wake_at(self.now + look_again);
    }

    /// The request ends here, its state let go at once or, as an attempt still waits for it, with that attempt's
    /// outcome: a reject where a retry is sure to do no harm, else a failure.
    fn give_up(&self, request: &mut Request) {
        let out_at_writer = request
            .out
            .as_ref()
            .is_some_and(|o| !self.engines.only_reads(o));
        let may_have_run = request.may_have_run.is_some() || out_at_writer;
        let harmless = match self.retry_safety(request) {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { scope, .. } => {
                !may_have_run || scope == IdempotencyScope::All
            }
            RetrySafety::AtMostOnce => !may_have_run,
        };
        request.want = if harmless { Want::Reject } else { Want::Fail };
        request.want_cancel = request.out.is_some();
        request.want_release = request.out.is_none() && request.state.is_some();
    }

    fn retry_safety(&self, request: &Request) -> RetrySafety {
        self.request_classes[request.arrival.request_class.0 as usize].retry_safety
    }

    /// Whether a request may be sent there, if it may have run; it may run again at all where it ran first.
    fn may_go_to(&self, request: &Request, slot: Slot) -> bool {
        let Some((first, at)) = request.may_have_run else {
            return true;
        };
        let [a, b] = [first, slot].map(|s| &self.engines.listed[s]);
        match self.retry_safety(request) {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { window, .. } if self.now >= at + window => false,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Zone,
                ..
            } => a.zone == b.zone,
            RetrySafety::IdempotencyKey {
                scope: IdempotencyScope::Cell,
                ..
            } => a.cell == b.cell,
            RetrySafety::IdempotencyKey { .. } => true,
            RetrySafety::AtMostOnce => false,
        }
    }

    /// The prefill engines that the hash of a beginning names, in the order in which a session tries them: the home
    /// of all that begin so, then a few next to it, by the session's own hash. Guards against text scattered
    /// over the fleet: whoever sends a session's prompts finds them kept at one of the same few prefill engines.
    fn homes(&self, arrival: &Arrival, pool: &[Slot]) -> Vec<Slot> {
        let beginning = arrival.shared.map_or(arrival.session.0, |shared| shared.0);
        let rank =
            |s: Slot, key: u64| xxh3_64_with_seed(self.engines.listed[s].engine.0.as_bytes(), key);
        let mut homes: Vec<(u64, Slot)> = pool.iter().map(|&s| (rank(s, beginning), s)).collect();
        homes.sort_unstable_by(|a, b| b.cmp(a));
        homes.truncate(HOMES);
        let mut homes: Vec<Slot> = homes.into_iter().map(|(_, s)| s).collect();
        if let Some(next) = homes.get_mut(1..) {
            next.sort_unstable_by_key(|&s| rank(s, arrival.session.0));
        }
        homes
    }

    /// Whether to wait for probes before a read: the home and the session's next are asked.
    fn look(&mut self, request: &Request) -> bool {
        let until = request.idle_since + LOOK * self.shortest_latency_objective;
        let mut homes = self.homes(&request.arrival, &self.pool(request, true));
        homes.truncate(2);
        let out = self.now < until && self.ask(&homes);
        if out {
            self.wake_at(until);
        }
        out
    }

    /// Wants probes of engines of which nothing was heard lately; tells whether one is out.
    fn ask(&mut self, engines: &[Slot]) -> bool {
        let mut any_out = false;
        for &slot in engines.iter().filter(|_| self.settings.may_health_check) {
            let asked = self.engines.asked_at[slot];
            let known = self.now - asked.max(self.engines.reported_at[slot])
                < FRESH * self.shortest_latency_objective
                || self.now - self.engines.heard[slot] < HEARD * self.shortest_latency_objective
                || self.engines.streams[slot] > ABOVE_AVERAGE;
            let out = asked
                > self.engines.answered_at[slot]
                    .max(self.now - HEARD * self.shortest_latency_objective);
            if !out && !known {
                self.engines.asked_at[slot] = self.now;
                self.wanted_probes.push(slot);
            }
            any_out |= out || !known;
        }
        any_out
    }

    /// The reads' rule: the home that the hash names, unless too much waits there; then the next of its few
    /// where less does.
    fn choose_prefill_engine(&self, request: &Request) -> Option<Slot> {
        let pool = self.pool(request, true);
        let arrival = &request.arrival;
        let homes = self.homes(arrival, &pool);
        let home = *homes.first()?;
        // What is known of few must not hide the home's queue: it is held against the others.
        let mean = self.engines.mean(true, &self.engines.reported_tokens, home);
        let seen = self
            .engines
            .dispatchers
            .min(self.engines.reads.iter().sum());
        let wait = |s: Slot| self.engines.waiting(s, self.now, seen, mean) / self.age_weight(s);
        let others = pool
            .iter()
            .filter(|&&s| s != home)
            .map(|&s| wait(s))
            .sum::<f64>();
        let mean = (others + arrival.prompt_tokens) / pool.len() as f64;
        let too_much = |s: Slot| wait(s) > HOME_ESCAPE * mean || self.engines.owes(s, self.now);
        if !too_much(home) && self.engines.has_room(home) {
            return Some(home);
        }
        // Guards against a jam by scattered reads: elsewhere they cost more and push out what is kept there.
        // Reads leave their home (too much waits, or no room) only while the prefill engines together have room to
        // spare, or for one that has kept most of the text; else the request is held for its home.
        let reads = pool.iter().map(|&s| self.engines.reads[s]).sum::<f64>();
        let spare = reads < SPARE * pool.iter().map(|&s| self.engines.limit[s]).sum::<f64>();
        let kept = |s: Slot| self.engines.unread(s, arrival) < SPARE * arrival.prompt_tokens;
        let next = |s: &Slot| (spare || kept(*s)) && !too_much(*s) && self.engines.has_room(*s);
        let next = homes[1..].iter().copied().find(next);
        next.or(Some(home)).filter(|&s| self.engines.has_room(s))
    }

    /// The mechanism: nearness first, within the band the fewest in flight, skipping those above average.
    fn choose_decode_engine(&mut self, request: &Request, prefill_engine: Slot) -> Option<Slot> {
        let pool = self.pool(request, false);
        let best = pool
            .iter()
            .map(|&s| self.nearness(prefill_engine, s))
            .fold(0.0, f64::max);
        let mean =
            pool.iter().map(|&s| self.engines.streams[s]).sum::<f64>() / pool.len().max(1) as f64;
        let near = |s: Slot| self.nearness(prefill_engine, s) >= best - TAU;
        let few = |s: Slot| self.engines.streams[s] <= mean + ABOVE_AVERAGE;
        let kept: Vec<Slot> = pool
            .iter()
            .copied()
            .filter(|&s| near(s) && few(s))
            .collect();
        self.fewest(if kept.is_empty() { pool } else { kept })
    }

    /// Fewest in flight wins, a fresh engine counting for less by its age. Ties fall by chance, weighted by the
    /// share that is free as last reported: the least of old reports would draw every dispatcher to one engine.
    fn fewest(&mut self, among: Vec<Slot>) -> Option<Slot> {
        let draws: Vec<f64> = among
            .iter()
            .map(|_| -self.rng.generate::<f64>().ln())
            .collect();
        let load =
            |s: Slot| (self.engines.streams[s] + self.engines.reported[s]) / self.age_weight(s);
        let (taken, now) = (&self.engines.reported_load, self.now);
        let mean = self.engines.mean(false, taken, Slot::MAX);
        let free = |s: Slot| (1.0 - self.engines.aged(s, now, taken, mean)).max(f64::EPSILON);
        let drawn: Vec<_> = among
            .into_iter()
            .zip(draws)
            .map(|(s, draw)| (load(s), draw / free(s) / self.age_weight(s), s))
            .collect();
        let order = |a: &(f64, f64, Slot), b: &(f64, f64, Slot)| {
            a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))
        };
        drawn.into_iter().min_by(order).map(|drawn| drawn.2)
    }

    fn nearness(&self, prefill_engine: Slot, decode_engine: Slot) -> f64 {
        let [a, b] = [prefill_engine, decode_engine].map(|s| &self.engines.listed[s]);
        // A cell lies within a zone.
        (f64::from(u8::from(a.cell == b.cell)) + f64::from(u8::from(a.zone == b.zone))) / 2.0
    }

    /// Engines of a role that may take this request now; none means that it is held. Drains and cold budgets are
    /// never set aside. Judged engines come in only when every engine of the role is judged, not when the others
    /// are merely busy: an engine that fails fast always looks as if it had room.
    fn pool(&self, request: &Request, reading: bool) -> Vec<Slot> {
        let ready: Vec<Slot> = self.engines.ready(reading).collect();
        let sum: f64 = ready.iter().map(|&s| self.engines.success(s)).sum();
        let peers = sum / ready.len().max(1) as f64;
        let share = self.cold_share(reading);
        let (well, sick): (Vec<Slot>, Vec<Slot>) = ready
            .iter()
            .partition(|&&s| !self.engines.is_sick(s, peers));
        let harmless = reading || self.retry_safety(request) == RetrySafety::Idempotent;
        let trials = sick
            .iter()
            .filter(|&&s| harmless && self.now >= self.engines.trial_at[s]);
        let judged = if well.is_empty() {
            sick.clone()
        } else {
            [well, trials.copied().collect()].concat()
        };
        let open = |s: &Slot| {
            let allowed = self.may_go_to(request, *s) && self.cold_room(*s, share);
            allowed && self.now >= self.engines.full_until[*s]
        };
        let open: Vec<Slot> = judged.into_iter().filter(open).collect();
        let taken = &self.engines.reported_load;
        let mean = self.engines.mean(false, taken, Slot::MAX);
        let loaded = |s: Slot| self.engines.aged(s, self.now, taken, mean) > (1.0 + mean) / 2.0;
        let fit = |s: &Slot| (reading || self.engines.has_room(*s)) && !request.tried.contains(s);
        let fit: Vec<Slot> = open.iter().copied().filter(fit).collect();
        let light: Vec<Slot> = fit
            .iter()
            .copied()
            .filter(|&s| reading || !loaded(s))
            .collect();
        [light, fit, open]
            .into_iter()
            .find(|engines| !engines.is_empty())
            .unwrap_or_default()
    }

    fn is_cold(&self, slot: Slot) -> bool {
        self.now < self.engines.started[slot] + self.settings.slow_start_window
    }

    /// A fresh engine counts for less, by its age.
    fn age_weight(&self, slot: Slot) -> f64 {
        let age = ((self.now - self.engines.started[slot]) / self.settings.slow_start_window)
            .clamp(0.0, 1.0);
        self.settings.cold_capacity + (1.0 - self.settings.cold_capacity) * age
    }

    /// Guards against pushing a cold engine over: the attempts it may get in any fall window. Warm engines show
    /// what an engine bears (our reads done and streams begun there, also before all restarted); a cold one gets
    /// that, scaled by start capacity and fall multiple, less a margin. Each dispatcher scales by its own
    /// traffic, however it is spread, so together they stay under. Who saw no warm engine goes by arrivals.
    fn cold_budget(&self, reading: bool) -> f64 {
        let window = self.settings.overload_window;
        let borne = match self.borne[usize::from(reading)].rate {
            0.0 => self.arriving.rate / self.engines.ready(reading).count().max(1) as f64,
            borne => borne,
        };
        COLD_MARGIN * self.settings.overload_multiple * self.settings.cold_capacity * borne * window
    }

    fn note_done(&mut self, slot: Slot, reading: bool) {
        self.engines.judge(slot, true);
        // Guards against what ends at engines that are being replaced: held against the few warm ones that are left, or
        // none, it would pass for what each of those bears.
        if !self.is_cold(slot) && self.engines.listed[slot].status == EndpointStatus::Ready {
            let warm = self
                .engines
                .ready(reading)
                .filter(|&s| !self.is_cold(s))
                .count()
                .max(1) as f64;
            self.borne[usize::from(reading)].note(
                1.0 / warm,
                self.now,
                self.settings.slow_start_window,
            );
        }
    }

    /// The attempts that a cold engine may get from here in any fall window. Who has little to give mostly has none to
    /// send: more may, as few are wanted `HOT` times the mean. Guards against a surge while most engines are cold: whatever
    /// comes then goes to the few that are open here, so what came lately tells how many each of them would get.
    fn cold_share(&self, reading: bool) -> f64 {
        let budget = self.cold_budget(reading);
        let share = |wanted: f64| budget / (1.0 - (-wanted.max(f64::EPSILON)).exp());
        let usual = HOT * budget;
        let (cold, warm): (Vec<Slot>, Vec<Slot>) =
            self.engines.ready(reading).partition(|&s| self.is_cold(s));
        let open = warm.len() as f64 + cold.len() as f64 * share(usual).min(1.0);
        // Whoever asks has a request itself: that one tells nothing.
        let since = self.now - self.settings.overload_window;
        let others = self
            .arrived
            .iter()
            .rev()
            .take_while(|&&at| at > since)
            .skip(1)
            .count();
        share(usual.max(others as f64 / open.max(1.0)))
    }

    /// Every attempt counts, also one rejected. Guards against shares that are each small and together too
    /// much: a dispatcher gives a cold engine a whole number of attempts in any fall window, the same while it
    /// is cold and no more arrives; who rounds up goes by the dispatchers' numbers, so that as many do as their
    /// fractions add up to.
    fn cold_room(&self, slot: Slot, share: f64) -> bool {
        let engine = xxh3_64_with_seed(
            self.engines.listed[slot].engine.0.as_bytes(),
            self.engines.started[slot].to_bits(),
        );
        let turn = engine.wrapping_add(u64::from(self.settings.me.0).wrapping_mul(SPREAD)) as f64
            / u64::MAX as f64;
        let sent = self.engines.sends[slot]
            .iter()
            .filter(|&&at| at > self.now - self.settings.overload_window);
        !self.is_cold(slot) || share > 0.0 && (sent.count() as f64) < (share + turn).floor()
    }

    fn wake_at(&mut self, at: Ms) {
        self.wanted_wake = Some(self.wanted_wake.map_or(at, |w| w.min(at)));
    }

    /// Whether the decode engines can take what is being read and one more: a KV state cannot wait for long.
    fn decode_engines_have_room(&self) -> bool {
        let decode_engines = self.engines.ready(false);
        let room: f64 = decode_engines
            .map(|s| (self.engines.limit[s] - self.engines.streams[s]).max(0.0))
            .sum();
        room >= self.queue.coming as f64 + 1.0
    }

    /// The only place that acts on a request: brings the present state to the wanted one.
    fn emit(&mut self, id: RequestId, request: &mut Request, actions: &mut Vec<Action>) {
        if request.want_cancel && self.settings.may_cancel {
            if let Some(out) = request.out.as_mut().filter(|o| !o.cancelled) {
                actions.push(Action::Cancel {
                    request: id,
                    attempt: out.attempt,
                });
                out.cancelled = true;
            }
        }
        if let Some(out) = request.out.as_ref().filter(|_| request.want_confirm) {
            actions.push(Action::Confirm {
                request: id,
                attempt: out.attempt,
            });
        }
        if request.want_release_in_doubt {
            actions.push(Action::ReleaseInDoubt { request: id });
        }
        if request.want_release {
            actions.push(Action::Release { request: id });
            request.state = None;
            request.want_release = false;
        }
        match request.want {
            Want::Rest => {}
            Want::Start(slot) => {
                let reading = request.state.is_none();
                let engine = self.engines.listed[slot].engine.clone();
                actions.push(Action::StartAttempt {
                    request: id,
                    engine,
                    until: Some(request.ends),
                });
                let tokens = if reading {
                    self.engines.unread(slot, &request.arrival)
                } else {
                    0.0
                };
                let (attempt, sent) = (AttemptId(request.attempts), self.now);
                let delivery = if reading {
                    Delivery::Confirmed
                } else {
                    self.delivery_of(request)
                };
                let out = Out {
                    attempt,
                    slot,
                    reading,
                    tokens,
                    sent,
                    delivery,
                    ..Out::default()
                };
                self.engines.tally(&out, 1.0);
                let since = self.now - self.settings.overload_window;
                self.engines.sends[slot].retain(|&at| at > since);
                self.engines.sends[slot].push_back(self.now);
                self.engines.trial_at[slot] = self.now + self.settings.overload_window;
                request.out = Some(out);
                self.wake_at(self.now + QUEUED * request.allowed);
                request.attempts += 1;
            }
            Want::Reject => {
                let wait = self
                    .settings
                    .clients_honor_retry_after
                    .then_some(self.settings.kv_state_timeout);
                actions.push(Action::Reject {
                    request: id,
                    retry_after: wait,
                });
            }
            Want::Fail => actions.push(Action::Fail { request: id }),
        }
        request.over |= matches!(request.want, Want::Reject | Want::Fail);
    }

    fn emit_timer(&mut self, actions: &mut Vec<Action>) {
        let Some(wake) = self.wanted_wake else { return };
        if self.armed.is_some_and(|at| at <= wake && at > self.now) {
            return;
        }
        self.timers += 1;
        actions.push(Action::SetTimer {
            delay: (wake - self.now).max(0.0),
            timer: TimerId(self.timers),
        });
        self.armed = Some(wake);
    }
}

impl Request {
    /// One if it is being read, in good time so far: the decode engines will be wanted for it.
    fn coming(&self) -> usize {
        usize::from(self.out.as_ref().is_some_and(|o| o.reading && !o.late))
    }
}

/// An instant in order.
#[derive(Clone, Copy, PartialEq)]
struct Due(Ms);

impl Eq for Due {}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Which requests a step has to look at. A new request, one that waits for probes and one whose state waits are
/// awake at every step. One that is held, or whose attempt is out, changes with an event of its own or when
/// its time comes; one that streams, or is over, only with an event. So a step costs by what comes, not by
/// what waits or lives.
#[derive(Default)]
struct Turns {
    awake: BTreeSet<RequestId>,
    due: BTreeSet<(Due, RequestId)>,
    due_of: BTreeMap<RequestId, Due>,
    /// Tasks being read, in good time so far.
    coming: usize,
}

impl Turns {
    fn fall_due(&mut self, now: Ms) {
        let due = self.due.iter().take_while(|(due, _)| due.0 <= now);
        self.awake.extend(due.map(|(_, id)| *id));
    }

    fn settle(&mut self, id: RequestId, request: &Request, now: Ms) {
        if let Some(due) = self.due_of.remove(&id) {
            self.due.remove(&(due, id));
        }
        let held = request.out.is_none() && request.look_at > now;
        if request.over || request.out.is_some() || held {
            self.awake.remove(&id);
        }
        let waiting = request.out.as_ref().filter(|out| !out.streaming);
        let late_at = waiting.map(|out| out.sent + QUEUED * request.allowed);
        let confirm_at = waiting
            .and_then(|out| out.delivery.next_at())
            .unwrap_or(f64::INFINITY);
        let due = match late_at {
            _ if request.over && confirm_at == f64::INFINITY => return,
            _ if request.over => confirm_at,
            Some(late_at) if now < late_at => late_at.min(request.ends).min(confirm_at),
            Some(_) => request.ends.min(confirm_at),
            None if held => request.look_at.min(request.read_by).min(request.ends),
            None => return,
        };
        self.due.insert((Due(due), id));
        self.due_of.insert(id, Due(due));
    }
}

impl Engines {
    fn slot(&mut self, entry: &Endpoint, kind: &KindSettings) -> Slot {
        if let Some(&slot) = self.index.get(&entry.engine) {
            return slot;
        }
        let slot = self.listed.len();
        self.index.insert(entry.engine.clone(), slot);
        self.listed.push(entry.clone());
        self.kind.push(kind.clone());
        let start = if kind.role == Role::Prefill {
            READS_START
        } else {
            STREAMS_START
        };
        self.limit.push((start / self.dispatchers).max(1.0));
        self.kept.push(VecDeque::new());
        self.sends.push(VecDeque::new());
        self.outcomes.push(1);
        self.silent.push(false);
        self.fulls.push(0);
        let counts = [&mut self.streams, &mut self.reading, &mut self.reads];
        let reports = [
            &mut self.reported,
            &mut self.reported_tokens,
            &mut self.reported_load,
        ];
        for count in counts.into_iter().chain(reports) {
            count.push(0.0);
        }
        let instants = [
            &mut self.started,
            &mut self.cut_at,
            &mut self.heard,
            &mut self.reported_at,
        ];
        let others = [
            &mut self.full_until,
            &mut self.trial_at,
            &mut self.asked_at,
            &mut self.answered_at,
        ];
        for instant in instants.into_iter().chain(others) {
            instant.push(f64::NEG_INFINITY);
        }
        slot
    }

    /// What a report says: the tokens that wait to be read, and the share of the engine that is taken.
    fn note_load(&mut self, slot: Slot, load: &Load, now: Ms) {
        let said = [
            load.in_flight,
            load.queue,
            load.slots_used,
            load.memory_held,
            load.waiting_kilotokens,
        ];
        if said.iter().all(Option::is_none) {
            return;
        }
        let queued = load
            .waiting_kilotokens
            .map_or(load.queue.unwrap_or(0.0) * self.typical, |k| k * 1000.0);
        let taken = load
            .slots_used
            .unwrap_or(0.0)
            .max(load.memory_held.unwrap_or(0.0));
        self.reported[slot] = load.in_flight.unwrap_or(0.0);
        self.reported_tokens[slot] = queued;
        self.reported_load[slot] = taken + queued / self.kind[slot].memory_tokens.max(1.0);
        self.reported_at[slot] = now;
    }

    /// A report counts for less with its age, down to the mean of its role.
    fn aged(&self, slot: Slot, now: Ms, what: &[f64], mean: f64) -> f64 {
        mean + (-(now - self.reported_at[slot]) / self.stale).exp() * (what[slot] - mean)
    }

    /// Whether a probe is owed: one is out for longer than a read waits for it, or came back without an
    /// answer. Guards against an engine too busy to say how busy it is, which would pass for one with nothing
    /// waiting.
    fn owes(&self, slot: Slot, now: Ms) -> bool {
        let asked = self.asked_at[slot];
        now - asked < self.stale && (self.silent[slot] || asked > self.answered_at[slot])
    }

    /// The mean of a role's reports, that of one engine left out.
    fn mean(&self, reading: bool, what: &[f64], but: Slot) -> f64 {
        let known = self
            .ready(reading)
            .filter(|&s| s != but && self.reported_at[s] > f64::NEG_INFINITY);
        let (sum, n) = known.fold((0.0, 0.0), |(sum, n), s| (sum + what[s], n + 1.0));
        sum / f64::max(n, 1.0)
    }

    fn serves(&self, slot: Slot, reading: bool) -> bool {
        self.kind[slot].role == Role::Both || (self.kind[slot].role == Role::Prefill) == reading
    }

    fn ready(&self, reading: bool) -> impl Iterator<Item = Slot> + '_ {
        let ready = move |s: &Slot| {
            self.serves(*s, reading) && self.listed[*s].status == EndpointStatus::Ready
        };
        (0..self.listed.len()).filter(ready)
    }

    /// A read has no effect, however it ends; a mixed engine answers what it has read.
    fn only_reads(&self, out: &Out) -> bool {
        out.reading && self.kind[out.slot].role == Role::Prefill
    }

    fn tally(&mut self, out: &Out, sign: f64) {
        if out.reading {
            self.reads[out.slot] += sign;
            self.reading[out.slot] += sign * out.tokens;
        } else {
            self.streams[out.slot] += sign;
        }
    }

    /// Tokens waiting at a prefill_engine: as our own part suggests, or what it reports, whichever is more.
    /// `seen`: as many times our part as we have reads out at all, at most the dispatchers.
    fn waiting(&self, slot: Slot, now: Ms, seen: f64, mean: f64) -> f64 {
        (seen * self.reading[slot]).max(self.aged(slot, now, &self.reported_tokens, mean))
    }

    /// Guards against queues at engines, where requests grow late and push out kept texts: a limit of what is out,
    /// one more for each limit's worth done in time, a cut for one that queued, once for all that were out.
    fn learn_limit(&mut self, slot: Slot, sent: Ms, queued: bool, now: Ms) {
        let out = self.reads[slot] + self.streams[slot];
        let limit = &mut self.limit[slot];
        if !queued {
            let grow = if self.kind[slot].role == Role::Prefill {
                1.0
            } else {
                STREAMS_GROW
            };
            *limit += if out + 2.0 >= *limit {
                grow / *limit
            } else {
                0.0
            };
        } else if sent >= self.cut_at[slot] {
            *limit = (limit.min(out + 1.0) * LIMIT_CUT).max(1.0);
            self.cut_at[slot] = now;
        }
    }

    /// Tokens of a prompt that a prefill engine would have to read, by what we saw it read lately.
    fn unread(&self, slot: Slot, request: &Arrival) -> f64 {
        let mine = |b: &u64| *b == request.session.0 || request.shared.is_some_and(|t| *b == t.0);
        let kept = self.kept[slot]
            .iter()
            .filter(|(b, _)| mine(b))
            .map(|(_, t)| *t)
            .fold(0.0, f64::max);
        (request.prompt_tokens - kept).max(0.0)
    }

    /// After a read its whole prompt is kept.
    fn note_kept(&mut self, slot: Slot, request: &Arrival) {
        let kept = &mut self.kept[slot];
        let shared = request.shared.map(|t| (t.0, request.shared_tokens));
        for entry in shared
            .into_iter()
            .chain([(request.session.0, request.prompt_tokens)])
        {
            kept.retain(|(b, _)| *b != entry.0);
            kept.push_back(entry);
        }
        while kept.len() > KEPT_MOST {
            kept.pop_front();
        }
    }

    fn has_room(&self, slot: Slot) -> bool {
        self.reads[slot] + self.streams[slot] + 1.0 <= self.limit[slot]
    }

    fn judge(&mut self, slot: Slot, success: bool) {
        self.fulls[slot] = if success { 0 } else { self.fulls[slot] };
        let outcomes = self.outcomes[slot] << 1 | u32::from(success);
        self.outcomes[slot] = if outcomes >> JUDGED > 1 {
            outcomes & ((1 << JUDGED) - 1) | 1 << JUDGED
        } else {
            outcomes
        };
    }

    fn success(&self, slot: Slot) -> f64 {
        let outcomes = self.outcomes[slot];
        if outcomes == 1 {
            1.0
        } else {
            f64::from(outcomes.count_ones() - 1) / f64::from(outcomes.ilog2())
        }
    }

    /// Judged against its peers: a trouble of the whole fleet empties no pool.
    fn is_sick(&self, slot: Slot, peers: f64) -> bool {
        self.outcomes[slot].ilog2() >= JUDGED_LEAST && self.success(slot) < SICK_BELOW * peers
    }
}

/// Events a millisecond, fading over the slow start window as new ones come, so that it lasts while none do.
#[derive(Default)]
struct Rate {
    rate: f64,
    at: Ms,
}

impl Rate {
    fn note(&mut self, amount: f64, now: Ms, slow_start_window: Ms) {
        self.rate =
            self.rate * (-(now - self.at) / slow_start_window).exp() + amount / slow_start_window;
        self.at = now;
    }
}
