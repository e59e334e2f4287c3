//! Turns, plans and releases as the schema's messages, and back.

use crate::codec_fields::{address, name, text, MAX_TEXT_BYTES};
use cindercleat::coordination::disruption_budget::{
    DisruptionBudget, MaxUnavailable, OutcomeCounts, UnavailableCount, UnitKind, ZoneSizes,
};
use cindercleat::coordination::member::{
    AbandonedUnit, OperatorRequest, PermitStatus, RolloutRequest, RolloutStatus, MAX_REPORTS,
};
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutPlan, MAX_ABANDONED, MAX_NAMES,
    MAX_NOTES, MAX_PERMITS,
};
use cindercleat::coordination::{Address, Incarnation, Name};
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use v1::fleet_call::Question as Q;

/// Zones of one fleet.
const MOST_ZONES: usize = 1024;
/// Longest reason.
const MOST_WORDS: usize = 1024;

fn of_in(engines: bool) -> UnitKind {
    if engines {
        UnitKind::Engines
    } else {
        UnitKind::Dispatchers
    }
}

/// Words for people: any but too many.
fn words(said: &str) -> Option<String> {
    (said.len() <= MOST_WORDS).then(|| said.to_owned())
}

/// A short word that may be empty.
fn word(said: &str) -> Option<String> {
    match said.is_empty() {
        true => Some(String::new()),
        false => text(said).map(str::to_owned),
    }
}

fn few<T>(said: &[T], most: usize) -> Option<&[T]> {
    (said.len() <= most).then_some(said)
}

fn names_out<'a>(names: impl IntoIterator<Item = &'a Name>) -> Vec<String> {
    names.into_iter().map(|n| n.0.to_string()).collect()
}

pub(crate) fn tally_out(tally: &OutcomeCounts) -> v1::FleetOutcomeCounts {
    let OutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    } = *tally;
    v1::FleetOutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }
}

pub(crate) fn tally_in(said: Option<&v1::FleetOutcomeCounts>) -> OutcomeCounts {
    let Some(&v1::FleetOutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }) = said
    else {
        return OutcomeCounts::default();
    };
    // Sums of them are not to overflow.
    let [succeeded, rejected, failed, late] =
        [succeeded, rejected, failed, late].map(|n| n.min(1 << 48));
    OutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }
}

pub(crate) fn report_out(report: &EngineReport) -> v1::FleetEngineReport {
    v1::FleetEngineReport {
        engine: report.engine.0.to_string(),
        used: report.used.map(|(used, _)| used),
        age_ms: report.used.map_or(0.0, |(_, age)| age),
        tally: Some(tally_out(&report.tally)),
    }
}

pub(crate) fn reports_in(said: &[v1::FleetEngineReport]) -> Option<Vec<EngineReport>> {
    let report = |r: &v1::FleetEngineReport| {
        let used = match r.used {
            Some(used) => {
                Some((used, r.age_ms)).filter(|(u, a)| u.is_finite() && a.is_finite() && *a >= 0.0)
            }
            None => None,
        };
        Some(EngineReport {
            engine: name(&r.engine)?,
            used,
            tally: tally_in(r.tally.as_ref()),
        })
    };
    few(said, MAX_REPORTS)?.iter().map(report).collect()
}

fn most_out(most: MaxUnavailable) -> Option<v1::FleetMaxUnavailable> {
    Some(v1::FleetMaxUnavailable {
        number: most.count,
        per_mille: most.per_mille,
    })
}

fn most_in(said: Option<&v1::FleetMaxUnavailable>) -> Option<MaxUnavailable> {
    let said = said?;
    (said.per_mille <= 1000).then_some(MaxUnavailable {
        count: said.number,
        per_mille: said.per_mille,
    })
}

fn bounds_out(bounds: &DisruptionBudget) -> v1::FleetDisruptionBudget {
    v1::FleetDisruptionBudget {
        fleet: most_out(bounds.fleet),
        zone: most_out(bounds.zone),
        cell: most_out(bounds.cell),
        kind: most_out(bounds.kind),
        prefill_engines_per_zone: bounds.min_prefill_engines_per_zone,
        decode_engines_per_zone: bounds.min_decode_engines_per_zone,
        prefill_engines_per_cell: bounds.min_prefill_engines_per_cell,
        decode_engines_per_cell: bounds.min_decode_engines_per_cell,
        used_per_mille: bounds.max_utilization_per_mille,
        report_age_ms: bounds.max_report_age_ms,
    }
}

