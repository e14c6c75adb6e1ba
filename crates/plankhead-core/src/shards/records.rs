//! The records of shards as this node has read them.

use crate::calls::{CallPurpose, KeyWatchCall};
use crate::effects::EffectSink;
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, KeyValue, KvReply, LogLevel, WatchEvent};
use plankhead_sharding::shard::PREFIX;
use plankhead_sharding::table::ShardTable;
use std::time::Duration;

/// How long a watch waits: the sight of the records is up to twice as old.
const WATCH: Duration = Duration::from_millis(1500);

/// Reads the records, and keeps what they say.
#[derive(Debug)]
pub struct RecordWatch {
    pub table: ShardTable,
    watch: KeyWatch,
    /// Keys of a list that has more pages.
    listed_keys: Vec<String>,
}

impl Default for RecordWatch {
    fn default() -> Self {
        Self { table: ShardTable::default(), watch: KeyWatch::new(PREFIX, WATCH), listed_keys: Vec::new() }
    }
}

impl RecordWatch {
    /// When the latest complete read was asked for.
    pub fn synced_at(&self) -> Option<Duration> {
        self.watch.synced_at
    }

    pub fn next_due(&self) -> Option<Duration> {
        self.watch.next_due()
    }

    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if let Some((step, op)) = self.watch.tick(now) {
            effects.call_kv(CallPurpose::ShardRecords(step), op);
        }
    }

    /// Handles a reply; true if the records may have changed.
    pub fn reply(
        &mut self,
        now: Duration,
        step: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        match self.watch.reply(now, step, reply) {
            KeyUpdate::Page { rows, complete } => {
                self.listed_keys.extend(rows.iter().map(|row| row.key.clone()));
                rows.iter().for_each(|row| self.write(row, effects));
                if complete {
                    self.table.retain_keys(&std::mem::take(&mut self.listed_keys));
                }
                complete
            }
            KeyUpdate::Events(events) => {
                let news = !events.is_empty();
                events.into_iter().for_each(|event| self.event(event, effects));
                news
            }
            KeyUpdate::Failed => {
                self.listed_keys.clear();
                false
            }
        }
    }

    fn event(&mut self, event: WatchEvent, effects: &mut EffectSink) {
        match event {
            WatchEvent::Put(row) => self.write(&row, effects),
            WatchEvent::Delete { key, revision: mod_revision } => self.table.remove(&key, mod_revision),
        }
    }

    fn write(&mut self, row: &KeyValue, effects: &mut EffectSink) {
        if let Err(fault) = self.table.write(&row.key, &row.value, row.mod_revision) {
            effects.log(LogLevel::Error, format!("the record {} is left alone: {fault}", row.key));
        }
    }
}
