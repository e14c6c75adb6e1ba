//! Naming of holders for shards that have none, whose holder is gone or restarted, whose move is to
//! be completed, or whose record is from a former term.

use super::record_write::{NamingReason, RecordWrite};
use super::tracked_shard::TrackedShard;
use super::{RegistryInput, ShardRegistry};
use crate::balance::{self, ShardLoads};
use crate::record::ShardRecord;
use crate::shard::ShardId;
use crate::state::ShardState;
use std::collections::BTreeSet;
use std::time::Duration;

/// Plans the naming of holders in one step.
pub(super) struct NamingPlanner<'a> {
    pub registry: &'a ShardRegistry,
    pub input: &'a RegistryInput,
    /// Whether the other nodes have had enough time to send a message to this leader, see
    /// [`SETTLE_TIMEOUT`](super::SETTLE_TIMEOUT).
    pub settled: bool,
    pub now: Duration,
}

impl NamingPlanner<'_> {
    /// Returns the writes that are due regardless of the balance, at most `max_writes`, and updates
    /// `loads` with the holders that they name.
    pub fn due_writes(
        &self,
        configured: &BTreeSet<ShardId>,
        loads: &mut ShardLoads,
        max_writes: usize,
    ) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        for shard in configured {
            if writes.len() >= max_writes {
                break;
            }
            let Some(write) = self.due_write(shard, loads) else { continue };
            if let Some(load) = loads.get_mut(shard) {
                load.holder = write.record.as_ref().map(|record| record.holder.clone());
            }
            writes.push(write);
        }
        writes
    }

    fn due_write(&self, shard: &ShardId, loads: &ShardLoads) -> Option<RecordWrite> {
        let vacant = TrackedShard::default();
        let tracked = self.registry.shards.get(shard).unwrap_or(&vacant);
        if tracked.is_writing {
            return None;
        }
        let Some(holder) = tracked.state.holder() else {
            return self
                .settled
                .then(|| self.name_best_candidate(shard, loads, NamingReason::First))
                .flatten();
        };
        if tracked.term != self.registry.term {
            return self.take_over(shard, tracked, holder, loads);
        }
        if let Some(next) = tracked.state.next_holder() {
            return self.complete_move(shard, tracked, (holder, next), loads);
        }
        match self.input.live_nodes.get(holder) {
            None => self.name_best_candidate(shard, loads, NamingReason::Silent),
            Some(boot) if *boot != tracked.boot => self.name_holder(shard, holder, NamingReason::Restarted),
            Some(_) => None,
        }
    }

    /// Returns the write for a shard whose record is from a former leader's term. It names the next
    /// holder of an unfinished move or else the present holder, if alive, and another candidate only
    /// after [`SETTLE_TIMEOUT`](super::SETTLE_TIMEOUT).
    fn take_over(
        &self,
        shard: &ShardId,
        tracked: &TrackedShard,
        holder: &str,
        loads: &ShardLoads,
    ) -> Option<RecordWrite> {
        let is_live = |host: &&str| self.input.live_nodes.contains_key(*host);
        if let Some(next) = tracked.state.next_holder().filter(is_live) {
            return self.name_holder(shard, next, NamingReason::Finished);
        }
        if is_live(&holder) {
            return self.name_holder(shard, holder, NamingReason::Renewed);
        }
        self.settled.then(|| self.name_best_candidate(shard, loads, NamingReason::Silent)).flatten()
    }

    /// Returns the write that ends a move. It names the next holder once the present one has released
    /// the shard, is gone or has exceeded the release timeout. If the next holder may not take shards
    /// any more, the present one keeps the shard or, if it is gone, another candidate gets it.
    fn complete_move(
        &self,
        shard: &ShardId,
        tracked: &TrackedShard,
        (holder, next): (&str, &str),
        loads: &ShardLoads,
    ) -> Option<RecordWrite> {
        let is_released = matches!(tracked.state, ShardState::Released { .. });
        let is_overdue = self.now.saturating_sub(tracked.since) >= self.registry.settings.release_timeout;
        let is_gone = self.input.live_nodes.get(holder) != Some(&tracked.boot);
        if !self.input.may_take_shards(next) {
            return match is_gone {
                false => self.name_holder(shard, holder, NamingReason::Undone),
                true => self.name_best_candidate(shard, loads, NamingReason::Silent),
            };
        }
        if is_released {
            return self.name_holder(shard, next, NamingReason::Released);
        }
        (is_overdue || is_gone)
            .then(|| self.name_holder(shard, next, NamingReason::ReleaseTimedOut))
            .flatten()
    }

    /// Names the candidate on which the shard costs least.
    fn name_best_candidate(
        &self,
        shard: &ShardId,
        loads: &ShardLoads,
        reason: NamingReason,
    ) -> Option<RecordWrite> {
        let best = balance::choose_holder(shard, &self.input.candidates, loads)?;
        self.name_holder(shard, &best.host, reason)
    }

    /// Returns the write that names `holder`, if that node is alive.
    pub fn name_holder(&self, shard: &ShardId, holder: &str, reason: NamingReason) -> Option<RecordWrite> {
        let boot = *self.input.live_nodes.get(holder)?;
        let registry = self.registry;
        let record = ShardRecord::held(holder, boot, registry.term, registry.settings.shards_per_zone);
        let vacant = TrackedShard::default();
        let tracked = registry.shards.get(shard).unwrap_or(&vacant);
        Some(tracked.record_write(shard, Some(record), reason))
    }
}
