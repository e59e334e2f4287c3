//! How many may be out at once, and what binds: the dispatchers or the engines of a fleet as one of its members
//! sees them, counted against bounds over the fleet, a zone, a cell and a kind. Whoever is not seen to be in is out,
//! planned or not: failures use up the same room.

use super::{Address, Incarnation, Name};
use crate::interface::{Ms, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What is taken out of service and brought back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UnitKind {
    #[default]
    Dispatchers,
    Engines,
}

impl fmt::Display for UnitKind {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(if *self == UnitKind::Engines {
            "model hosts"
        } else {
            "dispatchers"
        })
    }
}

/// The most out at once of so many: a number, and a part in thousandths; the smaller counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MaxUnavailable {
    pub count: u32,
    pub per_mille: u32,
}

impl MaxUnavailable {
    /// As many as like.
    pub const ALL: MaxUnavailable = MaxUnavailable {
        count: u32::MAX,
        per_mille: 1000,
    };

    pub fn limit_for(self, size: u32) -> u32 {
        let part = u64::from(size) * u64::from(self.per_mille) / 1000;
        self.count.min(u32::try_from(part).unwrap_or(u32::MAX))
    }
}

/// Bounds for one sort of unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DisruptionBudget {
    pub fleet: MaxUnavailable,
    pub zone: MaxUnavailable,
    pub cell: MaxUnavailable,
    pub kind: MaxUnavailable,
    /// Ready engines that stay, at least.
    pub min_prefill_engines_per_zone: u32,
    pub min_decode_engines_per_zone: u32,
    pub min_prefill_engines_per_cell: u32,
    pub min_decode_engines_per_cell: u32,
    /// None goes when those left would be used above this, in thousandths; 1000 is no bound.
    pub max_utilization_per_mille: u32,
    /// A report of load that is older counts as full, in milliseconds.
    pub max_report_age_ms: u64,
}

impl Default for DisruptionBudget {
    /// One of each zone at a time.
    fn default() -> Self {
        DisruptionBudget {
            fleet: MaxUnavailable::ALL,
            zone: MaxUnavailable {
                count: 1,
                per_mille: 1000,
            },
            cell: MaxUnavailable::ALL,
            kind: MaxUnavailable::ALL,
            min_prefill_engines_per_zone: 0,
            min_decode_engines_per_zone: 0,
            min_prefill_engines_per_cell: 0,
            min_decode_engines_per_cell: 0,
            max_utilization_per_mille: 1000,
            max_report_age_ms: 5_000,
        }
    }
}

impl DisruptionBudget {
    /// Bounds that can never let anything go, or of which one says what another forbids.
    ///
    /// # Errors
    /// The first such thing, in words.
    pub fn check(&self) -> Result<(), String> {
        let each = [
            ("fleet", self.fleet),
            ("zone", self.zone),
            ("cell", self.cell),
            ("kind", self.kind),
        ];
        for (name, most) in each {
            if most.count == 0 || most.per_mille == 0 {
                return Err(format!("'{name}' that lets at least one go"));
            }
            if most.per_mille > 1000 {
                return Err(format!("'{name}' with a part of at most 1"));
            }
            if most.count != u32::MAX && most.count > self.fleet.count {
                return Err(format!(
                    "'{name}' of at most the fleet's {}",
                    self.fleet.count
                ));
            }
        }
        let cells = [
            (
                "readers",
                self.min_prefill_engines_per_cell,
                self.min_prefill_engines_per_zone,
            ),
            (
                "writers",
                self.min_decode_engines_per_cell,
                self.min_decode_engines_per_zone,
            ),
        ];
        for (name, cell, zone) in cells {
            if zone > 0 && cell > zone {
                return Err(format!(
                    "ready {name} of a cell of at most those of its zone, {zone}"
                ));
            }
        }
        if !(1..=1000).contains(&self.max_utilization_per_mille) {
            return Err("'used' over 0 and at most 1".to_owned());
        }
        Ok(())
    }
}

