//! Observations of discovery, of the processes' starts and ends, and of stalled clients.

use super::*;

impl Audit {
    /// Records that discovery lists an engine as in service. `started` is when its process started, `None` if long ago.
    pub fn engine_in_service(&mut self, engine: &str, started: Option<Ms>) {
        let record = EngineRecord {
            started,
            ..EngineRecord::default()
        };
        self.engines.insert(engine.to_owned(), record);
    }

    /// Records that discovery lists an engine as draining or removed.
    pub fn engine_out_of_service(&mut self, engine: &str) {
        if let Some(record) = self.engines.get_mut(engine) {
            record.out_of_service = true;
        }
    }

    /// Records that a process counts as notified from `at` on that an engine is out of service. The earliest time
    /// counts.
    pub fn notified_out(&mut self, engine: &str, process: usize, at: Ms) {
        if let Some(record) = self.engines.get_mut(engine) {
            let notified = record.notified_out.entry(process).or_insert(at);
            *notified = notified.min(at);
        }
    }

    /// Records the start of a process. The new run has not been notified of any engine out of service.
    pub fn process_starts(&mut self, process: usize) {
        for record in self.engines.values_mut() {
            record.notified_out.remove(&process);
        }
    }

    /// Records that a process became ready this long after its start.
    pub fn process_ready(&mut self, after: Ms) {
        self.count_case(Invariant::ProcessUp);
        self.times_to_ready.push(after);
    }

    /// Records that a run was told to stop.
    pub fn process_stops(&mut self, run: ProcessRun, now: Ms) {
        self.stopping.insert(run, now);
    }

    /// Whether a run was told to stop before `instant`.
    pub fn stopped_before(&self, run: ProcessRun, instant: Ms) -> bool {
        self.stopping.get(&run).is_some_and(|at| *at < instant)
    }

    /// Records that a run is about to be killed.
    pub fn process_killed(&mut self, run: ProcessRun, now: Ms) {
        self.ended.insert(run, (now, RunEnd::Killed));
    }

    /// Records that a run is about to be killed because its stop exceeds the time limit.
    pub fn process_killed_in_stop(&mut self, run: ProcessRun, now: Ms) {
        self.ended.insert(run, (now, RunEnd::KilledInStop));
    }

    /// Records the end of a run. `as_told` is set if the run ended as it was told to; otherwise `how` describes the end
    /// in the reported violation.
    pub fn process_ended(&mut self, run: ProcessRun, as_told: bool, how: &str, now: Ms) {
        self.ended.entry(run).or_insert((now, RunEnd::Ended));
        let violation = (!as_told).then(|| format!("process {} ended: {how}", run.process));
        self.check(now, Invariant::ProcessUp, violation);
    }

    /// Records a process that could not be started or never became ready.
    pub fn process_failed(&mut self, what: String, now: Ms) {
        self.violated(now, Invariant::ProcessUp, what);
    }

    /// Records how much memory a process uses, and how much it may use.
    pub fn memory_used(&mut self, process: usize, used_kib: u64, limit_kib: u64, now: Ms) {
        self.report.peak_memory_kib = self.report.peak_memory_kib.max(used_kib);
        let violation = (used_kib > limit_kib)
            .then(|| format!("process {process} used {used_kib} KiB of {limit_kib}"));
        self.check(now, Invariant::MemoryLimit, violation);
    }

    /// Records when a client that stalled within its request, or sent what is not a request, got an error or a close;
    /// `None` if it got neither.
    pub fn stalled_client_ended(&mut self, after: Option<Ms>, now: Ms) {
        let limit = self.rules.stalled_client_limit + self.rules.timer_slack;
        let violation = match after {
            Some(after) if after <= limit => None,
            Some(after) => Some(format!("a bad client was ended after {after:.0} ms")),
            None => Some("a bad client was never ended".to_owned()),
        };
        self.check(now, Invariant::BadClientEnded, violation);
    }
}
