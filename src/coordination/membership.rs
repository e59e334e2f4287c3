//! The roll-call: who is there, as the one dispatcher that holds this duty hears it from the others' beats.

use super::disruption_budget::OutcomeCounts;
use super::lease::{places, Candidate};
use super::state::LeaseHolder;
use super::{Address, LeaseName, Name};
use crate::interface::Ms;
use std::collections::BTreeMap;

/// What a dispatcher says of itself in a beat.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub who: LeaseHolder,
    pub zone: String,
    /// The version that it runs, or another label of its operators'.
    pub label: String,
    /// How long it has run.
    pub up: Ms,
    pub ready: bool,
    pub stopping: bool,
    pub load: f64,
    pub holds: u32,
    /// Tasks answered by this process.
    pub tally: OutcomeCounts,
    /// What it heard of a few engines.
    pub reports: Vec<EngineReport>,
}

/// What a dispatcher heard of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    pub engine: Name,
    /// What is used of it, 0 to 1, and how old that is.
    pub used: Option<(f64, Ms)>,
    /// What became of requests there since the last report by this dispatcher.
    pub tally: OutcomeCounts,
}

/// An engine, as dispatchers told of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineUsage {
    /// What is used of it, and when that was so.
    pub used: Option<(f64, Ms)>,
    /// Summed since this dispatcher calls the roll.
    pub tally: OutcomeCounts,
}

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Heard in time.
    Alive,
    /// Not heard for several beats.
    Suspected,
    /// Not heard for long, or it said that it stops and went silent.
    Dead,
    /// Heard again lately, as another process or after a silence.
    Returned,
}

/// A member, as heard.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub heartbeat: Heartbeat,
    /// When it was heard last, and since when it has been heard without a gap.
    pub heard: Ms,
    pub since: Ms,
    /// It was out or had another run before.
    again: bool,
}

/// Beats that may be missing before a member is suspected, and before it is out.
const SUSPECTED_AFTER: f64 = 3.0;
const OUT_AFTER: f64 = 10.0;
/// A member counts as back for this many beats.
const BACK_FOR: f64 = 10.0;
/// Beats a second that the holder hears at most; with more members each beats less often.
const MOST_BEATS_PER_S: f64 = 500.0;
/// Members that are kept in the view; one more is not taken in.
pub const MAX_MEMBERS: usize = 8192;
/// Members that have been out for this many beats are forgotten.
const FORGOTTEN_AFTER: f64 = 600.0;

/// The fleet's one view.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Membership {
    members: BTreeMap<Name, Member>,
    engines: BTreeMap<Name, EngineUsage>,
    /// Since when this dispatcher calls the roll.
    pub since: Ms,
    leases: BTreeMap<LeaseName, BTreeMap<Name, u32>>,
    placed: Option<Ms>,
}

impl Membership {
    pub fn begin(now: Ms) -> Self {
        Membership {
            since: now,
            ..Membership::default()
        }
    }

    /// How long members wait between two beats.
    pub fn heartbeat_interval(&self, least: Ms) -> Ms {
        least.max(self.members.len() as f64 * 1000.0 / MOST_BEATS_PER_S)
    }

    /// Takes a beat in.
    pub fn heard(&mut self, now: Ms, mut heartbeat: Heartbeat, least: Ms) {
        for report in std::mem::take(&mut heartbeat.reports) {
            self.heard_of(now, report);
        }
        let every = self.heartbeat_interval(least);
        let full = self.members.len() >= MAX_MEMBERS;
        match self.members.get_mut(&heartbeat.who.name) {
            Some(member) => {
                let other = member.heartbeat.who.incarnation != heartbeat.who.incarnation;
                if other || now - member.heard > OUT_AFTER * every {
                    (member.since, member.again) = (now, true);
                }
                (member.heard, member.heartbeat) = (now, heartbeat);
            }
            None if full => {}
            None => {
                let member = Member {
                    heard: now,
                    since: now,
                    again: false,
                    heartbeat,
                };
                self.members
                    .insert(member.heartbeat.who.name.clone(), member);
            }
        }
    }

    fn heard_of(&mut self, now: Ms, report: EngineReport) {
        if !self.engines.contains_key(&report.engine) && self.engines.len() >= MAX_MEMBERS {
            return;
        }
        let heard = self.engines.entry(report.engine).or_default();
        heard.tally.add(&report.tally);
        if let Some((used, age)) = report.used {
            let at = now - age.max(0.0);
            if heard.used.is_none_or(|(_, before)| before < at) {
                heard.used = Some((used, at));
            }
        }
    }

    pub fn engine(&self, name: &Name) -> Option<&EngineUsage> {
        self.engines.get(name)
    }

    pub fn member_status(&self, now: Ms, member: &Member, least: Ms) -> MemberStatus {
        let every = self.heartbeat_interval(least);
        let silent = now - member.heard;
        let gone = member.heartbeat.stopping && silent > SUSPECTED_AFTER * every;
        if silent > OUT_AFTER * every || gone {
            MemberStatus::Dead
        } else if silent > SUSPECTED_AFTER * every {
            MemberStatus::Suspected
        } else if member.again && now - member.since <= BACK_FOR * every {
            MemberStatus::Returned
        } else {
            MemberStatus::Alive
        }
    }

    /// All members, by name.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter()
    }

    pub fn address(&self, name: &Name) -> Option<&Address> {
        self.members.get(name).map(|m| &m.heartbeat.who.address)
    }

    /// How many stand so: in, suspected, out, back.
    pub fn counts(&self, now: Ms, least: Ms) -> BTreeMap<MemberStatus, u32> {
        let mut counts = BTreeMap::new();
        for member in self.members.values() {
            *counts
                .entry(self.member_status(now, member, least))
                .or_insert(0) += 1;
        }
        counts
    }

    /// Who may hold each duty next; worked out anew once a beat, and those that are long gone are forgotten.
    pub fn place(
        &mut self,
        now: Ms,
        least: Ms,
        leases: &[(LeaseName, Option<String>, Option<Name>)],
    ) {
        let every = self.heartbeat_interval(least);
        if self.placed.is_some_and(|at| now - at < every) {
            return;
        }
        self.placed = Some(now);
        self.members
            .retain(|_, member| now - member.heard <= FORGOTTEN_AFTER * every);
        let fit = |member: &Member| Candidate {
            ready: member.heartbeat.ready && !member.heartbeat.stopping,
            zone: member.heartbeat.zone.clone(),
            load: member.heartbeat.load,
            holds: member.heartbeat.holds,
        };
        let there = || {
            let stands = |m: &Member| {
                matches!(
                    self.member_status(now, m, least),
                    MemberStatus::Alive | MemberStatus::Returned
                )
            };
            self.members
                .iter()
                .filter(move |(_, m)| stands(m))
                .map(|(name, m)| (name, fit(m)))
        };
        let placed = leases.iter().map(|(lease_name, prefers, holder)| {
            (
                lease_name.clone(),
                places(lease_name, prefers.as_deref(), holder.as_ref(), there()),
            )
        });
        self.leases = placed.collect();
    }

    /// A member's place for a duty, if it has one.
    pub fn place_of(&self, lease_name: &LeaseName, name: &Name) -> Option<u32> {
        self.leases.get(lease_name)?.get(name).copied()
    }

    /// Who comes first for a duty.
    pub fn first_for(&self, lease_name: &LeaseName) -> Option<&Name> {
        self.leases
            .get(lease_name)?
            .iter()
            .min_by_key(|(_, place)| **place)
            .map(|(name, _)| name)
    }
}
