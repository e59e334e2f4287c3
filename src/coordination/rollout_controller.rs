//! What whoever calls the roll does about turns and a release, one step at a time: it looks at what is agreed on and
//! at who is there, and names the next step. What it keeps for itself are times of its own, which its successor counts
//! anew; all that must not be lost is in the agreed value.

use super::disruption_budget::{
    observed_zone_sizes, DisruptionBudget, ServiceStatus, UnavailableCount, Unit, UnitCounts,
    UnitKind, Violation, ZoneSizes,
};
use super::fault_injection::{is_injected, InjectedFault};
use super::rollout::{
    order_key, DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutPlan, RolloutStep,
    MAX_ABANDONED, MAX_PERMITS,
};
use super::rollout_analysis::RolloutAnalysis;
use super::{Address, Incarnation, Name};
use crate::interface::Ms;
use std::collections::{BTreeMap, BTreeSet};

/// For turns beside a release: within this they have to have begun, and to be over; and how long one is back and
/// ready before it is.
const BEGIN: Ms = 30_000.0;
const BACK: Ms = 600_000.0;
const SETTLE: Ms = 2_000.0;
/// Turns given in one step.
const MOST_AT_ONCE: usize = 64;
/// A member that goes back is told so often before it is left for operators.
const TOLD_BACK: u32 = 3;

/// The fleet as the caller of the roll sees it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    pub dispatchers: Vec<Unit>,
    pub engines: Vec<Unit>,
    /// The roll has been called for long enough that all who are there were heard.
    pub complete: bool,
}

impl FleetView {
    pub fn units(&self, of: UnitKind) -> &[Unit] {
        if of == UnitKind::Engines {
            &self.engines
        } else {
            &self.dispatchers
        }
    }
}

/// One that asked for its turn.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitRequest {
    pub name: Name,
    pub label: String,
}

/// A turn as this holder has seen it.
#[derive(Clone, Debug, Default, PartialEq)]
struct Seen {
    first_seen_at: Ms,
    /// Since when it stands as it is to.
    stage_since: Option<(PermitStage, Ms)>,
    /// It said that it has not begun, and will not.
    revoked: bool,
    /// An operator saw it as it is and had the release go on.
    accepted: bool,
}

/// Where a turn is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitStage {
    /// Its member serves as it did.
    Granted,
    /// Its member drains or is gone.
    Draining,
    /// Another process of it is there and not ready yet.
    Starting,
    /// It is back and ready, as it is to be; or gone for good, where that was wanted.
    Returned,
    /// It is back and ready under another label.
    WrongVersion,
}

/// A holder's own part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutController {
    observations: BTreeMap<PermitId, Seen>,
    resume_count: Option<u64>,
    observed_wave: Option<(u32, bool)>,
    /// Since when the wave has been over.
    wave_finished_at: Option<Ms>,
    analysis: RolloutAnalysis,
    /// Since when more are out than may be.
    budget_exceeded_since: Option<Ms>,
    /// How often one came back under the new label on the way back.
    wrong_version_returns: BTreeMap<Name, u32>,
    /// Turns that are agreed on and are to be told; that are to be taken back if that can be.
    pub to_notify: Vec<PermitId>,
    pub to_revoke: Vec<PermitId>,
    /// Why nothing goes out now.
    pub blocked_reason: Option<String>,
    /// Turns that were given before this holder's time, for a planted fault.
    forgotten_permits: BTreeSet<PermitId>,
}

/// Where a turn is, by what is seen of its member.
pub fn stage(permit: &DisruptionPermit, unit: Option<&Unit>) -> PermitStage {
    let Some(unit) = unit.filter(|u| u.status != ServiceStatus::OutOfService) else {
        return if permit.permanent {
            PermitStage::Returned
        } else {
            PermitStage::Draining
        };
    };
    let other = unit.incarnation != permit.incarnation;
    // An engine carries no label: its keeper is told what it is to be.
    let any = permit.label.is_empty()
        || permit.unit_kind == UnitKind::Engines
        || is_injected(InjectedFault::LabelUnchecked);
    let fits = any || permit.label == unit.label;
    match unit.status {
        ServiceStatus::InService if other && !permit.permanent && fits => PermitStage::Returned,
        ServiceStatus::InService if other && !permit.permanent => PermitStage::WrongVersion,
        ServiceStatus::Draining if !other => PermitStage::Draining,
        _ if !other => PermitStage::Granted,
        _ => PermitStage::Starting,
    }
}

