//! Moves of shards whose holder is alive: the decision when to move which shard to which node.

use super::naming::NamingPlanner;
use super::record_write::{NamingReason, RecordWrite};
use super::{RegistryInput, ShardRegistry};
use crate::balance::{self, ShardLoad, ShardLoads};
use crate::record::{PendingMove, ShardRecord};
use crate::shard::ShardId;
use std::time::Duration;

/// A move that is to begin.
struct PlannedMove {
    shard: ShardId,
    to: String,
    reason: NamingReason,
}

impl ShardRegistry {
    /// Begins a move if none is in progress, no record is uncertain and a move is due.
    pub(super) fn begin_move(
        &mut self,
        input: &RegistryInput,
        loads: &ShardLoads,
        now: Duration,
    ) -> Option<RecordWrite> {
        if self.shards.values().any(|tracked| tracked.is_uncertain() || tracked.state.next_holder().is_some())
        {
            return None;
        }
        let PlannedMove { shard, to, reason } = self.next_move(input, loads, now)?;
        self.next_move_at = now + self.settings.move_pause;
        let tracked = self.shards.get(&shard)?;
        let holder = tracked.state.holder()?.to_owned();
        // The leader releases its own shard in the same step, so the next holder is named at once.
        if holder == self.own_name {
            return NamingPlanner { registry: self, input, settled: true, now }
                .name_holder(&shard, &to, reason);
        }
        let moving = Some(PendingMove { epoch: tracked.state.epoch(), to });
        let held = ShardRecord::held(&holder, tracked.boot, self.term, self.settings.shards_per_zone);
        Some(tracked.record_write(&shard, Some(ShardRecord { moving, ..held }), reason))
    }

    /// Returns the move that is due: for rotation, off a drained node, or for balance.
    fn next_move(&mut self, input: &RegistryInput, loads: &ShardLoads, now: Duration) -> Option<PlannedMove> {
        if let Some(interval) = self.settings.rotate {
            if now >= self.next_rotation_at {
                self.next_rotation_at = now + interval;
                return self.rotation_move(input);
            }
        }
        if now < self.next_move_at {
            return None;
        }
        if let Some(planned) = drain_move(input, loads) {
            return Some(planned);
        }
        let best = balance::find_rebalance(&input.candidates, loads, self.settings.hysteresis)?;
        Some(PlannedMove { shard: best.shard, to: best.to, reason: NamingReason::Balance })
    }

    /// Returns the move of the shard whose record has been unchanged for the longest time. The shard
    /// moves to the node that follows its holder by name, or to the first one if the holder is the last.
    fn rotation_move(&self, input: &RegistryInput) -> Option<PlannedMove> {
        let held = self.shards.iter().filter(|(_, tracked)| tracked.term == self.term);
        let (shard, tracked) = held.min_by_key(|(_, tracked)| tracked.since)?;
        let holder = tracked.state.holder()?;
        let mut hosts: Vec<&str> = input.candidates.iter().map(|candidate| candidate.host.as_str()).collect();
        hosts.sort_unstable();
        let next = hosts.iter().find(|host| **host > holder).or(hosts.first());
        let to = next.filter(|host| **host != holder)?;
        Some(PlannedMove { shard: shard.clone(), to: (*to).to_owned(), reason: NamingReason::Rotation })
    }
}

/// Returns a move of a shard whose holder may not hold shards, to the best candidate.
fn drain_move(input: &RegistryInput, loads: &ShardLoads) -> Option<PlannedMove> {
    let keeps = |load: &ShardLoad| load.holder.as_ref().is_none_or(|holder| input.may_take_shards(holder));
    let (shard, _) = loads.iter().find(|(_, load)| !keeps(load))?;
    let to = balance::choose_holder(shard, &input.candidates, loads)?;
    Some(PlannedMove { shard: shard.clone(), to: to.host.clone(), reason: NamingReason::Drained })
}
