//! Commands for machines that the leader sends to the holders of their shards.

use super::super::commands::MAX_COMMANDS_PER_RESPONSE;
use super::super::Leader;
use super::{Peer, SentCommands, ShardHolder};
use crate::calls::{CallPurpose, LeaderCall, SentShardCommands};
use crate::effects::EffectSink;
use crate::fleet::Machine;
use crate::protocol::{Heartbeat, MachineName, TaskStatus, WorkerCommand};
use crate::requests::RequestHandler;
use crate::shards::messages::{
    Delivery, LeaderCommands, MachineCommands, ShardMessage, MAX_MACHINES, MAX_TASKS,
};
use plankhead_sharding::sequence::MessageStamp;
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// The pause before commands that did not arrive are sent again.
const SEND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between scans for machines whose commands may have changed although no event marked them
/// as due. For example, task ends that have become durable are to be acknowledged.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// The content of the next message to a holder.
struct DueCommands {
    /// The shards that the holder holds, with their epochs.
    shards: Vec<(ShardId, u64)>,
    /// The machines that were checked, whether or not their commands have changed.
    examined: Vec<MachineName>,
    /// The commands for machines whose commands have changed.
    machines: Vec<MachineCommands>,
    /// The shards whose machines the snapshot describes.
    newly_held: BTreeSet<ShardId>,
    /// The latest heartbeats of machines of the newly held shards.
    snapshot: Vec<Heartbeat>,
    /// The highest epoch that the leader has assigned.
    latest_epoch: u64,
}

impl Peer {
    /// Returns whether there is something to send to this holder and it may be sent now.
    fn may_send(&self, now: Duration) -> bool {
        let has_due = !self.commands_due.is_empty()
            || !self.newly_held.is_empty()
            || !self.removed.is_empty()
            || self.shard_taken;
        has_due && !self.send_in_flight && now >= self.retry_at
    }

    /// Returns whether these commands differ from those last sent to this holder for the machine.
    fn needs_commands(&self, entry: &MachineCommands) -> bool {
        match self.sent.get(&entry.machine) {
            None => !entry.commands.is_empty(),
            Some(sent) => sent.incarnation != entry.incarnation || sent.commands != entry.commands,
        }
    }

    /// Removes the content of a message from what is due, and returns it so that it can become due again if
    /// the message does not arrive.
    fn take_due(&mut self, due: &DueCommands) -> SentShardCommands {
        self.commands_due.retain(|name| !due.examined.contains(name));
        self.newly_held.retain(|shard| !due.newly_held.contains(shard));
        SentShardCommands {
            machines: due.machines.iter().map(|entry| entry.machine.clone()).collect(),
            newly_held: due.newly_held.clone(),
            removed: std::mem::take(&mut self.removed).into_iter().collect(),
            shard_taken: std::mem::take(&mut self.shard_taken),
        }
    }

    /// Records that a message with these commands is being sent.
    fn record_sent(&mut self, machines: &[MachineCommands]) {
        self.send_in_flight = true;
        for MachineCommands { machine, incarnation, commands, .. } in machines {
            let sent = SentCommands { incarnation: *incarnation, commands: commands.clone() };
            self.sent.insert(machine.clone(), sent);
        }
    }
}

/// Returns whether the commands for a machine start any task.
fn has_starts(machine: &MachineCommands) -> bool {
    machine.commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. }))
}

