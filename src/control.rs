//! Every decision of a dispatcher: which reader reads a task, which writer answers it, what follows a
//! failure, and when a task is bounced or written off.
//!
//! Callers make one [`Control`] a dispatcher with [`Control::new`], then hand each batch of events to
//! [`Control::step`] with the batch's instant and carry out the actions in order. Timers asked for with
//! `Action::Arm` come back as `Event::Timer`. The plain types of both sides are in [`crate::interface`].
//! The same settings, seed and events give the same actions. Nothing here reads a clock or does I/O.
//!
//! A step runs in three parts: `learn` takes the events in, `plan` sets what is wanted of each task, and
//! `emit` alone turns the difference between wanted and present into actions.

use crate::interface::*;
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The band under the best nearness within which load decides (the design's tau).
const TAU: f64 = 0.1;
/// A writer holding more of our streams than the average and this many is skipped (the design).
const ABOVE_AVERAGE: f64 = 1.0;
/// A home reader whose waiting tokens exceed this many times the mean passes the read on (the design).
const HOME_ESCAPE: f64 = 2.0;
/// Share of the release time after which a state that found no writer is let go.
const HOLD_SHARE: f64 = 0.7;
/// Own final answers come this many ticks before patience ends.
const END_TICKS: f64 = 2.0;
/// A task that no reader has taken by this share of its quoted time is bounced: the answer would come late.
const HELD_SHARE: f64 = 0.4;
/// A read, or a first token, that takes more than this share of the shortest quoted time waited in a queue.
const QUEUED: f64 = 0.3;
/// A host that says nothing for this many shortest quoted times since it took a launch is doubted.
const SILENT: f64 = 1.0;
/// Launches out at a reader and at a writer to start with, for all dispatchers; a limit's cut on a queue.
const READS_START: f64 = 12.0;
const STREAMS_START: f64 = 48.0;
const LIMIT_CUT: f64 = 0.7;
/// Readers have room to spare below this share of their limits; a text is kept with less than this unread.
const SPARE: f64 = 0.5;
/// What a limit grows by for each limit's worth in time; streams last long, so a writer's grows faster.
const READS_GROW: f64 = 1.0;
const STREAMS_GROW: f64 = 3.0;
/// Held tasks are looked at, and 'full' hosts asked, again after this share of the release time.
const RETRY_SHARE: f64 = 0.1;
/// Part of the cold budget that is used, the rest being for what one dispatcher cannot see; and where no
/// host of the role is warm, so that there is nothing else to serve with.
const COLD_MARGIN: f64 = 0.5;
const COLD_MARGIN_ALL: f64 = 0.75;
/// Last outcomes by which a host is judged, and how few are too few.
const JUDGED: u32 = 8;
const JUDGED_LEAST: u32 = 3;
/// A reader that finds less than this share of what we expected has forgotten the rest as well.
const FORGOT: f64 = 0.5;
/// Beginnings and sessions remembered as kept at a reader.
const KEPT_MOST: usize = 64;
/// A host with less than this share of its peers' mean success is avoided.
const SICK_BELOW: f64 = 0.5;

/// A model host's place in the parallel arrays.
type Slot = usize;

/// What the module knows of model hosts, in parallel arrays under a dense index.
#[derive(Default)]
struct Hosts {
    /// How many dispatchers there are: each sees about its part of what waits.
    dispatchers: f64,
    index: BTreeMap<HostId, Slot>,
    id: Vec<HostId>,
    role: Vec<Role>,
    zone: Vec<ZoneId>,
    cell: Vec<CellId>,
    condition: Vec<Condition>,
    started: Vec<Ms>,
    /// Own streams: launches out at a writer.
    streams: Vec<f64>,
    /// Prompt tokens of own reads out at a reader.
    reading: Vec<f64>,
    /// Own reads out at a reader.
    reads: Vec<f64>,
    /// How many of our reads or streams there may be, and when that was last cut.
    limit: Vec<f64>,
    cut_at: Vec<Ms>,
    /// The beginnings and sessions read there lately, each with the tokens that it keeps of them.
    kept: Vec<VecDeque<(Beginning, f64)>>,
    /// What it last reported: tasks in flight, and tokens waiting to be read or fetched.
    reported: Vec<f64>,
    reported_tokens: Vec<f64>,
    /// Last outcomes, newest in the lowest bit, and how many there are.
    outcomes: Vec<u32>,
    outcome_count: Vec<u32>,
    /// When it last said anything about a launch of ours.
    heard: Vec<Ms>,
    /// Until when a 'full' or a judgement keeps it out of the choice.
    full_until: Vec<Ms>,
    trial_at: Vec<Ms>,
    /// Instants of own launches, and of own reads done and streams begun, over the last fall window.
    sends: Vec<VecDeque<Ms>>,
    dones: Vec<VecDeque<Ms>>,
}

/// What a reader may have kept: a shared beginning, or a session's earlier prompt.
#[derive(Clone, Copy, PartialEq)]
enum Beginning {
    Shared(SharedTextId),
    Session(SessionId),
}

/// What differs by profile.
struct ProfileRow {
    effect: Effect,
    quoted: Ms,
    quoted_per_token: Ms,
}

#[derive(Default)]
struct Out {
    launch: LaunchNo,
    slot: Slot,
    reading: bool,
    streaming: bool,
    cancelled: bool,
    late: bool,
    silent: bool,
    tokens: f64,
    sent: Ms,
}

#[derive(Clone, Copy, PartialEq)]
enum Want {
    Rest,
    Launch(Slot),
    Bounce,
    WriteOff,
}

struct Task {
    arrival: Arrival,
    /// When a read must be out for the answer to come within the quoted time.
    read_by: Ms,
    ends: Ms,
    /// The shortest quoted time of all profiles, for a prompt of this length: the measure of queues.
    allowed: Ms,
    launches: u32,
    out: Option<Out>,
    /// Where its read state waits.
    state: Option<Slot>,
    /// The last outcome; the release time counts from here.
    idle_since: Ms,
    /// Writers and readers that turned this task away or failed it since its last read.
    tried: Vec<Slot>,
    /// The first launch that may have run: where and when.
    may_have_run: Option<(Slot, Ms)>,
    over: bool,
    /// Beyond its tenant's share when it came.
    over_share: bool,
    want: Want,
    want_cancel: bool,
    want_release: bool,
}

pub struct Control {
    settings: Settings,
    profiles: Vec<ProfileRow>,
    /// The shortest quoted time, and what a prompt token adds to it.
    quoted_least: Ms,
    quoted_per_token: Ms,
    rng: WyRand,
    born: Option<Ms>,
    now: Ms,
    hosts: Hosts,
    tasks: BTreeMap<TaskId, Task>,
    /// Instants of arrivals over the last fall window.
    arrivals: VecDeque<Ms>,
    tenant_arrivals: Vec<VecDeque<Ms>>,
    wanted_wake: Option<Ms>,
    armed: Option<Ms>,
    timers: u64,
}

impl Control {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let row = |p: &ProfileSettings| ProfileRow {
            effect: p.effect,
            quoted: p.quoted,
            quoted_per_token: p.quoted_per_1000_tokens / 1000.0,
        };
        Control {
            profiles: settings.profiles.iter().map(row).collect(),
            quoted_least: settings.profiles.iter().map(|p| p.quoted).fold(f64::INFINITY, f64::min),
            quoted_per_token: settings.profiles.iter().map(|p| p.quoted_per_1000_tokens).fold(0.0, f64::max)
                / 1000.0,
            rng: WyRand::new_seed(seed),
            born: None,
            now: 0.0,
            hosts: Hosts { dispatchers: f64::from(settings.dispatchers.max(1)), ..Hosts::default() },
            tasks: BTreeMap::new(),
            arrivals: VecDeque::new(),
            tenant_arrivals: vec![VecDeque::new(); settings.tenants.len()],
            wanted_wake: None,
            armed: None,
            timers: 0,
            settings,
        }
    }

    /// Takes one batch of events at the instant `now` and appends what is to be done.
    pub fn step(&mut self, now: Ms, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.born.get_or_insert(now);
        for event in events {
            self.learn(event);
        }
        self.wanted_wake = None;
        for id in self.turns() {
            let Some(mut task) = self.tasks.remove(&id) else { continue };
            self.plan(&mut task);
            self.emit(id, &mut task, actions);
            if !(task.over && task.out.is_none()) {
                self.tasks.insert(id, task);
            }
        }
        self.emit_timer(actions);
    }

    // ---- what is known ----

    fn learn(&mut self, event: &Event) {
        match event {
            Event::Listed { kind, entries } => self.learn_list(*kind, entries),
            Event::Arrived(arrival) => self.learn_arrival(arrival),
            Event::Left { task } => {
                if let Some(task) = self.tasks.get_mut(task) {
                    task.over = true;
                }
            }
            Event::FirstToken { task, launch, .. } => {
                let Some(task) = self.tasks.get_mut(task) else { return };
                let Some(out) = task.out.as_mut().filter(|o| o.launch == *launch) else { return };
                out.streaming = true;
                task.state = None;
                let slot = out.slot;
                let allowed = QUEUED * task.allowed;
                self.hosts.learn_limit(slot, out.sent, self.now - out.sent > allowed, self.now);
                self.hosts.heard[slot] = self.now;
                self.hosts.note_done(slot, self.now, self.settings.fall_window);
            }
            Event::Ended(ended) => self.learn_end(ended),
            Event::Timer { timer } => {
                if timer.0 == self.timers {
                    self.armed = None;
                }
            }
            Event::Place { .. } | Event::Heard { .. } | Event::Probed { .. } => {}
        }
    }

    fn learn_list(&mut self, kind: ListKind, entries: &[Entry]) {
        if matches!(kind, ListKind::Full | ListKind::Remembered) {
            for slot in 0..self.hosts.id.len() {
                if !entries.iter().any(|e| e.host == self.hosts.id[slot]) {
                    self.hosts.condition[slot] = Condition::Gone;
                }
            }
        }
        for entry in entries {
            let Some(role) = self.settings.kinds.get(entry.kind.0 as usize).map(|k| k.role) else { continue };
            let started = entry.started.unwrap_or(f64::NEG_INFINITY);
            let slot = self.hosts.slot(&entry.host, role);
            if started > self.hosts.started[slot] {
                // A new process under the same id: what was learned of the old one is void.
                self.hosts.outcome_count[slot] = 0;
                self.hosts.outcomes[slot] = 0;
                self.hosts.reported[slot] = 0.0;
                self.hosts.reported_tokens[slot] = 0.0;
                self.hosts.kept[slot].clear();
            }
            self.hosts.role[slot] = role;
            self.hosts.zone[slot] = entry.zone;
            self.hosts.cell[slot] = entry.cell;
            self.hosts.condition[slot] = entry.condition;
            self.hosts.started[slot] = started;
        }
    }

    fn learn_arrival(&mut self, arrival: &Arrival) {
        let over_share = self.over_share(arrival.tenant);
        let Some(row) = self.profiles.get(arrival.profile.0 as usize) else { return };
        let task = Task {
            over_share,
            read_by: self.now + HELD_SHARE * (row.quoted + row.quoted_per_token * arrival.prompt_tokens),
            ends: self.now + arrival.patience_left - END_TICKS * self.settings.tick,
            allowed: self.quoted_least + self.quoted_per_token * arrival.prompt_tokens,
            arrival: arrival.clone(),
            launches: 0,
            out: None,
            state: None,
            idle_since: self.now,
            tried: Vec::new(),
            may_have_run: None,
            over: false,
            want: Want::Rest,
            want_cancel: false,
            want_release: false,
        };
        self.tasks.insert(arrival.task, task);
        note(&mut self.arrivals, self.now, self.settings.fall_window);
    }

    /// Whether a tenant sends more than its share, as far as one dispatcher's part of its tasks tells.
    fn over_share(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(at) = tenant.map(|t| t.0 as usize) else { return false };
        let Some(log) = self.tenant_arrivals.get_mut(at) else { return false };
        note(log, self.now, self.settings.fall_window);
        let share = self.settings.tenants[at].allowance_per_s * self.settings.fall_window / 1000.0;
        log.len() as f64 * self.hosts.dispatchers > share
    }

    fn learn_end(&mut self, ended: &Ended) {
        let Some(&slot) = self.hosts.index.get(&ended.host) else { return };
        self.hosts.note_load(slot, &ended.load);
        let Some(task) = self.tasks.get_mut(&ended.task) else { return };
        let Some(out) = task.out.take_if(|o| o.launch == ended.launch && o.slot == slot) else { return };
        self.hosts.tally(&out, -1.0);
        if out.reading && matches!(ended.outcome, Outcome::ReadDone | Outcome::TimedOut | Outcome::Full) {
            let allowed = QUEUED * task.allowed;
            let queued = ended.outcome != Outcome::ReadDone || self.now - out.sent > allowed;
            self.hosts.learn_limit(slot, out.sent, queued, self.now);
        }
        if ended.outcome != Outcome::CalledOff && ended.outcome != Outcome::TimedOut {
            self.hosts.heard[slot] = self.now;
        }
        task.over |= ended.last;
        task.idle_since = self.now;
        let never_ran = self.hosts.only_reads(&out)
            || matches!(ended.outcome, Outcome::Full | Outcome::Unreachable | Outcome::Void);
        if !never_ran && ended.outcome != Outcome::Fulfilled {
            task.may_have_run.get_or_insert((slot, out.sent));
        }
        match ended.outcome {
            Outcome::Fulfilled => self.hosts.judge(slot, true),
            Outcome::ReadDone => {
                task.state = Some(slot);
                task.tried.clear();
                self.hosts.note_kept(slot, &task.arrival, ended.detail);
                self.hosts.note_done(slot, self.now, self.settings.fall_window);
            }
            Outcome::Full => {
                if ended.detail == 1.0 {
                    // The state is gone (its reader died or let it go): read again.
                    task.state = None;
                } else {
                    task.tried.push(slot);
                    self.hosts.full_until[slot] = self.now + RETRY_SHARE * self.settings.release;
                }
            }
            Outcome::Failed | Outcome::TimedOut | Outcome::Broken | Outcome::Unreachable => {
                task.tried.push(slot);
                self.hosts.judge(slot, false);
            }
            Outcome::CalledOff | Outcome::Void => {}
        }
    }

    // ---- what is wanted ----

    /// The order in which tasks are planned: whoever plans first takes the room there is. Held tasks of which
    /// a reader has most kept come before the others, as they cost little and keep kept text in use; within
    /// both, those that must be out sooner.
    fn turns(&self) -> Vec<TaskId> {
        let readers: Vec<Slot> = (0..self.hosts.id.len()).filter(|&s| self.hosts.serves(s, true)).collect();
        let dear = |t: &Task| {
            let bound = SPARE * t.arrival.prompt_tokens;
            t.launches == 0 && !readers.iter().any(|&s| self.hosts.unread(s, &t.arrival) < bound)
        };
        let turn = |(id, t): (&TaskId, &Task)| (t.over_share, dear(t), (1000.0 * t.read_by) as i64, *id);
        let mut turns: Vec<(bool, bool, i64, TaskId)> = self.tasks.iter().map(turn).collect();
        turns.sort();
        turns.into_iter().map(|turn| turn.3).collect()
    }

    fn plan(&mut self, task: &mut Task) {
        (task.want, task.want_cancel) = (Want::Rest, false);
        if task.over {
            task.want_cancel = task.out.as_ref().is_some_and(|o| !o.streaming);
            task.want_release = task.out.is_none() && task.state.is_some();
            return;
        }
        if task.out.as_ref().is_some_and(|o| o.streaming) {
            return;
        }
        // Guards against a jam that feeds on itself: readers busy with tasks whose time has passed make the
        // next ones late too. What no reader has taken by then is bounced, while a bounce is harmless.
        let held = task.out.is_none() && task.state.is_none();
        let ends = if held { task.ends.min(task.read_by) } else { task.ends };
        if self.now >= ends {
            return self.give_up(task);
        }
        self.wake_at(ends);
        if let Some(out) = task.out.as_mut() {
            // Evidence before the outcome: what is late has queued, and a host that said nothing at all since
            // it took a launch long ago may never answer; it counts as failing, and a read can be done again.
            let [late_at, silent_at] = [QUEUED, SILENT].map(|share| out.sent + share * task.allowed);
            if self.now >= late_at && !out.late {
                out.late = true;
                self.hosts.learn_limit(out.slot, out.sent, true, self.now);
            }
            if self.now >= silent_at && !out.silent && self.hosts.heard[out.slot] <= out.sent {
                out.silent = true;
                self.hosts.doubt(out.slot);
                task.want_cancel = self.hosts.only_reads(out) && self.now < task.read_by;
            }
            if let Some(at) = [late_at, silent_at].into_iter().find(|&at| at > self.now) {
                self.wake_at(at);
            }
            return;
        }
        if !self.may_run_again(task) {
            return self.give_up(task);
        }
        let left = self.settings.max_launches.saturating_sub(task.launches);
        // A state whose reader is gone is read again, and let go in case the list is wrong.
        task.want_release = task.state.is_some_and(|s| self.hosts.condition[s] == Condition::Gone);
        let target = match task.state.filter(|_| !task.want_release) {
            _ if left == 0 => return self.give_up(task),
            Some(reader) => self.choose_writer(task, reader),
            None if left < 2 => return self.give_up(task),
            None if !self.writers_have_room() => None,
            None => self.choose_reader(task),
        };
        if let Some(slot) = target {
            task.want = Want::Launch(slot);
            return;
        }
        let look_again = RETRY_SHARE * self.settings.release;
        let until = task.idle_since + HOLD_SHARE * self.settings.release;
        if task.state.is_some() && self.now + look_again > until {
            // No writer will have it: the state may not wait longer, and a read for nothing helps nobody.
            return self.give_up(task);
        }
        self.wake_at(self.now + look_again);
    }

    /// The task ends here, its state let go at once or, as a launch still waits for it, with that launch's
    /// outcome: a bounce where a retry is sure to do no harm, else a write-off.
    fn give_up(&self, task: &mut Task) {
        let out_at_writer = task.out.as_ref().is_some_and(|o| !self.hosts.only_reads(o));
        let may_have_run = task.may_have_run.is_some() || out_at_writer;
        let harmless = match self.effect(task) {
            Effect::Reissuable => true,
            Effect::Numbered { group, .. } => !may_have_run || group == Group::All,
            Effect::AtMostOnce => !may_have_run,
        };
        task.want = if harmless { Want::Bounce } else { Want::WriteOff };
        task.want_cancel = task.out.is_some();
        task.want_release = task.out.is_none() && task.state.is_some();
    }

    fn effect(&self, task: &Task) -> Effect {
        self.profiles[task.arrival.profile.0 as usize].effect
    }

    /// Whether a task that may have run may be sent again at all; `may_go_to` says where.
    fn may_run_again(&self, task: &Task) -> bool {
        match self.effect(task) {
            Effect::Reissuable => true,
            Effect::Numbered { window, .. } => task.may_have_run.is_none_or(|(_, at)| self.now < at + window),
            Effect::AtMostOnce => task.may_have_run.is_none(),
        }
    }

    fn may_go_to(&self, task: &Task, slot: Slot) -> bool {
        let Some((first, _)) = task.may_have_run else { return true };
        match self.effect(task) {
            Effect::Numbered { group: Group::Zone, .. } => self.hosts.zone[first] == self.hosts.zone[slot],
            Effect::Numbered { group: Group::Cell, .. } => self.hosts.cell[first] == self.hosts.cell[slot],
            _ => true,
        }
    }

    /// The reads' rule: the home that the hash names, unless too much waits there; then the least waiting.
    fn choose_reader(&self, task: &Task) -> Option<Slot> {
        let pool = self.pool(task, true);
        let arrival = &task.arrival;
        let beginning = arrival.shared.map_or(arrival.session.0, |shared| shared.0);
        let rank = |s: Slot| xxh3_64_with_seed(self.hosts.id[s].0.as_bytes(), beginning);
        let home = pool.iter().copied().max_by_key(|&s| rank(s))?;
        let weighed = |s: Slot| (self.hosts.waiting(s) + self.hosts.unread(s, arrival)) / self.age_weight(s);
        let order = |a: &Slot, b: &Slot| weighed(*a).total_cmp(&weighed(*b)).then(rank(*b).cmp(&rank(*a)));
        let least = pool.iter().copied().min_by(order)?;
        // The read to be placed waits too, and counts in the mean.
        let waiting = pool.iter().map(|&s| self.hosts.waiting(s)).sum::<f64>() + arrival.prompt_tokens;
        let too_much = self.hosts.waiting(home) > HOME_ESCAPE * waiting / pool.len() as f64;
        // Guards against a jam by scattered reads: elsewhere they cost more and push out what is kept there.
        // Reads leave their home (too much waits, or no room) only while the readers together have room to
        // spare, or for one that has kept most of the text; else the task is held for its home.
        let reads = pool.iter().map(|&s| self.hosts.reads[s]).sum::<f64>();
        let spare = reads < SPARE * pool.iter().map(|&s| self.hosts.limit[s]).sum::<f64>();
        let kept = self.hosts.unread(least, arrival) < SPARE * arrival.prompt_tokens;
        let leave = (too_much || !self.hosts.has_room(home)) && (spare || kept);
        Some(if leave { least } else { home }).filter(|&s| self.hosts.has_room(s))
    }

    /// The mechanism: nearness first, within the band the fewest in flight, skipping those above average.
    fn choose_writer(&mut self, task: &Task, reader: Slot) -> Option<Slot> {
        let pool = self.pool(task, false);
        let best = pool.iter().map(|&s| self.nearness(reader, s)).fold(0.0, f64::max);
        let mean = pool.iter().map(|&s| self.hosts.streams[s]).sum::<f64>() / pool.len().max(1) as f64;
        let near = |s: Slot| self.nearness(reader, s) >= best - TAU;
        let few = |s: Slot| self.hosts.streams[s] <= mean + ABOVE_AVERAGE;
        let kept: Vec<Slot> = pool.iter().copied().filter(|&s| near(s) && few(s)).collect();
        self.fewest(if kept.is_empty() { pool } else { kept })
    }

    /// Fewest in flight wins, a fresh host counting for less by its age; ties fall by chance.
    fn fewest(&mut self, among: Vec<Slot>) -> Option<Slot> {
        let load = |s: Slot| (self.hosts.in_flight(s) + 1.0) / self.age_weight(s);
        let least = among.iter().map(|&s| load(s)).fold(f64::INFINITY, f64::min);
        let ties: Vec<Slot> = among.into_iter().filter(|&s| load(s) <= least).collect();
        match ties.len() {
            0 => None,
            n => Some(ties[self.rng.generate_range(0..n)]),
        }
    }

    fn nearness(&self, reader: Slot, writer: Slot) -> f64 {
        if self.hosts.cell[reader] == self.hosts.cell[writer] {
            1.0
        } else if self.hosts.zone[reader] == self.hosts.zone[writer] {
            0.5
        } else {
            0.0
        }
    }

    /// Hosts of a role that may take this task now; none means that it is held. Drains and cold budgets are
    /// never set aside. Judged hosts come in only when every host of the role is judged, not when the others
    /// are merely busy: a host that fails fast always looks as if it had room.
    fn pool(&self, task: &Task, reading: bool) -> Vec<Slot> {
        let ready: Vec<Slot> = self.hosts.ready(reading).collect();
        let peers = self.hosts.mean_success(&ready);
        let budget = self.cold_budget(&ready);
        let (well, sick): (Vec<Slot>, Vec<Slot>) =
            ready.iter().partition(|&&s| !self.hosts.is_sick(s, peers));
        // A failure on a trial may cost no more than the time.
        let harmless = reading || self.effect(task) == Effect::Reissuable;
        let trials = sick.iter().filter(|&&s| harmless && self.now >= self.hosts.trial_at[s]);
        let judged = if well.is_empty() { sick.clone() } else { [well, trials.copied().collect()].concat() };
        let open = |s: &Slot| {
            let allowed = self.may_go_to(task, *s) && self.cold_room(*s, budget);
            allowed && self.now >= self.hosts.full_until[*s]
        };
        let open: Vec<Slot> = judged.into_iter().filter(open).collect();
        let fit = |s: &Slot| (reading || self.hosts.has_room(*s)) && !task.tried.contains(s);
        let fit: Vec<Slot> = open.iter().copied().filter(fit).collect();
        [fit, open].into_iter().find(|hosts| !hosts.is_empty()).unwrap_or_default()
    }

    fn is_cold(&self, slot: Slot) -> bool {
        self.now < self.hosts.started[slot] + self.settings.ramp
    }

    /// A fresh host counts for less, by its age.
    fn age_weight(&self, slot: Slot) -> f64 {
        let age = ((self.now - self.hosts.started[slot]) / self.settings.ramp).clamp(0.0, 1.0);
        self.settings.start_capacity + (1.0 - self.settings.start_capacity) * age
    }

    /// Guards against pushing a cold host over: the launches it may get within any fall window. Warm hosts
    /// show what a host bears (our reads done and streams begun there); a cold one gets that, scaled by the
    /// start capacity and the fall multiple, less a margin. Each dispatcher scales by its own traffic, so
    /// together they stay under. Where no host is warm, the arrivals, spread evenly, stand in. One that has
    /// just started cannot know what it sent before: its budget grows from nothing over the first window.
    fn cold_budget(&self, role_hosts: &[Slot]) -> f64 {
        let window = self.settings.fall_window;
        let since = self.now - window;
        let warm: Vec<Slot> = role_hosts.iter().copied().filter(|&s| !self.is_cold(s)).collect();
        let (borne, margin) = if warm.is_empty() {
            (count_since(&self.arrivals, since) / role_hosts.len().max(1) as f64, COLD_MARGIN_ALL)
        } else {
            let done = warm.iter().map(|&s| count_since(&self.hosts.dones[s], since)).sum::<f64>();
            (done / warm.len() as f64, COLD_MARGIN)
        };
        let known = ((self.now - self.born.unwrap_or(self.now)) / window).min(1.0);
        (margin * self.settings.fall_multiple * self.settings.start_capacity * borne).max(1.0) * known
    }

    /// Every launch counts, also one that is turned away.
    fn cold_room(&self, slot: Slot, budget: f64) -> bool {
        let sent = count_since(&self.hosts.sends[slot], self.now - self.settings.fall_window);
        !self.is_cold(slot) || sent + 1.0 <= budget
    }

    fn wake_at(&mut self, at: Ms) {
        self.wanted_wake = Some(self.wanted_wake.map_or(at, |w| w.min(at)));
    }

    /// Whether the writers can take what is being read and one more: a read state cannot wait for long.
    fn writers_have_room(&self) -> bool {
        let writers = self.hosts.ready(false);
        let room: f64 = writers.map(|s| (self.hosts.limit[s] - self.hosts.streams[s]).max(0.0)).sum();
        let coming = self.tasks.values().filter(|t| t.out.as_ref().is_some_and(|o| o.reading && !o.late));
        room >= coming.count() as f64 + 1.0
    }

    // ---- what is done ----

    /// The only place that acts on a task: brings the present state to the wanted one.
    fn emit(&mut self, id: TaskId, task: &mut Task, actions: &mut Vec<Action>) {
        if task.want_cancel && self.settings.may_cancel {
            if let Some(out) = task.out.as_mut().filter(|o| !o.cancelled) {
                actions.push(Action::Cancel { task: id, launch: out.launch });
                out.cancelled = true;
            }
        }
        if task.want_release {
            actions.push(Action::Release { task: id });
            task.state = None;
            task.want_release = false;
        }
        match task.want {
            Want::Rest => {}
            Want::Launch(slot) => {
                let reading = task.state.is_none();
                let host = self.hosts.id[slot].clone();
                actions.push(Action::Launch { task: id, host, until: Some(task.ends) });
                let tokens = if reading { self.hosts.unread(slot, &task.arrival) } else { 0.0 };
                let (launch, sent) = (LaunchNo(task.launches), self.now);
                let out = Out { launch, slot, reading, tokens, sent, ..Out::default() };
                self.hosts.tally(&out, 1.0);
                note(&mut self.hosts.sends[slot], self.now, self.settings.fall_window);
                self.hosts.trial_at[slot] = self.now + self.settings.fall_window;
                task.out = Some(out);
                self.wake_at(self.now + QUEUED * task.allowed);
                task.launches += 1;
            }
            Want::Bounce => {
                let wait = self.settings.clients_hear_retry.then_some(self.settings.release);
                actions.push(Action::Bounce { task: id, retry_after: wait });
            }
            Want::WriteOff => actions.push(Action::WriteOff { task: id }),
        }
        task.over |= matches!(task.want, Want::Bounce | Want::WriteOff);
    }

    fn emit_timer(&mut self, actions: &mut Vec<Action>) {
        let Some(wake) = self.wanted_wake else { return };
        if self.armed.is_some_and(|at| at <= wake && at > self.now) {
            return;
        }
        self.timers += 1;
        actions.push(Action::Arm { delay: (wake - self.now).max(0.0), timer: TimerId(self.timers) });
        self.armed = Some(wake);
    }
}

