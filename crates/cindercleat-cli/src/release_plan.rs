//! Plans of releases and bounds on who may be out, in the line-based form. `docs/releases.md` describes both.

use crate::conf::{Line, Problem, Section, Time};
use cindercleat::coordination::disruption_budget::{DisruptionBudget, MaxUnavailable, UnitKind};
use cindercleat::coordination::member::MAX_NAME_BYTES;
use cindercleat::coordination::rollout::{RolloutPlan, MAX_NAMES};
use cindercleat::coordination::Name;
use std::collections::BTreeSet;

/// A part of 1 as thousandths.
fn per_mille(line: &Line, part: f64) -> Result<u32, Problem> {
    let thousandths = (part * 1000.0).round();
    if !(1.0..=1000.0).contains(&thousandths) {
        return Err(line.wrong("a part over 0 and at most 1"));
    }
    Ok(thousandths as u32)
}

/// The bounds of a `fleet` block: for dispatchers and for engines.
///
/// # Errors
/// The first line that is wrong, or that contradicts another.
pub fn bounds(block: &Section) -> Result<(DisruptionBudget, DisruptionBudget), Problem> {
    let mut both = [DisruptionBudget::default(), DisruptionBudget::default()];
    let mut last: [Option<&Line>; 2] = [None, None];
    let mut seen = BTreeSet::new();
    for line in block.all("out") {
        let (sort, place): (String, String) = (line.value(1)?, line.value(2)?);
        let at = match sort.as_str() {
            "dispatchers" => 0,
            "hosts" => 1,
            _ => return Err(line.wrong("'out dispatchers …' or 'out hosts …'")),
        };
        let number = match line.value::<String>(3)?.as_str() {
            "any" => u32::MAX,
            _ => line.value::<u32>(3)?,
        };
        let per_mille = line
            .after::<f64>("part")?
            .map_or(Ok(1000), |part| per_mille(line, part))?;
        let most = MaxUnavailable {
            count: number,
            per_mille,
        };
        let bounds = &mut both[at];
        match (place.as_str(), at) {
            ("fleet", _) => bounds.fleet = most,
            ("zone", _) => bounds.zone = most,
            ("cell", 1) => bounds.cell = most,
            ("kind", 1) => bounds.kind = most,
            ("cell" | "kind", _) => {
                return Err(line.wrong("'fleet' or 'zone': dispatchers have no cells or kinds"))
            }
            _ => return Err(line.wrong("'fleet', 'zone', 'cell' or 'kind' after the sort")),
        }
        if !seen.insert((sort, place)) {
            return Err(line.wrong("each of them once"));
        }
        last[at] = Some(line);
    }
    for line in block.all("stay") {
        let (what, place): (String, String) = (line.value(1)?, line.value(2)?);
        let engines = &mut both[1];
        let least = match (what.as_str(), place.as_str()) {
            ("readers", "zone") => &mut engines.min_prefill_engines_per_zone,
            ("writers", "zone") => &mut engines.min_decode_engines_per_zone,
            ("readers", "cell") => &mut engines.min_prefill_engines_per_cell,
            ("writers", "cell") => &mut engines.min_decode_engines_per_cell,
            _ => return Err(line.wrong("'stay readers|writers zone|cell NUMBER'")),
        };
        *least = line.value(3)?;
        last[1] = Some(line);
    }
    if let Some(line) = block.maybe("used")? {
        both[1].max_utilization_per_mille = per_mille(line, line.value(1)?)?;
        both[1].max_report_age_ms = line.must_after::<Time>("reports")?.0 as u64;
        last[1] = Some(line);
    }
    for (bounds, line) in both.iter().zip(last) {
        if let (Err(why), Some(line)) = (bounds.check(), line) {
            return Err(line.wrong(&why.to_string()));
        }
    }
    let [dispatchers, engines] = both;
    Ok((dispatchers, engines))
}

