//! Reports of workers and orders for them.

use super::*;

impl Leader {
    /// Whether workers may still be answered: their leases must run out before
    /// a cancellation that we could not see is due.
    ///
    /// A leader that still reads has no sight at all: the leader before may have
    /// answered without any until just now, and so may others before that. A few such
    /// takeovers in a row, each of which kept the leases for some seconds of its own,
    /// would keep a cancelled task for longer than `cancel_s`.
    pub(super) fn may_answer(&self, now: Duration) -> bool {
        self.stage == Stage::Ready && self.permits(Action::KeepLeases, now)
    }

    /// Whether starts may be sent: no cancellation is likely to have been confirmed
    /// unseen. Where the state service has just failed this node, another may have.
    pub(super) fn sighted(&self, now: Duration) -> bool {
        self.permits(Action::Start, now) && self.shaken.is_none_or(|at| at < self.fresh)
    }

    /// Answers a report. `adrift`: neither the state service nor any sibling is
    /// heard, so that somebody else may lead by now.
    pub fn beat(
        &mut self,
        times: StepTime,
        report: Heartbeat,
        (relayed, adrift): (bool, bool),
        requests: &RequestHandler,
        out: &mut EffectSink,
    ) -> Response {
        let now = times.now;
        self.reached |= !relayed;
        if !self.permits(Action::AnswerReports, now) {
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        if !self.may_answer(now) || self.fleet.is_gone(&report.machine) {
            // What it tells counts all the same, and that it is there.
            self.hear(times, &report, false, out);
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        let host = report.machine.clone();
        let heard = self.hear(times, &report, false, out);
        let token = self.token_for(&host);
        let orders = self.orders(now, &host, requests);
        let Some(machine) = self.fleet.machines.get_mut(&host).filter(|_| heard != HeartbeatNews::Stale)
        else {
            // A copy gets no orders, nor counts as heard.
            return Response::Commands { token, commands: Vec::new() };
        };
        machine.relayed = relayed;
        if !relayed {
            machine.direct = now;
        }
        if machine.is_sent_off(adrift, self.settings.worker_lease, now) {
            return Response::Redirect { leader: None };
        }
        machine.note_answer(&orders, now);
        self.note_offers(&orders, token);
        Response::Commands { token, commands: orders }
    }

    /// Notes which attempts a worker may be told to run from now on, and under which token.
    pub(super) fn note_offers(&mut self, orders: &[WorkerCommand], token: u64) {
        for order in orders {
            if let WorkerCommand::Run { task, .. } = order {
                if let Some(attempt) = self.ledger.attempt_mut(task) {
                    attempt.offered = attempt.offered.max(Some(token));
                }
            }
        }
    }

    /// Takes in a report; `ours`: it answers a command of ours.
    pub(super) fn hear(
        &mut self,
        times: StepTime,
        report: &Heartbeat,
        ours: bool,
        out: &mut EffectSink,
    ) -> HeartbeatNews {
        let up = |fleet: &Fleet| fleet.machines.get(&report.machine).is_some_and(Machine::up);
        let before = up(&self.fleet);
        let heard = match ours {
            true => self.fleet.answered(report, self.token, times.now),
            false => self.fleet.observe(report, self.token, times.now),
        };
        self.dirty |= up(&self.fleet) != before;
        if heard != HeartbeatNews::Stale && self.stage == Stage::Ready {
            self.observe(times, report, heard, out);
        }
        heard
    }

    /// Draws the conclusions from a new report.
    pub(super) fn observe(
        &mut self,
        times: StepTime,
        report: &Heartbeat,
        heard: HeartbeatNews,
        out: &mut EffectSink,
    ) {
        let now = times.now;
        let (ended, lost) = match heard {
            HeartbeatNews::Changed => self.ledger.observe(report, report.token >= self.token, now),
            _ => Default::default(),
        };
        if lost > 0 {
            // Such an attempt is neither there nor proven gone.
            if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
                machine.leaving.get_or_insert(RemovalReason::LostAttempts);
            }
        }
        for listed in report.tasks.iter().filter(|_| heard == HeartbeatNews::Changed) {
            // Who waits for other tasks of a gang has the image.
            if !matches!(listed.status, TaskStatus::Running | TaskStatus::WaitingForGang) {
                continue;
            }
            if let Some(spec) = self.ledger.jobs.get(&listed.task.job).map(|e| e.spec.clone()) {
                let image = self.image(&spec);
                self.fleet.imaged(&report.machine, image, &self.places);
            }
        }
        for end in ended {
            self.ended(now, &report.machine, &end, out);
            self.dirty = true;
        }
        if let Some(left) = report.preemption_notice {
            self.leave_in_time(now, &report.machine, left, out);
        }
        self.tell_urgent(now, out);
        if let Some(machine) = self.fleet.machines.get_mut(&report.machine) {
            let idle = report.tasks.iter().all(|t| matches!(t.status, TaskStatus::Exited(_)));
            match (idle && self.ledger.on_host(&report.machine).next().is_none(), machine.idle_since) {
                (true, None) => {
                    machine.idle_since = Some(now);
                    self.dirty = true;
                }
                (false, Some(_)) => machine.idle_since = None,
                _ => {}
            }
        }
    }

    /// A machine is about to be taken: what can't end before goes elsewhere at
    /// once instead of being lost.
    pub(super) fn leave_in_time(
        &mut self,
        now: Duration,
        host: &MachineName,
        left: Duration,
        out: &mut EffectSink,
    ) {
        let here: Vec<TaskId> = self.ledger.on_host(host).cloned().collect();
        for task in here {
            let (Some(entry), Some(attempt)) = (self.ledger.jobs.get(&task.job), self.ledger.attempt(&task))
            else {
                continue;
            };
            let begun = attempt.running.unwrap_or(now);
            let ends = begun + self.estimate(&entry.spec);
            let lost = attempt.running.is_none() || ends > now + left;
            if attempt.seen.is_some() && lost {
                self.ledger.stop(&task);
            }
        }
        self.tell(now, host, out);
    }

    pub(super) fn ended(&mut self, now: Duration, host: &MachineName, end: &Ended, out: &mut EffectSink) {
        let Some(entry) = self.ledger.jobs.get_mut(&end.task.job) else { return };
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        match end.cause {
            Some(ExitReason::Completed) => {
                machine.errors = 0;
                entry.errors = 0;
                entry.error_hosts.clear();
                if let Some(ran) = end.ran.filter(|_| entry.spec.estimated_runtime_s > 0.5) {
                    let ratio = (ran.as_secs_f64() / entry.spec.estimated_runtime_s).clamp(0.2, 5.0);
                    let mean = self.ratios.entry(entry.spec.class.clone()).or_insert(1.0);
                    *mean += 0.1 * (ratio - *mean);
                }
            }
            Some(ExitReason::Failed) => {
                entry.errors += 1;
                entry.error_hosts.insert(host.clone());
                // A job that fails on every machine is the job's fault.
                if entry.error_hosts.len() < 3 {
                    machine.errors += 1;
                }
                let wait = Duration::from_secs(1 << entry.errors.min(6));
                if entry.error_hosts.len() > 1 {
                    entry.not_before = now + wait;
                }
                out.log(LogLevel::Debug, format!("{}/{} failed on {host}", end.task.job, end.task.index));
            }
            Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict) => {
                machine.full_until = now + FULL_PAUSE
            }
            Some(ExitReason::UnknownJob) => entry.not_before = now + Duration::from_secs(1),
            // Another task's fault, or nobody's.
            Some(
                ExitReason::Stopped
                | ExitReason::GangMemberLost
                | ExitReason::GangIncomplete
                | ExitReason::Unrecognized,
            )
            | None => {}
        }
    }

