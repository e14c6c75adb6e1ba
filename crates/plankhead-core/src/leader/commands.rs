//! Commands for workers: which are due, and those that are sent without waiting for a
//! heartbeat.

use super::Leader;
use crate::calls::{CallPurpose, LeaderCall};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::jobs::job::JobPhase;
use crate::jobs::job_table::JobEntry;
use crate::protocol::{Heartbeat, LogLevel, MachineName, ReportedTask, TaskId, TaskStatus, WorkerCommand};
use crate::requests::RequestHandler;
use plankhead_reachability::permission::Action;
use std::collections::BTreeSet;
use std::time::Duration;

/// Commands in one answer to a worker: its lines must stay below 64 KiB.
const MAX_COMMANDS_PER_ANSWER: usize = 300;
/// The most grace that a task has to checkpoint.
const MAX_CHECKPOINT_GRACE: Duration = Duration::from_secs(10);

impl Leader {
    /// The commands for a machine, by its newest heartbeat.
    pub(super) fn commands_for(
        &self,
        now: Duration,
        machine_name: &MachineName,
        requests: &RequestHandler,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(machine_name) else { return Vec::new() };
        let Some(heartbeat) = &machine.last_heartbeat else { return Vec::new() };
        let mut commands = Vec::new();
        let may_acknowledge = self.permits(Action::AcknowledgeEnds, now);
        let may_kill = self.permits(Action::Kill, now);
        for ReportedTask { task, attempt, status } in heartbeat.tasks.iter() {
            let attempt = *attempt;
            if matches!(status, TaskStatus::Exited(_)) {
                // A direct `run` under way would start a forgotten attempt anew.
                let unconfirmed = machine.has_unconfirmed_start(task, attempt);
                let over = !self.job_table.jobs.contains_key(&task.job) && requests.is_ended(&task.job);
                if may_acknowledge && !unconfirmed && (over || self.job_table.may_acknowledge(task, attempt))
                {
                    commands.push(WorkerCommand::Acknowledge { task: task.clone(), attempt });
                }
            } else if let Some(grace) =
                self.kill_grace(machine_name, task, attempt, requests).filter(|_| may_kill)
            {
                commands.push(WorkerCommand::Kill { task: task.clone(), attempt, grace });
            }
        }
        commands.extend(self.unreported_gang_tasks(now, machine, heartbeat));
        commands.extend(
            self.due_starts(now, machine).map(|(task, attempt)| WorkerCommand::Run { task, attempt }),
        );
        commands.truncate(MAX_COMMANDS_PER_ANSWER);
        commands
    }

    /// Whether a reported attempt must be stopped, and its grace to checkpoint.
    fn kill_grace(
        &self,
        machine_name: &MachineName,
        task: &TaskId,
        attempt: u64,
        requests: &RequestHandler,
    ) -> Option<Duration> {
        let Some(entry) = self.job_table.jobs.get(&task.job) else {
            return requests.is_ended(&task.job).then_some(Duration::ZERO);
        };
        match self.job_table.attempt(task) {
            Some(a) if a.number == attempt && a.machine == *machine_name => {
                (a.stop_requested || entry.phase != JobPhase::Active).then(|| self.checkpoint_grace(task))
            }
            _ => Some(Duration::ZERO),
        }
    }

    /// The grace that a stopped task has to checkpoint, if that is of use.
    fn checkpoint_grace(&self, task: &TaskId) -> Duration {
        let Some(entry) = self.job_table.jobs.get(&task.job) else { return Duration::ZERO };
        // A gang that lost a task checkpoints nothing any more.
        let checkpoints = entry.phase == JobPhase::Active
            && entry.spec.checkpoint_interval_s > 0.0
            && !entry.is_gang_broken();
        let checkpoint = Duration::from_secs_f64(entry.spec.checkpoint_duration_s.min(3600.0));
        if checkpoints && checkpoint <= MAX_CHECKPOINT_GRACE {
            MAX_CHECKPOINT_GRACE
        } else {
            Duration::ZERO
        }
    }

    /// Commands for tasks of an ending gang whose start was sent and that the worker has
    /// not reported: the start may be lost, or come yet. Commanded to run and to stop at
    /// once, the worker reports them as ended, and a late start has no effect.
    fn unreported_gang_tasks(
        &self,
        now: Duration,
        machine: &Machine,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let may_start = self.may_start_tasks(now);
        for task in self.job_table.by_machine(&machine.name).filter(|_| may_start) {
            let ending = |e: &&JobEntry| e.phase == JobPhase::Active && e.is_gang_ending();
            let found = self.job_table.jobs.get(&task.job).filter(ending).and(self.job_table.attempt(task));
            let Some(attempt) = found else { continue };
            let was_offered = attempt.offered_under_token.is_some()
                && attempt.reported_status.is_none()
                && attempt.incarnation == heartbeat.incarnation;
            let is_reported = heartbeat.tasks.iter().any(|t| t.task == *task && t.attempt == attempt.number);
            if was_offered && !is_reported {
                let number = attempt.number;
                commands.push(WorkerCommand::Run { task: task.clone(), attempt: number });
                let grace = Duration::ZERO;
                commands.push(WorkerCommand::Kill { task: task.clone(), attempt: number, grace });
            }
        }
        commands
    }

