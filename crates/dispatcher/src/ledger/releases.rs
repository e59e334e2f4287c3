//! Releases of KV states: what was held at a model host for a request and is not needed any more.
//!
//! A release is kept until a host has confirmed it. One that is lost on its way would leave the state pinned, so it is
//! sent again: to the same host where states belong to one, and to another where any host passes a release on.

use super::links::Use;
use super::*;

/// Where a state belongs to one host, its release is sent again after this part of the release time.
const RETRY_PART: f64 = 4.0;
/// Where any host passes a release on: the part of the release time within which a host has to confirm it, and the
/// part that passes before the next host is asked.
const CONFIRM_PART: f64 = 4.0;
const NEXT_HOST_PART: f64 = 25.0;
/// Where a release waits for an attempt of its request: the part of the release time after which the attempt's engine is
/// asked for a sign, and the part after which an attempt without one is waited for no longer.
const ASK_PART: f64 = 4.0;
const DOUBT_PART: f64 = 2.0;
/// Each round without an answer asks one host more at once, so many at the most: when nearly all of a fleet are silent,
/// one after another would take too long.
const MOST_AT_ONCE: usize = 4;
/// For so many release times; what has not got through by then may as well wait.
const HURRIED_FOR: f64 = 2.0;
/// Where the engine of a prefill that was cut off has confirmed nothing itself: the part of the release time after which
/// it is asked again.
const REPEAT_PART: f64 = 2.0;
/// For how many release times a release that nobody confirms is sent again.
const GIVE_UP_AFTER: f64 = 10.0;

/// What is known of the state that a release is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Known {
    /// Its engine has said that it holds it.
    Held,
    /// A prefill was cut off, which may have ended just then.
    MayBeHeld,
}

/// A release that no host has confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct PendingRelease {
    pub held: Held,
    pub known: Known,
    /// Since when it is wanted, and since when nothing has held it up.
    pub wanted: Ms,
    pub since: Ms,
    /// The attempt that was out and had not arrived when the release was decided: it does not hold the release up.
    pub despite: Option<LaunchNo>,
    /// Hosts that were asked and have not confirmed it.
    pub unconfirmed: Vec<HostId>,
    /// Sent beside the one that is kept until it is confirmed: nothing follows if it is lost.
    pub is_copy: bool,
}

/// Where a release that is due goes.
enum Route {
    Through(HostId),
    /// All that may be asked have been, and have not answered yet.
    Later,
    /// Its engine is gone, or another release of the state is on its way.
    Nowhere,
}

impl PendingRelease {
    fn new(held: Held, known: Known, since: Ms) -> Self {
        PendingRelease {
            held,
            known,
            wanted: since,
            since,
            despite: None,
            unconfirmed: Vec::new(),
            is_copy: false,
        }
    }

    fn message(&self) -> Body {
        let held = &self.held;
        Body::Release(v1::Release { state: Some(held.id), origin: held.origin.clone() })
    }
}

impl Ledger {
    /// Lets the state held for a task go.
    pub(super) fn release(&mut self, id: TaskId, out: &mut Vec<Output>) {
        let doubt = self.doubt(id);
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let despite = task.out.as_ref().map(|launch| launch.no);
        let Some(held) = task.state.take() else { return };
        if let Some(doubt) = doubt {
            let text = format!("state released, its attempt has not arrived: {doubt}");
            out.push(Output::Log { level: Level::Info, text });
        }
        let release = PendingRelease { despite, ..PendingRelease::new(held, Known::Held, self.now) };
        self.send_release(release, out);
        self.forget_past(id);
    }

    pub(super) fn release_state(&mut self, held: Held, known: Known, out: &mut Vec<Output>) {
        self.send_release(PendingRelease::new(held, known, self.now), out);
    }