fn bounds_in(said: Option<&v1::FleetDisruptionBudget>) -> Option<DisruptionBudget> {
    let said = said?;
    Some(DisruptionBudget {
        fleet: most_in(said.fleet.as_ref())?,
        zone: most_in(said.zone.as_ref())?,
        cell: most_in(said.cell.as_ref())?,
        kind: most_in(said.kind.as_ref())?,
        min_prefill_engines_per_zone: said.prefill_engines_per_zone,
        min_decode_engines_per_zone: said.decode_engines_per_zone,
        min_prefill_engines_per_cell: said.prefill_engines_per_cell,
        min_decode_engines_per_cell: said.decode_engines_per_cell,
        max_utilization_per_mille: said.used_per_mille,
        max_report_age_ms: said.report_age_ms,
    })
}

fn turn_out((number, permit): (&PermitId, &DisruptionPermit)) -> v1::FleetPermit {
    v1::FleetPermit {
        number: number.0,
        engine: permit.unit_kind == UnitKind::Engines,
        who: permit.unit.0.to_string(),
        incarnation: permit.incarnation.0,
        address: permit.address.0.to_string(),
        zone: permit.zone.clone(),
        label: permit.label.clone(),
        stays: permit.permanent,
        planned: permit.planned,
    }
}

fn turn_in(said: &v1::FleetPermit) -> Option<(PermitId, DisruptionPermit)> {
    let permit = DisruptionPermit {
        unit_kind: of_in(said.engine),
        unit: name(&said.who)?,
        incarnation: Incarnation(said.incarnation),
        address: Address::from(word(&said.address)?.as_str()),
        zone: word(&said.zone)?,
        label: word(&said.label)?,
        permanent: said.stays,
        planned: said.planned,
    };
    Some((PermitId(said.number), permit))
}

pub(crate) fn plan_out(plan: &RolloutPlan) -> v1::FleetRolloutPlan {
    v1::FleetRolloutPlan {
        name: plan.name.clone(),
        engines: plan.unit_kind == UnitKind::Engines,
        label: plan.label.clone(),
        before: plan.previous_label.clone(),
        zones: plan.zones.clone(),
        cells: plan.cells.clone(),
        kinds: plan.kinds.clone(),
        names: names_out(&plan.names),
        stays: plan.permanent,
        first: plan.first_wave_size,
        grow_per_mille: plan.wave_growth_per_mille,
        watch_ms: plan.observe_ms,
        settle_ms: plan.settle_ms,
        begin_ms: plan.start_timeout_ms,
        back_ms: plan.return_timeout_ms,
    }
}

pub(crate) fn plan_in(said: Option<&v1::FleetRolloutPlan>) -> Option<RolloutPlan> {
    let said = said?;
    let list = |all: &[String]| -> Option<Vec<String>> {
        few(all, MAX_NAMES)?
            .iter()
            .map(|one| text(one).map(str::to_owned))
            .collect()
    };
    // A plan that begins with none never begins.
    (said.first > 0 && said.grow_per_mille >= 1000).then_some(())?;
    Some(RolloutPlan {
        name: text(&said.name)?.to_owned(),
        unit_kind: of_in(said.engines),
        label: word(&said.label)?,
        previous_label: word(&said.before)?,
        zones: list(&said.zones)?,
        cells: list(&said.cells)?,
        kinds: list(&said.kinds)?,
        names: few(&said.names, MAX_NAMES)?
            .iter()
            .map(|n| name(n))
            .collect::<Option<_>>()?,
        permanent: said.stays,
        first_wave_size: said.first,
        wave_growth_per_mille: said.grow_per_mille,
        observe_ms: said.watch_ms,
        settle_ms: said.settle_ms,
        start_timeout_ms: said.begin_ms,
        return_timeout_ms: said.back_ms,
    })
}

fn left_out(left: &BTreeMap<Name, String>) -> Vec<v1::FleetLeft> {
    left.iter()
        .map(|(who, why)| v1::FleetLeft {
            who: who.0.to_string(),
            why: why.clone(),
        })
        .collect()
}

fn left_in(said: &[v1::FleetLeft]) -> Option<BTreeMap<Name, String>> {
    few(said, MAX_ABANDONED)?
        .iter()
        .map(|l| Some((name(&l.who)?, words(&l.why)?)))
        .collect()
}

fn release_out(release: &Rollout) -> v1::FleetRollout {
    let reached = |(zone, at): (&String, &u64)| v1::FleetReached {
        zone: zone.clone(),
        at: *at,
    };
    v1::FleetRollout {
        plan: Some(plan_out(&release.plan)),
        bounds: Some(bounds_out(&release.budget)),
        by: release.started_by.0.to_string(),
        back: release.rolling_back,
        done: release.finished,
        wave: release.wave,
        given: release.granted_in_wave,
        reached: release.zone_progress.iter().map(reached).collect(),
        again: names_out(&release.regrant),
        left: left_out(&release.abandoned),
        turned: release.completed,
    }
}

