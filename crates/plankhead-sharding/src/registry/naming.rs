//! Naming the holders of shards that lack one, or whose holder is gone.

use super::record_write::{NamingReason, RecordWrite};
use super::tracked_shard::TrackedShard;
use super::{RegistryInput, ShardRegistry};
use crate::balance::{self, ShardLoads};
use crate::record::ShardRecord;
use crate::shard::ShardId;
use crate::state::ShardState;
use std::collections::BTreeSet;
use std::time::Duration;

/// What the naming of holders in one step depends on.
pub(super) struct HolderNaming<'a> {
    pub registry: &'a ShardRegistry,
    pub input: &'a RegistryInput,
    /// The other nodes had the time to be heard since this leader's start.
    pub settled: bool,
    pub now: Duration,
}

impl HolderNaming<'_> {
    /// The writes that are due whatever the balance, at most so many. The loads follow what is
    /// written.
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

    /// A shard of a former leader's term: its next holder, or else its holder, is named anew if
    /// it is alive.
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

    /// A shard that moves: the next holder is named once the present one has released the
    /// shard, or did not in time.
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

    /// Names the candidate that should take the shard.
    fn name_best_candidate(
        &self,
        shard: &ShardId,
        loads: &ShardLoads,
        reason: NamingReason,
    ) -> Option<RecordWrite> {
        let best = balance::choose_holder(shard, &self.input.candidates, loads)?;
        self.name_holder(shard, &best.host, reason)
    }

    /// Names a holder that is alive.
    pub fn name_holder(&self, shard: &ShardId, holder: &str, reason: NamingReason) -> Option<RecordWrite> {
        let boot = *self.input.live_nodes.get(holder)?;
        let registry = self.registry;
        let record = ShardRecord::held(holder, boot, registry.term, registry.settings.shards_per_zone);
        let vacant = TrackedShard::default();
        let tracked = registry.shards.get(shard).unwrap_or(&vacant);
        Some(tracked.record_write(shard, Some(record), reason))
    }
}