impl RolloutController {
    /// With what was agreed on when it began.
    pub fn new(disruptions: &DisruptionState) -> Self {
        let before = if is_injected(InjectedFault::BeginsAnew) {
            disruptions.permits.keys().copied().collect()
        } else {
            BTreeSet::new()
        };
        RolloutController {
            forgotten_permits: before,
            ..RolloutController::default()
        }
    }

    /// A member said of a turn whether it has begun; if not, it will not.
    pub fn record_revocation_reply(&mut self, permit: PermitId, begun: bool) {
        if let Some(seen) = self.observations.get_mut(&permit).filter(|_| !begun) {
            seen.revoked = true;
        }
    }

    /// Whether nothing may be told of a turn any more, as it is being taken back.
    pub fn is_revoked(&self, permit: PermitId) -> bool {
        self.observations
            .get(&permit)
            .is_some_and(|seen| seen.revoked)
    }

    /// The next step, if there is one. `view` is as fresh as the caller has it; `wants`: who asked for a turn.
    pub fn next_step(
        &mut self,
        now: Ms,
        disruptions: &DisruptionState,
        view: &FleetView,
        (me, voters): (&Name, &BTreeSet<Name>),
        (wants, own): (&[PermitRequest], &DisruptionBudget),
    ) -> Option<RolloutStep> {
        (self.to_notify, self.to_revoke, self.blocked_reason) = (Vec::new(), Vec::new(), None);
        let resumed = self
            .resume_count
            .replace(disruptions.resume_count)
            .is_some_and(|before| before != disruptions.resume_count);
        self.observations
            .retain(|number, _| disruptions.permits.contains_key(number));
        if resumed {
            // Who waits begins to wait anew, and what an operator saw and let go on is no reason to halt again.
            for seen in self.observations.values_mut() {
                *seen = Seen {
                    first_seen_at: now,
                    accepted: true,
                    ..Seen::default()
                };
            }
            self.budget_exceeded_since = None;
            self.analysis = RolloutAnalysis::default();
        }
        if let Some(step) = self.permit_step(now, disruptions, view) {
            return Some(step);
        }
        if let Some(step) = [UnitKind::Dispatchers, UnitKind::Engines]
            .into_iter()
            .find_map(|of| grown(disruptions, view, of))
        {
            return Some(step);
        }
        if disruptions.halted.is_some() {
            self.blocked_reason.clone_from(&disruptions.halted);
            return None;
        }
        if let Some(release) = disruptions.running() {
            if let Some(step) = self.rollout_step(now, disruptions, release, view, (me, voters)) {
                return Some(step);
            }
        }
        self.grant_requested(disruptions, view, voters, wants, own)
    }

