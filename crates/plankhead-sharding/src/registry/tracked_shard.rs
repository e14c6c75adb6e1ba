//! What the leader knows of one shard.

use super::record_write::{NamingReason, RecordWrite};
use crate::record::ShardRecord;
use crate::shard::ShardId;
use crate::state::ShardState;
use std::time::Duration;

#[derive(Debug, Clone, Default)]
pub(super) struct TrackedShard {
    pub state: ShardState,
    /// The term under which the record was last written.
    pub term: u64,
    /// Which start of the holder's process was named.
    pub boot: u64,
    /// The revision of the record; 0: there is none.
    pub revision: u64,
    /// Since when it is in this state, by this leader's clock.
    pub since: Duration,
    /// A write of the record is under way.
    pub is_writing: bool,
    /// When a write without an answer was sent, if the records were not read since.
    pub uncertain_write_at: Option<Duration>,
}

impl TrackedShard {
    /// Whether a record may have been written that this leader does not know of.
    pub fn is_uncertain(&self) -> bool {
        self.is_writing || self.uncertain_write_at.is_some()
    }

    /// A write that replaces or, without a record, deletes the record as it is known.
    pub fn record_write(
        &self,
        shard: &ShardId,
        record: Option<ShardRecord>,
        reason: NamingReason,
    ) -> RecordWrite {
        let from = self.state.holder().map(str::to_owned);
        RecordWrite { shard: shard.clone(), revision: self.revision, record, from, reason }
    }
}
