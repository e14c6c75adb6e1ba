//! The shards' records, as this node has read them from the state service.

use crate::calls::{CallPurpose, KeyWatchCall};
use crate::effects::EffectSink;
use crate::key_watch::{KeyUpdate, KeyWatch};
use crate::protocol::{CallError, KeyValue, KvReply, LogLevel, WatchEvent};
use crate::token_range::{TermEvidence, TokenRange};
use plankhead_sharding::shard::PREFIX;
use plankhead_sharding::table::{KnownRecord, ShardTable};
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
    /// The highest revision at which the records in `table` are known to have been in force, apart from
    /// those that were written later.
    in_force_at: u64,
}

impl Default for RecordWatch {
    fn default() -> Self {
        Self {
            table: ShardTable::default(),
            watch: KeyWatch::new(PREFIX, WATCH_TIMEOUT),
            listed_keys: Vec::new(),
            in_force_at: 0,
        }
    }
}

impl RecordWatch {
    /// Returns the time as of which the records are known: when the latest successful read of all records
    /// or watch for changes was started.
    pub fn synced_at(&self) -> Option<Duration> {
        self.watch.synced_at
    }

    /// Returns the tokens that a shard's holder may use for its machines, given the shard's record and what
    /// is known of the leader's term.
    pub fn token_range(&self, known: &KnownRecord, term: TermEvidence) -> TokenRange {
        let epoch = known.epoch();
        TokenRange::new(epoch, self.in_force_at.min(term.in_force_at(known.record.term)))
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
        let update = self.watch.handle_reply(now, call, reply);
        let changed = self.apply_update(update, effects);
        self.in_force_at = self.in_force_at.max(self.watch.revision().unwrap_or(0));
        changed
    }

    fn apply_update(&mut self, update: KeyUpdate, effects: &mut EffectSink) -> bool {
        match update {
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
