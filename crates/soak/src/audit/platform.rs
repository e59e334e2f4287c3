//! What discovery says of engines, and how processes and bad clients fare.

use super::*;

impl Audit {
    /// Discovery has an engine in service, of a process that started just now, or long ago.
    pub fn engine_in_service(&mut self, engine: &str, started: Option<Ms>) {
        let record = EngineRecord {
            started,
            ..EngineRecord::default()
        };
        self.engines.insert(engine.to_owned(), record);
    }

    /// Discovery has an engine that drains or is gone.
    pub fn engine_out_of_service(&mut self, engine: &str) {
        if let Some(record) = self.engines.get_mut(engine) {
            record.out_of_service = true;
        }
    }

    /// From this instant on a process counts as told that an engine is out of service, unless it was before.
    pub fn told_out(&mut self, engine: &str, process: usize, at: Ms) {
        if let Some(record) = self.engines.get_mut(engine) {
            let told = record.told_out.entry(process).or_insert(at);
            *told = told.min(at);
        }
    }

    /// A process starts: what it counts as told of begins anew.
    pub fn process_starts(&mut self, process: usize) {
        for record in self.engines.values_mut() {
            record.told_out.remove(&process);
        }
    }

    /// A process that was started is ready after this long.
    pub fn process_ready(&mut self, after: Ms) {
        self.met(Invariant::ProcessUp);
        self.starts.push(after);
    }

    /// A process was told to end.
    pub fn process_stops(&mut self, life: Life, now: Ms) {
        self.stopping.insert(life, now);
    }

    /// Whether a process was told to end before an instant.
    pub fn stopped_before(&self, life: Life, instant: Ms) -> bool {
        self.stopping.get(&life).is_some_and(|at| *at < instant)
    }

    /// A process is about to be killed.
    pub fn process_killed(&mut self, life: Life, now: Ms) {
        self.ended.insert(life, (now, LifeEnd::Killed));
    }

    /// A process that was told to end is about to be killed, as its time is up.
    pub fn process_killed_in_stop(&mut self, life: Life, now: Ms) {
        self.ended.insert(life, (now, LifeEnd::KilledInStop));
    }

    /// A process has ended by itself; `well`: as it was told to.
    pub fn process_ended(&mut self, life: Life, well: bool, how: &str, now: Ms) {
        self.ended.entry(life).or_insert((now, LifeEnd::Ended));
        let broken = (!well).then(|| format!("process {} ended: {how}", life.process));
        self.check(now, Invariant::ProcessUp, broken);
    }

    /// A process never became ready, or something else is wrong with it.
    pub fn process_is_wrong(&mut self, what: String, now: Ms) {
        self.violated(now, Invariant::ProcessUp, what);
    }

    /// A client that stopped within its request got an end after this long; none if it never came.
    pub fn bad_client_ended(&mut self, after: Option<Ms>, now: Ms) {
        let most = self.rules.bad_client + self.rules.any_time;
        let broken = match after {
            Some(after) if after <= most => None,
            Some(after) => Some(format!("half a request was ended after {after:.0} ms")),
            None => Some("half a request was never ended".to_owned()),
        };
        self.check(now, Invariant::BadClientEnded, broken);
    }
}