impl Hosts {
    fn slot(&mut self, id: &HostId, role: Role) -> Slot {
        if let Some(&slot) = self.index.get(id) {
            return slot;
        }
        let slot = self.id.len();
        self.index.insert(id.clone(), slot);
        self.id.push(id.clone());
        self.role.push(role);
        self.zone.push(ZoneId(0));
        self.cell.push(CellId(0));
        self.condition.push(Condition::Gone);
        let start = if role == Role::Reader { READS_START } else { STREAMS_START };
        self.limit.push((start / self.dispatchers).max(1.0));
        self.kept.push(VecDeque::new());
        self.sends.push(VecDeque::new());
        self.dones.push(VecDeque::new());
        self.outcomes.push(0);
        self.outcome_count.push(0);
        let counts = [&mut self.streams, &mut self.reading, &mut self.reads];
        for count in counts.into_iter().chain([&mut self.reported, &mut self.reported_tokens]) {
            count.push(0.0);
        }
        let instants = [&mut self.started, &mut self.cut_at, &mut self.heard];
        for instant in instants.into_iter().chain([&mut self.full_until, &mut self.trial_at]) {
            instant.push(f64::NEG_INFINITY);
        }
        slot
    }

    fn note_load(&mut self, slot: Slot, load: &Load) {
        self.reported[slot] = load.in_flight.unwrap_or(self.reported[slot]);
        let tokens = load.waiting_kilotokens.map(|k| k * 1000.0);
        self.reported_tokens[slot] = tokens.unwrap_or(self.reported_tokens[slot]);
    }

