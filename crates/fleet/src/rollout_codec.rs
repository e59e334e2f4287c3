//! Conversion of permits, plans, rollouts and their status to the messages of the schema, and back.
//!
//! Each decoding function returns none if a field is missing, too long or out of range.

use crate::codec_fields::{address, name, text, MAX_TEXT_BYTES};
use cindercleat::coordination::disruption_budget::{
    DisruptionBudget, MaxUnavailable, OutcomeCounts, UnavailableCount, UnitKind, ZoneSizes,
};
use cindercleat::coordination::member::{
    AbandonedUnit, OperatorRequest, PermitStatus, RolloutRequest, RolloutStatus,
    MAX_REPORTS_PER_HEARTBEAT,
};
use cindercleat::coordination::membership::EngineReport;
use cindercleat::coordination::rollout::{
    DisruptionPermit, DisruptionState, PermitId, Rollout, RolloutPlan, MAX_ABANDONED, MAX_NAMES,
    MAX_NOTES, MAX_PERMITS,
};
use cindercleat::coordination::{Address, Incarnation, Name};
use cindercleat_protocol::v1;
use std::collections::{BTreeMap, BTreeSet};
use v1::fleet_call::Question;

/// The maximum number of zones in a message.
const MAX_ZONES: usize = 1024;
/// The maximum length of a text for operators, such as a reason or a note, in bytes.
const MAX_REASON_BYTES: usize = 1024;
/// The maximum of a decoded outcome count. Larger counts are reduced to this maximum, so that sums of counts do not
/// overflow.
const MAX_OUTCOME_COUNT: u64 = 1 << 48;

/// Converts the schema's flag, which is true for engines and false for dispatchers.
fn unit_kind_from_proto(engines: bool) -> UnitKind {
    if engines {
        UnitKind::Engines
    } else {
        UnitKind::Dispatchers
    }
}

/// Decodes a text for operators, such as a reason or a note. Any characters are allowed. None if the text is too long.
fn reason_from_proto(field: &str) -> Option<String> {
    (field.len() <= MAX_REASON_BYTES).then(|| field.to_owned())
}

/// Decodes a short text field that may be empty, such as a label or a zone. None if the text is invalid.
fn text_or_empty(field: &str) -> Option<String> {
    match field.is_empty() {
        true => Some(String::new()),
        false => text(field).map(str::to_owned),
    }
}

/// Returns the list, or none if the list has more than `max_items` items.
fn list_within_limit<T>(items: &[T], max_items: usize) -> Option<&[T]> {
    (items.len() <= max_items).then_some(items)
}

fn names_to_proto<'a>(names: impl IntoIterator<Item = &'a Name>) -> Vec<String> {
    names.into_iter().map(|name| name.0.to_string()).collect()
}

pub(crate) fn outcome_counts_to_proto(outcomes: &OutcomeCounts) -> v1::FleetOutcomeCounts {
    let OutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    } = *outcomes;
    v1::FleetOutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }
}

/// Decodes outcome counts, each reduced to at most [`MAX_OUTCOME_COUNT`] so that sums of counts do not overflow. A
/// missing message yields zero counts.
pub(crate) fn outcome_counts_from_proto(message: Option<&v1::FleetOutcomeCounts>) -> OutcomeCounts {
    let Some(&v1::FleetOutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }) = message
    else {
        return OutcomeCounts::default();
    };
    let [succeeded, rejected, failed, late] =
        [succeeded, rejected, failed, late].map(|count| count.min(MAX_OUTCOME_COUNT));
    OutcomeCounts {
        succeeded,
        rejected,
        failed,
        late,
    }
}

/// Encodes an engine report of a heartbeat. The age of an unknown utilization is encoded as 0.
pub(crate) fn engine_report_to_proto(report: &EngineReport) -> v1::FleetEngineReport {
    v1::FleetEngineReport {
        engine: report.engine.0.to_string(),
        used: report.utilization.map(|(used, _)| used),
        age_ms: report.utilization.map_or(0.0, |(_, age)| age),
        tally: Some(outcome_counts_to_proto(&report.outcomes)),
    }
}

