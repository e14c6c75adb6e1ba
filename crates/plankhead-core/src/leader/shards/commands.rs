//! Commands that the leader sends to the holders of shards, for their machines.

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

/// Until commands are repeated that did not arrive.
const SEND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How often machines are searched for commands that nothing else brings up, such as
/// acknowledgements of ends that have become durable.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// What is due to a holder, gathered before it is sent.
struct DueCommands {
    /// The shards that it holds, with their epochs.
    shards: Vec<(ShardId, u64)>,
    /// Machines looked at, whether or not their commands have changed.
    examined: Vec<MachineName>,
    /// The machines whose commands have changed.
    machines: Vec<MachineCommands>,
    newly_held: BTreeSet<ShardId>,
    snapshot: Vec<Heartbeat>,
    latest_epoch: u64,
}

impl Peer {
    /// Whether something is due to this holder, and may be sent now.
    fn may_send(&self, now: Duration) -> bool {
        let has_due = !self.due.is_empty()
            || !self.newly_held.is_empty()
            || !self.removed.is_empty()
            || self.shard_taken;
        has_due && !self.send_in_flight && now >= self.retry_at
    }

    /// Whether this holder has other commands for the machine.
    fn lacks(&self, entry: &MachineCommands) -> bool {
        match self.sent.get(&entry.machine) {
            None => !entry.commands.is_empty(),
            Some(sent) => sent.incarnation != entry.incarnation || sent.commands != entry.commands,
        }
    }

    /// Takes what was gathered off what is due.
    fn take_due(&mut self, due: &DueCommands) -> SentShardCommands {
        self.due.retain(|name| !due.examined.contains(name));
        self.newly_held.retain(|shard| !due.newly_held.contains(shard));
        SentShardCommands {
            machines: due.machines.iter().map(|entry| entry.machine.clone()).collect(),
            newly_held: due.newly_held.clone(),
            removed: std::mem::take(&mut self.removed).into_iter().collect(),
            shard_taken: std::mem::take(&mut self.shard_taken),
        }
    }

    /// A message with these commands is sent.
    fn sending(&mut self, machines: &[MachineCommands]) {
        self.send_in_flight = true;
        for MachineCommands { machine, incarnation, commands, .. } in machines {
            let sent = SentCommands { incarnation: *incarnation, commands: commands.clone() };
            self.sent.insert(machine.clone(), sent);
        }
    }
}

fn has_starts(machine: &MachineCommands) -> bool {
    machine.commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. }))
}

impl Leader {
    /// The commands for a machine may have changed: its holder is to have them.
    pub(in crate::leader) fn mark_commands_due(&mut self, name: &MachineName) {
        let machine = self.fleet.machines.get(name);
        let holder = machine.and_then(|machine| self.holder_of(machine));
        let Some(ShardHolder { node, .. }) = holder else { return };
        if let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(&node)) {
            peer.due.insert(name.clone());
        }
    }

    /// Machines that report ended attempts, or were placed on and do not report it, have
    /// commands that nothing else may bring up.
    pub(super) fn refresh_due_commands(&mut self, now: Duration) {
        let Some(shards) = self.shards.as_mut().filter(|shards| now >= shards.next_refresh_at) else {
            return;
        };
        shards.next_refresh_at = now + REFRESH_INTERVAL;
        let may_have_commands = |machine: &&Machine| {
            let heartbeat = machine.last_heartbeat.as_ref();
            let ended =
                heartbeat.is_some_and(|r| r.tasks.iter().any(|l| matches!(l.status, TaskStatus::Exited(_))));
            ended || self.job_table.by_machine(&machine.name).next().is_some()
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

    /// Sends each holder what has changed for its machines.
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
        peer.sending(&due.machines);
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

    /// What is due to a holder, as much as one message takes.
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
        for name in peer.due.iter().take(MAX_MACHINES) {
            if command_count > MAX_TASKS {
                break;
            }
            examined.push(name.clone());
            let Some(entry) = self.machine_commands(now, name, &held, requests) else { continue };
            command_count += entry.commands.len();
            if peer.lacks(&entry) {
                machines.push(entry);
            }
        }
        let is_held = |shard: &&ShardId| held.iter().any(|(of, _)| of == *shard);
        let newly_held: BTreeSet<ShardId> = peer.newly_held.iter().filter(is_held).cloned().collect();
        let snapshot = self.snapshot(&newly_held);
        let latest_epoch = shards.registry.highest_epoch();
        Some(DueCommands { shards: held, examined, machines, newly_held, snapshot, latest_epoch })
    }

    /// The commands for a machine of one of these shards. Those of a shard that is not
    /// renewed yet wait for its record.
    fn machine_commands(
        &self,
        now: Duration,
        name: &MachineName,
        held: &[(ShardId, u64)],
        requests: &RequestHandler,
    ) -> Option<MachineCommands> {
        let machine = self.fleet.machines.get(name)?;
        let of_machine = self.shard_of(machine)?;
        let shard = held.iter().position(|(shard, _)| *shard == of_machine)?;
        let incarnation = machine.incarnation()?;
        let commands = self.commands_for(now, name, requests);
        Some(MachineCommands { machine: name.clone(), shard, incarnation, commands })
    }

    /// The newest heartbeats of the machines of these shards, as many as one message takes.
    fn snapshot(&self, shards: &BTreeSet<ShardId>) -> Vec<Heartbeat> {
        if shards.is_empty() {
            return Vec::new();
        }
        let is_of_shards =
            |machine: &&Machine| self.shard_of(machine).is_some_and(|shard| shards.contains(&shard));
        let machines = self.fleet.machines.values().filter(is_of_shards);
        let mut tasks = 0;
        let fits = |heartbeat: &Heartbeat| {
            tasks += heartbeat.tasks.len();
            tasks <= MAX_TASKS
        };
        let heartbeats = machines.filter_map(|machine| machine.last_heartbeat.clone());
        heartbeats.take(MAX_MACHINES).take_while(fits).collect()
    }

    /// What became of a message to a holder.
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
                peer.due.insert(name);
            }
            peer.newly_held.extend(sent.newly_held);
            peer.removed.extend(sent.removed);
            peer.shard_taken |= sent.shard_taken;
        }
    }

    /// The cloud has released a machine: its holder is to forget it.
    pub(in crate::leader) fn machine_gone(&mut self, name: &MachineName) {
        for peer in self.shards.iter_mut().flat_map(|shards| shards.peers.values_mut()) {
            peer.due.remove(name);
            if peer.sent.remove(name).is_some() {
                peer.removed.insert(name.clone());
            }
        }
    }
}
