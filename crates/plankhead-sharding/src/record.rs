//! The record of a shard in the state service.

use crate::shard::MAX_SHARDS_PER_ZONE;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format that this version writes. Records of other formats are left alone.
pub const FORMAT: u32 = 1;
/// The longest name of a node, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Which node holds a shard, and whether the shard moves. Only the leader writes it, on the
/// condition of its own key and of the record's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The record's format, [`FORMAT`].
    pub format: u32,
    /// The node that holds the shard.
    pub holder: String,
    /// The id of the start of the holder's process: a restarted one knows nothing of the starts
    /// that it relayed before, and must be named anew before it acts.
    pub boot: u64,
    /// The fencing token of the leader that wrote it.
    pub term: u64,
    /// How many shards the zone has.
    pub shards: u32,
    /// The move that is under way, if one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving: Option<PendingMove>,
}

/// A move that was begun: the holder is to release the shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMove {
    /// The revision at which the holder was named.
    pub epoch: u64,
    /// The node that is to hold the shard next.
    pub to: String,
}

/// Why a record can't be used.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The value is no JSON of the expected form.
    #[error("not a record: {0}")]
    Json(#[from] serde_json::Error),
    /// The record has a format that this version does not know.
    #[error("format {0} is not known")]
    Format(u32),
    /// The holder's name or the number of shards is out of range.
    #[error("a field is out of range")]
    Range,
}

impl ShardRecord {
    /// The record of a shard that `holder` holds and that does not move.
    pub fn held(holder: &str, boot: u64, term: u64, shards: u32) -> Self {
        Self { format: FORMAT, holder: holder.into(), boot, term, shards, moving: None }
    }

    /// Whether this node, in this start of its process, holds the shard.
    pub fn is_held_by(&self, host: &str, boot: u64) -> bool {
        self.holder == host && self.boot == boot
    }

    /// Decodes a record.
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

    /// The shard's epoch, given the revision of the record: that at which the holder was named.
    pub fn epoch(&self, revision: u64) -> u64 {
        self.moving.as_ref().map_or(revision, |moving| moving.epoch)
    }
}
