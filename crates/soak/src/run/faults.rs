//! Injects the faults of a plan: signals to processes, and faults of engines, their connections and discovery.

use super::*;

impl Soak {
    /// Injects one fault; returns when the fault is over.
    pub(super) async fn inject(self: &Rc<Self>, planned: PlannedFault) {
        let PlannedFault { until, fault, .. } = planned;
        match fault {
            Fault::Stop { process } => self.stop_process(process, true).await,
            Fault::StopSeveral { first, count } => self.stop_several(first, count).await,
            Fault::Kill { process } => self.kill_process(process, until).await,
            Fault::Pause { process } => self.pause_process(process).await,
            Fault::Reload => self.reload(),
            Fault::ReloadTwice => {
                self.reload();
                self.reload();
            }
            Fault::ReloadAndStop { process } => {
                self.reload();
                sleep(STOP_AFTER_RELOAD).await;
                self.stop_process(process, true).await;
            }
            Fault::Replace { engine } => self.replace_engine(engine, until).await,
            Fault::Hang(hang) => self.hang_engines(hang, until).await,
            Fault::Reject { engine } => {
                let behaviour = self.engines.borrow()[engine].engine.behaviour.clone();
                behaviour.rejects.set(true);
                sleep(until - self.clock.now()).await;
                behaviour.rejects.set(false);
            }
            Fault::SilenceSome { engine, delivers } => {
                self.silence_some(engine, delivers, until).await
            }
            Fault::Slow { engine } => {
                let behaviour = self.engines.borrow()[engine].engine.behaviour.clone();
                behaviour.is_slow.set(true);
                sleep(until - self.clock.now()).await;
                behaviour.is_slow.set(false);
            }
            Fault::CloseIdle { engine } => {
                self.engines.borrow()[engine]
                    .engine
                    .behaviour
                    .close_idle
                    .notify_waiters();
            }
            Fault::Reset { engine } => self.reset_engine_connections(engine),
            Fault::Refuse { engine } => self.refuse_connections(engine, until).await,
            Fault::Silence(silence) => self.silence_engines(silence, until).await,
            Fault::DiscoverySilent => self.lose_discovery(discovery::Mode::Silent, until).await,
            Fault::DiscoveryRefuses => self.lose_discovery(discovery::Mode::Refuses, until).await,
            Fault::DiscoveryResets => self.discovery.reset_connections(),
        }
    }

    /// Reserves a process for one fault. Returns `false` if the process is not up or another fault uses it.
    pub(super) fn reserve_process(&self, number: usize) -> bool {
        !self.busy[number].replace(true)
    }

    /// Sends SIGTERM to a process, kills it if it exceeds the time limit, and starts it again if `starts_again` is set.
    /// Does nothing if the process is not up or another fault uses it.
    pub(super) async fn stop_process(self: &Rc<Self>, number: usize, starts_again: bool) {
        if !self.reserve_process(number) {
            return;
        }
        let began = self.clock.now();
        let run = self.processes[number].borrow().current_run();
        self.audit.borrow_mut().process_stops(run, began);
        self.processes[number].borrow().signal(Signal::TERM);
        let kill_at =
            began + self.plan.longest_deadline().min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        let mut killed = false;
        loop {
            let ended = self.processes[number].borrow_mut().ended();
            if let Some(status) = ended {
                let ended_as_told = killed || status.success();
                let how = format!("after a signal to stop, {status}");
                self.audit
                    .borrow_mut()
                    .process_ended(run, ended_as_told, &how, self.clock.now());
                break;
            }
            if !killed && self.clock.now() > kill_at {
                killed = true;
                self.audit
                    .borrow_mut()
                    .process_killed_in_stop(run, self.clock.now());
                self.processes[number].borrow().signal(Signal::KILL);
            }
            sleep(CHECK_INTERVAL).await;
        }
        if starts_again {
            self.start_process(number);
        }
    }

    /// Sends SIGTERM to consecutive processes at intervals of [`STOP_INTERVAL`], as the rollout of a release does, and
    /// starts each again after its end. A process may get its signal before the preceding one has ended.
    pub(super) async fn stop_several(self: &Rc<Self>, first: usize, count: usize) {
        let stops = (0..count).map(|nth| {
            let (soak, number) = (self.clone(), (first + nth) % self.processes.len());
            spawn_local(async move {
                sleep(nth as f64 * STOP_INTERVAL).await;
                soak.stop_process(number, true).await;
            })
        });
        for stop in stops.collect::<Vec<_>>() {
            let _ = stop.await;
        }
    }

    /// Kills a process and starts it again at the time `until`.
    pub(super) async fn kill_process(self: &Rc<Self>, number: usize, until: Ms) {
        if !self.reserve_process(number) {
            return;
        }
        let run = self.processes[number].borrow().current_run();
        self.audit
            .borrow_mut()
            .process_killed(run, self.clock.now());
        self.processes[number].borrow().signal(Signal::KILL);
        while self.processes[number].borrow_mut().ended().is_none() {
            sleep(CHECK_INTERVAL).await;
        }
        sleep(until - self.clock.now()).await;
        self.start_process(number);
    }

