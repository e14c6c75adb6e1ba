//! Writes of shard records: what is to be written, why, and how it ended.

use crate::record::ShardRecord;
use crate::shard::ShardId;

/// Why a holder is named, or a move begins. The names appear in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamingReason {
    /// Nobody held the shard.
    First,
    /// The same holder in a new leader's term.
    Renewed,
    /// A former leader's move is completed.
    Finished,
    /// The load is balanced.
    Balance,
    /// The holder is to hold no shards.
    Drained,
    /// A periodic move that operators have configured.
    Rotation,
    /// The zone has fewer shards now.
    Surplus,
    /// The holder has released the shard.
    Released,
    /// The holder was asked to release the shard, and has not confirmed it in time.
    ReleaseTimedOut,
    /// The holder's heartbeats stopped.
    Silent,
    /// The holder's process was restarted.
    Restarted,
    /// The next holder is gone: the present one keeps the shard.
    Undone,
}

/// A record to be written, on the condition that it has the given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordWrite {
    /// The shard.
    pub shard: ShardId,
    /// The revision that the record must have; 0: it must not exist.
    pub revision: u64,
    /// The new record; `None`: it is deleted, since the zone has fewer shards now.
    pub record: Option<ShardRecord>,
    /// The holder before the write.
    pub from: Option<String>,
    /// Why it is written.
    pub reason: NamingReason,
}

/// How a write of records ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The records were written.
    Committed {
        /// The revision of the transaction.
        revision: u64,
    },
    /// Certainly not carried out.
    Failed,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// A holder that a committed write has named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderNamed {
    /// The shard.
    pub shard: ShardId,
    /// The holder before.
    pub from: Option<String>,
    /// The new holder.
    pub to: String,
    /// The shard's epoch under the new holder.
    pub epoch: u64,
    /// Why it was named.
    pub reason: NamingReason,
}
