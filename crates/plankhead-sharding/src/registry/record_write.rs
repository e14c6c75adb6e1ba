//! Writes of shard records, with their reasons and outcomes.

use crate::record::ShardRecord;
use crate::shard::ShardId;

/// The reason for writing a record. The names of the variants appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamingReason {
    /// The shard had no holder.
    First,
    /// The same holder is named in a new leader's term.
    Renewed,
    /// The move that a former leader began is completed.
    Finished,
    /// The shard moves to balance the load.
    Balance,
    /// The shard moves because its holder is to hold no shards.
    Drained,
    /// The shard moves at the interval that operators have configured.
    Rotation,
    /// The record is deleted because the zone now has fewer shards.
    Surplus,
    /// The holder has released the shard, and the next holder is named.
    Released,
    /// The holder is gone or has not released the shard in time, and the next holder is named.
    ReleaseTimedOut,
    /// The holder sends no messages any more or cannot read the records.
    Silent,
    /// The holder's process was restarted.
    Restarted,
    /// The next holder may not take the shard any more, and the present one keeps it.
    Undone,
}

/// A write of a record, conditional on the revision of the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The shard.
    pub shard: ShardId,
    /// The revision that the record must have, or 0 if the record must not exist.
    pub revision: u64,
    /// The new record, or `None` to delete it because the zone now has fewer shards.
    pub record: Option<ShardRecord>,
    /// The holder before the write.
    pub from: Option<String>,
    /// The reason for the write.
    pub reason: NamingReason,
}

/// The outcome of a write of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The records were written.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// The write was certainly not carried out.
    Failed,
    /// There was no reply. The write may have been carried out, or may still be.
    Unknown,
}

/// A holder that a committed write has named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderNamed {
    /// The shard.
    pub shard: ShardId,
    /// The holder before the write.
    pub from: Option<String>,
    /// The named holder.
    pub to: String,
    /// The epoch of the shard under the named holder.
    pub epoch: u64,
    /// The reason for naming the holder.
    pub reason: NamingReason,
}