    /// Orders for a machine, by its newest report.
    pub(super) fn orders(
        &self,
        now: Duration,
        host: &MachineName,
        requests: &RequestHandler,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(host) else { return Vec::new() };
        let Some(report) = &machine.report else { return Vec::new() };
        let mut orders = Vec::new();
        let (reaps, kills) = (self.permits(Action::AcknowledgeEnds, now), self.permits(Action::Kill, now));
        for ReportedTask { task, attempt, status: seen } in report.tasks.iter() {
            let attempt = *attempt;
            if matches!(seen, TaskStatus::Exited(_)) {
                // A direct `run` under way would start a forgotten attempt anew.
                let unconfirmed = machine.has_unconfirmed_run(task, attempt);
                let over = !self.ledger.jobs.contains_key(&task.job) && requests.is_over(&task.job);
                if reaps && !unconfirmed && (over || self.ledger.may_reap(task, attempt)) {
                    orders.push(WorkerCommand::Acknowledge { task: task.clone(), attempt });
                }
            } else if let Some(leeway) = self.unwanted(host, task, attempt, requests).filter(|_| kills) {
                orders.push(WorkerCommand::Kill { task: task.clone(), attempt, grace: leeway });
            }
        }
        orders.extend(self.unheard(now, machine, report));
        orders.extend(self.runs(now, machine).map(|(task, attempt)| WorkerCommand::Run { task, attempt }));
        orders.truncate(MOST_ORDERS);
        orders
    }

