//! The shards that this node holds, according to their records and the leader's messages.

use super::Holder;
use crate::effects::EffectSink;
use crate::protocol::{LogLevel, MachineName, WorkerCommand};
use crate::shards::messages::LeaderCommands;
use plankhead_sharding::shard::ShardId;
use plankhead_sharding::table::{KnownRecord, ShardTable};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long after a change of leader a holder still acts under a shard record that the new leader has
/// not renewed. A leader that runs a version without sharding never renews the records.
const FORMER_TERM_TIMEOUT: Duration = Duration::from_secs(15);

/// A shard that this node holds, according to the shard's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeldShard {
    pub epoch: u64,
    /// The fencing token of the leader that wrote the record.
    pub term: u64,
    /// Whether the shard is to be handed over. This node then starts no tasks on the shard's machines.
    pub releasing: bool,
}

impl HeldShard {
    fn from_record(known: &KnownRecord) -> Self {
        Self { epoch: known.epoch(), term: known.record.term, releasing: known.record.moving.is_some() }
    }
}

/// Which of the commands for a shard's machines are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DroppedCommands {
    All,
    Starts,
}

impl Holder {
    /// Applies the shard records, which show the shards that this node holds and their epochs.
    pub fn apply_records(&mut self, table: &ShardTable, effects: &mut EffectSink) {
        let (host, boot_id) = (&self.settings.host, self.settings.boot_id);
        let held: BTreeMap<ShardId, HeldShard> = table
            .iter()
            .filter(|(_, known)| known.record.is_held_by(host, boot_id))
            .map(|(shard, known)| (shard.clone(), HeldShard::from_record(known)))
            .collect();
        self.shards_per_zone =
            table.iter().map(|(shard, known)| (shard.zone.clone(), known.record.shards)).collect();
        for (shard, record) in &held {
            self.apply_held_shard(shard, record, effects);
        }
        for shard in self.shards.keys().filter(|shard| !held.contains_key(*shard)) {
            effects.log(LogLevel::Info, format!("shard given up: shard={shard}"));
        }
        let is_not_held = |(_, shard): &(&MachineName, &ShardId)| !held.contains_key(*shard);
        let unheld_machines: Vec<MachineName> =
            self.shard_of.iter().filter(is_not_held).map(|(machine, _)| machine.clone()).collect();
        unheld_machines.iter().for_each(|machine| self.remove_machine(machine));
        self.commands.retain(|_, commands| held.contains_key(&commands.shard));
        self.shards = held;
    }

    fn apply_held_shard(&mut self, shard: &ShardId, record: &HeldShard, effects: &mut EffectSink) {
        let before = self.shards.get(shard);
        if before.is_none_or(|before| before.epoch != record.epoch) {
            effects.log(LogLevel::Info, format!("shard acquired: shard={shard} epoch={}", record.epoch));
        }
        // Commands of a former leader are no longer valid, nor are starts in a shard that is to be
        // handed over.
        let term_changed = before.is_some_and(|before| before.term != record.term);
        if record.releasing {
            self.drop_commands(shard, DroppedCommands::Starts);
        } else if term_changed {
            self.drop_commands(shard, DroppedCommands::All);
        }
    }

    fn drop_commands(&mut self, shard: &ShardId, dropped: DroppedCommands) {
        for commands in self.commands.values_mut().filter(|commands| commands.shard == *shard) {
            commands.pending.retain(|command| {
                dropped == DroppedCommands::Starts && !matches!(command, WorkerCommand::Run { .. })
            });
        }
    }

    /// Marks the shards that the leader has reassigned: those that this node holds under an epoch below
    /// the message's `latest_epoch` and that the message does not list under that epoch. The shard
    /// records show this as well, but a node that can't read them must also stop acting for these shards.
    pub(super) fn mark_superseded_shards(&mut self, message: &LeaderCommands, effects: &mut EffectSink) {
        let is_listed = |shard: &ShardId, epoch: u64| message.shards.contains(&(shard.clone(), epoch));
        let superseded: Vec<(ShardId, u64)> = self
            .shards
            .iter()
            .filter(|(shard, held)| held.epoch < message.latest_epoch && !is_listed(shard, held.epoch))
            .map(|(shard, held)| (shard.clone(), held.epoch))
            .collect();
        for (shard, epoch) in superseded {
            if self.superseded.insert(shard.clone(), epoch) != Some(epoch) {
                let text = format!("shard superseded: shard={shard} epoch={epoch} leader={}", message.host);
                effects.log(LogLevel::Info, text);
            }
        }
    }

    /// Returns the epoch under which this node may act for a shard; `None` if it may not act for it.
    pub fn epoch(&self, shard: &ShardId, now: Duration) -> Option<u64> {
        let held = self.shards.get(shard)?;
        if self.superseded.get(shard).is_some_and(|epoch| held.epoch <= *epoch) {
            return None;
        }
        let is_current = self.leader.as_ref().is_none_or(|leader| {
            let renewed = held.term >= leader.token;
            renewed
                || !leader.sharding_unsupported
                    && now.saturating_sub(leader.known_since) < FORMER_TERM_TIMEOUT
        });
        is_current.then_some(held.epoch)
    }

    /// Returns the number of shards of a zone, according to the records.
    pub(super) fn shard_count(&self, zone: &str) -> u32 {
        self.shards_per_zone.get(zone).copied().unwrap_or(1)
    }
}
