//! Carries out the troubles of a plan: signals to processes, what befalls engines and their connections, and discovery.

use super::*;

impl Soak {
    pub(super) async fn trouble(self: &Rc<Self>, planned: Planned) {
        let Planned { until, trouble, .. } = planned;
        match trouble {
            Trouble::Stop { process } => self.stop_process(process, true).await,
            Trouble::StopSeveral { first, count } => self.stop_several(first, count).await,
            Trouble::Kill { process } => self.kill_process(process, until).await,
            Trouble::Pause { process } => self.pause_process(process).await,
            Trouble::Reload => self.reload(),
            Trouble::ReloadTwice => {
                self.reload();
                self.reload();
            }
            Trouble::ReloadAndStop { process } => {
                self.reload();
                sleep(BEHIND_A_RELOAD).await;
                self.stop_process(process, true).await;
            }
            Trouble::Replace { engine } => self.replace_engine(engine, until).await,
            Trouble::Hang(hang) => self.hang_engines(hang, until).await,
            Trouble::TurnAway { engine } => {
                let behaviour = self.engines.borrow()[engine].engine.behaviour.clone();
                behaviour.turns_away.set(true);
                sleep(until - self.clock.now()).await;
                behaviour.turns_away.set(false);
            }
            Trouble::SilenceSome { engine, delivers } => {
                self.silence_some(engine, delivers, until).await
            }
            Trouble::Slow { engine } => {
                let behaviour = self.engines.borrow()[engine].engine.behaviour.clone();
                behaviour.is_slow.set(true);
                sleep(until - self.clock.now()).await;
                behaviour.is_slow.set(false);
            }
            Trouble::CloseIdle { engine } => {
                self.engines.borrow()[engine]
                    .engine
                    .behaviour
                    .close_idle
                    .notify_waiters();
            }
            Trouble::Reset { engine } => self.cut_engine(engine),
            Trouble::Refuse { engine } => self.refuse_connections(engine, until).await,
            Trouble::Silence(silence) => self.silence_engines(silence, until).await,
            Trouble::DiscoverySilent => self.lose_discovery(discovery::Mode::Silent, until).await,
            Trouble::DiscoveryRefuses => self.lose_discovery(discovery::Mode::Refuses, until).await,
            Trouble::DiscoveryResets => self.discovery.cut(),
        }
    }

    /// Whether a process is up and nothing is done to it; from now on something is.
    pub(super) fn occupy(&self, number: usize) -> bool {
        !self.busy[number].replace(true)
    }

    pub(super) async fn stop_process(self: &Rc<Self>, number: usize, starts_again: bool) {
        if !self.occupy(number) {
            return;
        }
        let began = self.clock.now();
        let life = self.processes[number].borrow().life();
        self.audit.borrow_mut().process_stops(life, began);
        self.processes[number].borrow().signal(Signal::TERM);
        let kills = began + self.plan.longest_deadline().min(LONGEST_COUNTED) + STOP_KILLS;
        let mut killed = false;
        loop {
            let ended = self.processes[number].borrow_mut().ended();
            if let Some(status) = ended {
                let well = killed || status.success();
                let how = format!("after a signal to stop, {status}");
                self.audit
                    .borrow_mut()
                    .process_ended(life, well, &how, self.clock.now());
                break;
            }
            if !killed && self.clock.now() > kills {
                killed = true;
                self.audit
                    .borrow_mut()
                    .process_killed_in_stop(life, self.clock.now());
                self.processes[number].borrow().signal(Signal::KILL);
            }
            sleep(LOOK).await;
        }
        if starts_again {
            self.start_process(number);
        }
    }

    /// Signals in series, as a release sends them.
    pub(super) async fn stop_several(self: &Rc<Self>, first: usize, count: usize) {
        let stops = (0..count).map(|nth| {
            let (soak, number) = (self.clone(), (first + nth) % self.processes.len());
            spawn_local(async move {
                sleep(nth as f64 * BETWEEN_STOPS).await;
                soak.stop_process(number, true).await;
            })
        });
        for stop in stops.collect::<Vec<_>>() {
            let _ = stop.await;
        }
    }

