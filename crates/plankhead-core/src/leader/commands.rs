//! Commands for workers: those returned with the response to a heartbeat, and those sent directly
//! without waiting for a heartbeat.

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

/// The maximum number of commands in one response to a worker, which keeps a response line below
/// 64 KiB.
pub(super) const MAX_COMMANDS_PER_RESPONSE: usize = 300;
/// The longest grace period that a stopped task gets to write a checkpoint.
const MAX_CHECKPOINT_GRACE: Duration = Duration::from_secs(10);

impl Leader {
    /// Returns the commands that a machine needs, given its latest heartbeat.
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
                let job_ended = !self.job_table.jobs.contains_key(&task.job) && requests.is_ended(&task.job);
                if may_acknowledge && (job_ended || self.job_table.may_acknowledge(task, attempt)) {
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
        commands
    }

    /// Returns the grace period for a checkpoint if a reported attempt must be stopped, or `None`
    /// if it may go on.
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

    /// Returns the time that a stopped task gets to write a checkpoint; zero if a checkpoint would
    /// not help or takes too long.
    fn checkpoint_grace(&self, task: &TaskId) -> Duration {
        let Some(entry) = self.job_table.jobs.get(&task.job) else { return Duration::ZERO };
        // A gang that has lost a task can no longer write a checkpoint.
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

    /// Returns commands for the tasks of a stopping gang that this worker was told to start but has
    /// not reported.
    ///
    /// The start command may be lost or still in flight. A start followed immediately by a kill
    /// makes the worker report the attempt as exited, after which a late start has no effect.
    fn unreported_gang_tasks(
        &self,
        now: Duration,
        machine: &Machine,
        heartbeat: &Heartbeat,
    ) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let may_start = self.may_start_tasks(now);
        for task in self.job_table.by_machine(&machine.name).filter(|_| may_start) {
            let is_ending = |e: &&JobEntry| e.phase == JobPhase::Active && e.is_gang_ending();
            let found =
                self.job_table.jobs.get(&task.job).filter(is_ending).and(self.job_table.attempt(task));
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

    /// Returns the attempts that the worker should start: their placements are durable, and no
    /// heartbeat has reported them yet.
    fn due_starts<'a>(
        &'a self,
        now: Duration,
        machine: &'a Machine,
    ) -> impl Iterator<Item = (TaskId, u64)> + 'a {
        let may_start = self.may_start_tasks(now);
        let incarnation = machine.incarnation();
        self.job_table.by_machine(&machine.name).filter_map(move |task| {
            let attempt = self.job_table.attempt(task)?;
            let is_active = self.job_table.jobs.get(&task.job)?.phase == JobPhase::Active;
            let due = is_active
                && may_start
                && Some(attempt.incarnation) == incarnation
                && attempt.reported_status.is_none()
                && !attempt.stop_requested
                && self.job_table.may_start(task);
            due.then(|| (task.clone(), attempt.number))
        })
    }

    /// Sends a machine its due starts and kills directly, each of them once. Responses to later
    /// heartbeats repeat any that were lost.
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
        // A direct command costs several times as much as a heartbeat response. When CPU is short,
        // starts wait for the response to the next heartbeat, which carries them as well.
        let starts: Vec<(TaskId, u64)> = match self.evidence.is_cpu_starved() {
            true => Vec::new(),
            false => self.due_starts(now, machine).filter(|(task, _)| !was_sent(task)).collect(),
        };
        let kills = self.due_kills(now, machine_name, incarnation);
        if starts.is_empty() && kills.is_empty() {
            return;
        }
        let mut commands = self.kill_commands(&kills);
        let base_token = self.token_for(machine_name);
        commands.extend(self.run_commands(&starts, base_token));
        if !starts.is_empty() {
            self.log_first_start(now, effects);
        }
        let Some(machine) = self.fleet.machines.get_mut(machine_name) else { return };
        let (address, token) = machine.begin_command(base_token, !starts.is_empty());
        let leader_call = LeaderCall::SendCommands { machine: machine_name.clone() };
        effects.send_commands(
            CallPurpose::Leader(self.token, leader_call),
            address,
            token,
            incarnation,
            commands,
        );
    }

    /// Returns the attempts on a machine that must be stopped and have not been sent a kill yet.
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

    /// Builds the commands for these kills and marks them as sent.
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

    /// Builds the commands for these starts and marks them as sent under this base token.
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

    /// Logs, once per term, the time from the beginning of the term to the first start command.
    pub(super) fn log_first_start(&mut self, now: Duration, effects: &mut EffectSink) {
        if !std::mem::replace(&mut self.first_start_sent, true) {
            let after = now.saturating_sub(self.started_at).as_secs_f64();
            let text = format!("first starts sent: token={} after_s={after:.3}", self.token);
            effects.log(LogLevel::Info, text);
        }
    }

    /// Records which attempts the worker is told to start, and under which base token.
    pub(super) fn record_offered_starts(&mut self, commands: &[WorkerCommand], token: u64) {
        for command in commands {
            if let WorkerCommand::Run { task, .. } = command {
                if let Some(attempt) = self.job_table.attempt_mut(task) {
                    attempt.offered_under_token = attempt.offered_under_token.max(Some(token));
                }
            }
        }
    }

    /// Sends the due commands to all machines with tasks of gangs that must stop.
    pub(super) fn stop_broken_gangs(&mut self, now: Duration, effects: &mut EffectSink) {
        for machine in std::mem::take(&mut self.job_table.machines_to_stop) {
            self.send_commands(now, &machine, effects);
        }
    }

    /// Sends kills for the tasks of cancelled jobs without waiting for the workers' heartbeats.
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