/// What a plan's file says.
///
/// # Errors
/// The first thing wrong with it.
pub fn read(file: &str, text: &str) -> Result<RolloutPlan, Problem> {
    let section = Section::parse(file, text, &[])?;
    let time = |keyword: &'static str, absent: f64| {
        section.value_or(keyword, Time(absent)).map(|t| t.0 as u64)
    };
    let list = |keyword: &'static str| -> Result<Vec<String>, Problem> {
        let Some(line) = section.maybe(keyword)? else {
            return Ok(Vec::new());
        };
        let words = &line.words[1..];
        if words.is_empty() || words.len() > MAX_NAMES {
            return Err(line.wrong(&format!("1 to {MAX_NAMES} words after '{keyword}'")));
        }
        let mut once = BTreeSet::new();
        if let Some(twice) = words.iter().find(|word| !once.insert(*word)) {
            return Err(line.wrong(&format!("each once, and '{twice}' is there twice")));
        }
        if let Some(long) = words.iter().find(|word| word.len() > MAX_NAME_BYTES) {
            return Err(line.wrong(&format!(
                "words of at most {MAX_NAME_BYTES} bytes ('{long}' is longer)"
            )));
        }
        Ok(words.to_vec())
    };
    let of = section.one("of")?;
    let of = match of.only::<String>()?.as_str() {
        "dispatchers" => UnitKind::Dispatchers,
        "hosts" => UnitKind::Engines,
        _ => return Err(of.wrong("'of dispatchers' or 'of hosts'")),
    };
    let grow = section.value_or("grow", 2.0_f64)?;
    let plan = RolloutPlan {
        name: section.value("release")?,
        unit_kind: of,
        label: section.value_or("label", String::new())?,
        previous_label: section.value_or("before", String::new())?,
        zones: list("zones")?,
        cells: list("cells")?,
        kinds: list("kinds")?,
        names: list("names")?
            .iter()
            .map(|n| Name::from(n.as_str()))
            .collect(),
        permanent: section.value_or("stays", false)?,
        first_wave_size: section.value_or("first", 1)?,
        wave_growth_per_mille: (grow * 1000.0).round().min(1e9) as u32,
        observe_ms: time("watch", 30_000.0)?,
        settle_ms: time("settle", 5_000.0)?,
        start_timeout_ms: time("begin", 30_000.0)?,
        return_timeout_ms: time("back", 300_000.0)?,
    };
    section.nothing_else()?;
    if plan.name.len() > MAX_NAME_BYTES {
        return Err(section
            .one("release")?
            .wrong(&format!("a name of at most {MAX_NAME_BYTES} bytes")));
    }
    if plan.first_wave_size == 0 {
        return Err(section
            .one("first")?
            .wrong("at least one in the first wave"));
    }
    if grow < 1.0 {
        return Err(section.one("grow")?.wrong("waves that grow by 1 or more"));
    }
    if of == UnitKind::Dispatchers {
        if plan.label.is_empty() {
            return Err(section.lacks("label"));
        }
        if plan.previous_label.is_empty() {
            return Err(section.lacks("before"));
        }
        if plan.label == plan.previous_label {
            return Err(section.one("label")?.wrong("another label than 'before'"));
        }
        if plan.permanent {
            return Err(section
                .one("stays")?
                .wrong("'of hosts': dispatchers come back"));
        }
        if !plan.cells.is_empty() || !plan.kinds.is_empty() {
            let line = section.maybe("cells")?.or(section.maybe("kinds")?);
            return Err(line
                .unwrap_or(&section.head)
                .wrong("'zones' or 'names': dispatchers have no cells or kinds"));
        }
    }
    if plan.return_timeout_ms <= plan.settle_ms {
        return Err(section.head.wrong("'back' of more than 'settle'"));
    }
    Ok(plan)
}

/// A drain of engines by name, all in one wave, as the bounds let them.
pub fn drain(engines: &[String], stays: bool) -> Result<RolloutPlan, String> {
    if engines.is_empty() || engines.len() > MAX_NAMES {
        return Err(format!("1 to {MAX_NAMES} hosts"));
    }
    let mut once = BTreeSet::new();
    if let Some(twice) = engines.iter().find(|engine| !once.insert(*engine)) {
        return Err(format!("each host once, and '{twice}' is there twice"));
    }
    Ok(RolloutPlan {
        name: "drain".to_owned(),
        unit_kind: UnitKind::Engines,
        names: engines.iter().map(|h| Name::from(h.as_str())).collect(),
        permanent: stays,
        first_wave_size: engines.len() as u32,
        wave_growth_per_mille: 1000,
        observe_ms: 0,
        settle_ms: 2_000,
        start_timeout_ms: 30_000,
        return_timeout_ms: 600_000,
        ..RolloutPlan::default()
    })
}