/// Decodes the engine reports of a heartbeat. A report without a finite utilization and a finite, non-negative age
/// keeps its outcomes only.
pub(crate) fn engine_reports_from_proto(
    messages: &[v1::FleetEngineReport],
) -> Option<Vec<EngineReport>> {
    let report = |message: &v1::FleetEngineReport| {
        let utilization = message
            .used
            .map(|utilization| (utilization, message.age_ms))
            .filter(|(utilization, age)| utilization.is_finite() && age.is_finite() && *age >= 0.0);
        Some(EngineReport {
            engine: name(&message.engine)?,
            utilization,
            outcomes: outcome_counts_from_proto(message.tally.as_ref()),
        })
    };
    list_within_limit(messages, MAX_REPORTS_PER_HEARTBEAT)?
        .iter()
        .map(report)
        .collect()
}

fn max_unavailable_to_proto(max: MaxUnavailable) -> Option<v1::FleetMaxUnavailable> {
    Some(v1::FleetMaxUnavailable {
        number: max.count,
        per_mille: max.per_mille,
    })
}

fn max_unavailable_from_proto(message: Option<&v1::FleetMaxUnavailable>) -> Option<MaxUnavailable> {
    let message = message?;
    (message.per_mille <= 1000).then_some(MaxUnavailable {
        count: message.number,
        per_mille: message.per_mille,
    })
}

fn budget_to_proto(budget: &DisruptionBudget) -> v1::FleetDisruptionBudget {
    v1::FleetDisruptionBudget {
        fleet: max_unavailable_to_proto(budget.fleet),
        zone: max_unavailable_to_proto(budget.zone),
        cell: max_unavailable_to_proto(budget.cell),
        kind: max_unavailable_to_proto(budget.kind),
        prefill_engines_per_zone: budget.min_prefill_engines_per_zone,
        decode_engines_per_zone: budget.min_decode_engines_per_zone,
        prefill_engines_per_cell: budget.min_prefill_engines_per_cell,
        decode_engines_per_cell: budget.min_decode_engines_per_cell,
        used_per_mille: budget.max_utilization_per_mille,
        report_age_ms: budget.max_report_age_ms,
    }
}

fn budget_from_proto(message: Option<&v1::FleetDisruptionBudget>) -> Option<DisruptionBudget> {
    let message = message?;
    Some(DisruptionBudget {
        fleet: max_unavailable_from_proto(message.fleet.as_ref())?,
        zone: max_unavailable_from_proto(message.zone.as_ref())?,
        cell: max_unavailable_from_proto(message.cell.as_ref())?,
        kind: max_unavailable_from_proto(message.kind.as_ref())?,
        min_prefill_engines_per_zone: message.prefill_engines_per_zone,
        min_decode_engines_per_zone: message.decode_engines_per_zone,
        min_prefill_engines_per_cell: message.prefill_engines_per_cell,
        min_decode_engines_per_cell: message.decode_engines_per_cell,
        max_utilization_per_mille: message.used_per_mille,
        max_report_age_ms: message.report_age_ms,
    })
}