fn release_in(said: &v1::FleetRollout) -> Option<Rollout> {
    let reached = few(&said.reached, MOST_ZONES)?
        .iter()
        .map(|r| Some((word(&r.zone)?, r.at)));
    let again = few(&said.again, MAX_PERMITS)?.iter().map(|n| name(n));
    Some(Rollout {
        plan: plan_in(said.plan.as_ref())?,
        budget: bounds_in(said.bounds.as_ref())?,
        started_by: name(&said.by)?,
        rolling_back: said.back,
        finished: said.done,
        wave: said.wave,
        granted_in_wave: said.given,
        zone_progress: reached.collect::<Option<_>>()?,
        regrant: again.collect::<Option<BTreeSet<_>>>()?,
        abandoned: left_in(&said.left)?,
        completed: said.turned,
    })
}

fn sizes_out(sizes: &ZoneSizes) -> Vec<v1::FleetSize> {
    sizes
        .iter()
        .map(|(zone, size)| v1::FleetSize {
            zone: zone.clone(),
            size: *size,
        })
        .collect()
}

fn sizes_in(said: &[v1::FleetSize]) -> Option<ZoneSizes> {
    few(said, MOST_ZONES)?
        .iter()
        .map(|s| Some((word(&s.zone)?, s.size)))
        .collect()
}

/// Nothing, where there is nothing of it.
pub(crate) fn care_out(disruptions: &DisruptionState) -> Option<v1::FleetDisruptions> {
    (!disruptions.is_empty()).then(|| v1::FleetDisruptions {
        given: disruptions.permits_granted,
        permits: disruptions.permits.iter().map(turn_out).collect(),
        release: disruptions.rollout.as_deref().map(release_out),
        halted: disruptions.halted.clone(),
        resumed: disruptions.resume_count,
        dispatchers: sizes_out(&disruptions.dispatcher_sizes),
        engines: sizes_out(&disruptions.engine_sizes),
        notes: disruptions.notes.clone(),
    })
}

pub(crate) fn care_in(said: Option<&v1::FleetDisruptions>) -> Option<DisruptionState> {
    let Some(said) = said else {
        return Some(DisruptionState::default());
    };
    let release = match &said.release {
        Some(release) => Some(Box::new(release_in(release)?)),
        None => None,
    };
    let halted = match &said.halted {
        Some(why) => Some(words(why)?),
        None => None,
    };
    Some(DisruptionState {
        permits_granted: said.given,
        permits: few(&said.permits, MAX_PERMITS)?
            .iter()
            .map(turn_in)
            .collect::<Option<_>>()?,
        rollout: release,
        halted,
        resume_count: said.resumed,
        dispatcher_sizes: sizes_in(&said.dispatchers)?,
        engine_sizes: sizes_in(&said.engines)?,
        notes: few(&said.notes, MAX_NOTES)?
            .iter()
            .map(|n| words(n))
            .collect::<Option<_>>()?,
    })
}

pub(crate) fn order_out(order: &RolloutRequest) -> Q {
    match order {
        RolloutRequest::Start {
            plan,
            skip_missing: skip,
            dry_run: dry,
        } => Q::Start(v1::FleetStart {
            plan: Some(plan_out(plan)),
            skip: *skip,
            dry: *dry,
        }),
        RolloutRequest::Halt { reason: why } => Q::Halt(v1::FleetHalt { why: why.clone() }),
        RolloutRequest::Resume => Q::Resume(v1::FleetResume {}),
        RolloutRequest::RollBack => Q::Back(v1::FleetBack {}),
        RolloutRequest::End => Q::End(v1::FleetEnd {}),
        RolloutRequest::Recount { unit_kind: of } => Q::Recount(v1::FleetRecount {
            engines: *of == UnitKind::Engines,
        }),
        RolloutRequest::Permit {
            name,
            label,
            cancel: refused,
        } => Q::WantPermit(v1::FleetWantPermit {
            name: name.0.to_string(),
            label: label.clone(),
            refused: *refused,
        }),
    }
}

