//! A node's copy of the shard records.

use crate::record::{RecordError, ShardRecord};
use crate::shard::{InvalidShardKey, ShardId};
use std::collections::BTreeMap;
use thiserror::Error;

/// A record and its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRecord {
    /// The record.
    pub record: ShardRecord,
    /// The revision at which the record was written.
    pub revision: u64,
}

impl KnownRecord {
    /// Returns the epoch of the shard.
    pub fn epoch(&self) -> u64 {
        self.record.epoch(self.revision)
    }
}

/// The reasons why a key and value cannot be inserted into the table.
#[derive(Debug, Error)]
pub enum ShardTableError {
    /// The key is not that of a shard record.
    #[error(transparent)]
    Key(#[from] InvalidShardKey),
    /// The value is not a record that this version can use.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// The division of a zone into shards.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneLayout {
    /// The number of shards.
    shards: u32,
    /// The revision of the record that the number was taken from.
    revision: u64,
}

/// The latest known record of every shard.
#[derive(Debug, Clone, Default)]
pub struct ShardTable {
    records: BTreeMap<ShardId, KnownRecord>,
    layouts: BTreeMap<String, ZoneLayout>,
}

impl ShardTable {
    /// Inserts a record unless a record with the same or a later revision is known. If the value
    /// cannot be decoded, removes the known record, so that the node does not act on an outdated one.
    pub fn insert(&mut self, key: &str, value: &str, revision: u64) -> Result<(), ShardTableError> {
        let shard = ShardId::from_key(key)?;
        if self.records.get(&shard).is_some_and(|known| known.revision >= revision) {
            return Ok(());
        }
        let record = match ShardRecord::decode(value) {
            Ok(record) => record,
            Err(error) => {
                self.records.remove(&shard);
                return Err(error.into());
            }
        };
        let layout = self.layouts.entry(shard.zone.clone()).or_default();
        if layout.revision <= revision {
            *layout = ZoneLayout { shards: record.shards, revision };
        }
        self.records.insert(shard, KnownRecord { record, revision });
        Ok(())
    }

    /// Removes a record that was deleted at the given revision, unless a later record is known.
    pub fn remove(&mut self, key: &str, revision: u64) {
        let Ok(shard) = ShardId::from_key(key) else { return };
        if self.records.get(&shard).is_some_and(|known| known.revision < revision) {
            self.records.remove(&shard);
        }
    }

    /// Removes all records except those under the given keys, which are the result of a complete read.
    pub fn retain_keys(&mut self, keys: &[String]) {
        self.records.retain(|shard, _| keys.contains(&shard.key()));
    }

    /// Returns the shard of a machine, or `None` if no record of its zone has been read.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<ShardId> {
        let layout = self.layouts.get(zone)?;
        Some(ShardId::of(zone, machine, layout.shards))
    }

    /// Returns the record of a shard.
    pub fn get(&self, shard: &ShardId) -> Option<&KnownRecord> {
        self.records.get(shard)
    }

    /// Returns all records in the order of their shards.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardId, &KnownRecord)> {
        self.records.iter()
    }
}
