//! What a holder tells its workers.

use super::{Commands, Held, Holder, HolderEvidence, SentCommands, ShardEpoch, MAX_ORDERS, ORDERS_LIFE};
use crate::calls::{CallPurpose, HolderCall};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::leadership::LeaderId;
use crate::protocol::{CommandReply, Heartbeat, LogLevel, MachineName, TaskId, TaskStatus, WorkerCommand};
use crate::shards::messages::{LeaderCommands, MachineCommands};
use plankhead_sharding::freshness::Freshness;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

impl Holder {
    /// Takes in what the leader orders; false: it is not meant for this node, or over.
    pub fn handle_leader_commands(
        &mut self,
        now: Duration,
        message: LeaderCommands,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) -> bool {
        let known = self.leader.as_ref().map_or(0, |leader| leader.token);
        let sent = self.sent_messages.iter().find(|(sequence, _)| *sequence == message.acknowledged);
        let late = sent.is_none_or(|(_, at)| now.saturating_sub(*at) > ORDERS_LIFE);
        let number = (message.token, message.stamp.sequence);
        if late || message.token < known || number <= self.latest_leader_message {
            self.refused += 1;
            return false;
        }
        let leader = LeaderId { token: message.token, host: message.host.clone() };
        self.set_leader(Some(leader), now);
        self.drop_superseded_shards(&message, effects);
        for (shard, epoch) in &message.shards {
            // A record that this node has not read yet, or that another has replaced.
            let held = self.shards.get(shard);
            if held.is_none_or(|held| held.epoch != *epoch || held.term != message.token) {
                self.refused += 1;
                return false;
            }
        }
        self.latest_leader_message = number;
        message.removed.iter().for_each(|host| self.forget(host));
        let named: BTreeSet<&ShardId> = message.shards.iter().map(|(shard, _)| shard).collect();
        let snapshot: Vec<&Heartbeat> = message.snapshot.iter().collect();
        for heartbeat in snapshot {
            self.observe_snapshot(now, heartbeat, &named);
        }
        for MachineCommands { machine: host, shard, incarnation, commands: orders } in message.machines {
            // A machine may not have been heard here yet: its commands wait for its report.
            let Some((shard, _)) = message.shards.get(shard) else {
                self.refused += 1;
                continue;
            };
            let commands =
                self.commands.entry(host.clone()).or_insert_with(|| Commands::new(shard, incarnation));
            if commands.incarnation != incarnation || commands.shard != *shard {
                *commands = Commands::new(shard, incarnation);
            }
            commands.pending = orders;
            self.send_commands(now, &host, evidence, effects);
        }
        true
    }

    /// Shards that the leader takes others to hold. Their records say so, too; who can't read
    /// them acts no more all the same.
    fn drop_superseded_shards(&mut self, message: &LeaderCommands, effects: &mut EffectSink) {
        let listed = |shard: &ShardId, epoch: u64| message.shards.contains(&(shard.clone(), epoch));
        let replaced = |(shard, held): &(&ShardId, &Held)| {
            held.epoch < message.latest_epoch && !listed(shard, held.epoch)
        };
        let replaced: Vec<(ShardId, u64)> =
            self.shards.iter().filter(replaced).map(|(shard, held)| (shard.clone(), held.epoch)).collect();
        for (shard, epoch) in replaced {
            if self.superseded.insert(shard.clone(), epoch) != Some(epoch) {
                effects.log(
                    LogLevel::Info,
                    format!("shard {shard} is somebody else's: {} says so", message.host),
                );
            }
        }
    }

