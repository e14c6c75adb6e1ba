//! Commands that a holder passes on to its workers.

use super::{Holder, HolderEvidence, ShardEpoch};
use crate::calls::{CallPurpose, HolderCall, SentCommands};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::protocol::{
    CommandReply, EffectKind, ExpectedEffect, Heartbeat, MachineName, TaskId, TaskStatus, WorkerCommand,
};
use plankhead_sharding::read_times::ReadTimes;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Commands in one answer to a worker: its lines must stay below 64 KiB.
const MAX_COMMANDS: usize = 300;

/// What the leader commands a machine in one incarnation of its worker.
#[derive(Debug)]
pub(super) struct PendingCommands {
    pub shard: ShardId,
    pub incarnation: u64,
    pub pending: Vec<WorkerCommand>,
    /// The expected effects of commands that were sent directly to the worker, once each.
    sent: BTreeSet<ExpectedEffect>,
}

impl PendingCommands {
    pub fn new(shard: &ShardId, incarnation: u64) -> Self {
        Self { shard: shard.clone(), incarnation, pending: Vec::new(), sent: BTreeSet::new() }
    }
}

impl Holder {
    /// Sends a machine directly what should not wait for its heartbeat: each start and each
    /// kill once. The answers to heartbeats repeat what got lost.
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
        let commands: Vec<WorkerCommand> = self.unsent_commands(machine, read_times, now);
        if commands.is_empty() {
            return;
        }
        let start = |command: &WorkerCommand| match command {
            WorkerCommand::Run { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        };
        let starts: Vec<(TaskId, u64)> = commands.iter().filter_map(start).collect();
        let Some(shard) = self.shard_of.get(name) else { return };
        let known =
            self.commands.entry(name.clone()).or_insert_with(|| PendingCommands::new(shard, incarnation));
        known.sent.extend(commands.iter().filter_map(WorkerCommand::expected_effect));
        let Some(machine) = self.fleet.machines.get_mut(name) else { return };
        let address = machine.begin_command(&starts);
        let call = HolderCall::SendCommands(SentCommands { machine: name.clone(), incarnation, starts });
        effects.send_commands(CallPurpose::Holder(call), address, epoch, incarnation, commands);
    }

    /// Starts and kills that were not sent directly to the worker yet. A start with a kill
    /// of the same attempt goes with the answer to a heartbeat only.
    fn unsent_commands(&self, machine: &Machine, read_times: ReadTimes, now: Duration) -> Vec<WorkerCommand> {
        let commands = self.commands_for(&machine.name, read_times, now);
        let sent = self.commands.get(&machine.name).map(|known| &known.sent);
        let effects: Vec<ExpectedEffect> =
            commands.iter().filter_map(WorkerCommand::expected_effect).collect();
        let is_unsent = |command: &WorkerCommand| {
            let Some(effect) = command.expected_effect() else { return false };
            let is_due = match effect.kind {
                EffectKind::Started => {
                    let kill = ExpectedEffect { kind: EffectKind::Stopped, ..effect.clone() };
                    !self.cpu_starved && !effects.contains(&kill)
                }
                EffectKind::Stopped => machine.lists(&effect.task, effect.attempt),
            };
            is_due && sent.is_none_or(|sent| !sent.contains(&effect))
        };
        commands.into_iter().filter(is_unsent).collect()
    }

    /// Commands for a machine, by its latest heartbeat.
    pub(super) fn commands_for(
        &self,
        name: &MachineName,
        read_times: ReadTimes,
        now: Duration,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(name) else { return Vec::new() };
        let Some(heartbeat) = &machine.last_heartbeat else { return Vec::new() };
        let known = self.commands.get(name).filter(|known| known.incarnation == heartbeat.incarnation);
        let is_due = |command: &&WorkerCommand| match command {
            WorkerCommand::Run { task, attempt } => {
                read_times.may_relay_starts(now)
                    && !self.jobs.is_cancelled(&task.job)
                    && !machine.lists(task, *attempt)
            }
            WorkerCommand::Kill { .. } => true,
            WorkerCommand::Acknowledge { task, attempt } => !machine.has_unconfirmed_start(task, *attempt),
        };
        let pending = known.into_iter().flat_map(|known| &known.pending);
        let mut commands: Vec<WorkerCommand> = pending.filter(is_due).cloned().collect();
        self.add_kills_of_cancelled(heartbeat, &mut commands);
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Adds kills of listed tasks whose jobs are cancelled, where the leader has not sent one.
    fn add_kills_of_cancelled(&self, heartbeat: &Heartbeat, commands: &mut Vec<WorkerCommand>) {
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

    /// Drops commands that the heartbeat shows to be carried out.
    pub(super) fn drop_carried_out(&mut self, heartbeat: &Heartbeat) {
        let Some(known) = self.commands.get_mut(&heartbeat.machine) else { return };
        if known.incarnation != heartbeat.incarnation {
            self.commands.remove(&heartbeat.machine);
            return;
        }
        let status_of = |task: &TaskId, attempt: u64| {
            let listed =
                heartbeat.tasks.iter().find(|listed| listed.task == *task && listed.attempt == attempt);
            listed.map(|listed| listed.status)
        };
        known.pending.retain(|command| match command {
            WorkerCommand::Run { task, attempt } => status_of(task, *attempt).is_none(),
            WorkerCommand::Kill { task, attempt, .. } => {
                !matches!(status_of(task, *attempt), Some(TaskStatus::Exited(_)))
            }
            WorkerCommand::Acknowledge { task, attempt } => status_of(task, *attempt).is_some(),
        });
    }

    /// Handles a worker's reply to commands that were sent directly to it.
    pub fn command_reply(
        &mut self,
        now: Duration,
        sent: SentCommands,
        reply: CommandReply,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let SentCommands { machine: name, incarnation, starts } = sent;
        let Some(machine) = self.fleet.machines.get_mut(&name) else { return };
        machine.end_command(incarnation, &starts, &reply);
        if !matches!(reply, CommandReply::Answered(_)) {
            self.status.unreported.insert(name.clone());
        }
        let shard_epoch = self.shard_epoch_of(&name, now);
        if let (CommandReply::Answered(heartbeat), Some(shard_epoch)) = (reply, shard_epoch) {
            // A later token: another node holds the shard, and the record will say so.
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

    /// Kills tasks of cancelled jobs, without waiting for the workers' heartbeats.
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

    /// Probes machines whose heartbeats are late.
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
            let address = machine.begin_command(&[]);
            let sent = SentCommands { machine: name, incarnation, starts: Vec::new() };
            let purpose = CallPurpose::Holder(HolderCall::SendCommands(sent));
            effects.send_commands(purpose, address, epoch, incarnation, Vec::new());
        }
    }
}
