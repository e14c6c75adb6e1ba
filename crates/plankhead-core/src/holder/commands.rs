//! The commands that a holder sends to the workers of its shards.

use super::{Holder, HolderEvidence, ShardEpoch};
use crate::calls::{CallPurpose, HolderCall};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::protocol::{
    CommandReply, EffectKind, ExpectedEffect, Heartbeat, MachineName, TaskId, TaskStatus, WorkerCommand,
};
use plankhead_sharding::read_times::ReadTimes;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of commands in one answer to a worker, whose lines must stay below 64 KiB.
pub(super) const MAX_COMMANDS: usize = 300;

/// The leader's commands for a machine in one incarnation of its worker.
#[derive(Debug)]
pub(super) struct PendingCommands {
    pub shard: ShardId,
    pub incarnation: u64,
    /// Commands that the worker's heartbeats have not shown to be carried out yet.
    pub pending: Vec<WorkerCommand>,
    /// The expected effects of the commands already sent directly to the worker, which are not sent
    /// directly again.
    sent: BTreeSet<ExpectedEffect>,
}

impl PendingCommands {
    pub fn new(shard: &ShardId, incarnation: u64) -> Self {
        Self { shard: shard.clone(), incarnation, pending: Vec::new(), sent: BTreeSet::new() }
    }
}