    /// Durable placements that the worker has not reported yet.
    fn due_starts<'a>(
        &'a self,
        now: Duration,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (TaskId, u64)> + 'a {
        let may_start = self.may_start_tasks(now);
        let incarnation = machine.incarnation();
        self.job_table.by_machine(&machine.name).filter_map(move |task| {
            let attempt = self.job_table.attempt(task)?;
            let live = self.job_table.jobs.get(&task.job)?.phase == JobPhase::Active;
            let due = live
                && may_start
                && Some(attempt.incarnation) == incarnation
                && attempt.reported_status.is_none()
                && !attempt.stop_requested
                && self.job_table.may_start(task);
            due.then(|| (task.clone(), attempt.number))
        })
    }

    /// Sends a machine what it should know at once: starts, each once, and
    /// kills, each once. The answers to heartbeats repeat what got lost.
    pub(super) fn send_commands(
        &mut self,
        now: Duration,
        machine_name: &MachineName,
        effects: &mut EffectSink,
    ) {
        let Some(machine) = self.fleet.machines.get(machine_name) else { return };
        if !self.is_own_machine(machine) {
            return self.mark_commands_due(machine_name);
        }
        let Some(incarnation) = machine.incarnation() else { return };
        if !machine.takes_commands() {
            return;
        }
        let was_sent = |task: &TaskId| self.job_table.attempt(task).is_some_and(|a| a.start_sent);
        // A command of its own costs several times an answer, and the answer to the next
        // heartbeat carries the same: what can wait for that gives way first.
        let starts: Vec<(TaskId, u64)> = match self.evidence.is_cpu_starved() {
            true => Vec::new(),
            false => self.due_starts(now, machine).filter(|(task, _)| !was_sent(task)).collect(),
        };
        let kills = self.due_kills(now, machine_name, incarnation);
        if starts.is_empty() && kills.is_empty() {
            return;
        }
        let mut commands = self.kill_commands(&kills);
        let token = self.token_for(machine_name);
        commands.extend(self.run_commands(&starts, token));
        if !starts.is_empty() {
            self.log_first_start(now, effects);
        }
        let Some(machine) = self.fleet.machines.get_mut(machine_name) else { return };
        let address = machine.begin_command(&starts);
        let leader_call = LeaderCall::SendCommands { machine: machine_name.clone(), incarnation, starts };
        effects.send_commands(
            CallPurpose::Leader(self.token, leader_call),
            address,
            token,
            incarnation,
            commands,
        );
    }

    /// Attempts on a machine that must be stopped and were not sent a kill yet.
    fn due_kills(&self, now: Duration, machine_name: &MachineName, incarnation: u64) -> Vec<(TaskId, u64)> {
        let may_kill = self.permits(Action::Kill, now);
        let due = |task: &TaskId| {
            let attempt = self.job_table.attempt(task)?;
            let cancelled = self.job_table.jobs.get(&task.job)?.phase == JobPhase::Cancelled;
            let due = (cancelled || attempt.stop_requested)
                && !attempt.kill_sent
                && attempt.incarnation == incarnation;
            due.then(|| (task.clone(), attempt.number))
        };
        self.job_table.by_machine(machine_name).filter(|_| may_kill).filter_map(due).collect()
    }

    /// The commands for these kills, which count as sent from now on.
    fn kill_commands(&mut self, kills: &[(TaskId, u64)]) -> Vec<WorkerCommand> {
        let mut commands = Vec::with_capacity(kills.len());
        for (task, attempt) in kills {
            let grace = self.checkpoint_grace(task);
            if let Some(attempt) = self.job_table.attempt_mut(task) {
                attempt.kill_sent = true;
            }
            commands.push(WorkerCommand::Kill { task: task.clone(), attempt: *attempt, grace });
        }
        commands
    }

    /// The commands for these starts, which count as sent from now on.
    fn run_commands(&mut self, starts: &[(TaskId, u64)], token: u64) -> Vec<WorkerCommand> {
        let mut commands = Vec::with_capacity(starts.len());
        for (task, attempt) in starts {
            if let Some(attempt) = self.job_table.attempt_mut(task) {
                attempt.start_sent = true;
                attempt.offered_under_token = attempt.offered_under_token.max(Some(token));
            }
            commands.push(WorkerCommand::Run { task: task.clone(), attempt: *attempt });
        }
        commands
    }

    /// Logs, once in a term, how long the first start took.
    pub(super) fn log_first_start(&mut self, now: Duration, effects: &mut EffectSink) {
        if !std::mem::replace(&mut self.first_start_sent, true) {
            let after = now.saturating_sub(self.started_at).as_secs_f64();
            let text = format!("first starts sent: token={} after_s={after:.3}", self.token);
            effects.log(LogLevel::Info, text);
        }
    }

    /// Notes which attempts a worker may start from now on, and under which token.
    pub(super) fn record_offered_starts(&mut self, commands: &[WorkerCommand], token: u64) {
        for command in commands {
            if let WorkerCommand::Run { task, .. } = command {
                if let Some(attempt) = self.job_table.attempt_mut(task) {
                    attempt.offered_under_token = attempt.offered_under_token.max(Some(token));
                }
            }
        }
    }

    /// Sends commands to the machines of gangs that are to end, all at once.
    pub(super) fn stop_broken_gangs(&mut self, now: Duration, effects: &mut EffectSink) {
        for machine in std::mem::take(&mut self.job_table.machines_to_stop) {
            self.send_commands(now, &machine, effects);
        }
    }

    /// Kills what was cancelled, without waiting for the workers' heartbeats.
    pub(super) fn kill_cancelled(&mut self, now: Duration, effects: &mut EffectSink) {
        let machines: BTreeSet<MachineName> = self
            .job_table
            .jobs
            .iter()
            .filter(|(_, e)| e.phase == JobPhase::Cancelled && e.placed > 0)
            .flat_map(|(_, e)| self.job_table.attempts_of(e))
            .filter(|a| !a.kill_sent)
            .map(|a| a.machine.clone())
            .collect();
        for machine in machines {
            self.send_commands(now, &machine, effects);
        }
    }
}