/// An order on releases; none if it is none, or cannot be right.
pub(crate) fn order_in(said: &Q) -> Option<OperatorRequest> {
    Some(OperatorRequest::Rollout(match said {
        Q::Start(m) => {
            let plan = Box::new(plan_in(m.plan.as_ref())?);
            RolloutRequest::Start {
                plan,
                skip_missing: m.skip,
                dry_run: m.dry,
            }
        }
        Q::Halt(m) => RolloutRequest::Halt {
            reason: words(&m.why)?,
        },
        Q::Resume(_) => RolloutRequest::Resume,
        Q::Back(_) => RolloutRequest::RollBack,
        Q::End(_) => RolloutRequest::End,
        Q::Recount(m) => RolloutRequest::Recount {
            unit_kind: of_in(m.engines),
        },
        Q::WantPermit(m) => RolloutRequest::Permit {
            name: name(&m.name)?,
            label: word(&m.label)?,
            cancel: m.refused,
        },
        Q::ByHand(m) => {
            let at = match m.address.is_empty() {
                true => None,
                false => Some(address(&m.address)?),
            };
            return Some(OperatorRequest::ByHand {
                name: name(&m.who)?,
                address: at,
                reason: words(&m.why)?,
            });
        }
        _ => return None,
    }))
}

pub(crate) fn ask_back_out(
    permit: PermitId,
    of: UnitKind,
    who: &Name,
    incarnation: Incarnation,
) -> Q {
    Q::AskBack(v1::FleetAskBack {
        permit: permit.0,
        engine: of == UnitKind::Engines,
        who: who.0.to_string(),
        incarnation: incarnation.0,
    })
}

pub(crate) fn ask_back_in(m: &v1::FleetAskBack) -> Option<(PermitId, UnitKind, Name, Incarnation)> {
    Some((
        PermitId(m.permit),
        of_in(m.engine),
        name(&m.who)?,
        Incarnation(m.incarnation),
    ))
}

pub(crate) fn status_out(status: &RolloutStatus) -> v1::FleetRolloutStatus {
    let line = |line: &PermitStatus| v1::FleetPermitLine {
        number: line.permit.0,
        who: line.unit.0.to_string(),
        zone: line.zone.clone(),
        at: line.stage.clone(),
    };
    let room = |count: &UnavailableCount| v1::FleetRoom {
        zone: count.zone.clone(),
        out: count.unavailable,
        most: count.limit,
    };
    let left = |line: &AbandonedUnit| v1::FleetLeft {
        who: line.unit.0.to_string(),
        why: line.reason.clone(),
    };
    v1::FleetRolloutStatus {
        name: status.name.clone(),
        engines: status.unit_kind == UnitKind::Engines,
        state: status.state.clone(),
        halted: status.halted.clone(),
        why: status.blocked_reason.clone(),
        wave: status.wave,
        given: status.granted_in_wave,
        of_wave: status.wave_size,
        turned: status.completed,
        meant: status.selected,
        permits: status.permits.iter().map(line).collect(),
        room: status.unavailable.iter().map(room).collect(),
        left: status.abandoned.iter().map(left).collect(),
        notes: status.notes.clone(),
    }
}

pub(crate) fn status_in(said: Option<&v1::FleetRolloutStatus>) -> Option<RolloutStatus> {
    let Some(said) = said else {
        return Some(RolloutStatus::default());
    };
    let line = |l: &v1::FleetPermitLine| {
        Some(PermitStatus {
            permit: PermitId(l.number),
            unit: name(&l.who)?,
            zone: word(&l.zone)?,
            stage: word(&l.at)?,
        })
    };
    let left = |l: &v1::FleetLeft| {
        Some(AbandonedUnit {
            unit: name(&l.who)?,
            reason: words(&l.why)?,
        })
    };
    let room = |r: &v1::FleetRoom| {
        Some(UnavailableCount {
            zone: word(&r.zone)?,
            unavailable: r.out,
            limit: r.most,
        })
    };
    Some(RolloutStatus {
        name: word(&said.name)?,
        unit_kind: of_in(said.engines),
        state: word(&said.state)?,
        halted: words(&said.halted)?,
        blocked_reason: words(&said.why)?,
        wave: said.wave,
        granted_in_wave: said.given,
        wave_size: said.of_wave,
        completed: said.turned,
        selected: said.meant,
        permits: few(&said.permits, MAX_PERMITS)?
            .iter()
            .map(line)
            .collect::<Option<_>>()?,
        unavailable: few(&said.room, MOST_ZONES + 1)?
            .iter()
            .map(room)
            .collect::<Option<_>>()?,
        abandoned: few(&said.left, MAX_ABANDONED)?
            .iter()
            .map(left)
            .collect::<Option<_>>()?,
        notes: few(&said.notes, MAX_TEXT_BYTES)?
            .iter()
            .map(|n| words(n))
            .collect::<Option<_>>()?,
    })
}
