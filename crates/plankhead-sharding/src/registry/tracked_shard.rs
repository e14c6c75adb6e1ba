//! The leader's knowledge of one shard.

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
    /// The boot id of the holder's process, as named in the record.
    pub boot: u64,
    /// The revision of the record, or 0 if there is none.
    pub revision: u64,
    /// The time of the latest change of the record, by this leader's clock.
    pub since: Duration,
    /// Whether a write of the record is in flight.
    pub is_writing: bool,
    /// The time at which a write with an unknown outcome was sent, if the records have not been read
    /// since.
    pub uncertain_write_at: Option<Duration>,
}

impl TrackedShard {
    /// Returns whether a record may have been written that this leader does not know.
    pub fn is_uncertain(&self) -> bool {
        self.is_writing || self.uncertain_write_at.is_some()
    }

    /// Returns a write that replaces the known record or, if `record` is `None`, deletes it.
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