    /// What becomes of the turns that are given.
    fn permit_step(
        &mut self,
        now: Ms,
        disruptions: &DisruptionState,
        view: &FleetView,
    ) -> Option<RolloutStep> {
        let release = disruptions.rollout.as_deref().filter(|r| !r.finished);
        let (mut over, mut back) = (Vec::new(), Vec::new());
        let mut counts = release.map(|r| {
            (
                r,
                self.counts(
                    disruptions,
                    view.units(r.plan.unit_kind),
                    r.plan.unit_kind,
                    &r.budget,
                ),
            )
        });
        for (number, permit) in &disruptions.permits {
            let unit = view
                .units(permit.unit_kind)
                .iter()
                .find(|u| u.name == permit.unit);
            let stage = stage(permit, unit);
            let seen = self.observations.entry(*number).or_insert(Seen {
                first_seen_at: now,
                ..Seen::default()
            });
            if seen.stage_since.is_none_or(|(before, _)| before != stage) {
                seen.stage_since = Some((stage, now));
            }
            let lasted = now - seen.stage_since.map_or(now, |(_, at)| at);
            let plan = release.filter(|_| permit.planned).map(|r| &r.plan);
            let (begin, within, settle) = plan.map_or((BEGIN, BACK, SETTLE), |p| {
                (
                    p.start_timeout_ms as f64,
                    p.return_timeout_ms as f64,
                    p.settle_ms as f64,
                )
            });
            let goes_back = release.is_some_and(|r| r.rolling_back) && permit.planned;
            // A turn of the way forward that is not over when the release goes back.
            let forward = goes_back
                && release.is_some_and(|r| r.plan.previous_label != permit.label)
                && !permit.permanent;
            let late = now - seen.first_seen_at > within;
            match stage {
                // One that is gone has to be gone for as long as the roll takes to be whole.
                PermitStage::Returned
                    if permit.permanent && (!view.complete || lasted < settle) => {}
                PermitStage::Returned if lasted >= settle => over.push(*number),
                PermitStage::Returned => {}
                PermitStage::Granted if seen.revoked => back.push(*number),
                PermitStage::Granted => {
                    // What failed since it was given, or is used more now, may have taken its room: then it is not
                    // told, or not again.
                    let full = counts.as_mut().is_some_and(|(release, counts)| {
                        let unbound =
                            release.rolling_back && is_injected(InjectedFault::BackUnbound);
                        permit.planned && !unbound && !still_fits(counts, unit, &release.budget)
                    });
                    if disruptions.halted.is_some()
                        || forward
                        || full
                        || now - seen.first_seen_at > begin
                    {
                        self.to_revoke.push(*number);
                    } else {
                        self.to_notify.push(*number);
                    }
                }
                // In under another label than wanted, on the way back: its turn is over, and if it is to go it waits for
                // room like any other.
                PermitStage::WrongVersion
                    if goes_back && disruptions.halted.is_none() && lasted >= settle =>
                {
                    let tried = self
                        .wrong_version_returns
                        .entry(permit.unit.clone())
                        .or_default();
                    *tried += u32::from(!forward);
                    if *tried > TOLD_BACK {
                        let label = unit.map_or("", |u| &u.label);
                        return leave(disruptions, *number, format!("stays under {label}"));
                    }
                    back.push(*number);
                }
                // There and not ready under the new version: it is told at once, as what it is now. It is out already.
                PermitStage::Starting if goes_back && disruptions.halted.is_none() => {
                    if let (Some(unit), Some(r), true) = (unit, release, forward) {
                        let permit = DisruptionPermit {
                            incarnation: unit.incarnation,
                            address: unit.address.clone(),
                            label: r.plan.previous_label.clone(),
                            ..permit.clone()
                        };
                        return Some(RolloutStep::Reissue(*number, permit));
                    }
                    if late {
                        return leave(disruptions, *number, "is not ready again".to_owned());
                    }
                }
                PermitStage::WrongVersion if seen.accepted || !permit.planned => back.push(*number),
                PermitStage::WrongVersion if lasted >= settle && disruptions.halted.is_none() => {
                    let label = unit.map_or("", |u| &u.label);
                    let why = format!(
                        "{} came back under {label} in place of {}",
                        permit.unit.0, permit.label
                    );
                    return Some(RolloutStep::Halt(why));
                }
                _ if late && disruptions.halted.is_none() && permit.planned => {
                    if goes_back {
                        return leave(disruptions, *number, "did not come back".to_owned());
                    }
                    let what = if stage == PermitStage::Starting {
                        "is not ready"
                    } else {
                        "is not back"
                    };
                    return Some(RolloutStep::Halt(format!(
                        "{} {what} within its time",
                        permit.unit.0
                    )));
                }
                _ => {}
            }
        }
        if !back.is_empty() {
            return Some(RolloutStep::Revoke(back));
        }
        (!over.is_empty()).then_some(RolloutStep::Complete(over))
    }

