//! The shards' records, as this node has read them from the state service.

use crate::calls::{CallPurpose, KeyWatchCall};
use crate::effects::EffectSink;
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, KeyValue, KvReply, LogLevel, WatchEvent};
use plankhead_sharding::shard::PREFIX;
use plankhead_sharding::table::ShardTable;
use std::time::Duration;

/// The time for which one watch waits for changes. A watch that returns shows that all changes from before
/// its start have been seen, so the known records are up to twice this old.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reads the shards' records and keeps them up to date.
#[derive(Debug)]
pub struct RecordWatch {
    /// The records as last read.
    pub table: ShardTable,
    watch: KeyWatch,
    /// The keys in the pages of the current list that have been read so far.
    listed_keys: Vec<String>,
}

impl Default for RecordWatch {
    fn default() -> Self {
        Self {
            table: ShardTable::default(),
            watch: KeyWatch::new(PREFIX, WATCH_TIMEOUT),
            listed_keys: Vec::new(),
        }
    }
}

impl RecordWatch {
    /// Returns the time as of which the records are known: when the latest successful read of all records
    /// or watch for changes was started.
    pub fn synced_at(&self) -> Option<Duration> {
        self.watch.synced_at
    }

    /// Returns when [`RecordWatch::tick`] is next due to make a call, or `None` if a call is in flight.
    pub fn next_due(&self) -> Option<Duration> {
        self.watch.next_due()
    }

    /// Makes the next call if one is due.
    pub fn tick(&mut self, now: Duration, effects: &mut EffectSink) {
        if let Some((call, request)) = self.watch.tick(now) {
            effects.call_kv(CallPurpose::ShardRecords(call), request);
        }
    }

    /// Handles a reply. Returns whether the records may have changed; for a list, this is reported with its
    /// last page.
    pub fn handle_reply(
        &mut self,
        now: Duration,
        call: KeyWatchCall,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) -> bool {
        match self.watch.handle_reply(now, call, reply) {
            KeyUpdate::Page { rows, complete } => {
                self.listed_keys.extend(rows.iter().map(|row| row.key.clone()));
                rows.iter().for_each(|row| self.apply_record(row, effects));
                if complete {
                    self.table.retain_keys(&std::mem::take(&mut self.listed_keys));
                }
                complete
            }
            KeyUpdate::Events(events) => {
                let changed = !events.is_empty();
                events.into_iter().for_each(|event| self.apply_event(event, effects));
                changed
            }
            KeyUpdate::Failed => {
                self.listed_keys.clear();
                false
            }
        }
    }

    fn apply_event(&mut self, event: WatchEvent, effects: &mut EffectSink) {
        match event {
            WatchEvent::Put(row) => self.apply_record(&row, effects),
            WatchEvent::Delete { key, revision: mod_revision } => self.table.remove(&key, mod_revision),
        }
    }

    fn apply_record(&mut self, row: &KeyValue, effects: &mut EffectSink) {
        if let Err(error) = self.table.insert(&row.key, &row.value, row.mod_revision) {
            effects.log(LogLevel::Error, format!("shard record ignored: key={} reason=\"{error}\"", row.key));
        }
    }
}
