//! The shards' records as a node has read them.

use crate::record::{RecordError, ShardRecord};
use crate::shard::{InvalidShardKey, ShardId};
use std::collections::BTreeMap;
use thiserror::Error;

/// A record and the revision of its latest change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRecord {
    /// The record.
    pub record: ShardRecord,
    /// The revision at which it was written.
    pub revision: u64,
}

impl KnownRecord {
    /// The shard's epoch.
    pub fn epoch(&self) -> u64 {
        self.record.epoch(self.revision)
    }
}

/// Why a key and value were not taken into the table.
#[derive(Debug, Error)]
pub enum ShardTableError {
    /// The key is not that of a record.
    #[error(transparent)]
    Key(#[from] InvalidShardKey),
    /// The value is no record that this version can use.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Into how many shards a zone is divided.
#[derive(Debug, Clone, Copy, Default)]
struct ZoneLayout {
    shards: u32,
    /// The revision of the record that says so.
    revision: u64,
}

/// The latest known record of every shard.
#[derive(Debug, Clone, Default)]
pub struct ShardTable {
    records: BTreeMap<ShardId, KnownRecord>,
    layouts: BTreeMap<String, ZoneLayout>,
}

impl ShardTable {
    /// Takes in a record. One that can't be decoded counts as none: nobody acts by it.
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

    /// Removes a record that was deleted at this revision.
    pub fn remove(&mut self, key: &str, revision: u64) {
        let Ok(shard) = ShardId::from_key(key) else { return };
        if self.records.get(&shard).is_some_and(|known| known.revision < revision) {
            self.records.remove(&shard);
        }
    }

    /// Removes all records but those under the given keys, after all records were read again.
    pub fn retain_keys(&mut self, keys: &[String]) {
        self.records.retain(|shard, _| keys.contains(&shard.key()));
    }

    /// The shard of a machine, where its zone is divided.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<ShardId> {
        let layout = self.layouts.get(zone)?;
        Some(ShardId::of(zone, machine, layout.shards))
    }

    /// The record of a shard.
    pub fn get(&self, shard: &ShardId) -> Option<&KnownRecord> {
        self.records.get(shard)
    }

    /// All records, by shard.
    pub fn iter(&self) -> impl Iterator<Item = (&ShardId, &KnownRecord)> {
        self.records.iter()
    }
}