    /// The release's next step.
    fn rollout_step(
        &mut self,
        now: Ms,
        disruptions: &DisruptionState,
        release: &Rollout,
        view: &FleetView,
        (me, voters): (&Name, &BTreeSet<Name>),
    ) -> Option<RolloutStep> {
        let (plan, bounds) = (&release.plan, &release.budget);
        let units = view.units(plan.unit_kind);
        let mut counts = self.counts(disruptions, units, plan.unit_kind, bounds);
        if self
            .observed_wave
            .replace((release.wave, release.rolling_back))
            != Some((release.wave, release.rolling_back))
        {
            self.wave_finished_at = None;
        }
        let planned = disruptions.permits.values().filter(|t| t.planned).count();
        if !release.rolling_back {
            let turning = |name: &Name| disruptions.permit_for(plan.unit_kind, name).is_some();
            let turned = turned(release, units, turning);
            if let Some(why) = self.analysis.observe(
                now,
                units.iter().filter(|u| plan.selects(u)),
                &turned,
                turning,
            ) {
                return Some(RolloutStep::Halt(why));
            }
        }
        match counts.exceeded(bounds).filter(|_| view.complete) {
            Some(binds)
                if now - *self.budget_exceeded_since.get_or_insert(now)
                    > plan.observe_ms as f64
                    && !release.rolling_back =>
            {
                return Some(RolloutStep::Halt(format!(
                    "more are out than may be: {binds}"
                )));
            }
            Some(_) => {}
            None => self.budget_exceeded_since = None,
        }
        let (order, waits) = self.candidates(disruptions, release, units, me);
        let room = match release.rolling_back {
            true => MAX_PERMITS as u32,
            false => plan
                .wave_size(release.wave)
                .saturating_sub(release.granted_in_wave),
        };
        if order.is_empty() && waits.is_none() && planned == 0 {
            // Nobody is left that is seen; one that is not seen may be one of them. An engine that is gone comes back
            // as another.
            let beside = disruptions
                .permits
                .values()
                .any(|permit| permit.unit_kind == plan.unit_kind);
            self.blocked_reason = match view.complete {
                false => Some("the roll is not whole yet".to_owned()),
                true if beside => Some("turns beside the release are not over".to_owned()),
                true if plan.unit_kind == UnitKind::Engines => None,
                true => counts.missing_units(units),
            };
            return self.blocked_reason.is_none().then_some(RolloutStep::Finish);
        }
        if room == 0 && !order.is_empty() {
            if planned > 0 {
                self.blocked_reason = Some(format!("wave {} is not over", release.wave + 1));
                return None;
            }
            let since = *self.wave_finished_at.get_or_insert(now);
            if now - since >= plan.observe_ms as f64 {
                return Some(RolloutStep::NextWave);
            }
            self.blocked_reason = Some(format!("wave {} is watched", release.wave + 1));
            return None;
        }
        let most = (room as usize)
            .min(MOST_AT_ONCE)
            .min(MAX_PERMITS.saturating_sub(disruptions.permits.len()));
        let (permits, binds) = self.choose_permits(
            &order,
            most,
            &mut counts,
            release,
            disruptions,
            view,
            voters,
        );
        if !permits.is_empty() {
            return Some(RolloutStep::Grant(permits));
        }
        let out = (planned > 0).then(|| format!("{planned} turns are not over"));
        self.blocked_reason = binds.map(|binds| binds.to_string()).or(waits).or(out);
        None
    }

    /// Those of an order that may go now, and what binds the first that may not.
    #[allow(clippy::too_many_arguments)]
    fn choose_permits(
        &self,
        order: &[&Unit],
        most: usize,
        counts: &mut UnitCounts,
        release: &Rollout,
        disruptions: &DisruptionState,
        view: &FleetView,
        voters: &BTreeSet<Name>,
    ) -> (Vec<DisruptionPermit>, Option<Violation>) {
        let (plan, bounds) = (&release.plan, &release.budget);
        let mut permits: Vec<DisruptionPermit> = Vec::new();
        let mut first = None;
        for unit in order {
            if permits.len() >= most {
                break;
            }
            let unbound = release.rolling_back && is_injected(InjectedFault::BackUnbound);
            // One that is out already takes no room more.
            if unit.status == ServiceStatus::InService && !unbound {
                let voter = || voter_binds(unit, disruptions, view, voters, &permits);
                let may = counts.check_disruption(unit, bounds).and_then(|()| voter());
                if let Err(binds) = may {
                    first = first.or(Some(binds));
                    continue;
                }
            }
            counts.mark_unavailable(unit);
            permits.push(DisruptionPermit {
                unit_kind: plan.unit_kind,
                unit: unit.name.clone(),
                incarnation: unit.incarnation,
                address: unit.address.clone(),
                zone: unit.zone.clone(),
                label: if release.rolling_back {
                    plan.previous_label.clone()
                } else {
                    plan.label.clone()
                },
                permanent: plan.permanent,
                planned: true,
            });
        }
        (permits, first)
    }

