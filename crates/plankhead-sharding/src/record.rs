//! The records of shards in the state service.

use crate::shard::MAX_SHARDS_PER_ZONE;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format that this version reads and writes. Records in other formats are neither used nor
/// overwritten.
pub const FORMAT: u32 = 1;
/// The maximum length of a node name, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// The record of a shard: its holder, and the move in progress. Only the leader writes it, in
/// transactions that are conditional on the leader's key and on the revision of the record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The format of the record, [`FORMAT`].
    pub format: u32,
    /// The node that holds the shard.
    pub holder: String,
    /// The boot id of the holder's process, which is new at every start of the process. A restarted
    /// process does not know which task starts it has relayed, so it must be named again before it
    /// acts.
    pub boot: u64,
    /// The fencing token of the leader that wrote the record.
    pub term: u64,
    /// The number of shards in the zone.
    pub shards: u32,
    /// The move in progress, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving: Option<PendingMove>,
}

/// A move in progress, for which the holder is to release the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMove {
    /// The revision at which the holder was named.
    pub epoch: u64,
    /// The node that is to hold the shard next.
    pub to: String,
}

/// The reasons why a record cannot be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is not valid JSON or does not have the expected form.
    #[error("invalid record: {0}")]
    Json(#[from] serde_json::Error),
    /// The record has a format that this version does not know.
    #[error("unknown format {0}")]
    Format(u32),
    /// The length of the holder's name or the number of shards is out of range.
    #[error("the holder's name or the number of shards is out of range")]
    Range,
}

impl ShardRecord {
    /// Creates the record of a shard that `holder` holds and that does not move.
    pub fn held(holder: &str, boot: u64, term: u64, shards: u32) -> Self {
        Self { format: FORMAT, holder: holder.into(), boot, term, shards, moving: None }
    }

    /// Returns whether the process of node `host` with this boot id holds the shard.
    pub fn is_held_by(&self, host: &str, boot: u64) -> bool {
        self.holder == host && self.boot == boot
    }

    /// Decodes and validates a record.
    pub fn decode(value: &str) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_str(value)?;
        if record.format != FORMAT {
            return Err(RecordError::Format(record.format));
        }
        let has_valid_holder = !record.holder.is_empty() && record.holder.len() <= MAX_NAME_BYTES;
        if !has_valid_holder || !(1..=MAX_SHARDS_PER_ZONE).contains(&record.shards) {
            return Err(RecordError::Range);
        }
        Ok(record)
    }

    /// Returns the epoch of the shard, which is the revision at which the holder was named.
    /// `revision` is the revision of this record.
    pub fn epoch(&self, revision: u64) -> u64 {
        self.moving.as_ref().map_or(revision, |moving| moving.epoch)
    }
}
