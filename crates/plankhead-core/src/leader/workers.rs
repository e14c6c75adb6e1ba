//! Reports of workers and orders for them.

use super::{Leader, Stage, FULL_PAUSE, MAX_LEEWAY, MAX_ORDERS};
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::{EffectSink, StepTime};
use crate::fleet::{Fleet, HeartbeatNews, Machine, RemovalReason};
use crate::jobs::job::JobPhase;
use crate::jobs::job_table::{EndedAttempt, JobEntry};
use crate::jobs::reconcile::HeartbeatOutcome;
use crate::protocol::{
    ExitReason, Heartbeat, LogLevel, MachineName, ReportedTask, Response, TaskId, TaskStatus, WorkerCommand,
};
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::collections::BTreeSet;
use std::time::Duration;

impl Leader {
    /// Whether workers may still be answered: their leases must run out before
    /// a cancellation that we could not see is due.
    ///
    /// A leader that still reads has no sight at all: the leader before may have
    /// answered without any until just now, and so may others before that. A few such
    /// takeovers in a row, each of which kept the leases for some seconds of its own,
    /// would keep a cancelled task for longer than `cancel_s`.
    pub(super) fn may_renew_leases(&self, now: Duration) -> bool {
        self.stage == Stage::Ready && self.permits(Action::KeepLeases, now)
    }

    /// Whether starts may be sent: no cancellation is likely to have been confirmed
    /// unseen. Where the state service has just failed this node, another may have.
    pub(super) fn may_start_tasks(&self, now: Duration) -> bool {
        self.permits(Action::Start, now) && self.lease_doubted_at.is_none_or(|at| at < self.jobs_synced_at)
    }