/// A dispatcher or an engine, as seen.
#[derive(Clone, Debug, PartialEq)]
pub struct Unit {
    pub name: Name,
    /// Which process of it; an engine's start stands for it.
    pub incarnation: Incarnation,
    pub address: Address,
    pub zone: String,
    pub cell: String,
    pub kind: String,
    pub role: Option<Role>,
    pub label: String,
    pub status: ServiceStatus,
    /// What is used of it, 0 to 1, and the age of the report.
    pub utilization: Option<(f64, Ms)>,
    pub outcomes: OutcomeCounts,
}

/// Whether it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceStatus {
    /// Heard lately and ready.
    InService,
    /// Heard, and not ready: starting, cold within its slow start window.
    Starting,
    /// Heard, and draining or stopping.
    Draining,
    /// Not heard of, or not listed.
    OutOfService,
}

/// Tasks answered, by their ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub succeeded: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Succeeded after its time.
    pub late: u64,
}

impl OutcomeCounts {
    pub fn total(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    pub fn harmed(&self) -> u64 {
        self.rejected + self.failed + self.late
    }

    pub fn since(&self, before: &OutcomeCounts) -> OutcomeCounts {
        OutcomeCounts {
            succeeded: self.succeeded.saturating_sub(before.succeeded),
            rejected: self.rejected.saturating_sub(before.rejected),
            failed: self.failed.saturating_sub(before.failed),
            late: self.late.saturating_sub(before.late),
        }
    }

    pub fn add(&mut self, more: &OutcomeCounts) {
        self.succeeded += more.succeeded;
        self.rejected += more.rejected;
        self.failed += more.failed;
        self.late += more.late;
    }
}

/// How many there are in each zone, as the fleet agreed: whoever is missing is out, also for a holder that never
/// heard of it.
pub type ZoneSizes = BTreeMap<String, u32>;

/// How many are there in each zone, ready or not.
pub fn sizes_seen<'a>(units: impl Iterator<Item = &'a Unit>) -> ZoneSizes {
    let mut sizes = ZoneSizes::new();
    for unit in units.filter(|u| u.status != ServiceStatus::OutOfService) {
        *sizes.entry(unit.zone.clone()).or_default() += 1;
    }
    sizes
}

/// How many there are of something, and how many of them are in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    size: u32,
    available: u32,
}

impl Count {
    fn unavailable(self) -> u32 {
        self.size - self.available.min(self.size)
    }
}

/// Why one may not go now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// So many are out over the fleet, of so many that may be.
    Fleet(u32, u32),
    Zone(String, u32, u32),
    Cell(String, u32, u32),
    Kind(String, u32, u32),
    /// Ready ones of a role that have to stay in a zone or cell.
    Ready(&'static str, String, u32),
    /// Those left in a place would be used so much, in thousandths.
    Used(String, u32),
}

impl fmt::Display for Violation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Fleet(out, most) => {
                write!(to, "{out} of the fleet are out and {most} may be")
            }
            Violation::Zone(zone, out, most) => {
                write!(to, "zone {zone}: {out} are out and {most} may be")
            }
            Violation::Cell(cell, out, most) => {
                write!(to, "cell {cell}: {out} are out and {most} may be")
            }
            Violation::Kind(kind, out, most) => {
                write!(to, "kind {kind}: {out} are out and {most} may be")
            }
            Violation::Ready(what, place, least) => {
                write!(to, "{place}: {least} ready {what} have to stay")
            }
            Violation::Used(place, used) => {
                write!(
                    to,
                    "{place}: those left would be used to 0.{:03}, or nobody knows",
                    used.min(&999)
                )
            }
        }
    }
}

