//! Releases where a state belongs to one engine and goes by an id of its own, over connections that carry many calls: a
//! release goes to that engine until it has confirmed it. One that is lost on its way would leave the state pinned.

use super::kv_states::Held;
use super::links::Use;
use super::*;

/// A release is sent again after this part of the release time.
const RETRY_PART: f64 = 4.0;
/// For how many release times one that nobody confirms is sent again.
const GIVE_UP_AFTER: f64 = 10.0;

/// A release that its engine has not confirmed yet.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct HostRelease {
    held: Held,
    since: Ms,
}

impl Ledger {
    pub(super) fn release_at_host(&mut self, held: Held, out: &mut Vec<Output>) {
        let host = held.host.clone();
        self.unreleased
            .entry(host.clone())
            .or_default()
            .push(HostRelease {
                held,
                since: self.now,
            });
        self.flush_releases(&host, out);
    }

    /// A release was not confirmed: it is sent again.
    pub(super) fn host_release_lost(&mut self, host: HostId, release: HostRelease) {
        self.unreleased
            .entry(host.clone())
            .or_default()
            .push(release);
        self.timers.set(
            self.now + self.settings.policy.release / RETRY_PART,
            Due::Release(host),
        );
    }

    /// Lets go what is to be let go at a host, over any link that is up; else one is had. A process that is gone holds
    /// nothing, and a host that cannot be reached for long has its own time limit.
    pub(super) fn flush_releases(&mut self, host: &HostId, out: &mut Vec<Output>) {
        let Some(states) = self.unreleased.get_mut(host) else {
            return;
        };
        let oldest = self.now - GIVE_UP_AFTER * self.settings.policy.release;
        states.retain(|release| release.since >= oldest);
        let row = self
            .fleet
            .hosts
            .get(host)
            .filter(|row| row.condition != Condition::Gone);
        match (self.links.up(host, false), row) {
            (Some(link), _) => {
                for release in self.unreleased.remove(host).unwrap_or_default() {
                    let (state, origin) = (Some(release.held.id), release.held.origin.clone());
                    let purpose = Use::HostRelease(release);
                    let stream = self
                        .links
                        .open_on(link, purpose, self.now, &mut self.timers);
                    let Some(stream) = stream else { continue };
                    self.timers.set(
                        self.now + self.settings.limits.stall_limit,
                        Due::Past(link, stream),
                    );
                    self.links.send(
                        link,
                        stream,
                        Body::Release(v1::Release { state, origin }),
                        out,
                    );
                }
            }
            (None, Some(row)) if !states.is_empty() => {
                let address = row.line.address.clone();
                let to = (&mut self.timers, out);
                if !self
                    .links
                    .want(host, &address, self.now, &self.settings, to)
                {
                    let again = Due::Release(host.clone());
                    self.timers
                        .set(self.now + self.settings.policy.release / RETRY_PART, again);
                }
            }
            (None, _) => {
                self.unreleased.remove(host);
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