    /// Suspends a process for [`SUSPEND_TIME`], unless it is not up or another fault uses it.
    pub(super) async fn pause_process(&self, number: usize) {
        if self.reserve_process(number) {
            self.processes[number].borrow().signal(Signal::STOP);
            sleep(SUSPEND_TIME).await;
            self.processes[number].borrow().signal(Signal::CONT);
            self.busy[number].set(false);
        }
    }

    /// Switches the configurations to the other address of discovery, and makes all processes that are up and that no
    /// fault uses reload them.
    pub(super) fn reload(&self) {
        self.current_address.set(1 - self.current_address.get());
        for (number, process) in self
            .processes
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.busy[*n].get())
        {
            let process = process.borrow();
            // A write error is ignored: the old file stays, and a reload of the old file tests as much as one of a new
            // file.
            let _ = process.configure(&self.configuration(number, process.current_run().start));
            process.signal(Signal::HUP);
        }
    }

    /// Resets all connections to an engine.
    pub(super) fn reset_engine_connections(&self, index: usize) {
        let engines = self.engines.borrow();
        let now = self.clock.now();
        self.audit
            .borrow_mut()
            .engine_connections_reset(&engines[index].entry.id, now);
        engines[index].proxy.reset_connections();
    }

    /// Refuses new connections to an engine until the time `until`.
    pub(super) async fn refuse_connections(&self, index: usize, until: Ms) {
        if !self.mark_unreachable(index) {
            return;
        }
        let proxy = self.proxy(index);
        proxy.set_mode(proxy::Mode::Refuse);
        sleep(until - self.clock.now()).await;
        self.restore(index, &proxy);
    }

    /// Marks an engine as unreachable. Returns `false` if it is unreachable already or if too few engines would stay
    /// reachable: processes can release held KV states only through an engine that runs.
    pub(super) fn mark_unreachable(&self, index: usize) -> bool {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.len() + MIN_REACHABLE < ENGINES.count && unreachable.insert(index)
    }

    /// Silences the network of engines until the time `until`, and then delivers the held-back bytes or resets the
    /// connections. Engines for which [`Soak::mark_unreachable`] returns `false` are left out.
    pub(super) async fn silence_engines(&self, silence: Silence, until: Ms) {
        let since = self.clock.now();
        let silenced_engines = ENGINES
            .members(silence.engines)
            .into_iter()
            .filter(|index| self.mark_unreachable(*index));
        let silenced: Vec<_> = silenced_engines
            .map(|index| (index, self.proxy(index)))
            .collect();
        let mode = match silence.blocked {
            BlockedDirection::BothWays if silence.starts_mid_message => {
                proxy::Mode::SilentMidMessage
            }
            BlockedDirection::BothWays => proxy::Mode::Silent,
            BlockedDirection::ToEngines => proxy::Mode::SilentToEngine,
            BlockedDirection::ToProcesses => proxy::Mode::SilentToProcess,
        };
        let behaviours: Vec<_> = silenced
            .iter()
            .map(|(index, _)| self.behaviour(*index))
            .collect();
        for ((_, proxy), behaviour) in silenced.iter().zip(&behaviours) {
            behaviour.silences.set(behaviour.silences.get() + 1);
            proxy.set_mode(mode);
        }
        sleep(until - since).await;
        for ((index, proxy), behaviour) in silenced.into_iter().zip(behaviours) {
            behaviour.silences.set(behaviour.silences.get() - 1);
            if !silence.delivers && self.is_current_proxy(index, &proxy) {
                let id = self.engines.borrow()[index].entry.id.clone();
                self.audit
                    .borrow_mut()
                    .engine_connections_reset(&id, self.clock.now());
                proxy.reset_connections();
            }
            self.restore(index, &proxy);
        }
    }

    /// Silences [`SILENT_PERCENT`] of an engine's connections until the time `until`.
    pub(super) async fn silence_some(&self, index: usize, delivers: bool, until: Ms) {
        let (proxy, behaviour) = (self.proxy(index), self.behaviour(index));
        behaviour.silences.set(behaviour.silences.get() + 1);
        proxy.silence_some(SILENT_PERCENT);
        sleep(until - self.clock.now()).await;
        behaviour.silences.set(behaviour.silences.get() - 1);
        if !delivers && self.is_current_proxy(index, &proxy) {
            self.reset_engine_connections(index);
        }
        proxy.silence_some(0);
    }

    /// Makes engines hang until the time `until`, except those for which [`Soak::mark_unreachable`] returns `false`.
    pub(super) async fn hang_engines(&self, hang: Hang, until: Ms) {
        let hung_engines = ENGINES
            .members(hang.engines)
            .into_iter()
            .filter(|index| self.mark_unreachable(*index));
        let hung: Vec<_> = hung_engines
            .map(|index| (index, self.behaviour(index)))
            .collect();
        for (_, behaviour) in &hung {
            behaviour.misses_closes.set(!hang.notices_closes);
            behaviour.hangs.set(true);
        }
        sleep(until - self.clock.now()).await;
        for (index, behaviour) in hung {
            behaviour.hangs.set(false);
            self.unreachable.borrow_mut().remove(&index);
        }
    }

    /// The faults that are injected into the engine that now runs at this index.
    fn behaviour(&self, index: usize) -> Rc<Behaviour> {
        self.engines.borrow()[index].engine.behaviour.clone()
    }

    /// The proxy in front of the engine that now runs at this index.
    pub(super) fn proxy(&self, index: usize) -> Proxy {
        self.engines.borrow()[index].proxy.clone()
    }

    /// Whether the engine that now runs at this index is behind this proxy; `false` if the engine has been replaced by
    /// another one, with a proxy of its own, since the caller took the proxy.
    pub(super) fn is_current_proxy(&self, index: usize, proxy: &Proxy) -> bool {
        self.engines.borrow()[index].proxy.address == proxy.address
    }

    /// Marks the engine at this index as reachable. Its proxy forwards again, unless the engine has been replaced.
    pub(super) fn restore(&self, index: usize, proxy: &Proxy) {
        self.unreachable.borrow_mut().remove(&index);
        if self.is_current_proxy(index, proxy) {
            proxy.set_mode(proxy::Mode::Forward);
        }
    }

    /// Drains an engine, removes it at `until` but not before [`MIN_DRAIN_TIME`], and starts another one in its place.
    /// Does nothing if too few engines of the kind would stay in service.
    pub(super) async fn replace_engine(&self, index: usize, until: Ms) {
        let (entry, generation) = {
            let mut engines = self.engines.borrow_mut();
            // At least one engine of the kind stays in service, so that requests that need the kind can be served.
            let kind = index % KINDS.len();
            let leaving = engines
                .iter()
                .skip(kind)
                .step_by(KINDS.len())
                .filter(|running| running.is_leaving)
                .count();
            if engines[index].is_leaving || leaving + 1 >= ENGINES_PER_KIND {
                return;
            }
            engines[index].is_leaving = true;
            (engines[index].entry.clone(), engines[index].generation)
        };
        *self.configured_engines.borrow_mut() = self.discovery.complete_list();
        self.audit.borrow_mut().engine_out_of_service(&entry.id);
        self.out_of_service.borrow_mut().push(entry.id.clone());
        self.discovery.publish(Entry {
            phase: "draining",
            ..entry.clone()
        });
        self.notify_all();
        sleep(until.max(self.clock.now() + MIN_DRAIN_TIME) - self.clock.now()).await;
        self.discovery.publish(Entry {
            phase: "removed",
            ..entry.clone()
        });
        self.reset_engine_connections(index);
        self.engines.borrow()[index]
            .proxy
            .set_mode(proxy::Mode::Refuse);
        self.audit.borrow_mut().engine_gone(&entry.id);
        match start_engine(
            &self.platform,
            index,
            generation + 1,
            self.clock,
            &self.audit,
        )
        .await
        {
            Ok(running) => {
                self.audit
                    .borrow_mut()
                    .engine_in_service(&running.entry.id, Some(self.clock.now()));
                self.discovery.publish(running.entry.clone());
                self.engines.borrow_mut()[index] = running;
            }
            Err(problem) => {
                let what = format!("engine {index} could not be started: {problem}");
                self.audit
                    .borrow_mut()
                    .process_failed(what, self.clock.now());
            }
        }
    }

    /// Makes discovery unreachable until the time `until`; does nothing if it is unreachable already.
    pub(super) async fn lose_discovery(&self, mode: discovery::Mode, until: Ms) {
        if !self.is_discovery_reachable.replace(false) {
            return;
        }
        self.discovery.set_mode(mode);
        sleep(until - self.clock.now()).await;
        self.discovery.set_mode(discovery::Mode::Answers);
        self.is_discovery_reachable.set(true);
        self.notify_all();
    }

    /// Records when all processes count as notified of the engines out of service; does nothing while discovery is
    /// unreachable.
    pub(super) fn notify_all(&self) {
        if !self.is_discovery_reachable.get() {
            return;
        }
        let after = if self.plan.lists_are_asked_for {
            POLL_NOTICE_TIME
        } else {
            0.0
        };
        let at = self.clock.now() + after;
        for engine in self.out_of_service.borrow().iter() {
            for process in 0..self.processes.len() {
                self.audit.borrow_mut().notified_out(engine, process, at);
            }
        }
    }
}