impl Leader {
    /// Marks the commands for a machine as due to its holder, since they may have changed.
    pub(in crate::leader) fn mark_commands_due(&mut self, name: &MachineName) {
        let machine = self.fleet.machines.get(name);
        let holder = machine.and_then(|machine| self.holder_of(machine));
        let Some(ShardHolder { node, .. }) = holder else { return };
        if let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(&node)) {
            peer.commands_due.insert(name.clone());
        }
    }

    /// Periodically marks commands as due for machines that report ended attempts or have placed tasks,
    /// since their commands may change without any other event that marks them.
    pub(super) fn refresh_due_commands(&mut self, now: Duration) {
        let Some(shards) = self.shards.as_mut().filter(|shards| now >= shards.next_refresh_at) else {
            return;
        };
        shards.next_refresh_at = now + REFRESH_INTERVAL;
        let may_have_commands = |machine: &&Machine| {
            let heartbeat = machine.last_heartbeat.as_ref();
            let has_exited = heartbeat.is_some_and(|heartbeat| {
                heartbeat.tasks.iter().any(|task| matches!(task.status, TaskStatus::Exited(_)))
            });
            has_exited || self.job_table.by_machine(&machine.name).next().is_some()
        };
        let machines: Vec<MachineName> = self
            .fleet
            .machines
            .values()
            .filter(may_have_commands)
            .map(|machine| machine.name.clone())
            .collect();
        machines.iter().for_each(|name| self.mark_commands_due(name));
    }

    /// Sends each holder the commands that have changed for its machines.
    pub(super) fn flush_shard_commands(
        &mut self,
        now: Duration,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Some(shards) = &self.shards else { return };
        let ready = |(_, peer): &(&String, &Peer)| peer.may_send(now);
        let ready: Vec<String> = shards.peers.iter().filter(ready).map(|(name, _)| name.clone()).collect();
        for holder in ready {
            self.send_shard_commands(now, &holder, requests, effects);
        }
    }

    /// Sends a holder its next message, unless there is nothing to send.
    fn send_shard_commands(
        &mut self,
        now: Duration,
        to: &str,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Some(due) = self.gather_due_commands(now, to, requests) else { return };
        for MachineCommands { commands, shard, .. } in &due.machines {
            self.record_offered_starts(commands, due.shards[*shard].1);
        }
        if due.machines.iter().any(has_starts) {
            self.log_first_start(now, effects);
        }
        let Some(shards) = &mut self.shards else { return };
        shards.sequence += 1;
        let sequence = shards.sequence;
        let Some(peer) = shards.peers.get_mut(to) else { return };
        let sent = peer.take_due(&due);
        if sent.machines.is_empty() && due.snapshot.is_empty() && sent.removed.is_empty() && !sent.shard_taken
        {
            return;
        }
        peer.record_sent(&due.machines);
        let message = LeaderCommands {
            host: self.settings.host.clone(),
            stamp: MessageStamp { boot: self.settings.boot_id, sequence },
            acknowledged: peer.latest_sequence,
            latest_epoch: due.latest_epoch,
            token: self.token,
            shards: due.shards,
            machines: due.machines,
            removed: sent.removed.clone(),
            snapshot: due.snapshot,
        };
        let call = LeaderCall::SendShardCommands { to: to.to_owned(), sent };
        let message = ShardMessage::LeaderCommands(Box::new(message));
        effects.send_shard_message(CallPurpose::Leader(self.token, call), to.to_owned(), message);
    }

    /// Collects what is due to a holder, up to the limits of one message.
    fn gather_due_commands(&self, now: Duration, to: &str, requests: &RequestHandler) -> Option<DueCommands> {
        let shards = self.shards.as_ref()?;
        let held: Vec<(ShardId, u64)> = shards
            .registry
            .named_shards()
            .filter(|(_, state)| state.holder() == Some(to))
            .map(|(shard, state)| (shard.clone(), state.epoch()))
            .collect();
        let peer = shards.peers.get(to)?;
        let mut examined = Vec::new();
        let mut machines: Vec<MachineCommands> = Vec::new();
        let mut command_count = 0;
        for name in peer.commands_due.iter().take(MAX_MACHINES) {
            if command_count > MAX_TASKS {
                break;
            }
            examined.push(name.clone());
            let Some(entry) = self.machine_commands(now, name, &held, requests) else { continue };
            command_count += entry.commands.len();
            if peer.needs_commands(&entry) {
                machines.push(entry);
            }
        }
        let is_held = |shard: &&ShardId| held.iter().any(|(held_shard, _)| held_shard == *shard);
        let newly_held: BTreeSet<ShardId> = peer.newly_held.iter().filter(is_held).cloned().collect();
        let snapshot = self.snapshot(&newly_held);
        let latest_epoch = shards.registry.highest_epoch();
        Some(DueCommands { shards: held, examined, machines, newly_held, snapshot, latest_epoch })
    }

    /// Returns the commands for a machine in one of the `held` shards, or `None` if it is in another one.
    /// Commands for a shard whose holder is not named yet in this term wait until it is.
    fn machine_commands(
        &self,
        now: Duration,
        name: &MachineName,
        held: &[(ShardId, u64)],
        requests: &RequestHandler,
    ) -> Option<MachineCommands> {
        let machine = self.fleet.machines.get(name)?;
        let machine_shard = self.shard_of(machine)?;
        let shard = held.iter().position(|(shard, _)| *shard == machine_shard)?;
        let incarnation = machine.incarnation()?;
        let mut commands = self.commands_for(now, name, requests);
        commands.truncate(MAX_COMMANDS_PER_RESPONSE);
        Some(MachineCommands { machine: name.clone(), shard, incarnation, commands })
    }

    /// Returns the latest heartbeats of the machines in these shards, up to the limits of one message.
    fn snapshot(&self, shards: &BTreeSet<ShardId>) -> Vec<Heartbeat> {
        if shards.is_empty() {
            return Vec::new();
        }
        let is_in_shards =
            |machine: &&Machine| self.shard_of(machine).is_some_and(|shard| shards.contains(&shard));
        let machines = self.fleet.machines.values().filter(is_in_shards);
        let mut tasks = 0;
        let fits = |heartbeat: &Heartbeat| {
            tasks += heartbeat.tasks.len();
            tasks <= MAX_TASKS
        };
        let heartbeats = machines.filter_map(|machine| machine.last_heartbeat.clone());
        heartbeats.take(MAX_MACHINES).take_while(fits).collect()
    }

    /// Handles the outcome of a message to a holder. What was not accepted becomes due again.
    pub fn shard_commands_delivered(
        &mut self,
        now: Duration,
        to: &str,
        sent: SentShardCommands,
        delivery: Delivery,
    ) {
        let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(to)) else { return };
        peer.send_in_flight = false;
        peer.retry_at = now + self.settings.shard_message_interval();
        if delivery != Delivery::Accepted {
            peer.retry_at = now + SEND_RETRY_INTERVAL;
            for name in sent.machines {
                peer.sent.remove(&name);
                peer.commands_due.insert(name);
            }
            peer.newly_held.extend(sent.newly_held);
            peer.removed.extend(sent.removed);
            peer.shard_taken |= sent.shard_taken;
        }
    }

    /// Handles the cloud's release of a machine: the holders that know it are to forget it.
    pub(in crate::leader) fn handle_machine_removal(&mut self, name: &MachineName) {
        for peer in self.shards.iter_mut().flat_map(|shards| shards.peers.values_mut()) {
            peer.commands_due.remove(name);
            if peer.sent.remove(name).is_some() {
                peer.removed.insert(name.clone());
            }
        }
    }
}