    pub(super) async fn kill_process(self: &Rc<Self>, number: usize, until: Ms) {
        if !self.occupy(number) {
            return;
        }
        let life = self.processes[number].borrow().life();
        self.audit
            .borrow_mut()
            .process_killed(life, self.clock.now());
        self.processes[number].borrow().signal(Signal::KILL);
        while self.processes[number].borrow_mut().ended().is_none() {
            sleep(LOOK).await;
        }
        sleep(until - self.clock.now()).await;
        self.start_process(number);
    }

    pub(super) async fn pause_process(&self, number: usize) {
        if self.occupy(number) {
            self.processes[number].borrow().signal(Signal::STOP);
            sleep(PAUSE).await;
            self.processes[number].borrow().signal(Signal::CONT);
            self.busy[number].set(false);
        }
    }

    /// Discovery moves to its other address; all that run are told to read their configurations again.
    pub(super) fn reload(&self) {
        self.at.set(1 - self.at.get());
        for (number, process) in self
            .processes
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.busy[*n].get())
        {
            let process = process.borrow();
            // A file that cannot be written is the old one, which is as good.
            let _ = process.configure(&self.configuration(number, process.life().start));
            process.signal(Signal::HUP);
        }
    }

    pub(super) fn cut_engine(&self, at: usize) {
        let engines = self.engines.borrow();
        let now = self.clock.now();
        self.audit
            .borrow_mut()
            .engine_cut(&engines[at].entry.id, now);
        engines[at].proxy.cut();
    }

    pub(super) async fn refuse_connections(&self, at: usize, until: Ms) {
        if !self.become_unreachable(at) {
            return;
        }
        let proxy = self.proxy(at);
        proxy.set_mode(proxy::Mode::Refuse);
        sleep(until - self.clock.now()).await;
        self.pass_again(at, &proxy);
    }

    /// Tells whether an engine may be cut off: it is not so yet, and enough are left. What is held can only be released
    /// through an engine that runs.
    pub(super) fn become_unreachable(&self, at: usize) -> bool {
        let mut unreachable = self.unreachable.borrow_mut();
        unreachable.len() + LEAST_REACHABLE < ENGINES.count && unreachable.insert(at)
    }

    /// Machines vanish, and come back with or without what lay there.
    pub(super) async fn silence_engines(&self, silence: Silence, until: Ms) {
        let since = self.clock.now();
        let silenced = ENGINES
            .of(silence.who)
            .into_iter()
            .filter(|at| self.become_unreachable(*at));
        let silenced: Vec<_> = silenced.map(|at| (at, self.proxy(at))).collect();
        let mode = match silence.loss {
            Loss::BothWays if silence.within_a_message => proxy::Mode::SilentWithin,
            Loss::BothWays => proxy::Mode::Silent,
            Loss::ToEngines => proxy::Mode::SilentToEngine,
            Loss::ToProcesses => proxy::Mode::SilentToProcess,
        };
        for (_, proxy) in &silenced {
            proxy.set_mode(mode);
        }
        sleep(until - since).await;
        for (at, proxy) in silenced {
            if !silence.delivers && self.is_behind(at, &proxy) {
                let id = self.engines.borrow()[at].entry.id.clone();
                self.audit.borrow_mut().engine_cut(&id, self.clock.now());
                proxy.cut();
            }
            self.pass_again(at, &proxy);
        }
    }

    /// Some connections to an engine fall silent, each alone.
    pub(super) async fn silence_some(&self, at: usize, delivers: bool, until: Ms) {
        let proxy = self.proxy(at);
        proxy.silence_some(SILENT_OF_A_HUNDRED);
        sleep(until - self.clock.now()).await;
        if !delivers && self.is_behind(at, &proxy) {
            self.cut_engine(at);
        }
        proxy.silence_some(0);
    }

    /// Engines take connections and calls, and do nothing.
    pub(super) async fn hang_engines(&self, hang: Hang, until: Ms) {
        let hung = ENGINES
            .of(hang.who)
            .into_iter()
            .filter(|at| self.become_unreachable(*at));
        let hung: Vec<_> = hung
            .map(|at| (at, self.engines.borrow()[at].engine.behaviour.clone()))
            .collect();
        for (_, behaviour) in &hung {
            behaviour.misses_closes.set(!hang.notices_closes);
            behaviour.hangs.set(true);
        }
        sleep(until - self.clock.now()).await;
        for (at, behaviour) in hung {
            behaviour.hangs.set(false);
            self.unreachable.borrow_mut().remove(&at);
        }
    }

    pub(super) fn proxy(&self, at: usize) -> Proxy {
        self.engines.borrow()[at].proxy.clone()
    }

    /// Whether the engine that has this place now is behind this proxy: it may have been replaced meanwhile.
    pub(super) fn is_behind(&self, at: usize, proxy: &Proxy) -> bool {
        self.engines.borrow()[at].proxy.address == proxy.address
    }

    pub(super) fn pass_again(&self, at: usize, proxy: &Proxy) {
        self.unreachable.borrow_mut().remove(&at);
        if self.is_behind(at, proxy) {
            proxy.set_mode(proxy::Mode::Pass);
        }
    }

    pub(super) async fn replace_engine(&self, at: usize, until: Ms) {
        let (entry, generation) = {
            let mut engines = self.engines.borrow_mut();
            // Enough of its kind stays for the others to be served.
            let kind = at % KINDS.len();
            let leaving = engines
                .iter()
                .skip(kind)
                .step_by(KINDS.len())
                .filter(|slot| slot.leaving)
                .count();
            if engines[at].leaving || leaving + 1 >= ENGINES_OF_A_KIND {
                return;
            }
            engines[at].leaving = true;
            (engines[at].entry.clone(), engines[at].generation)
        };
        *self.known.borrow_mut() = self.discovery.whole();
        self.audit.borrow_mut().engine_out_of_service(&entry.id);
        self.out.borrow_mut().push(entry.id.clone());
        self.discovery.change(Entry {
            phase: "draining",
            ..entry.clone()
        });
        self.tell_all();
        sleep(until.max(self.clock.now() + DRAINS_FOR) - self.clock.now()).await;
        self.discovery.change(Entry {
            phase: "removed",
            ..entry.clone()
        });
        self.cut_engine(at);
        self.engines.borrow()[at]
            .proxy
            .set_mode(proxy::Mode::Refuse);
        self.audit.borrow_mut().engine_gone(&entry.id);
        match start_engine(&self.platform, at, generation + 1, self.clock, &self.audit).await {
            Ok(slot) => {
                self.audit
                    .borrow_mut()
                    .engine_in_service(&slot.entry.id, Some(self.clock.now()));
                self.discovery.change(slot.entry.clone());
                self.engines.borrow_mut()[at] = slot;
            }
            Err(problem) => {
                let what = format!("an engine could not be started: {problem}");
                self.audit
                    .borrow_mut()
                    .process_is_wrong(what, self.clock.now());
            }
        }
    }

    pub(super) async fn lose_discovery(&self, mode: discovery::Mode, until: Ms) {
        if !self.reachable.replace(false) {
            return;
        }
        self.discovery.set_mode(mode);
        sleep(until - self.clock.now()).await;
        self.discovery.set_mode(discovery::Mode::Answers);
        self.reachable.set(true);
        self.tell_all();
    }

    /// From now on all processes count as told of what is out of service, if discovery can be reached.
    pub(super) fn tell_all(&self) {
        if !self.reachable.get() {
            return;
        }
        let after = if self.plan.lists_are_asked_for {
            TOLD_AFTER
        } else {
            0.0
        };
        let at = self.clock.now() + after;
        for engine in self.out.borrow().iter() {
            for process in 0..self.processes.len() {
                self.audit.borrow_mut().told_out(engine, process, at);
            }
        }
    }
}