    fn counts(
        &self,
        disruptions: &DisruptionState,
        units: &[Unit],
        of: UnitKind,
        bounds: &DisruptionBudget,
    ) -> UnitCounts {
        let forgotten = |number: &PermitId| self.forgotten_permits.contains(number);
        let turning: BTreeSet<&Name> = disruptions
            .permits
            .iter()
            .filter(|(number, permit)| {
                permit.unit_kind == of
                    && !forgotten(number)
                    && !is_injected(InjectedFault::TurnTwice)
            })
            .map(|(_, permit)| &permit.unit)
            .collect();
        if is_injected(InjectedFault::FailuresUncounted) {
            let sound = |unit: &Unit| Unit {
                status: ServiceStatus::InService,
                ..unit.clone()
            };
            let sound: Vec<Unit> = units.iter().map(sound).collect();
            return UnitCounts::new(sound.iter(), &ZoneSizes::new(), bounds, |u| {
                turning.contains(&u.name)
            });
        }
        if is_injected(InjectedFault::OldReportTaken) {
            let bounds = DisruptionBudget {
                max_report_age_ms: u64::MAX,
                ..*bounds
            };
            return UnitCounts::new(units.iter(), disruptions.zone_sizes(of), &bounds, |u| {
                turning.contains(&u.name)
            });
        }
        UnitCounts::new(units.iter(), disruptions.zone_sizes(of), bounds, |u| {
            turning.contains(&u.name)
        })
    }

    /// Those that are still to go, in their order, and what is waited for beside them.
    fn candidates<'a>(
        &self,
        disruptions: &DisruptionState,
        release: &Rollout,
        units: &'a [Unit],
        me: &Name,
    ) -> (Vec<&'a Unit>, Option<String>) {
        let plan = &release.plan;
        let mut order: Vec<&Unit> = Vec::new();
        let mut waits = None;
        let mut blocked: BTreeMap<&str, u64> = BTreeMap::new();
        let mut all: Vec<&Unit> = units
            .iter()
            .filter(|u| plan.selects(u) && wanted(release, u))
            .collect();
        all.sort_by_key(|unit| {
            let at = order_key(&unit.name);
            (
                unit.name == *me && plan.unit_kind == UnitKind::Dispatchers,
                if release.rolling_back {
                    u64::MAX - at
                } else {
                    at
                },
            )
        });
        for unit in all {
            let left = release.abandoned.contains_key(&unit.name);
            if left
                || disruptions
                    .permit_for(plan.unit_kind, &unit.name)
                    .is_some_and(|(n, _)| !self.forgotten_permits.contains(n))
            {
                continue;
            }
            // Back, a dispatcher that is there and not ready may be told at once: it takes no room. An engine that is
            // cold will be ready by itself.
            let engines = plan.unit_kind == UnitKind::Engines;
            let there = unit.status == ServiceStatus::InService
                || release.rolling_back && !engines && unit.status == ServiceStatus::Starting;
            match there {
                true if engines && blocked.contains_key(unit.zone.as_str()) => {}
                true => order.push(unit),
                // An engine that is not listed any more comes back as another.
                false if engines && unit.status == ServiceStatus::OutOfService => {}
                false => {
                    if engines {
                        // A zone is gone through in order, or this one would be passed over.
                        blocked.entry(&unit.zone).or_insert(order_key(&unit.name));
                    }
                    waits = waits.or(Some(format!("{} is not ready", unit.name.0)));
                }
            }
        }
        (order, waits)
    }

    /// Turns that dispatchers asked for.
    fn grant_requested(
        &mut self,
        disruptions: &DisruptionState,
        view: &FleetView,
        voters: &BTreeSet<Name>,
        wants: &[PermitRequest],
        own: &DisruptionBudget,
    ) -> Option<RolloutStep> {
        if wants.is_empty() || !view.complete || disruptions.permits.len() >= MAX_PERMITS {
            return None;
        }
        let running = disruptions
            .rollout
            .as_deref()
            .filter(|r| !r.finished && r.plan.unit_kind == UnitKind::Dispatchers);
        let bounds = running.map_or(own, |r| &r.budget);
        let mut counts = self.counts(
            disruptions,
            &view.dispatchers,
            UnitKind::Dispatchers,
            bounds,
        );
        let mut permits: Vec<DisruptionPermit> = Vec::new();
        for want in wants {
            let unit = view
                .dispatchers
                .iter()
                .find(|u| u.name == want.name && u.status == ServiceStatus::InService);
            let Some(unit) = unit.filter(|u| {
                disruptions
                    .permit_for(UnitKind::Dispatchers, &u.name)
                    .is_none()
            }) else {
                continue;
            };
            let voter = || voter_binds(unit, disruptions, view, voters, &permits);
            if let Err(binds) = counts.check_disruption(unit, bounds).and_then(|()| voter()) {
                self.blocked_reason = self.blocked_reason.take().or(Some(binds.to_string()));
                continue;
            }
            counts.mark_unavailable(unit);
            permits.push(DisruptionPermit {
                unit_kind: UnitKind::Dispatchers,
                unit: unit.name.clone(),
                incarnation: unit.incarnation,
                address: unit.address.clone(),
                zone: unit.zone.clone(),
                label: want.label.clone(),
                permanent: false,
                planned: false,
            });
        }
        (!permits.is_empty()).then_some(RolloutStep::Grant(permits))
    }

    /// UnitCounts for those that look: how many are out and how many may be, by zone.
    pub fn unavailable_counts(
        &self,
        disruptions: &DisruptionState,
        view: &FleetView,
        of: UnitKind,
        bounds: &DisruptionBudget,
    ) -> Vec<UnavailableCount> {
        self.counts(disruptions, view.units(of), of, bounds)
            .unavailable_counts(bounds)
    }
}