    fn send_release(&mut self, release: PendingRelease, out: &mut Vec<Output>) {
        if planted::is(Plant::ReleaseForgotten) {
            return;
        }
        let host = release.held.host.clone();
        self.add_release(host.clone(), release);
        if self.settings.limits.single.is_some() {
            // Only what the decisions make of this tells whether its task goes on: see `is_withheld`.
            self.withheld.insert(host);
        } else {
            self.flush_releases(&host, out);
        }
    }

    fn add_release(&mut self, host: HostId, pending: PendingRelease) {
        self.unreleased.entry(host).or_default().push(pending);
    }

    /// A release was not confirmed by the host that was asked: it is sent again.
    pub(super) fn release_lost(&mut self, asked: HostId, mut pending: PendingRelease) {
        let release_time = self.settings.policy.release;
        if self.settings.limits.single.is_none() {
            self.add_release(asked.clone(), pending);
            return self.timers.set(self.now + release_time / RETRY_PART, Due::Release(asked));
        }
        if pending.is_copy {
            return;
        }
        pending.unconfirmed.push(asked.clone());
        let again = self.now + release_time / NEXT_HOST_PART;
        let next = self.next_host_for(&mut pending).unwrap_or(asked);
        for copy in self.copies_of(&mut pending, &next) {
            self.timers.set(again, Due::Release(copy));
        }
        self.add_release(next.clone(), pending);
        self.timers.set(again, Due::Release(next));
    }

    /// Has a release go to some hosts more beside the next one, the more of them the more have not answered; gives which.
    fn copies_of(&mut self, pending: &mut PendingRelease, next: &HostId) -> Vec<HostId> {
        let is_hurried = self.now - pending.since < HURRIED_FOR * self.settings.policy.release;
        let most = if is_hurried { pending.unconfirmed.len().min(MOST_AT_ONCE - 1) } else { 0 };
        let mut copies = Vec::new();
        let mut asked = PendingRelease { is_copy: true, ..pending.clone() };
        asked.unconfirmed.push(next.clone());
        while copies.len() < most {
            let known = asked.unconfirmed.len();
            let Some(host) = self.next_host_for(&mut asked).filter(|_| asked.unconfirmed.len() == known)
            else {
                break;
            };
            asked.unconfirmed.push(host.clone());
            pending.unconfirmed.push(host.clone());
            self.add_release(host.clone(), asked.clone());
            copies.push(host);
        }
        copies
    }

    /// A host has confirmed a release. Where any host passes one on, that of a prefill that was cut off is not done before
    /// its own engine says so. Guards against an engine that is silent and ends the prefill afterwards: its state would lie
    /// there.
    pub(super) fn release_done(&mut self, asked: &HostId, mut pending: PendingRelease) {
        let engine = pending.held.host.clone();
        let may_come = pending.known == Known::MayBeHeld
            && !pending.is_copy
            && *asked != engine
            && self.fleet.condition(&engine) != Condition::Gone
            && self.settings.limits.single.is_some();
        if may_come {
            pending.unconfirmed.clear();
            self.add_release(engine.clone(), pending);
            let again = self.now + self.settings.policy.release / REPEAT_PART;
            self.timers.set(again, Due::Release(engine));
        }
    }

    /// Where a release goes that is due at a host: there, unless nothing was heard of that one lately and something was
    /// of another, or it is gone. Guards against a release that overtakes the end of a prefill that was cut off: by way
    /// of a nearer host it could come before the state is there.
    fn host_for(&self, host: &HostId, pending: &mut PendingRelease) -> Option<HostId> {
        let is_here = self.fleet.condition(host) != Condition::Gone;
        let follows_cut = pending.known == Known::MayBeHeld && pending.unconfirmed.is_empty();
        if is_here && (follows_cut || self.was_heard_lately(host)) {
            return Some(host.clone());
        }
        let other = self.next_host_for(pending);
        match other {
            Some(other) if !is_here || self.was_heard_lately(&other) => Some(other),
            _ => Some(host.clone()).filter(|_| is_here),
        }
    }

