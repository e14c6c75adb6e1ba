//! The shard that a machine belongs to, and the keys of shards.

use std::fmt;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The prefix of the keys of all shards' records.
pub const PREFIX: &str = "shard/";
/// The most shards of one zone.
pub const MAX_SHARDS_PER_ZONE: u32 = 64;

/// One part of a zone's machines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// The zone.
    pub zone: String,
    /// From 0, below the number of the zone's shards.
    pub index: u32,
}

/// The key is not that of a shard's record.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("not the key of a shard")]
pub struct InvalidShardKey;

impl ShardId {
    /// The shard of a machine in a zone of so many shards: XXH3 of the machine's name modulo the
    /// number of shards. All versions of plankhead must agree on it.
    pub fn of(zone: &str, machine: &str, shards: u32) -> Self {
        let index = xxh3_64(machine.as_bytes()) % u64::from(shards.max(1));
        Self { zone: zone.into(), index: index as u32 }
    }

    /// The key of the shard's record.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.zone, self.index)
    }

    /// Parses the key of a record.
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