    /// What the leader knows of a machine in a shard that came to this node: enough to send
    /// commands, and no sign of life.
    fn observe_snapshot(&mut self, now: Duration, heartbeat: &Heartbeat, named: &BTreeSet<&ShardId>) {
        let known = self.fleet.machines.contains_key(&heartbeat.machine);
        let shard = named.iter().find(|shard| {
            let of = self.shards.contains_key(**shard) && *shard.zone == *heartbeat.zone;
            of && ShardId::of(&heartbeat.zone, &heartbeat.machine, self.shards_of_zone(&shard.zone))
                == ***shard
        });
        if let Some(shard) = shard.filter(|_| !known) {
            let epoch = self.shards.get(*shard).map_or(0, |held| held.epoch);
            let shard_epoch = ShardEpoch { shard: (*shard).clone(), epoch };
            self.observe_machine(now, heartbeat, shard_epoch, false);
            self.unreported.remove(&heartbeat.machine);
        }
    }

    /// Sends a machine what it should hear at once: each start and each kill once. The
    /// answers to reports repeat what got lost.
    pub(super) fn send_commands(
        &mut self,
        now: Duration,
        host: &MachineName,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let evidence = self.freshness(evidence);
        let Some(epoch) = self.shard_of.get(host).and_then(|shard| self.epoch(shard, now)) else { return };
        let Some(machine) = self.fleet.machines.get(host) else { return };
        let Some(incarnation) = machine.incarnation().filter(|_| machine.takes_commands()) else { return };
        let orders: Vec<WorkerCommand> = self.unsent_commands(machine, evidence, now);
        if orders.is_empty() {
            return;
        }
        let run = |order: &WorkerCommand| match order {
            WorkerCommand::Run { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        };
        let starts: Vec<(TaskId, u64)> = orders.iter().filter_map(run).collect();
        let Some(shard) = self.shard_of.get(host).cloned() else { return };
        let commands =
            self.commands.entry(host.clone()).or_insert_with(|| Commands::new(&shard, incarnation));
        commands.sent.extend(orders.iter().filter_map(WorkerCommand::expected_effect));
        let Some(machine) = self.fleet.machines.get_mut(host) else { return };
        let address = machine.begin_command(&starts);
        let call = HolderCall::SendCommands { machine: host.clone(), incarnation, starts };
        effects.send_commands(CallPurpose::Holder(call), address, epoch, incarnation, orders);
    }

    /// Starts and kills that were not sent straight to the worker yet. A start with a kill
    /// of the same attempt goes with the answer to a report only.
    fn unsent_commands(&self, machine: &Machine, evidence: Freshness, now: Duration) -> Vec<WorkerCommand> {
        let orders = self.commands_for(&machine.name, evidence, now);
        let told = self.commands.get(&machine.name).map(|commands| &commands.sent);
        let asked: Vec<(TaskId, u64, bool)> =
            orders.iter().filter_map(WorkerCommand::expected_effect).collect();
        let direct = |order: &WorkerCommand| {
            let Some(key) = order.expected_effect() else { return false };
            let both = key.2 && asked.contains(&(key.0.clone(), key.1, false));
            let listed = machine.lists(&key.0, key.1);
            let due = if key.2 { !self.cpu_starved && !both } else { listed };
            due && told.is_none_or(|told| !told.contains(&key))
        };
        orders.into_iter().filter(direct).collect()
    }

    /// Commands for a machine, by its newest report.
    pub(super) fn commands_for(
        &self,
        host: &MachineName,
        evidence: Freshness,
        now: Duration,
    ) -> Vec<WorkerCommand> {
        let Some(machine) = self.fleet.machines.get(host) else { return Vec::new() };
        let Some(heartbeat) = &machine.last_heartbeat else { return Vec::new() };
        let ordered =
            self.commands.get(host).filter(|commands| commands.incarnation == heartbeat.incarnation);
        let due = |order: &&WorkerCommand| match order {
            WorkerCommand::Run { task, attempt } => {
                evidence.may_start(now)
                    && !self.jobs.is_cancelled(&task.job)
                    && !machine.lists(task, *attempt)
            }
            WorkerCommand::Kill { .. } => true,
            WorkerCommand::Acknowledge { task, attempt } => !machine.has_unconfirmed_start(task, *attempt),
        };
        let mut orders: Vec<WorkerCommand> =
            ordered.into_iter().flat_map(|commands| &commands.pending).filter(due).cloned().collect();
        for listed in heartbeat.tasks.iter().filter(|listed| !matches!(listed.status, TaskStatus::Exited(_)))
        {
            let (task, attempt) = (&listed.task, listed.attempt);
            let killed = |order: &WorkerCommand| {
                order.expected_effect().is_some_and(|(t, n, run)| !run && t == *task && n == attempt)
            };
            if self.jobs.is_cancelled(&task.job) && !orders.iter().any(killed) {
                orders.push(WorkerCommand::Kill { task: task.clone(), attempt, grace: Duration::ZERO });
            }
        }
        orders.truncate(MAX_ORDERS);
        orders
    }

    /// Drops commands that the report shows carried out.
    pub(super) fn drop_carried_out(&mut self, heartbeat: &Heartbeat) {
        let Some(commands) = self.commands.get_mut(&heartbeat.machine) else { return };
        if commands.incarnation != heartbeat.incarnation {
            self.commands.remove(&heartbeat.machine);
            return;
        }
        let seen = |task: &TaskId, attempt: u64| {
            let listed =
                heartbeat.tasks.iter().find(|listed| listed.task == *task && listed.attempt == attempt);
            listed.map(|listed| listed.status)
        };
        commands.pending.retain(|order| match order {
            WorkerCommand::Run { task, attempt } => seen(task, *attempt).is_none(),
            WorkerCommand::Kill { task, attempt, .. } => {
                !matches!(seen(task, *attempt), Some(TaskStatus::Exited(_)))
            }
            WorkerCommand::Acknowledge { task, attempt } => seen(task, *attempt).is_some(),
        });
    }

    pub fn command_reply(
        &mut self,
        now: Duration,
        SentCommands { machine: host, incarnation, starts }: SentCommands,
        reply: CommandReply,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let Some(machine) = self.fleet.machines.get_mut(&host) else { return };
        machine.end_command(incarnation, &starts, &reply);
        if !matches!(reply, CommandReply::Answered(_)) {
            self.unreported.insert(host.clone());
        }
        let of = self
            .shard_of
            .get(&host)
            .and_then(|shard| Some(ShardEpoch { shard: shard.clone(), epoch: self.epoch(shard, now)? }));
        if let (CommandReply::Answered(heartbeat), Some(of)) = (reply, of) {
            // A later token: somebody else holds the shard, and the record will say so.
            if heartbeat.machine == host && heartbeat.token <= of.epoch {
                self.observe_machine(now, &heartbeat, of, true);
            }
        }
        self.send_commands(now, &host, evidence, effects);
    }

    /// Ends tasks of cancelled jobs, without waiting for the workers' reports.
    pub(super) fn kill_cancelled(
        &mut self,
        now: Duration,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let holds = |machine: &&Machine| {
            let tasks = machine.last_heartbeat.as_ref().map(|heartbeat| &heartbeat.tasks);
            tasks.is_some_and(|tasks| tasks.iter().any(|listed| self.jobs.is_cancelled(&listed.task.job)))
        };
        let hosts: Vec<MachineName> =
            self.fleet.machines.values().filter(holds).map(|machine| machine.name.clone()).collect();
        for host in hosts {
            self.send_commands(now, &host, evidence, effects);
        }
    }

    /// Asks machines whose reports are late directly whether they are there.
    pub(super) fn probe_late_machines(&mut self, now: Duration, effects: &mut EffectSink) {
        if self.cpu_starved {
            return;
        }
        for host in self.fleet.machines_to_probe(now, self.settings.heartbeat_timeout(), |_| true) {
            let Some(epoch) = self.shard_of.get(&host).and_then(|shard| self.epoch(shard, now)) else {
                continue;
            };
            let Some(machine) = self.fleet.machines.get_mut(&host) else { continue };
            let Some(incarnation) = machine.incarnation() else { continue };
            let address = machine.begin_command(&[]);
            let call = HolderCall::SendCommands { machine: host, incarnation, starts: Vec::new() };
            effects.send_commands(CallPurpose::Holder(call), address, epoch, incarnation, Vec::new());
        }
    }
}