    /// The same, past hosts that are silent and have been asked.
    fn route_for(&self, host: &HostId, pending: &mut PendingRelease) -> Route {
        let via = if pending.is_copy { Some(host.clone()) } else { self.host_for(host, pending) };
        match via {
            None => Route::Nowhere,
            Some(via) if !self.links.is_asked_in_vain(&via) => Route::Through(via),
            Some(_) if pending.is_copy => Route::Nowhere,
            Some(_) => self.next_host_for(pending).map_or(Route::Later, Route::Through),
        }
    }

    fn was_heard_lately(&self, host: &HostId) -> bool {
        self.links.heard_at(host) >= self.now - self.settings.policy.release / CONFIRM_PART
    }

    /// The host that most likely runs, of those that have not been asked: none that has left a question unanswered since it
    /// was heard, if there is another; one that was heard lately and has a connection at rest, one that was heard lately,
    /// or the one that was heard last. Once all were asked it begins anew. Guards against a part of the fleet that falls
    /// silent at once: its connections at rest stay up, while those of the hosts that work are busy.
    fn next_host_for(&self, pending: &mut PendingRelease) -> Option<HostId> {
        let ready = |(_, row): &(&HostId, &fleet::HostRow)| row.condition == Condition::Ready;
        let hosts: Vec<&HostId> = self.fleet.hosts.iter().filter(ready).map(|(host, _)| host).collect();
        if hosts.iter().all(|host| pending.unconfirmed.contains(host)) {
            // The last one asked is not asked again at once, if there is another.
            let asked = pending.unconfirmed.len();
            pending.unconfirmed.drain(..asked.saturating_sub(1));
        }
        let rank = |host: &HostId| {
            let fresh = self.was_heard_lately(host);
            let rests = fresh && self.links.up(host, true).is_some();
            (!self.links.is_suspected(host), fresh, rests, self.links.heard_at(host))
        };
        let order = |a: &&HostId, b: &&HostId| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)).then(a.3.total_cmp(&b.3))
        };
        // Guards against a storm: all requests that a process has open at a silent host would ask it again and again.
        let unasked = hosts.into_iter().filter(|host| !pending.unconfirmed.contains(host));
        let unasked = unasked.filter(|host| !self.links.is_asked_in_vain(host));
        unasked.max_by(order).cloned()
    }

    /// Whether letting a state go would end what its task still needs: where states go by their task's id, a
    /// release does not tell a launch's from the next one's. An attempt that has not arrived needs nothing.
    pub(super) fn is_withheld(&self, pending: &PendingRelease) -> bool {
        let task = self.origins.get(&pending.held.origin).and_then(|id| self.tasks.get(id));
        task.is_some_and(|task| {
            let doubted_for = self.now - pending.wanted;
            let needs = |launch: &tasks::Launch| {
                let may_arrive = doubted_for < self.settings.policy.release / DOUBT_PART;
                Some(launch.no) != pending.despite && (may_arrive || self.has_arrived(launch))
            };
            task.state.is_some() || task.out.as_ref().is_some_and(needs)
        })
    }

    /// A release waits for an attempt that may not have arrived: its engine is asked for a sign, and without one the release
    /// goes out in time.
    fn doubt_attempt(&mut self, pending: &PendingRelease, out: &mut Vec<Output>) {
        let Some(id) = self.origins.get(&pending.held.origin).copied() else { return };
        let Some(launch) = self.tasks.get(&id).and_then(|task| task.out.as_ref()) else { return };
        let until = pending.wanted + self.settings.policy.release / DOUBT_PART;
        if launch.is_doubted || launch.first || self.now >= until || self.has_arrived(launch) {
            return;
        }
        let asks_at = pending.wanted + self.settings.policy.release / ASK_PART;
        let (no, host) = (launch.no, pending.held.host.clone());
        if self.now >= asks_at {
            self.confirm(id, no, out);
            self.timers.set(until, Due::Release(host));
        } else if self.now == pending.wanted {
            self.timers.set(asks_at, Due::Release(host));
        }
    }

    /// A release that was to go out on a connection that has just come up waits until its task needs nothing more.
    pub(super) fn withhold(&mut self, host: &HostId, pending: PendingRelease) {
        self.add_release(host.clone(), pending);
        self.withheld.insert(host.clone());
    }

    /// Lets go what is to be let go at a host, over any link that is up; else one is had. What is wanted is
    /// kept until the host says that it is done: a release lost on its way would leave a state pinned. A process
    /// that is gone holds nothing, and a host that cannot be reached for long has its own time limit.
    pub(super) fn flush_releases(&mut self, host: &HostId, out: &mut Vec<Output>) {
        if self.settings.limits.single.is_some() {
            return self.flush_singly(host, out);
        }
        let Some(states) = self.unreleased.get_mut(host) else { return };
        let oldest = self.now - GIVE_UP_AFTER * self.settings.policy.release;
        states.retain(|pending| pending.since >= oldest);
        let row = self.fleet.hosts.get(host).filter(|row| row.condition != Condition::Gone);
        match (self.links.up(host, false), row) {
            (Some(link), _) => {
                for pending in self.unreleased.remove(host).unwrap_or_default() {
                    let body = pending.message();
                    let purpose = Use::Release(pending);
                    let stream = self.links.open_on(link, purpose, self.now, &mut self.timers);
                    let Some(stream) = stream else { continue };
                    self.timers.set(self.now + self.settings.limits.stall_limit, Due::Past(link, stream));
                    self.links.send(link, stream, body, out);
                }
            }
            (None, Some(row)) if !states.is_empty() => {
                let address = row.line.address.clone();
                let to = (&mut self.timers, out);
                if !self.links.want(host, &address, self.now, &self.settings, to) {
                    let again = Due::Release(host.clone());
                    self.timers.set(self.now + self.settings.policy.release / RETRY_PART, again);
                }
            }
            (None, _) => {
                self.unreleased.remove(host);
            }
        }
    }

    /// As `flush_releases`, where each release takes a connection, and any host passes it on.
    fn flush_singly(&mut self, host: &HostId, out: &mut Vec<Output>) {
        let release_time = self.settings.policy.release;
        let oldest = self.now - GIVE_UP_AFTER * release_time;
        for mut pending in self.unreleased.remove(host).unwrap_or_default() {
            if self.is_withheld(&pending) {
                pending.since = self.now;
                self.doubt_attempt(&pending, out);
                self.withhold(host, pending);
                continue;
            }
            if pending.since < oldest {
                continue;
            }
            let via = match self.route_for(host, &mut pending) {
                Route::Through(via) => via,
                Route::Later => {
                    self.add_release(host.clone(), pending);
                    self.timers.set(self.now + release_time / NEXT_HOST_PART, Due::Release(host.clone()));
                    continue;
                }
                Route::Nowhere => continue,
            };
            let address = self.fleet.hosts.get(&via).map(|row| row.line.address.clone()).unwrap_or_default();
            let (body, purpose) = (pending.message(), Use::Release(pending.clone()));
            let to = (&mut self.timers, &mut *out);
            match self.links.open(&via, &address, purpose, self.now, &self.settings, to) {
                Ok((link, stream)) => {
                    self.timers.set(self.now + release_time / CONFIRM_PART, Due::Past(link, stream));
                    self.links.send(link, stream, body, out);
                }
                Err(_) => self.release_lost(via, pending),
            }
        }
    }

    /// The connection over which releases were to go is over: they go over another one.
    pub(super) fn retry_releases(&mut self, host: &HostId) {
        if self.unreleased.contains_key(host) {
            let again = self.now + self.settings.policy.release / RETRY_PART;
            self.timers.set(again, Due::Release(host.clone()));
        }
    }
}
