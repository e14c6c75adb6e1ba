//! What the leader has the holders of shards tell their machines.

use super::super::Leader;
use super::{Peer, REFRESH, RETRY};
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

fn has_starts(machine: &MachineCommands) -> bool {
    machine.commands.iter().any(|command| matches!(command, WorkerCommand::Run { .. }))
}

impl Leader {
    /// The commands for a machine may have changed: its holder is told.
    pub(in crate::leader) fn mark_commands_due(&mut self, host: &MachineName) {
        let machine = self.fleet.machines.get(host);
        let holder = machine.and_then(|machine| self.holder_of(machine));
        let Some((holder, _)) = holder else { return };
        if let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(&holder)) {
            peer.due.insert(host.clone());
        }
    }

    /// Machines that list ended attempts, or were placed on and do not list it, have commands
    /// that nothing else may bring up.
    pub(super) fn refresh_due_commands(&mut self, now: Duration) {
        let Some(shards) = self.shards.as_mut().filter(|shards| now >= shards.next_refresh_at) else {
            return;
        };
        shards.next_refresh_at = now + REFRESH;
        let waits = |machine: &&Machine| {
            let heartbeat = machine.last_heartbeat.as_ref();
            let ended =
                heartbeat.is_some_and(|r| r.tasks.iter().any(|l| matches!(l.status, TaskStatus::Exited(_))));
            ended || self.job_table.by_machine(&machine.name).next().is_some()
        };
        let hosts: Vec<MachineName> =
            self.fleet.machines.values().filter(waits).map(|machine| machine.name.clone()).collect();
        hosts.iter().for_each(|host| self.mark_commands_due(host));
    }

    /// Sends each holder what has changed for its machines.
    pub(super) fn flush_shard_commands(
        &mut self,
        now: Duration,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Some(shards) = &self.shards else { return };
        let ready = |(_, peer): &(&String, &Peer)| {
            let due = !(peer.due.is_empty()
                && peer.newly_held.is_empty()
                && peer.removed.is_empty()
                && !peer.shard_taken);
            due && !peer.send_in_flight && now >= peer.retry_at
        };
        let ready: Vec<String> = shards.peers.iter().filter(ready).map(|(host, _)| host.clone()).collect();
        for host in ready {
            self.send_shard_commands(now, &host, requests, effects);
        }
    }

    pub(super) fn send_shard_commands(
        &mut self,
        now: Duration,
        to: &str,
        requests: &RequestHandler,
        effects: &mut EffectSink,
    ) {
        let Some(shards) = &self.shards else { return };
        let held: Vec<(ShardId, u64)> = shards
            .registry
            .current()
            .filter(|(_, state)| state.holder() == Some(to))
            .map(|(shard, state)| (shard.clone(), state.epoch()))
            .collect();
        let Some(peer) = shards.peers.get(to) else { return };
        let due: Vec<MachineName> = peer.due.iter().take(MAX_MACHINES).cloned().collect();
        let place = |host: &MachineName| {
            let shard = self.fleet.machines.get(host).and_then(|machine| self.shard_of(machine))?;
            held.iter().position(|(of, _)| *of == shard)
        };
        let mut machines: Vec<MachineCommands> = Vec::new();
        let (mut commands, mut taken) = (0, 0);
        for host in &due {
            if commands > MAX_TASKS {
                break;
            }
            taken += 1;
            // Those of a shard that is not renewed yet wait for its record.
            let Some(shard) = place(host) else { continue };
            let Some(incarnation) = self.fleet.machines.get(host).and_then(Machine::incarnation) else {
                continue;
            };
            let orders = self.commands_for(now, host, requests);
            let last = peer.sent.get(host);
            let same = last.map_or(orders.is_empty(), |(of, sent)| *of == incarnation && *sent == orders);
            commands += orders.len();
            if !same {
                machines.push(MachineCommands {
                    machine: host.clone(),
                    shard,
                    incarnation,
                    commands: orders,
                });
            }
        }
        let due = &due[..taken];
        let fresh: BTreeSet<ShardId> =
            peer.newly_held.iter().filter(|shard| held.iter().any(|(of, _)| of == *shard)).cloned().collect();
        let snapshot = self.snapshot(&fresh);
        let latest_epoch = shards.registry.highest_epoch();
        for MachineCommands { commands: orders, shard, .. } in &machines {
            self.record_offered_starts(orders, held[*shard].1);
        }
        if machines.iter().any(has_starts) {
            self.log_first_start(now, effects);
        }
        let Some(shards) = &mut self.shards else { return };
        shards.sequence += 1;
        let sequence = shards.sequence;
        let Some(peer) = shards.peers.get_mut(to) else { return };
        peer.due.retain(|host| !due.contains(host));
        peer.newly_held.retain(|shard| !fresh.contains(shard));
        let gone: Vec<MachineName> = std::mem::take(&mut peer.removed).into_iter().collect();
        let replaced = std::mem::take(&mut peer.shard_taken);
        if machines.is_empty() && snapshot.is_empty() && gone.is_empty() && !replaced {
            return;
        }
        peer.send_in_flight = true;
        for MachineCommands { machine: host, incarnation, commands: orders, .. } in &machines {
            peer.sent.insert(host.clone(), (*incarnation, orders.clone()));
        }
        let told = machines.iter().map(|machine| machine.machine.clone()).collect();
        let message = LeaderCommands {
            host: self.settings.host.clone(),
            stamp: MessageStamp { boot: self.settings.boot_id, sequence },
            acknowledged: peer.latest_sequence,
            latest_epoch,
            token: self.token,
            shards: held,
            machines,
            removed: gone.clone(),
            snapshot,
        };
        let told =
            SentShardCommands { machines: told, newly_held: fresh, removed: gone, shard_taken: replaced };
        let call = LeaderCall::SendShardCommands { to: to.to_owned(), sent: told };
        let message = ShardMessage::LeaderCommands(Box::new(message));
        effects.send_shard_message(CallPurpose::Leader(self.token, call), to.to_owned(), message);
    }

    /// The newest reports of the machines of these shards.
    pub(super) fn snapshot(&self, shards: &BTreeSet<ShardId>) -> Vec<Heartbeat> {
        if shards.is_empty() {
            return Vec::new();
        }
        let here = |machine: &&Machine| self.shard_of(machine).is_some_and(|shard| shards.contains(&shard));
        let machines = self.fleet.machines.values().filter(here);
        let mut tasks = 0;
        let few = |heartbeat: &Heartbeat| {
            tasks += heartbeat.tasks.len();
            tasks <= MAX_TASKS
        };
        let heartbeats = machines.filter_map(|machine| machine.last_heartbeat.clone());
        heartbeats.take(MAX_MACHINES).take_while(few).collect()
    }

    /// What became of a message to a holder.
    pub fn shard_commands_delivered(
        &mut self,
        now: Duration,
        to: &str,
        told: SentShardCommands,
        delivery: Delivery,
    ) {
        let Some(peer) = self.shards.as_mut().and_then(|shards| shards.peers.get_mut(to)) else { return };
        peer.send_in_flight = false;
        peer.retry_at = now + self.settings.shard_message_interval();
        if delivery != Delivery::Accepted {
            peer.retry_at = now + RETRY;
            for host in told.machines {
                peer.sent.remove(&host);
                peer.due.insert(host);
            }
            peer.newly_held.extend(told.newly_held);
            peer.removed.extend(told.removed);
            peer.shard_taken |= told.shard_taken;
        }
    }

    /// The cloud has taken a machine back: whoever held it forgets it.
    pub(in crate::leader) fn machine_gone(&mut self, host: &MachineName) {
        for peer in self.shards.iter_mut().flat_map(|shards| shards.peers.values_mut()) {
            peer.due.remove(host);
            if peer.sent.remove(host).is_some() {
                peer.removed.insert(host.clone());
            }
        }
    }
}
