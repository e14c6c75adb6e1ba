//! The record of a shard, as the state service keeps it.

use crate::shard::MAX_SHARDS_PER_ZONE;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The format that this version writes. One that it does not know is left alone.
pub const FORMAT: u32 = 1;

/// Who holds a shard, and whether it moves. Written by the leader alone, conditional on its
/// key and on the record's revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    pub format: u32,
    pub holder: String,
    /// Which start of the holder's process: one that has begun anew knows nothing of starts
    /// that the former one sent, and is to be named anew before it acts.
    pub boot: u64,
    /// The fencing token of the leader that wrote it.
    pub term: u64,
    /// How many shards the zone has.
    pub shards: u32,
    /// The move that is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving: Option<PendingMove>,
}

/// A move that was begun: the holder is to let the shard go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingMove {
    /// The revision at which the holder was named.
    pub epoch: u64,
    /// Who is to hold the shard next.
    pub to: String,
}

#[derive(Debug, Error)]
pub enum RecordError {
    #[error("not a record: {0}")]
    Json(#[from] serde_json::Error),
    #[error("format {0} is not known")]
    Format(u32),
    #[error("a field is out of range")]
    Range,
}

impl ShardRecord {
    pub fn held(holder: &str, boot: u64, term: u64, shards: u32) -> Self {
        Self { format: FORMAT, holder: holder.into(), boot, term, shards, moving: None }
    }

    /// Whether this start of a process holds the shard.
    pub fn is_held_by(&self, host: &str, boot: u64) -> bool {
        self.holder == host && self.boot == boot
    }

    pub fn read(value: &str) -> Result<Self, RecordError> {
        let record: Self = serde_json::from_str(value)?;
        if record.format != FORMAT {
            return Err(RecordError::Format(record.format));
        }
        let named = !record.holder.is_empty() && record.holder.len() <= 200;
        if !named || !(1..=MAX_SHARDS_PER_ZONE).contains(&record.shards) {
            return Err(RecordError::Range);
        }
        Ok(record)
    }

    /// The shard's fencing token, from the revision of the record.
    pub fn epoch(&self, revision: u64) -> u64 {
        self.moving.as_ref().map_or(revision, |moving| moving.epoch)
    }
}