fn permit_to_proto((id, permit): (&PermitId, &DisruptionPermit)) -> v1::FleetPermit {
    v1::FleetPermit {
        number: id.0,
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

fn permit_from_proto(message: &v1::FleetPermit) -> Option<(PermitId, DisruptionPermit)> {
    let permit = DisruptionPermit {
        unit_kind: unit_kind_from_proto(message.engine),
        unit: name(&message.who)?,
        incarnation: Incarnation(message.incarnation),
        address: Address::from(text_or_empty(&message.address)?.as_str()),
        zone: text_or_empty(&message.zone)?,
        label: text_or_empty(&message.label)?,
        permanent: message.stays,
        planned: message.planned,
    };
    Some((PermitId(message.number), permit))
}

fn plan_to_proto(plan: &RolloutPlan) -> v1::FleetRolloutPlan {
    v1::FleetRolloutPlan {
        name: plan.name.clone(),
        engines: plan.unit_kind == UnitKind::Engines,
        label: plan.label.clone(),
        before: plan.previous_label.clone(),
        zones: plan.zones.clone(),
        cells: plan.cells.clone(),
        kinds: plan.kinds.clone(),
        names: names_to_proto(&plan.names),
        stays: plan.permanent,
        first: plan.first_wave_size,
        grow_per_mille: plan.wave_growth_per_mille,
        watch_ms: plan.observe_ms,
        settle_ms: plan.settle_ms,
        begin_ms: plan.start_timeout_ms,
        back_ms: plan.return_timeout_ms,
    }
}

/// Decodes a plan. None if the plan is missing, a list has more than [`MAX_NAMES`] items, a field is invalid, or the
/// waves could never begin or would shrink.
fn plan_from_proto(message: Option<&v1::FleetRolloutPlan>) -> Option<RolloutPlan> {
    let message = message?;
    let list = |items: &[String]| -> Option<Vec<String>> {
        list_within_limit(items, MAX_NAMES)?
            .iter()
            .map(|item| text(item).map(str::to_owned))
            .collect()
    };
    // A rollout whose first wave is empty would never update a unit.
    (message.first > 0 && message.grow_per_mille >= 1000).then_some(())?;
    Some(RolloutPlan {
        name: text(&message.name)?.to_owned(),
        unit_kind: unit_kind_from_proto(message.engines),
        label: text_or_empty(&message.label)?,
        previous_label: text_or_empty(&message.before)?,
        zones: list(&message.zones)?,
        cells: list(&message.cells)?,
        kinds: list(&message.kinds)?,
        names: list_within_limit(&message.names, MAX_NAMES)?
            .iter()
            .map(|unit| name(unit))
            .collect::<Option<_>>()?,
        permanent: message.stays,
        first_wave_size: message.first,
        wave_growth_per_mille: message.grow_per_mille,
        observe_ms: message.watch_ms,
        settle_ms: message.settle_ms,
        start_timeout_ms: message.begin_ms,
        return_timeout_ms: message.back_ms,
    })
}

fn abandoned_to_proto(abandoned: &BTreeMap<Name, String>) -> Vec<v1::FleetLeft> {
    abandoned
        .iter()
        .map(|(unit, reason)| v1::FleetLeft {
            who: unit.0.to_string(),
            why: reason.clone(),
        })
        .collect()
}

fn abandoned_from_proto(messages: &[v1::FleetLeft]) -> Option<BTreeMap<Name, String>> {
    list_within_limit(messages, MAX_ABANDONED)?
        .iter()
        .map(|unit| Some((name(&unit.who)?, reason_from_proto(&unit.why)?)))
        .collect()
}

fn rollout_to_proto(rollout: &Rollout) -> v1::FleetRollout {
    let zone_progress = |(zone, key): (&String, &u64)| v1::FleetReached {
        zone: zone.clone(),
        at: *key,
    };
    v1::FleetRollout {
        plan: Some(plan_to_proto(&rollout.plan)),
        bounds: Some(budget_to_proto(&rollout.budget)),
        by: rollout.started_by.0.to_string(),
        back: rollout.rolling_back,
        done: rollout.finished,
        wave: rollout.wave,
        given: rollout.granted_in_wave,
        reached: rollout.zone_progress.iter().map(zone_progress).collect(),
        again: names_to_proto(&rollout.regrant),
        left: abandoned_to_proto(&rollout.abandoned),
        turned: rollout.completed,
    }
}

fn rollout_from_proto(message: &v1::FleetRollout) -> Option<Rollout> {
    let zone_progress = list_within_limit(&message.reached, MAX_ZONES)?
        .iter()
        .map(|zone| Some((text_or_empty(&zone.zone)?, zone.at)));
    let regrant = list_within_limit(&message.again, MAX_PERMITS)?
        .iter()
        .map(|unit| name(unit));
    Some(Rollout {
        plan: plan_from_proto(message.plan.as_ref())?,
        budget: budget_from_proto(message.bounds.as_ref())?,
        started_by: name(&message.by)?,
        rolling_back: message.back,
        finished: message.done,
        wave: message.wave,
        granted_in_wave: message.given,
        zone_progress: zone_progress.collect::<Option<_>>()?,
        regrant: regrant.collect::<Option<BTreeSet<_>>>()?,
        abandoned: abandoned_from_proto(&message.left)?,
        completed: message.turned,
    })
}

fn zone_sizes_to_proto(sizes: &ZoneSizes) -> Vec<v1::FleetSize> {
    sizes
        .iter()
        .map(|(zone, size)| v1::FleetSize {
            zone: zone.clone(),
            size: *size,
        })
        .collect()
}

fn zone_sizes_from_proto(messages: &[v1::FleetSize]) -> Option<ZoneSizes> {
    list_within_limit(messages, MAX_ZONES)?
        .iter()
        .map(|zone| Some((text_or_empty(&zone.zone)?, zone.size)))
        .collect()
}

/// Encodes the state of permits and rollouts. Returns none for the empty state, so that the message omits the field.
pub(crate) fn disruptions_to_proto(disruptions: &DisruptionState) -> Option<v1::FleetDisruptions> {
    (!disruptions.is_empty()).then(|| v1::FleetDisruptions {
        given: disruptions.permits_granted,
        permits: disruptions.permits.iter().map(permit_to_proto).collect(),
        release: disruptions.rollout.as_deref().map(rollout_to_proto),
        halted: disruptions.halted.clone(),
        resumed: disruptions.resume_count,
        dispatchers: zone_sizes_to_proto(&disruptions.dispatcher_sizes),
        engines: zone_sizes_to_proto(&disruptions.engine_sizes),
        notes: disruptions.notes.clone(),
    })
}

/// Decodes the state of permits and rollouts. A missing message yields the empty state.
pub(crate) fn disruptions_from_proto(
    message: Option<&v1::FleetDisruptions>,
) -> Option<DisruptionState> {
    let Some(message) = message else {
        return Some(DisruptionState::default());
    };
    let rollout = match &message.release {
        Some(rollout) => Some(Box::new(rollout_from_proto(rollout)?)),
        None => None,
    };
    let halted = match &message.halted {
        Some(reason) => Some(reason_from_proto(reason)?),
        None => None,
    };
    Some(DisruptionState {
        permits_granted: message.given,
        permits: list_within_limit(&message.permits, MAX_PERMITS)?
            .iter()
            .map(permit_from_proto)
            .collect::<Option<_>>()?,
        rollout,
        halted,
        resume_count: message.resumed,
        dispatcher_sizes: zone_sizes_from_proto(&message.dispatchers)?,
        engine_sizes: zone_sizes_from_proto(&message.engines)?,
        notes: list_within_limit(&message.notes, MAX_NOTES)?
            .iter()
            .map(|note| reason_from_proto(note))
            .collect::<Option<_>>()?,
    })
}

/// Encodes an operator's request about rollouts, or a dispatcher's request for a permit.
pub(crate) fn rollout_request_to_proto(request: &RolloutRequest) -> Question {
    match request {
        RolloutRequest::Start {
            plan,
            skip_missing,
            dry_run,
        } => Question::Start(v1::FleetStart {
            plan: Some(plan_to_proto(plan)),
            skip: *skip_missing,
            dry: *dry_run,
        }),
        RolloutRequest::Halt { reason } => Question::Halt(v1::FleetHalt {
            why: reason.clone(),
        }),
        RolloutRequest::Resume => Question::Resume(v1::FleetResume {}),
        RolloutRequest::RollBack => Question::Back(v1::FleetBack {}),
        RolloutRequest::End => Question::End(v1::FleetEnd {}),
        RolloutRequest::Recount { unit_kind } => Question::Recount(v1::FleetRecount {
            engines: *unit_kind == UnitKind::Engines,
        }),
        RolloutRequest::Permit {
            name,
            label,
            cancel,
        } => Question::WantPermit(v1::FleetWantPermit {
            name: name.0.to_string(),
            label: label.clone(),
            refused: *cancel,
        }),
    }
}

/// Decodes an operator's request about rollouts, a dispatcher's request for a permit, or a request to stop a single
/// dispatcher. None if the message is of a different kind, or if a field is invalid.
pub(crate) fn rollout_request_from_proto(question: &Question) -> Option<OperatorRequest> {
    Some(OperatorRequest::Rollout(match question {
        Question::Start(message) => {
            let plan = Box::new(plan_from_proto(message.plan.as_ref())?);
            RolloutRequest::Start {
                plan,
                skip_missing: message.skip,
                dry_run: message.dry,
            }
        }
        Question::Halt(message) => RolloutRequest::Halt {
            reason: reason_from_proto(&message.why)?,
        },
        Question::Resume(_) => RolloutRequest::Resume,
        Question::Back(_) => RolloutRequest::RollBack,
        Question::End(_) => RolloutRequest::End,
        Question::Recount(message) => RolloutRequest::Recount {
            unit_kind: unit_kind_from_proto(message.engines),
        },
        Question::WantPermit(message) => RolloutRequest::Permit {
            name: name(&message.name)?,
            label: text_or_empty(&message.label)?,
            cancel: message.refused,
        },
        Question::ByHand(message) => {
            let address = match message.address.is_empty() {
                true => None,
                false => Some(address(&message.address)?),
            };
            return Some(OperatorRequest::StopWithoutAgreement {
                name: name(&message.who)?,
                address,
                reason: reason_from_proto(&message.why)?,
            });
        }
        _ => return None,
    }))
}

/// Encodes a revocation request, which asks a unit whether it has begun to drain on a permit and forbids it to begin
/// later.
pub(crate) fn revocation_to_proto(
    permit: PermitId,
    unit_kind: UnitKind,
    unit: &Name,
    incarnation: Incarnation,
) -> Question {
    Question::AskBack(v1::FleetAskBack {
        permit: permit.0,
        engine: unit_kind == UnitKind::Engines,
        who: unit.0.to_string(),
        incarnation: incarnation.0,
    })
}

/// Decodes a revocation request. None if the unit's name is invalid.
pub(crate) fn revocation_from_proto(
    message: &v1::FleetAskBack,
) -> Option<(PermitId, UnitKind, Name, Incarnation)> {
    Some((
        PermitId(message.permit),
        unit_kind_from_proto(message.engine),
        name(&message.who)?,
        Incarnation(message.incarnation),
    ))
}

pub(crate) fn rollout_status_to_proto(status: &RolloutStatus) -> v1::FleetRolloutStatus {
    let permit = |permit: &PermitStatus| v1::FleetPermitLine {
        number: permit.permit.0,
        who: permit.unit.0.to_string(),
        zone: permit.zone.clone(),
        at: permit.stage.clone(),
    };
    let unavailable = |count: &UnavailableCount| v1::FleetRoom {
        zone: count.zone.clone(),
        out: count.unavailable,
        most: count.limit,
    };
    let abandoned = |unit: &AbandonedUnit| v1::FleetLeft {
        who: unit.unit.0.to_string(),
        why: unit.reason.clone(),
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
        permits: status.permits.iter().map(permit).collect(),
        room: status.unavailable.iter().map(unavailable).collect(),
        left: status.abandoned.iter().map(abandoned).collect(),
        notes: status.notes.clone(),
    }
}

/// Decodes the rollout status that a dispatcher reports to an operator. A missing message yields an empty status.
pub(crate) fn rollout_status_from_proto(
    message: Option<&v1::FleetRolloutStatus>,
) -> Option<RolloutStatus> {
    let Some(message) = message else {
        return Some(RolloutStatus::default());
    };
    let permit = |line: &v1::FleetPermitLine| {
        Some(PermitStatus {
            permit: PermitId(line.number),
            unit: name(&line.who)?,
            zone: text_or_empty(&line.zone)?,
            stage: text_or_empty(&line.at)?,
        })
    };
    let abandoned = |line: &v1::FleetLeft| {
        Some(AbandonedUnit {
            unit: name(&line.who)?,
            reason: reason_from_proto(&line.why)?,
        })
    };
    let unavailable = |line: &v1::FleetRoom| {
        Some(UnavailableCount {
            zone: text_or_empty(&line.zone)?,
            unavailable: line.out,
            limit: line.most,
        })
    };
    Some(RolloutStatus {
        name: text_or_empty(&message.name)?,
        unit_kind: unit_kind_from_proto(message.engines),
        state: text_or_empty(&message.state)?,
        halted: reason_from_proto(&message.halted)?,
        blocked_reason: reason_from_proto(&message.why)?,
        wave: message.wave,
        granted_in_wave: message.given,
        wave_size: message.of_wave,
        completed: message.turned,
        selected: message.meant,
        permits: list_within_limit(&message.permits, MAX_PERMITS)?
            .iter()
            .map(permit)
            .collect::<Option<_>>()?,
        // One entry for the whole fleet precedes the entries of the zones.
        unavailable: list_within_limit(&message.room, MAX_ZONES + 1)?
            .iter()
            .map(unavailable)
            .collect::<Option<_>>()?,
        abandoned: list_within_limit(&message.left, MAX_ABANDONED)?
            .iter()
            .map(abandoned)
            .collect::<Option<_>>()?,
        notes: list_within_limit(&message.notes, MAX_TEXT_BYTES)?
            .iter()
            .map(|note| reason_from_proto(note))
            .collect::<Option<_>>()?,
    })
}