/// The units of one sort counted: made once for a look, asked for each that could go.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    fleet: Count,
    zones: BTreeMap<String, Count>,
    cells: BTreeMap<String, Count>,
    kinds: BTreeMap<String, Count>,
    /// Ready prefill engines and decode engines by zone and by cell.
    ready: BTreeMap<(bool, Role2, String), u32>,
    /// Use summed over ready engines of a role: over the fleet (no name) and by zone.
    used: BTreeMap<(Role2, String), (f64, u32)>,
}

/// Reader, decode engine or both, in an order.
type Role2 = u8;

fn reads(role: Role) -> bool {
    role != Role::Decode
}

fn writes(role: Role) -> bool {
    role != Role::Prefill
}

fn roles(role: Option<Role>) -> impl Iterator<Item = Role2> {
    let [r, w] = [role.is_some_and(reads), role.is_some_and(writes)];
    [(r, 0), (w, 1)]
        .into_iter()
        .filter(|(is, _)| *is)
        .map(|(_, role)| role)
}

fn cell_of(unit: &Unit) -> String {
    format!("{}/{}", unit.zone, unit.cell)
}

const NAMES: [&str; 2] = ["readers", "writers"];

impl Counts {
    /// `out`: whether one counts as out though it is seen to be in, as its turn is given.
    pub fn new<'a>(
        units: impl Iterator<Item = &'a Unit>,
        sizes: &ZoneSizes,
        bounds: &DisruptionBudget,
        out: impl Fn(&Unit) -> bool,
    ) -> Counts {
        let mut counts = Counts::default();
        let units: Vec<&Unit> = units.collect();
        let seen = sizes_seen(units.iter().copied());
        // Where nobody is missing by what is agreed on, who is remembered and gone is gone for good.
        let whole = |zone: &str| {
            let there = seen.get(zone).copied().unwrap_or(0);
            sizes.get(zone).is_some_and(|size| *size <= there)
        };
        for unit in units {
            if unit.status == ServiceStatus::OutOfService && whole(&unit.zone) {
                continue;
            }
            let there = u32::from(unit.status == ServiceStatus::InService && !out(unit));
            let add = |count: &mut Count| {
                count.size += 1;
                count.available += there;
            };
            add(counts.zones.entry(unit.zone.clone()).or_default());
            if unit.role.is_none() {
                continue;
            }
            add(counts.cells.entry(cell_of(unit)).or_default());
            add(counts.kinds.entry(unit.kind.clone()).or_default());
            if there == 0 {
                continue;
            }
            let fresh = unit
                .utilization
                .filter(|(_, age)| *age <= bounds.max_report_age_ms as f64);
            // A report that is old or missing counts against going.
            let used = fresh.map_or(1.0, |(used, _)| used.clamp(0.0, 1.0));
            for role in roles(unit.role) {
                *counts
                    .ready
                    .entry((false, role, unit.zone.clone()))
                    .or_default() += 1;
                *counts.ready.entry((true, role, cell_of(unit))).or_default() += 1;
                for place in [String::new(), unit.zone.clone()] {
                    let sum = counts.used.entry((role, place)).or_default();
                    *sum = (sum.0 + used, sum.1 + 1);
                }
            }
        }
        for (zone, size) in sizes {
            // Those that are gone count as far as they are missed.
            let there = seen.get(zone).copied().unwrap_or(0);
            counts.zones.entry(zone.clone()).or_default().size = there.max(*size);
        }
        for count in counts.zones.values() {
            counts.fleet.size += count.size;
            counts.fleet.available += count.available;
        }
        counts
    }

    /// Whether one that is in may go out now.
    ///
    /// # Errors
    /// What binds.
    pub fn check_disruption(
        &self,
        unit: &Unit,
        bounds: &DisruptionBudget,
    ) -> Result<(), Violation> {
        let full = |count: Option<&Count>, most: MaxUnavailable| {
            let count = count.copied().unwrap_or_default();
            let most = most.limit_for(count.size);
            (count.unavailable() >= most).then_some((count.unavailable(), most))
        };
        if let Some((out, most)) = full(Some(&self.fleet), bounds.fleet) {
            return Err(Violation::Fleet(out, most));
        }
        if let Some((out, most)) = full(self.zones.get(&unit.zone), bounds.zone) {
            return Err(Violation::Zone(unit.zone.clone(), out, most));
        }
        if unit.role.is_none() {
            return Ok(());
        }
        let cell = cell_of(unit);
        if let Some((out, most)) = full(self.cells.get(&cell), bounds.cell) {
            return Err(Violation::Cell(cell, out, most));
        }
        if let Some((out, most)) = full(self.kinds.get(&unit.kind), bounds.kind) {
            return Err(Violation::Kind(unit.kind.clone(), out, most));
        }
        let zone_least = [
            bounds.min_prefill_engines_per_zone,
            bounds.min_decode_engines_per_zone,
        ];
        let cell_least = [
            bounds.min_prefill_engines_per_cell,
            bounds.min_decode_engines_per_cell,
        ];
        for role in roles(unit.role) {
            let ready = |cell: bool, place: &str| {
                self.ready
                    .get(&(cell, role, place.to_owned()))
                    .copied()
                    .unwrap_or(0)
            };
            let (at, name) = (usize::from(role), NAMES[usize::from(role)]);
            if ready(false, &unit.zone) <= zone_least[at] && zone_least[at] > 0 {
                return Err(Violation::Ready(
                    name,
                    format!("zone {}", unit.zone),
                    zone_least[at],
                ));
            }
            if ready(true, &cell) <= cell_least[at] && cell_least[at] > 0 {
                return Err(Violation::Ready(
                    name,
                    format!("cell {cell}"),
                    cell_least[at],
                ));
            }
            if bounds.max_utilization_per_mille >= 1000 {
                continue;
            }
            for place in ["", &unit.zone] {
                let sum = self
                    .used
                    .get(&(role, place.to_owned()))
                    .copied()
                    .unwrap_or_default();
                // The only one of its role in a zone leaves its work to other zones.
                if sum.1 < 2 && !place.is_empty() {
                    continue;
                }
                let after = if sum.1 < 2 {
                    f64::INFINITY
                } else {
                    sum.0 / f64::from(sum.1 - 1)
                };
                if after * 1000.0 > f64::from(bounds.max_utilization_per_mille) {
                    let place = if place.is_empty() {
                        "the fleet".to_owned()
                    } else {
                        format!("zone {place}")
                    };
                    return Err(Violation::Used(
                        format!("{place}, {name}"),
                        (after * 1000.0).min(999.0) as u32,
                    ));
                }
            }
        }
        Ok(())
    }

    /// Whether more are out than may be, planned or not: where, how many, and how many may be.
    pub fn exceeded(&self, bounds: &DisruptionBudget) -> Option<Violation> {
        let over = |count: &Count, most: MaxUnavailable| {
            (count.unavailable() > most.limit_for(count.size)).then(|| most.limit_for(count.size))
        };
        if let Some(most) = over(&self.fleet, bounds.fleet) {
            return Some(Violation::Fleet(self.fleet.unavailable(), most));
        }
        let zone = |(zone, count): (&String, &Count)| {
            over(count, bounds.zone)
                .map(|most| Violation::Zone(zone.clone(), count.unavailable(), most))
        };
        self.zones.iter().find_map(zone)
    }

    /// One more of them is out from now on.
    pub fn mark_unavailable(&mut self, unit: &Unit) {
        self.adjust(unit, |n| *n = n.saturating_sub(1));
    }

    /// One that counts as out is in again.
    pub fn mark_available(&mut self, unit: &Unit) {
        self.adjust(unit, |n| *n += 1);
    }

    /// What is used stays and is borne by one more, or by one fewer.
    fn adjust(&mut self, unit: &Unit, by: impl Fn(&mut u32)) {
        by(&mut self.fleet.available);
        let cell = cell_of(unit);
        let each = [
            self.zones.get_mut(&unit.zone),
            self.cells.get_mut(&cell),
            self.kinds.get_mut(&unit.kind),
        ];
        each.into_iter()
            .flatten()
            .for_each(|count| by(&mut count.available));
        for role in roles(unit.role) {
            for key in [(false, role, unit.zone.clone()), (true, role, cell.clone())] {
                by(self.ready.entry(key).or_default());
            }
            for place in [String::new(), unit.zone.clone()] {
                by(&mut self.used.entry((role, place)).or_default().1);
            }
        }
    }

    /// Zones of which some are not seen at all, though the fleet agreed on them.
    pub fn missing_units(&self, units: &[Unit]) -> Option<String> {
        let seen = sizes_seen(units.iter());
        let lacks = |(zone, count): (&String, &Count)| {
            let there = seen.get(zone).copied().unwrap_or(0);
            (there < count.size)
                .then(|| format!("{} of zone {zone} are not there", count.size - there))
        };
        self.zones.iter().find_map(lacks)
    }

    /// How many are out and how many may be: of the fleet (no name), and each zone.
    pub fn unavailable_counts(&self, bounds: &DisruptionBudget) -> Vec<(String, u32, u32)> {
        let fleet = (
            String::new(),
            self.fleet.unavailable(),
            bounds.fleet.limit_for(self.fleet.size),
        );
        let zone = |(zone, count): (&String, &Count)| {
            (
                zone.clone(),
                count.unavailable(),
                bounds.zone.limit_for(count.size),
            )
        };
        std::iter::once(fleet)
            .chain(self.zones.iter().map(zone))
            .collect()
    }

    /// A place of which the bounds never let any go that is meant, whatever is in.
    pub fn impossible_reason(
        &self,
        units: &[Unit],
        bounds: &DisruptionBudget,
        meant: impl Fn(&Unit) -> bool,
    ) -> Option<String> {
        if bounds.fleet.limit_for(self.fleet.size) == 0 {
            return Some(format!(
                "the bounds let none of a fleet of {} go",
                self.fleet.size
            ));
        }
        let zones: BTreeSet<&String> = units.iter().filter(|u| meant(u)).map(|u| &u.zone).collect();
        let none = |zone: &&String| {
            let size = self.zones.get(*zone).map_or(0, |count| count.size);
            (bounds.zone.limit_for(size) == 0)
                .then(|| format!("the bounds let none of zone {zone}'s {size} go"))
        };
        if let Some(why) = zones.iter().find_map(none) {
            return Some(why);
        }
        let places = |unit: &Unit| {
            let (zone, cell) = (unit.zone.clone(), cell_of(unit));
            roles(unit.role)
                .flat_map(move |role| [(false, role, zone.clone()), (true, role, cell.clone())])
        };
        let mut all: BTreeMap<(bool, Role2, String), u32> = BTreeMap::new();
        units
            .iter()
            .flat_map(places)
            .for_each(|place| *all.entry(place).or_default() += 1);
        let asked: BTreeSet<_> = units.iter().filter(|u| meant(u)).flat_map(places).collect();
        all.retain(|place, _| asked.contains(place));
        let least = |cell: bool, role: Role2| match (cell, role) {
            (false, 0) => bounds.min_prefill_engines_per_zone,
            (false, _) => bounds.min_decode_engines_per_zone,
            (true, 0) => bounds.min_prefill_engines_per_cell,
            (true, _) => bounds.min_decode_engines_per_cell,
        };
        all.into_iter().find_map(|((cell, role, place), n)| {
            let least = least(cell, role);
            let what = if cell { "cell" } else { "zone" };
            let name = NAMES[usize::from(role)];
            (least > 0 && n <= least).then(|| {
                format!("{what} {place} has {n} {name} in all, and {least} have to stay ready")
            })
        })
    }
}