/// Whether a unit is one that the release has still to turn, as it stands.
fn wanted(release: &Rollout, unit: &Unit) -> bool {
    let plan = &release.plan;
    if plan.unit_kind == UnitKind::Dispatchers {
        return if release.rolling_back {
            unit.label == plan.label
        } else {
            unit.label != plan.label
        };
    }
    let reached = release.zone_progress.get(&unit.zone).copied();
    let passed = reached.is_some_and(|at| order_key(&unit.name) <= at);
    if release.rolling_back {
        return passed;
    }
    !passed || release.regrant.contains(&unit.name)
}

/// Those that have turned, by what is seen of them.
fn turned(release: &Rollout, units: &[Unit], turning: impl Fn(&Name) -> bool) -> BTreeSet<Name> {
    let plan = &release.plan;
    let has = |u: &&Unit| match plan.unit_kind {
        UnitKind::Dispatchers => u.label == plan.label,
        UnitKind::Engines => !wanted(release, u) && !turning(&u.name),
    };
    units
        .iter()
        .filter(|u| plan.selects(u))
        .filter(has)
        .map(|u| u.name.clone())
        .collect()
}

/// The fleet is larger than was agreed.
fn grown(disruptions: &DisruptionState, view: &FleetView, of: UnitKind) -> Option<RolloutStep> {
    let seen = observed_zone_sizes(view.units(of).iter());
    let known = disruptions.zone_sizes(of);
    let more: ZoneSizes = seen
        .into_iter()
        .filter(|(zone, n)| *n > known.get(zone).copied().unwrap_or(0))
        .collect();
    (!more.is_empty()).then_some(RolloutStep::RecordSizes(of, more))
}

/// Whether one whose turn is given could still be given it.
fn still_fits(counts: &mut UnitCounts, unit: Option<&Unit>, bounds: &DisruptionBudget) -> bool {
    let Some(unit) = unit.filter(|u| u.status == ServiceStatus::InService) else {
        return true;
    };
    counts.mark_available(unit);
    let fits = counts.check_disruption(unit, bounds).is_ok();
    counts.mark_unavailable(unit);
    fits
}

/// Voters go one after another, never two: with one more gone nothing more might be agreed on.
fn voter_binds(
    unit: &Unit,
    disruptions: &DisruptionState,
    view: &FleetView,
    voters: &BTreeSet<Name>,
    permits: &[DisruptionPermit],
) -> Result<(), Violation> {
    if unit.role.is_some() || !voters.contains(&unit.name) {
        return Ok(());
    }
    let there = |name: &&Name| {
        let seen = view
            .dispatchers
            .iter()
            .any(|u| u.name == **name && u.status == ServiceStatus::InService);
        let permit = disruptions
            .permit_for(UnitKind::Dispatchers, name)
            .is_some();
        let going = permits.iter().any(|t| t.unit == **name);
        seen && !permit && !going
    };
    let out = voters.iter().filter(|name| !there(name)).count() as u32;
    match out {
        0 => Ok(()),
        out => Err(Violation::MinReady {
            role: "voters",
            place: format!("{out} of the voters are out"),
            minimum: voters.len() as u32,
        }),
    }
}

