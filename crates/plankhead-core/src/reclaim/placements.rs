//! Reads of the placements of cancelled jobs.

use super::Reclaimer;
use crate::calls::{CallPurpose, ReclaimCall};
use crate::effects::EffectSink;
use crate::jobs::chunk::stored_attempts;
use crate::jobs::job::JobId;
use crate::protocol::{CallError, KvReply, KvRequest, LogLevel};
use std::time::Duration;

/// The maximum number of reads of placements in flight.
const MAX_READS_IN_FLIGHT: u32 = 4;
/// The pause after a failed read of placements.
const READ_RETRY_INTERVAL: Duration = Duration::from_millis(250);

impl Reclaimer {
    /// Returns when the next read is due, or `None` if no more may be read now.
    pub(super) fn next_read_due(&self) -> Option<Duration> {
        let may_read = self.tasks.has_unread() && self.reads_in_flight < MAX_READS_IN_FLIGHT;
        may_read.then_some(self.next_read_at)
    }

    /// Begins the reads of placements that are due.
    pub(super) fn read_placements(&mut self, now: Duration, effects: &mut EffectSink) {
        while now >= self.next_read_at && self.reads_in_flight < MAX_READS_IN_FLIGHT {
            let Some(id) = self.tasks.begin_read() else { return };
            self.read_chunks(id, None, effects);
        }
    }

    fn read_chunks(&mut self, id: JobId, after: Option<String>, effects: &mut EffectSink) {
        self.reads_in_flight += 1;
        let request = KvRequest::List { prefix: id.chunk_prefix(), after };
        effects.call_kv(CallPurpose::Reclaim(ReclaimCall::ListChunks(id)), request);
    }

    /// Handles a page of a cancelled job's chunks.
    pub fn chunks_read(
        &mut self,
        now: Duration,
        id: JobId,
        reply: Result<KvReply, CallError>,
        effects: &mut EffectSink,
    ) {
        self.reads_in_flight = self.reads_in_flight.saturating_sub(1);
        let Ok(KvReply::Page { rows, truncated, .. }) = reply else {
            self.next_read_at = now + READ_RETRY_INTERVAL;
            return self.tasks.read_failed(&id);
        };
        let last = rows.last().map(|row| row.key.clone());
        if let Some(rows) = self.tasks.page_read(&id, rows, truncated) {
            match stored_attempts(&rows) {
                Ok(attempts) => self.tasks.add_attempts(&id, attempts, now),
                Err(error) => {
                    effects.log(LogLevel::Error, format!("placements unreadable: job={id} reason={error}"));
                }
            }
        } else if truncated {
            self.read_chunks(id, last, effects);
        }
    }
}
