//! The assignment of machines to shards, and the keys of shard records.

use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The key prefix of all shard records.
pub const PREFIX: &str = "shard/";
/// The maximum number of shards in a zone.
pub const MAX_SHARDS_PER_ZONE: u32 = 64;

/// The identity of a shard, which is one part of a zone's machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// The zone.
    pub zone: String,
    /// The index of the shard in its zone, starting at 0.
    pub index: u32,
}

/// The error for a key that is not that of a shard record.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not the key of a shard record")]
pub struct InvalidShardKey;

impl ShardId {
    /// Returns the shard of a machine in a zone with `shards` shards. The index is the XXH3 hash of
    /// the machine's name modulo the number of shards. All versions of plankhead must compute it alike.
    pub fn of(zone: &str, machine: &str, shards: u32) -> Self {
        let index = xxh3_64(machine.as_bytes()) % u64::from(shards.max(1));
        Self { zone: zone.into(), index: index as u32 }
    }

    /// Returns the key of the shard's record.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.zone, self.index)
    }

    /// Parses the key of a shard record.
    pub fn from_key(key: &str) -> Result<Self, InvalidShardKey> {
        let (zone, index) =
            key.strip_prefix(PREFIX).and_then(|rest| rest.rsplit_once('/')).ok_or(InvalidShardKey)?;
        let index: u32 = index.parse().map_err(|_| InvalidShardKey)?;
        if zone.is_empty() || index >= MAX_SHARDS_PER_ZONE {
            return Err(InvalidShardKey);
        }
        Ok(Self { zone: zone.into(), index })
    }
}

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.zone, self.index)
    }
}