    /// Answers a report. `is_cut_off`: neither the state service nor any sibling is
    /// heard, so that somebody else may lead by now.
    pub fn handle_heartbeat(
        &mut self,
        times: StepTime,
        heartbeat: Heartbeat,
        (relayed, is_cut_off): (bool, bool),
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) -> Response {
        let now = times.now;
        self.direct_heartbeat_arrived |= !relayed;
        if !self.permits(Action::AnswerReports, now) {
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        if !self.may_renew_leases(now) || self.fleet.is_removed(&heartbeat.machine) {
            // What it tells counts all the same, and that it is there.
            self.observe_machine(times, &heartbeat, false, effects);
            return Response::Unavailable { retry_after: Duration::from_secs(1) };
        }
        let host = heartbeat.machine.clone();
        let heard = self.observe_machine(times, &heartbeat, false, effects);
        let token = self.token_for(&host);
        let commands = self.commands_for(now, &host, requests);
        let Some(machine) = self.fleet.machines.get_mut(&host).filter(|_| heard != HeartbeatNews::Stale)
        else {
            // A copy gets no orders, nor counts as heard.
            return Response::Commands { token, commands: Vec::new() };
        };
        machine.is_relayed = relayed;
        if !relayed {
            machine.last_direct_at = now;
        }
        if machine.take_redirect(is_cut_off, self.settings.worker_lease, now) {
            return Response::Redirect { leader: None };
        }
        machine.record_response(&commands, now);
        self.record_offered_starts(&commands, token);
        Response::Commands { token, commands }
    }

    /// Notes which attempts a worker may be told to run from now on, and under which token.
    pub(super) fn record_offered_starts(&mut self, commands: &[WorkerCommand], token: u64) {
        for order in commands {
            if let WorkerCommand::Run { task, .. } = order {
                if let Some(attempt) = self.job_table.attempt_mut(task) {
                    attempt.offered_under_token = attempt.offered_under_token.max(Some(token));
                }
            }
        }
    }

    /// Takes in a report; `ours`: it answers a command of ours.
    pub(super) fn observe_machine(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        ours: bool,
        effects: &mut EffectSink,
    ) -> HeartbeatNews {
        let up = |fleet: &Fleet| fleet.machines.get(&heartbeat.machine).is_some_and(Machine::is_up);
        let before = up(&self.fleet);
        let heard = match ours {
            true => self.fleet.observe_command_reply(heartbeat, self.token, times.now),
            false => self.fleet.observe_heartbeat(heartbeat, self.token, times.now),
        };
        self.pass_needed |= up(&self.fleet) != before;
        if heard != HeartbeatNews::Stale && self.stage == Stage::Ready {
            self.observe_tasks(times, heartbeat, heard, effects);
        }
        heard
    }

    /// Draws the conclusions from a new report.
    pub(super) fn observe_tasks(
        &mut self,
        times: StepTime,
        heartbeat: &Heartbeat,
        heard: HeartbeatNews,
        effects: &mut EffectSink,
    ) {
        let now = times.now;
        let HeartbeatOutcome { ended, missing } = match heard {
            HeartbeatNews::Changed => {
                self.job_table.observe_heartbeat(heartbeat, heartbeat.token >= self.token, now)
            }
            _ => Default::default(),
        };
        if missing > 0 {
            // Such an attempt is neither there nor proven gone.
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.removal.get_or_insert(RemovalReason::LostAttempts);
            }
        }
        for listed in heartbeat.tasks.iter().filter(|_| heard == HeartbeatNews::Changed) {
            // Who waits for other tasks of a gang has the image.
            if !matches!(listed.status, TaskStatus::Running | TaskStatus::WaitingForGang) {
                continue;
            }
            if let Some(spec) = self.job_table.jobs.get(&listed.task.job).map(|e| e.spec.clone()) {
                let image = self.image_number(&spec);
                self.fleet.record_image(&heartbeat.machine, image, &self.placement_index);
            }
        }
        for end in ended {
            self.attempt_ended(now, &heartbeat.machine, &end, effects);
            self.pass_needed = true;
        }
        if let Some(left) = heartbeat.preemption_notice {
            self.evacuate(now, &heartbeat.machine, left, effects);
        }
        self.stop_broken_gangs(now, effects);
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            let idle = heartbeat.tasks.iter().all(|t| matches!(t.status, TaskStatus::Exited(_)));
            match (idle && self.job_table.by_machine(&heartbeat.machine).next().is_none(), machine.idle_since)
            {
                (true, None) => {
                    machine.idle_since = Some(now);
                    self.pass_needed = true;
                }
                (false, Some(_)) => machine.idle_since = None,
                _ => {}
            }
        }
    }

    /// A machine is about to be taken: what can't end before goes elsewhere at
    /// once instead of being lost.
    pub(super) fn evacuate(
        &mut self,
        now: Duration,
        host: &MachineName,
        left: Duration,
        effects: &mut EffectSink,
    ) {
        let here: Vec<TaskId> = self.job_table.by_machine(host).cloned().collect();
        for task in here {
            let (Some(entry), Some(attempt)) =
                (self.job_table.jobs.get(&task.job), self.job_table.attempt(&task))
            else {
                continue;
            };
            let begun = attempt.running_since.unwrap_or(now);
            let ends = begun + self.estimated_runtime(&entry.spec);
            let lost = attempt.running_since.is_none() || ends > now + left;
            if attempt.reported_status.is_some() && lost {
                self.job_table.stop(&task);
            }
        }
        self.send_commands(now, host, effects);
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Duration,
        host: &MachineName,
        end: &EndedAttempt,
        effects: &mut EffectSink,
    ) {
        let Some(entry) = self.job_table.jobs.get_mut(&end.task.job) else { return };
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        match end.reason {
            Some(ExitReason::Completed) => {
                machine.consecutive_errors = 0;
                entry.consecutive_errors = 0;
                entry.failed_machines.clear();
                if let Some(ran) = end.ran.filter(|_| entry.spec.estimated_runtime_s > 0.5) {
                    let ratio = (ran.as_secs_f64() / entry.spec.estimated_runtime_s).clamp(0.2, 5.0);
                    let mean = self.runtime_ratios.entry(entry.spec.class.clone()).or_insert(1.0);
                    *mean += 0.1 * (ratio - *mean);
                }
            }
            Some(ExitReason::Failed) => {
                entry.consecutive_errors += 1;
                entry.failed_machines.insert(host.clone());
                // A job that fails on every machine is the job's fault.
                if entry.failed_machines.len() < 3 {
                    machine.consecutive_errors += 1;
                }
                let wait = Duration::from_secs(1 << entry.consecutive_errors.min(6));
                if entry.failed_machines.len() > 1 {
                    entry.backoff_until = now + wait;
                }
                effects.log(LogLevel::Debug, format!("{}/{} failed on {host}", end.task.job, end.task.index));
            }
            Some(ExitReason::InsufficientResources | ExitReason::AttemptConflict) => {
                machine.no_starts_until = now + FULL_PAUSE
            }
            Some(ExitReason::UnknownJob) => entry.backoff_until = now + Duration::from_secs(1),
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
    pub(super) fn commands_for(
        &self,
        now: Duration,
        host: &MachineName,
        requests: &RequestHandler,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(host) else { return Vec::new() };
        let Some(heartbeat) = &machine.last_heartbeat else { return Vec::new() };
        let mut commands = Vec::new();
        let (reaps, kills) = (self.permits(Action::AcknowledgeEnds, now), self.permits(Action::Kill, now));
        for ReportedTask { task, attempt, status: seen } in heartbeat.tasks.iter() {
            let attempt = *attempt;
            if matches!(seen, TaskStatus::Exited(_)) {
                // A direct `run` under way would start a forgotten attempt anew.
                let unconfirmed = machine.has_unconfirmed_start(task, attempt);
                let over = !self.job_table.jobs.contains_key(&task.job) && requests.is_ended(&task.job);
                if reaps && !unconfirmed && (over || self.job_table.may_acknowledge(task, attempt)) {
                    commands.push(WorkerCommand::Acknowledge { task: task.clone(), attempt });
                }
            } else if let Some(grace) = self.kill_grace(host, task, attempt, requests).filter(|_| kills) {
                commands.push(WorkerCommand::Kill { task: task.clone(), attempt, grace });
            }
        }
        commands.extend(self.unreported_gang_tasks(now, machine, heartbeat));
        commands.extend(
            self.due_starts(now, machine).map(|(task, attempt)| WorkerCommand::Run { task, attempt }),
        );
        commands.truncate(MAX_ORDERS);
        commands
    }

    /// Whether a listed attempt must go, and how much time it has to save.
    pub(super) fn kill_grace(
        &self,
        host: &MachineName,
        task: &TaskId,
        attempt: u64,
        requests: &RequestHandler,
    ) -> Option<Duration> {
        let Some(entry) = self.job_table.jobs.get(&task.job) else {
            return requests.is_ended(&task.job).then_some(Duration::ZERO);
        };
        match self.job_table.attempt(task) {
            Some(a) if a.number == attempt && a.machine == *host => {
                (a.stop_requested || entry.phase != JobPhase::Active).then(|| self.checkpoint_grace(task))
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// The time that a stopped task has to save, if that is of use.
    pub(super) fn checkpoint_grace(&self, task: &TaskId) -> Duration {
        let Some(entry) = self.job_table.jobs.get(&task.job) else { return Duration::ZERO };
        // A gang that lost a task saves nothing any more.
        let saves = entry.phase == JobPhase::Active
            && entry.spec.checkpoint_interval_s > 0.0
            && !entry.is_gang_broken();
        let save = Duration::from_secs_f64(entry.spec.checkpoint_duration_s.min(3600.0));
        if saves && save <= MAX_LEEWAY {
            MAX_LEEWAY
        } else {
            Duration::ZERO
        }
    }

    /// Tasks of a gang that is to end which the worker was told of and has not
    /// listed: the command may be lost, or come yet. Told to run and to stop at
    /// once, the worker lists them as ended, and a late command has no effect.
    fn unreported_gang_tasks(
        &self,
        now: Duration,
        machine: &Machine,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let sighted = self.may_start_tasks(now);
        for task in self.job_table.by_machine(&machine.name).filter(|_| sighted) {
            let ending = |e: &&JobEntry| e.phase == JobPhase::Active && e.is_gang_ending();
            let found = self.job_table.jobs.get(&task.job).filter(ending).and(self.job_table.attempt(task));
            let Some(attempt) = found else { continue };
            let told = attempt.offered_under_token.is_some()
                && attempt.reported_status.is_none()
                && attempt.incarnation == heartbeat.incarnation;
            let listed = heartbeat.tasks.iter().any(|l| l.task == *task && l.attempt == attempt.number);
            if told && !listed {
                let number = attempt.number;
                commands.push(WorkerCommand::Run { task: task.clone(), attempt: number });
                let grace = Duration::ZERO;
                commands.push(WorkerCommand::Kill { task: task.clone(), attempt: number, grace });
            }
        }
        commands
    }

    /// Durable placements that the worker has not listed yet.
    pub(super) fn due_starts<'a>(
        &'a self,
        now: Duration,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (TaskId, u64)> + 'a {
        let sighted = self.may_start_tasks(now);
        let incarnation = machine.incarnation();
        self.job_table.by_machine(&machine.name).filter_map(move |task| {
            let attempt = self.job_table.attempt(task)?;
            let live = self.job_table.jobs.get(&task.job)?.phase == JobPhase::Active;
            let due = live
                && sighted
                && Some(attempt.incarnation) == incarnation
                && attempt.reported_status.is_none()
                && !attempt.stop_requested
                && self.job_table.may_start(task);
            due.then(|| (task.clone(), attempt.number))
        })
    }

    /// Sends a machine what it should hear at once: starts, each once, and
    /// kills, each once. The answers to reports repeat what got lost.
    pub(super) fn send_commands(&mut self, now: Duration, host: &MachineName, effects: &mut EffectSink) {
        let Some(machine) = self.fleet.machines.get(host) else { return };
        if !self.is_own_machine(machine) {
            return self.mark_commands_due(host);
        }
        let Some(incarnation) = machine.incarnation() else { return };
        if !machine.takes_commands() {
            return;
        }
        let told = |t: &TaskId| self.job_table.attempt(t).is_some_and(|a| a.start_sent);
        // A command of its own costs several times an answer, and the answer to the next
        // report carries the same: what can wait for that gives way first.
        let starts: Vec<(TaskId, u64)> = match self.cpu_starved {
            true => Vec::new(),
            false => self.due_starts(now, machine).filter(|(t, _)| !told(t)).collect(),
        };
        let may_kill = self.permits(Action::Kill, now);
        let kills: Vec<(TaskId, u64)> = self
            .job_table
            .by_machine(host)
            .filter(|_| may_kill)
            .filter_map(|t| {
                let a = self.job_table.attempt(t)?;
                let cancelled = self.job_table.jobs.get(&t.job)?.phase == JobPhase::Cancelled;
                let due = (cancelled || a.stop_requested) && !a.kill_sent && a.incarnation == incarnation;
                due.then(|| (t.clone(), a.number))
            })
            .collect();
        if starts.is_empty() && kills.is_empty() {
            return;
        }
        let mut commands: Vec<WorkerCommand> = Vec::new();
        for (task, attempt) in &kills {
            let grace = self.checkpoint_grace(task);
            if let Some(a) = self.job_table.attempt_mut(task) {
                a.kill_sent = true;
            }
            commands.push(WorkerCommand::Kill { task: task.clone(), attempt: *attempt, grace });
        }
        let token = self.token_for(host);
        for (task, attempt) in &starts {
            if let Some(a) = self.job_table.attempt_mut(task) {
                (a.start_sent, a.offered_under_token) = (true, a.offered_under_token.max(Some(token)));
            }
            commands.push(WorkerCommand::Run { task: task.clone(), attempt: *attempt });
        }
        if !starts.is_empty() && !std::mem::replace(&mut self.first_start_sent, true) {
            let after = now.saturating_sub(self.started_at).as_millis();
            effects.log(LogLevel::Info, format!("first starts {after} ms after it leads"));
        }
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        let address = machine.begin_command(&starts);
        let leader_call = LeaderCall::SendCommands { machine: host.clone(), incarnation, starts };
        effects.send_commands(
            CallPurpose::Leader(self.token, leader_call),
            address,
            token,
            incarnation,
            commands,
        );
    }

    /// Tells the machines of gangs that are to end, all at once.
    pub(super) fn stop_broken_gangs(&mut self, now: Duration, effects: &mut EffectSink) {
        for host in std::mem::take(&mut self.job_table.machines_to_stop) {
            self.send_commands(now, &host, effects);
        }
    }

    /// Kills what was cancelled, without waiting for the workers' reports.
    pub(super) fn kill_cancelled(&mut self, now: Duration, effects: &mut EffectSink) {
        let hosts: BTreeSet<MachineName> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == JobPhase::Cancelled && e.placed > 0)
            .flat_map(|(_, e)| self.job_table.attempts_of(e))
            .filter(|a| !a.kill_sent)
            .map(|a| a.machine.clone())
            .collect();
        for host in hosts {
            self.send_commands(now, &host, effects);
        }
    }
}