fn leave(disruptions: &DisruptionState, number: PermitId, why: String) -> Option<RolloutStep> {
    let full = disruptions
        .rollout
        .as_deref()
        .is_none_or(|r| r.abandoned.len() >= MAX_ABANDONED);
    match full {
        true => Some(RolloutStep::Halt(
            "more than can be named did not come back".to_owned(),
        )),
        false => Some(RolloutStep::Abandon(number, why)),
    }
}

/// What a member is told of its turn, as an act's body, and the list's keeper of an engine's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitNotice {
    pub permit: PermitId,
    pub unit_kind: UnitKind,
    pub unit: Name,
    pub incarnation: Incarnation,
    pub label: String,
    pub permanent: bool,
}

impl PermitNotice {
    pub fn new(number: PermitId, permit: &DisruptionPermit) -> Self {
        let DisruptionPermit {
            unit_kind: of,
            unit: who,
            incarnation,
            label,
            permanent: stays,
            ..
        } = permit.clone();
        PermitNotice {
            permit: number,
            unit_kind: of,
            unit: who,
            incarnation,
            label,
            permanent: stays,
        }
    }

    /// One word a line; a label is the last, as it may be empty.
    pub fn write(&self) -> Vec<u8> {
        let of = if self.unit_kind == UnitKind::Engines {
            "host"
        } else {
            "dispatcher"
        };
        let stays = if self.permanent { "stays" } else { "returns" };
        let (number, incarnation) = (self.permit.0, self.incarnation.0);
        format!(
            "turn\n{number}\n{of}\n{}\n{incarnation}\n{stays}\n{}",
            self.unit.0, self.label
        )
        .into_bytes()
    }

    /// None if it is not one.
    pub fn read(bytes: &[u8]) -> Option<PermitNotice> {
        let text = std::str::from_utf8(bytes).ok()?;
        let words: Vec<&str> = text.split('\n').collect();
        let ["turn", number, of, who, incarnation, stays, label] = words[..] else {
            return None;
        };
        let of = match of {
            "host" => UnitKind::Engines,
            "dispatcher" => UnitKind::Dispatchers,
            _ => return None,
        };
        let stays = match stays {
            "stays" => true,
            "returns" => false,
            _ => return None,
        };
        (!who.is_empty()).then_some(())?;
        Some(PermitNotice {
            permit: PermitId(number.parse().ok()?),
            unit_kind: of,
            unit: Name::from(who),
            incarnation: Incarnation(incarnation.parse().ok()?),
            label: label.to_owned(),
            permanent: stays,
        })
    }
}

/// What would go when, if all went as planned: for `--dry-run`.
pub fn waves(
    plan: &RolloutPlan,
    bounds: &DisruptionBudget,
    units: &[Unit],
    sizes: &ZoneSizes,
) -> Vec<Vec<Name>> {
    let mut left: Vec<&Unit> = units
        .iter()
        .filter(|u| plan.selects(u) && u.status == ServiceStatus::InService)
        .collect();
    if plan.unit_kind == UnitKind::Dispatchers {
        left.retain(|u| u.label != plan.label);
    }
    left.sort_by_key(|u| order_key(&u.name));
    let mut waves = Vec::new();
    while !left.is_empty() && waves.len() < 10_000 {
        let most = plan.wave_size(waves.len() as u32) as usize;
        let mut wave: Vec<Name> = Vec::new();
        // A wave goes on until it is full: in parts, as the bounds let them.
        while wave.len() < most && !left.is_empty() {
            let mut counts = UnitCounts::new(units.iter(), sizes, bounds, |_| false);
            let before = wave.len();
            left.retain(|unit| {
                let goes = wave.len() < most && counts.check_disruption(unit, bounds).is_ok();
                if goes {
                    counts.mark_unavailable(unit);
                    wave.push(unit.name.clone());
                }
                !goes
            });
            if wave.len() == before {
                break;
            }
        }
        if wave.is_empty() {
            break;
        }
        waves.push(wave);
    }
    waves
}

/// The address that a unit's turn is told at: its own, or the list's keeper's.
pub fn told_at<'a>(
    permit: &'a DisruptionPermit,
    keeper: Option<&'a Address>,
) -> Option<&'a Address> {
    if permit.unit_kind == UnitKind::Engines {
        keeper
    } else {
        Some(&permit.address)
    }
}