    fn serves(&self, slot: Slot, reading: bool) -> bool {
        match self.role[slot] {
            Role::Reader => reading,
            Role::Writer => !reading,
            Role::Both => true,
        }
    }

    fn ready(&self, reading: bool) -> impl Iterator<Item = Slot> + '_ {
        let ready = move |s: &Slot| self.serves(*s, reading) && self.condition[*s] == Condition::Ready;
        (0..self.id.len()).filter(ready)
    }

    /// A read at a reader has no effect, however it ends; a mixed host answers what it has read.
    fn only_reads(&self, out: &Out) -> bool {
        out.reading && self.role[out.slot] == Role::Reader
    }

    /// Counts a launch in (1) or out (-1).
    fn tally(&mut self, out: &Out, sign: f64) {
        if out.reading {
            self.reads[out.slot] += sign;
            self.reading[out.slot] += sign * out.tokens;
        } else {
            self.streams[out.slot] += sign;
        }
    }

    fn note_done(&mut self, slot: Slot, now: Ms, window: Ms) {
        self.judge(slot, true);
        note(&mut self.dones[slot], now, window);
    }

    /// Tokens waiting at a reader: as our own part suggests, or what it reports, whichever is more.
    fn waiting(&self, slot: Slot) -> f64 {
        (self.dispatchers * self.reading[slot]).max(self.reported_tokens[slot])
    }

    /// A writer's load: our own streams and what it last reported, when it has reported it.
    fn in_flight(&self, slot: Slot) -> f64 {
        self.streams[slot] + self.reported[slot]
    }

    /// Guards against queues at hosts, where tasks grow late and keep out what readers have kept: each
    /// dispatcher limits what it has out, one more for each limit's worth done in time, a cut for one that
    /// queued. The cut acts once for all that were out.
    fn learn_limit(&mut self, slot: Slot, sent: Ms, queued: bool, now: Ms) {
        let out = self.reads[slot] + self.streams[slot];
        let limit = &mut self.limit[slot];
        if !queued {
            let grow = if self.role[slot] == Role::Reader { READS_GROW } else { STREAMS_GROW };
            *limit += if out + 2.0 >= *limit { grow / *limit } else { 0.0 };
        } else if sent >= self.cut_at[slot] {
            *limit = (limit.min(out + 1.0) * LIMIT_CUT).max(1.0);
            self.cut_at[slot] = now;
        }
    }

    /// Tokens of a prompt that a reader would have to read, by what we saw it read lately.
    fn unread(&self, slot: Slot, task: &Arrival) -> f64 {
        let mine = |b: &Beginning| {
            *b == Beginning::Session(task.session) || task.shared.is_some_and(|t| *b == Beginning::Shared(t))
        };
        let kept = self.kept[slot].iter().filter(|(b, _)| mine(b)).map(|(_, t)| *t).fold(0.0, f64::max);
        (task.prompt_tokens - kept).max(0.0)
    }

    /// After a read its whole prompt is kept; what was forgotten of it meanwhile showed in the tokens found.
    fn note_kept(&mut self, slot: Slot, task: &Arrival, found: f64) {
        let expected = task.prompt_tokens - self.unread(slot, task);
        let kept = &mut self.kept[slot];
        if found < FORGOT * expected {
            kept.clear();
        }
        let shared = task.shared.map(|t| (Beginning::Shared(t), task.shared_tokens));
        for entry in shared.into_iter().chain([(Beginning::Session(task.session), task.prompt_tokens)]) {
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
        self.outcomes[slot] = (self.outcomes[slot] << 1 | u32::from(success)) & ((1 << JUDGED) - 1);
        self.outcome_count[slot] = (self.outcome_count[slot] + 1).min(JUDGED);
    }

    /// A silent host is taken for failing, by as little as one success mends.
    fn doubt(&mut self, slot: Slot) {
        self.outcome_count[slot] = JUDGED;
        self.outcomes[slot] = (1 << (JUDGED / 2 - 1)) - 1;
    }

    fn success(&self, slot: Slot) -> f64 {
        match self.outcome_count[slot] {
            0 => 1.0,
            n => f64::from(self.outcomes[slot].count_ones()) / f64::from(n),
        }
    }

    fn mean_success(&self, among: &[Slot]) -> f64 {
        among.iter().map(|&s| self.success(s)).sum::<f64>() / among.len().max(1) as f64
    }

    /// Judged by the successes among its last few outcomes, against its peers: a trouble of the whole
    /// fleet empties no pool.
    fn is_sick(&self, slot: Slot, peers: f64) -> bool {
        self.outcome_count[slot] >= JUDGED_LEAST && self.success(slot) < SICK_BELOW * peers
    }
}

/// Adds an instant to a log and drops what is older than the window.
fn note(log: &mut VecDeque<Ms>, now: Ms, window: Ms) {
    log.push_back(now);
    while log.front().is_some_and(|&at| at <= now - window) {
        log.pop_front();
    }
}

fn count_since(log: &VecDeque<Ms>, since: Ms) -> f64 {
    log.iter().rev().take_while(|&&at| at > since).count() as f64
}
