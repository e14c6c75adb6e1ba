//! What a controller knows of the records: who holds which shard.

use crate::record::{RecordError, ShardRecord};
use crate::shard::{InvalidShardKey, ShardId};
use std::collections::BTreeMap;
use thiserror::Error;

/// A record and the revision of its latest change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownRecord {
    pub record: ShardRecord,
    pub revision: u64,
}

impl KnownRecord {
    /// The shard's fencing token.
    pub fn epoch(&self) -> u64 {
        self.record.epoch(self.revision)
    }
}

#[derive(Debug, Error)]
pub enum ShardTableError {
    #[error(transparent)]
    Key(#[from] InvalidShardKey),
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// All records of shards, as last read.
#[derive(Debug, Clone, Default)]
pub struct ShardTable {
    records: BTreeMap<ShardId, KnownRecord>,
    /// How many shards each zone has, and by which revision.
    layout: BTreeMap<String, (u32, u64)>,
}

impl ShardTable {
    /// Takes in a record. One that can't be read counts as none: nobody acts by it.
    pub fn write(&mut self, key: &str, value: &str, revision: u64) -> Result<(), ShardTableError> {
        let shard = ShardId::from_key(key)?;
        if self.records.get(&shard).is_some_and(|known| known.revision >= revision) {
            return Ok(());
        }
        let record = match ShardRecord::read(value) {
            Ok(record) => record,
            Err(fault) => {
                self.records.remove(&shard);
                return Err(fault.into());
            }
        };
        let layout = self.layout.entry(shard.zone.clone()).or_default();
        if layout.1 <= revision {
            *layout = (record.shards, revision);
        }
        self.records.insert(shard, KnownRecord { record, revision });
        Ok(())
    }

    /// A record was dropped at this revision.
    pub fn remove(&mut self, key: &str, revision: u64) {
        let Ok(shard) = ShardId::from_key(key) else { return };
        if self.records.get(&shard).is_some_and(|known| known.revision < revision) {
            self.records.remove(&shard);
        }
    }

    /// Forgets all but what the given keys name: after the records were read anew.
    pub fn retain_keys(&mut self, keys: &[String]) {
        self.records.retain(|shard, _| keys.contains(&shard.key()));
    }

    /// The shard of a machine, where its zone is divided.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<ShardId> {
        let (shards, _) = self.layout.get(zone)?;
        Some(ShardId::of(zone, machine, *shards))
    }

    pub fn get(&self, shard: &ShardId) -> Option<&KnownRecord> {
        self.records.get(shard)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&ShardId, &KnownRecord)> {
        self.records.iter()
    }
}
