//! Status messages from the holders of shards.

use super::super::Leader;
use super::Peer;
use crate::effects::{EffectSink, StepTime};
use crate::fleet::RemovalReason;
use crate::protocol::MachineName;
use crate::shards::messages::{Delivery, HolderStatus, MachineUpdate};
use plankhead_sharding::machine_numbers::NumberedMachines;
use plankhead_sharding::sequence::Admission;
use std::time::Duration;

impl Peer {
    /// Updates the sender's state from a status. Returns true if the status belongs to another stream
    /// of messages than the previous one, so that the machine numbers of earlier statuses are no longer
    /// valid.
    fn apply_status(&mut self, status: &HolderStatus, admission: Admission, now: Duration) -> bool {
        self.last_heard_at = now;
        self.boot_id = status.stamp.boot;
        self.latest_sequence = status.stamp.sequence;
        self.zone.clone_from(&status.zone);
        self.sees_records = status.sees_records;
        let restarted = admission == Admission::OtherBoot;
        let is_other_stream = restarted || self.stream != status.stream;
        if is_other_stream {
            self.stream = status.stream;
            self.numbered_machines = NumberedMachines::default();
        }
        if restarted {
            // A restarted process has lost the commands that were sent to it.
            self.commands_due.extend(std::mem::take(&mut self.sent).into_keys());
        }
        for update in &status.updates {
            self.numbered_machines.insert(update.number, update.heartbeat.machine.clone());
        }
        is_other_stream
    }
}

impl Leader {
    /// Handles a status message from a holder. Rejects it unless it comes from a known peer, is meant for
    /// this term and is newer than the sender's previous one.
    pub fn handle_holder_status(
        &mut self,
        times: StepTime,
        message: HolderStatus,
        effects: &mut EffectSink,
    ) -> Delivery {
        let now = times.now;
        let is_peer = self.settings.peers.contains(&message.host);
        let Some(shards) = self.shards.as_mut() else { return Delivery::Unsupported };
        let is_for_this_term = is_peer && message.term == self.token;
        let admitted = if is_for_this_term {
            shards.sequence_guard.admit(&message.host, message.stamp).ok()
        } else {
            None
        };
        let Some(admission) = admitted else {
            shards.refused += 1;
            return Delivery::Rejected;
        };
        let peer = shards.peers.entry(message.host.clone()).or_default();
        let is_other_stream = peer.apply_status(&message, admission, now);
        let alive: Vec<MachineName> = peer.numbered_machines.machines(&message.alive).cloned().collect();
        for held in message.shards.iter().filter(|held| held.released) {
            shards.registry.release_confirmed(&held.shard, &message.host, held.epoch);
        }
        if !message.updates.is_empty() || !alive.is_empty() {
            self.evidence.record_direct_heartbeat();
        }
        let mut all_applied = true;
        for update in message.updates {
            all_applied &= self.apply_machine_update(times, &message.host, update, effects);
        }
        let heard_at = now.saturating_sub(message.alive_age);
        for name in alive {
            if self.is_held_by(&name, &message.host) {
                self.fleet.observe_alive(&name, heard_at);
            }
        }
        match (all_applied, is_other_stream && !message.first) {
            (false, _) => Delivery::Rejected,
            (true, true) => Delivery::FullSyncNeeded,
            (true, false) => Delivery::Accepted,
        }
    }

    /// Returns whether `holder` holds the machine's shard. The result is false for the leader itself.
    fn is_held_by(&self, name: &MachineName, holder: &str) -> bool {
        let machine = self.fleet.machines.get(name);
        let shard_holder = machine.and_then(|machine| self.holder_of(machine));
        shard_holder.is_some_and(|shard_holder| shard_holder.node == holder)
    }

    /// Applies a holder's update for one of its machines. Returns false if another node holds the machine's
    /// shard by now, or if this leader does not know yet that the shard record naming this holder was
    /// written; in the latter case the holder has to repeat the update.
    fn apply_machine_update(
        &mut self,
        times: StepTime,
        holder: &str,
        update: MachineUpdate,
        effects: &mut EffectSink,
    ) -> bool {
        let heartbeat = &update.heartbeat;
        let shards = self.shards.as_mut();
        let Some(shard) = shards.map(|shards| shards.registry.shard_of(&heartbeat.zone, &heartbeat.machine))
        else {
            return false;
        };
        if self.other_holder(&shard).is_none_or(|shard_holder| shard_holder.node != holder) {
            if let Some(shards) = &mut self.shards {
                shards.refused += 1;
            }
            return false;
        }
        self.observe_machine(times, heartbeat, false, effects);
        self.apply_confirmation(&heartbeat.machine, update.confirmed, times.now.saturating_sub(update.age));
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.commands.unanswered = update.unanswered_commands;
            if update.ignores_commands {
                machine.removal.get_or_insert(RemovalReason::IgnoresCommands);
            }
        }
        self.mark_commands_due(&heartbeat.machine);
        true
    }
}