    /// Whether a listed attempt must go, and how much time it has to save.
    pub(super) fn unwanted(
        &self,
        host: &MachineName,
        task: &TaskId,
        attempt: u64,
        requests: &RequestHandler,
    ) -> Option<Duration> {
        let Some(entry) = self.ledger.jobs.get(&task.job) else {
            return requests.is_over(&task.job).then_some(Duration::ZERO);
        };
        match self.ledger.attempt(task) {
            Some(a) if a.number == attempt && a.host == *host => {
                (a.stop || entry.phase != Phase::Active).then(|| self.leeway(task))
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// The time that a stopped task has to save, if that is of use.
    pub(super) fn leeway(&self, task: &TaskId) -> Duration {
        let Some(entry) = self.ledger.jobs.get(&task.job) else { return Duration::ZERO };
        // A gang that lost a task saves nothing any more.
        let saves = entry.phase == Phase::Active && entry.spec.checkpoint_interval_s > 0.0 && !entry.broken();
        let save = Duration::from_secs_f64(entry.spec.checkpoint_duration_s.min(3600.0));
        if saves && save <= MOST_LEEWAY {
            MOST_LEEWAY
        } else {
            Duration::ZERO
        }
    }

    /// Tasks of a gang that is to end which the worker was told of and has not
    /// listed: the command may be lost, or come yet. Told to run and to stop at
    /// once, the worker lists them as ended, and a late command has no effect.
    fn unheard(&self, now: Duration, machine: &Machine, report: &Heartbeat) -> Vec<WorkerCommand> {
        let mut orders = Vec::new();
        let sighted = self.sighted(now);
        for task in self.ledger.on_host(&machine.name).filter(|_| sighted) {
            let ending = |e: &&JobEntry| e.phase == Phase::Active && e.ending();
            let found = self.ledger.jobs.get(&task.job).filter(ending).and(self.ledger.attempt(task));
            let Some(attempt) = found else { continue };
            let told =
                attempt.offered.is_some() && attempt.seen.is_none() && attempt.shift == report.incarnation;
            let listed = report.tasks.iter().any(|l| l.task == *task && l.attempt == attempt.number);
            if told && !listed {
                let number = attempt.number;
                orders.push(WorkerCommand::Run { task: task.clone(), attempt: number });
                let leeway = Duration::ZERO;
                orders.push(WorkerCommand::Kill { task: task.clone(), attempt: number, grace: leeway });
            }
        }
        orders
    }

    /// Durable placements that the worker has not listed yet.
    pub(super) fn runs<'a>(
        &'a self,
        now: Duration,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (TaskId, u64)> + 'a {
        let sighted = self.sighted(now);
        let shift = machine.shift();
        self.ledger.on_host(&machine.name).filter_map(move |task| {
            let attempt = self.ledger.attempt(task)?;
            let live = self.ledger.jobs.get(&task.job)?.phase == Phase::Active;
            let due = live
                && sighted
                && Some(attempt.shift) == shift
                && attempt.seen.is_none()
                && !attempt.stop
                && self.ledger.written(task);
            due.then(|| (task.clone(), attempt.number))
        })
    }

    /// Sends a machine what it should hear at once: starts, each once, and
    /// kills, each once. The answers to reports repeat what got lost.
    pub(super) fn tell(&mut self, now: Duration, host: &MachineName, out: &mut EffectSink) {
        let Some(machine) = self.fleet.machines.get(host) else { return };
        if !self.commands(machine) {
            return self.order_due(host);
        }
        let Some(shift) = machine.shift() else { return };
        if !machine.takes_commands() {
            return;
        }
        let told = |t: &TaskId| self.ledger.attempt(t).is_some_and(|a| a.told);
        // A command of its own costs several times an answer, and the answer to the next
        // report carries the same: what can wait for that gives way first.
        let runs: Vec<(TaskId, u64)> = match self.behind {
            true => Vec::new(),
            false => self.runs(now, machine).filter(|(t, _)| !told(t)).collect(),
        };
        let may_kill = self.permits(Action::Kill, now);
        let kills: Vec<(TaskId, u64)> = self
            .ledger
            .on_host(host)
            .filter(|_| may_kill)
            .filter_map(|t| {
                let a = self.ledger.attempt(t)?;
                let cancelled = self.ledger.jobs.get(&t.job)?.phase == Phase::Cancelled;
                let due = (cancelled || a.stop) && !a.kill_told && a.shift == shift;
                due.then(|| (t.clone(), a.number))
            })
            .collect();
        if runs.is_empty() && kills.is_empty() {
            return;
        }
        let mut orders: Vec<WorkerCommand> = Vec::new();
        for (task, attempt) in &kills {
            let leeway = self.leeway(task);
            if let Some(a) = self.ledger.attempt_mut(task) {
                a.kill_told = true;
            }
            orders.push(WorkerCommand::Kill { task: task.clone(), attempt: *attempt, grace: leeway });
        }
        let token = self.token_for(host);
        for (task, attempt) in &runs {
            if let Some(a) = self.ledger.attempt_mut(task) {
                (a.told, a.offered) = (true, a.offered.max(Some(token)));
            }
            orders.push(WorkerCommand::Run { task: task.clone(), attempt: *attempt });
        }
        if !runs.is_empty() && !std::mem::replace(&mut self.started, true) {
            let after = now.saturating_sub(self.began).as_millis();
            out.log(LogLevel::Info, format!("first starts {after} ms after it leads"));
        }
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        let address = machine.begin_command(&runs);
        let leader_call = LeaderCall::SendCommands { host: host.clone(), shift, runs };
        out.orders(CallPurpose::Leader(self.token, leader_call), address, token, shift, orders);
    }

    /// Tells the machines of gangs that are to end, all at once.
    pub(super) fn tell_urgent(&mut self, now: Duration, out: &mut EffectSink) {
        for host in std::mem::take(&mut self.ledger.urgent) {
            self.tell(now, &host, out);
        }
    }

    /// Kills what was cancelled, without waiting for the workers' reports.
    pub(super) fn tell_kills(&mut self, now: Duration, out: &mut EffectSink) {
        let hosts: BTreeSet<MachineName> = self
            .ledger
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == Phase::Cancelled && e.placed > 0)
            .flat_map(|(_, e)| self.ledger.placements(e))
            .filter(|a| !a.kill_told)
            .map(|a| a.host.clone())
            .collect();
        for host in hosts {
            self.tell(now, &host, out);
        }
    }
}
