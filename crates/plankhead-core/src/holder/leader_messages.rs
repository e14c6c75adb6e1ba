//! The leader's messages: which ones a holder accepts, and how it applies them.

use super::commands::PendingCommands;
use super::{Holder, HolderEvidence, ShardEpoch};
use crate::effects::EffectSink;
use crate::leadership::LeaderId;
use crate::protocol::Heartbeat;
use crate::shards::messages::{LeaderCommands, MachineCommands};
use plankhead_sharding::shard::ShardId;
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum age of the status message of this holder that a leader's message acknowledges. The
/// leader's message was sent later than that status. If it acknowledges none, or an older one, it may
/// have been delayed for minutes.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);

impl Holder {
    /// Applies a message with the leader's commands. Returns false if the message is rejected because it
    /// is out of date or does not match the shards that this node holds.
    pub fn handle_leader_commands(
        &mut self,
        now: Duration,
        message: LeaderCommands,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) -> bool {
        let message_id = (message.token, message.stamp.sequence);
        if self.is_out_of_date(&message, now) || message_id <= self.latest_leader_message {
            self.refused += 1;
            return false;
        }
        let leader = LeaderId { token: message.token, host: message.host.clone() };
        self.set_leader(Some(leader), now);
        self.mark_superseded_shards(&message, effects);
        if !self.holds_all(&message) {
            self.refused += 1;
            return false;
        }
        self.latest_leader_message = message_id;
        message.removed.iter().for_each(|machine| self.remove_machine(machine));
        let named_shards: BTreeSet<&ShardId> = message.shards.iter().map(|(shard, _)| shard).collect();
        for heartbeat in &message.snapshot {
            self.observe_snapshot(now, heartbeat, &named_shards);
        }
        for commands in message.machines {
            let Some((shard, _)) = message.shards.get(commands.shard) else {
                self.refused += 1;
                continue;
            };
            // Commands for a machine that has not sent a heartbeat to this node yet are kept until it
            // does.
            self.replace_commands(now, shard, commands, evidence, effects);
        }
        true
    }

    fn is_out_of_date(&self, message: &LeaderCommands, now: Duration) -> bool {
        let known_token = self.leader.as_ref().map_or(0, |leader| leader.token);
        let sent_at = self.status.sent_at(message.acknowledged);
        let is_late = sent_at.is_none_or(|at| now.saturating_sub(at) > ACKNOWLEDGEMENT_TIMEOUT);
        is_late || message.token < known_token
    }

    /// Whether this node holds all shards that the message names, under the same epochs and in the same
    /// term. This is false if this node has not read one of the records yet, or if a record has been
    /// replaced since the message was sent.
    fn holds_all(&self, message: &LeaderCommands) -> bool {
        message.shards.iter().all(|(shard, epoch)| {
            let held = self.shards.get(shard);
            held.is_some_and(|held| held.epoch == *epoch && held.term == message.token)
        })
    }

    fn replace_commands(
        &mut self,
        now: Duration,
        shard: &ShardId,
        message: MachineCommands,
        evidence: HolderEvidence,
        effects: &mut EffectSink,
    ) {
        let MachineCommands { machine, incarnation, commands, .. } = message;
        let entry =
            self.commands.entry(machine.clone()).or_insert_with(|| PendingCommands::new(shard, incarnation));
        if entry.incarnation != incarnation || entry.shard != *shard {
            *entry = PendingCommands::new(shard, incarnation);
        }
        entry.pending = commands;
        self.send_commands(now, &machine, evidence, effects);
    }

    /// Records the heartbeat that the leader has sent for a machine in a newly acquired shard, unless
    /// the machine is already known. This is enough to send commands to the machine, but no evidence
    /// that it is alive.
    fn observe_snapshot(&mut self, now: Duration, heartbeat: &Heartbeat, named_shards: &BTreeSet<&ShardId>) {
        let is_known = self.fleet.machines.contains_key(&heartbeat.machine);
        let contains_machine = |shard: &&&ShardId| {
            self.shards.contains_key(**shard)
                && *shard.zone == *heartbeat.zone
                && ShardId::of(&heartbeat.zone, &heartbeat.machine, self.shard_count(&shard.zone)) == ***shard
        };
        let shard = named_shards.iter().find(contains_machine).copied();
        if let Some(shard) = shard.filter(|_| !is_known) {
            let epoch = self.shards.get(shard).map_or(0, |held| held.epoch);
            let shard_epoch = ShardEpoch { shard: shard.clone(), epoch };
            self.observe_machine(now, heartbeat, shard_epoch, false);
            self.status.unreported.remove(&heartbeat.machine);
        }
    }
}