impl Holder {
    /// Sends starts and kills directly to a worker instead of waiting for its next heartbeat. Each one
    /// is sent directly only once; the answers to heartbeats repeat those that were lost.
    pub(super) fn send_commands(
        &mut self,
        now: Duration,
        name: &MachineName,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let read_times = self.read_times(evidence);
        let Some(epoch) = self.shard_of.get(name).and_then(|shard| self.epoch(shard, now)) else { return };
        let Some(machine) = self.fleet.machines.get(name) else { return };
        let Some(incarnation) = machine.incarnation().filter(|_| machine.takes_commands()) else { return };
        let mut commands: Vec<WorkerCommand> = self.unsent_commands(machine, read_times, now);
        commands.truncate(MAX_COMMANDS);
        if commands.is_empty() {
            return;
        }
        let has_starts = commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. }));
        let Some(shard) = self.shard_of.get(name) else { return };
        let entry =
            self.commands.entry(name.clone()).or_insert_with(|| PendingCommands::new(shard, incarnation));
        entry.sent.extend(commands.iter().filter_map(WorkerCommand::expected_effect));
        let Some(machine) = self.fleet.machines.get_mut(name) else { return };
        let (address, token) = machine.begin_command(epoch, has_starts);
        let call = HolderCall::SendCommands { machine: name.clone() };
        effects.send_commands(CallPurpose::Holder(call), address, token, incarnation, commands);
    }

    /// Returns the starts and kills that are still to be sent directly to the worker. All others are
    /// sent only with the answers to its heartbeats: starts if the process is short of CPU time or a
    /// kill of the same attempt is due, and kills of attempts that the latest heartbeat does not list.
    fn unsent_commands(&self, machine: &Machine, read_times: ReadTimes, now: Duration) -> Vec<WorkerCommand> {
        let commands = self.commands_for(&machine.name, read_times, now);
        let sent = self.commands.get(&machine.name).map(|entry| &entry.sent);
        let effects: Vec<ExpectedEffect> =
            commands.iter().filter_map(WorkerCommand::expected_effect).collect();
        let is_unsent = |command: &WorkerCommand| {
            let Some(effect) = command.expected_effect() else { return false };
            let is_due = match effect.kind {
                EffectKind::Started => {
                    let kill = ExpectedEffect { kind: EffectKind::Stopped, ..effect.clone() };
                    !self.cpu_starved && !effects.contains(&kill)
                }
                EffectKind::Stopped => machine.lists_attempt(&effect.task, effect.attempt),
            };
            is_due && sent.is_none_or(|sent| !sent.contains(&effect))
        };
        commands.into_iter().filter(is_unsent).collect()
    }

    /// Returns the commands that are due for a machine, according to its latest heartbeat.
    pub(super) fn commands_for(
        &self,
        name: &MachineName,
        read_times: ReadTimes,
        now: Duration,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(name) else { return Vec::new() };
        let Some(heartbeat) = &machine.last_heartbeat else { return Vec::new() };
        let entry = self.commands.get(name).filter(|entry| entry.incarnation == heartbeat.incarnation);
        let is_due = |command: &&WorkerCommand| match command {
            WorkerCommand::Run { task, attempt } => {
                read_times.may_relay_starts(now)
                    && !self.jobs.is_cancelled(&task.job)
                    && !machine.lists_attempt(task, *attempt)
            }
            WorkerCommand::Kill { .. } | WorkerCommand::Acknowledge { .. } => true,
        };
        let pending = entry.into_iter().flat_map(|entry| &entry.pending);
        let mut commands: Vec<WorkerCommand> = pending.filter(is_due).cloned().collect();
        self.add_kills_for_cancelled_jobs(heartbeat, &mut commands);
        commands
    }

    /// Adds a kill for each task of a cancelled job that has not exited and for which `commands` contains none yet.
    fn add_kills_for_cancelled_jobs(&self, heartbeat: &Heartbeat, commands: &mut Vec<WorkerCommand>) {
        for listed in heartbeat.tasks.iter() {
            if matches!(listed.status, TaskStatus::Exited(_)) || !self.jobs.is_cancelled(&listed.task.job) {
                continue;
            }
            let is_killed = commands.iter().any(|command| {
                matches!(command, WorkerCommand::Kill { task, attempt, .. }
                    if *task == listed.task && *attempt == listed.attempt)
            });
            if !is_killed {
                let (task, attempt) = (listed.task.clone(), listed.attempt);
                commands.push(WorkerCommand::Kill { task, attempt, grace: Duration::ZERO });
            }
        }
    }

    /// Drops the pending commands that the heartbeat shows to have been carried out, or all of them if
    /// they are for another incarnation of the worker.
    pub(super) fn drop_completed_commands(&mut self, heartbeat: &Heartbeat) {
        let Some(entry) = self.commands.get_mut(&heartbeat.machine) else { return };
        if entry.incarnation != heartbeat.incarnation {
            self.commands.remove(&heartbeat.machine);
            return;
        }
        let status_of = |task: &TaskId, attempt: u64| {
            let listed =
                heartbeat.tasks.iter().find(|listed| listed.task == *task && listed.attempt == attempt);
            listed.map(|listed| listed.status)
        };
        entry.pending.retain(|command| match command {
            WorkerCommand::Run { task, attempt } => status_of(task, *attempt).is_none(),
            WorkerCommand::Kill { task, attempt, .. } => {
                !matches!(status_of(task, *attempt), Some(TaskStatus::Exited(_)))
            }
            WorkerCommand::Acknowledge { task, attempt } => status_of(task, *attempt).is_some(),
        });
    }

    /// Handles a worker's reply to commands that were sent directly to it.
    pub fn handle_command_reply(
        &mut self,
        now: Duration,
        name: MachineName,
        reply: CommandReply,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&name) else { return };
        machine.end_command(&reply);
        if !matches!(reply, CommandReply::Answered(_)) {
            self.status.unreported.insert(name.clone());
        }
        let shard_epoch = self.shard_epoch_of(&name, now);
        if let (CommandReply::Answered(heartbeat), Some(shard_epoch)) = (reply, shard_epoch) {
            // A token above this node's epoch shows that another node answers the machine by now. The
            // heartbeat is ignored, and the shard's record will show the new holder.
            if heartbeat.machine == name && heartbeat.token <= shard_epoch.epoch {
                self.observe_machine(now, &heartbeat, shard_epoch, true);
            }
        }
        self.send_commands(now, &name, evidence, effects);
    }

    fn shard_epoch_of(&self, name: &MachineName, now: Duration) -> Option<ShardEpoch> {
        let shard = self.shard_of.get(name)?;
        Some(ShardEpoch { shard: shard.clone(), epoch: self.epoch(shard, now)? })
    }

    /// Sends kills for the tasks of cancelled jobs directly, without waiting for the workers'
    /// heartbeats.
    pub(super) fn kill_cancelled(
        &mut self,
        now: Duration,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let has_cancelled_task = |machine: &&Machine| {
            let tasks = machine.last_heartbeat.as_ref().map(|heartbeat| &heartbeat.tasks);
            tasks.is_some_and(|tasks| tasks.iter().any(|listed| self.jobs.is_cancelled(&listed.task.job)))
        };
        let machines = self.fleet.machines.values().filter(has_cancelled_task);
        let names: Vec<MachineName> = machines.map(|machine| machine.name.clone()).collect();
        for name in names {
            self.send_commands(now, &name, evidence, effects);
        }
    }

    /// Probes machines whose heartbeats are late, with a message that contains no commands.
    pub(super) fn probe_late_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.cpu_starved {
            return;
        }
        for name in self.fleet.machines_to_probe(now, self.settings.heartbeat_timeout(), |_| true) {
            let Some(epoch) = self.shard_of.get(&name).and_then(|shard| self.epoch(shard, now)) else {
                continue;
            };
            let Some(machine) = self.fleet.machines.get_mut(&name) else { continue };
            let Some(incarnation) = machine.incarnation() else { continue };
            let (address, token) = machine.begin_command(epoch, false);
            let purpose = CallPurpose::Holder(HolderCall::SendCommands { machine: name });
            effects.send_commands(purpose, address, token, incarnation, Vec::new());
        }
    }
}
